"""Find an endpoint for a request and hold a place there while it runs."""

import asyncio
from dataclasses import replace
from types import TracebackType

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters.attempt import ensure_may_run
from knapweedhinge.filters.types import Context, Request
from knapweedhinge.routing.balance import choose_endpoint, choose_service_endpoint
from knapweedhinge.routing.choice import (
    ChoiceRequest,
    EndpointChoice,
    NoEndpoint,
    ServiceRequest,
)
from knapweedhinge.routing.eligibility import BalanceView, exclusion
from knapweedhinge.routing.load import EndpointView, corrected_load
from knapweedhinge.routing.permits import HeldPermit

WAIT_STEP_S = 0.02
ALONE_WAIT_S = 2.0


class Place:
    """A place at an endpoint; it counts as own load until it is closed.

    ``req`` is the chat request that runs there; a suspected one has it for itself.
    """

    def __init__(
        self,
        endpoint: EndpointView,
        ctx: Context,
        permit: HeldPermit | None = None,
        req: Request | None = None,
    ):
        self.endpoint = endpoint
        self._permit = permit
        self._ok = False
        self._req = req if req is not None and req.fingerprint else None
        self._ctx = ctx
        self._open = True
        ctx.ledger.dispatched(endpoint.id, ctx.clock())
        if self._req is not None:
            ctx.quarantine.started(endpoint, req.fingerprint)
            if req.alone:
                name, now = req.fingerprint, ctx.clock()
                ctx.quarantine.trial_started(name, endpoint.id, now)

    def answered(self) -> None:
        """Note that the endpoint answered completely and in time."""
        self._ok = True

    def close(self) -> None:
        """Give the place back; closing again does nothing."""
        if not self._open:
            return
        self._open = False
        self._ctx.ledger.completed(self.endpoint.id, self._ctx.clock())
        if self._permit is not None:
            self._ctx.permits.release(self._permit, self._ok)
        if self._req is not None:
            name = self._req.fingerprint
            self._ctx.quarantine.ended(self.endpoint, name)
            if self._req.alone:
                self._ctx.quarantine.trial_ended(name, self.endpoint.id)

    def __enter__(self) -> "Place":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._ok = self._ok or exc is None
        self.close()


async def place_chat(req: Request, ctx: Context) -> Place:
    """Return a place at an engine that serves the request's version."""
    return await _wait_for_place(req, ctx, _choose_engine)


async def place_service(req: Request, ctx: Context) -> Place:
    """Return a place at a replica of the request's plain service."""
    return await _wait_for_place(req, ctx, _choose_replica)


async def _wait_for_place(req: Request, ctx: Context, choose) -> Place:
    """Wait while endpoints are left, but none known to be warm or with a permit.

    Isolated endpoints may come free too. Nothing is awaited between the last look at
    the endpoint and the return.
    """
    began = ctx.clock()
    while True:
        alone = req.alone and ctx.clock() - began < ALONE_WAIT_S
        view = balance_view(ctx, alone=alone)
        choice = choose(req, ctx, view)
        place = _warm_place(req, ctx, choice)
        place = place or await _cold_place(req, ctx, choice.cold)
        if place is not None:
            return place
        may_come = isinstance(choice, EndpointChoice) or choice.cold
        if view.isolated and not may_come:
            opened = choose(req, ctx, replace(view, isolated=frozenset()))
            may_come = isinstance(opened, EndpointChoice) or opened.cold
        if not may_come or ctx.clock() + WAIT_STEP_S >= req.deadline_at:
            raise RefusedError(code=ResultCode.NO_ENDPOINT)
        await asyncio.sleep(WAIT_STEP_S)


def _warm_place(
    req: Request, ctx: Context, choice: EndpointChoice | NoEndpoint
) -> Place | None:
    if isinstance(choice, NoEndpoint) or not ctx.permits.is_known_warm(choice.endpoint):
        return None
    return Place(choice.endpoint, ctx, req=req)


async def _cold_place(
    req: Request, ctx: Context, cold: tuple[str, ...]
) -> Place | None:
    """Return a place with a permit, the first that an owner grants."""
    for endpoint_id in cold:
        asked = ctx.state.current.endpoints.get(endpoint_id)
        held = await ctx.permits.acquire(asked) if asked else None
        if held is None:
            continue
        endpoint = _still_open(req, ctx, endpoint_id)
        used = ctx.permits.start(held, endpoint)
        if used is not None:
            return Place(endpoint, ctx, used, req)
    return None


def _still_open(req: Request, ctx: Context, endpoint_id: str) -> EndpointView | None:
    """Return the endpoint as it is now, unless it takes no new work any more."""
    endpoint = ctx.state.current.endpoints.get(endpoint_id)
    if endpoint is None:
        return None
    permits = frozenset({endpoint_id})
    excluded = exclusion(endpoint, balance_view(ctx), req.avoid, permits)
    return endpoint if excluded is None else None


def _choose_engine(
    req: Request, ctx: Context, view: BalanceView
) -> EndpointChoice | NoEndpoint:
    listen = ctx.settings.listen
    wanted = ChoiceRequest(
        version=req.version.id,
        failure_domain=listen.failure_domain,
        region=listen.region,
        prompt_tokens=req.call.prompt_tokens,
        tried=req.avoid,
    )
    return choose_endpoint(wanted, view, ctx.clock(), ctx.rng)


def _choose_replica(
    req: Request, ctx: Context, view: BalanceView
) -> EndpointChoice | NoEndpoint:
    listen = ctx.settings.listen
    wanted = ServiceRequest(
        service=req.call.service,
        failure_domain=listen.failure_domain,
        region=listen.region,
        tried=req.avoid,
    )
    return choose_service_endpoint(wanted, view, ctx.clock(), ctx.rng)


def ensure_place_may_run(req: Request, ctx: Context, place: Place) -> None:
    """Look once more at what may not be stale; give the place back on a refusal."""
    try:
        ensure_may_run(req, ctx)
    except RefusedError:
        place.close()
        raise


def balance_view(ctx: Context, *, alone: bool = False) -> BalanceView:
    """Return what endpoint choice looks at, as of the newest snapshot.

    A request that should run alone goes to endpoints without other work. It waits for
    one for ``ALONE_WAIT_S`` only, since an engine may report work that never ends.
    """
    newest = ctx.state.current
    isolated = ctx.quarantine.isolated(ctx.clock())
    if alone:
        views = newest.endpoints.index.by_id.values()
        busy = (one.id for one in views if corrected_load(one, ctx.ledger))
        isolated = isolated.union(busy)
    return BalanceView(
        endpoints=newest.endpoints.index,
        ledger=ctx.ledger,
        domains_out=newest.configuration.domains_out,
        isolated=isolated,
        domain_shares=ctx.domains.shares(ctx.clock()),
    )
