"""Select an endpoint for a request and hold a slot there while the request runs."""

import asyncio
from dataclasses import replace
from types import TracebackType

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import KnapweedhingeError, RefusedError
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

SLOT_POLL_S = 0.02  # between two checks for a free endpoint
MAX_ALONE_WAIT_S = 2.0  # that a suspected request waits for an endpoint without work


class EndpointSlot:
    """A request's slot at an endpoint, counted as load there until it is closed.

    ``req`` is the chat request that runs in it. If the request is suspected of crashing
    engines, opening the slot starts its trial and closing the slot ends it.
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
        self._succeeded = False
        self._req = req if req is not None and req.fingerprint else None
        self._ctx = ctx
        self._open = True
        ctx.ledger.dispatched(endpoint.id, ctx.clock())
        if self._req is not None:
            ctx.quarantine.started(endpoint, req.fingerprint)
            if req.alone:
                fingerprint, now = req.fingerprint, ctx.clock()
                ctx.quarantine.trial_started(fingerprint, endpoint.id, now)

    def mark_succeeded(self) -> None:
        """Record that the endpoint answered completely and in time."""
        self._succeeded = True

    def close(self) -> None:
        """Release the slot; closing it again does nothing."""
        if not self._open:
            return
        self._open = False
        self._ctx.ledger.completed(self.endpoint.id, self._ctx.clock())
        if self._permit is not None:
            self._ctx.permits.release(self._permit, self._succeeded)
        if self._req is not None:
            fingerprint = self._req.fingerprint
            self._ctx.quarantine.ended(self.endpoint, fingerprint)
            if self._req.alone:
                self._ctx.quarantine.trial_ended(fingerprint, self.endpoint.id)

    def __enter__(self) -> "EndpointSlot":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._succeeded = self._succeeded or exc is None
        self.close()


async def acquire_engine_slot(req: Request, ctx: Context) -> EndpointSlot:
    """Return a slot at an engine that serves the request's version.

    Raise RefusedError if there is none before the deadline.
    """
    return await _wait_for_slot(req, ctx, _choose_engine)


async def acquire_service_slot(req: Request, ctx: Context) -> EndpointSlot:
    """Return a slot at a replica of the request's plain service.

    Raise RefusedError if there is none before the deadline.
    """
    return await _wait_for_slot(req, ctx, _choose_replica)


async def _wait_for_slot(req: Request, ctx: Context, choose) -> EndpointSlot:
    """Wait until an endpoint is warm, or a permit for a cold one is granted.

    Waiting makes sense while there are cold endpoints, or endpoints that are isolated
    for a suspected request and become free after it. A suspected request also waits
    for endpoints with other work. Otherwise raise RefusedError.

    Nothing is awaited between the last check of the endpoint and the return, so that
    the check still holds when the slot is taken.
    """
    began = ctx.clock()
    while True:
        alone = req.alone and ctx.clock() - began < MAX_ALONE_WAIT_S
        view = balance_view(ctx, alone=alone)
        choice = choose(req, ctx, view)
        slot = _warm_slot(req, ctx, choice)
        slot = slot or await _cold_slot(req, ctx, choice.cold)
        if slot is not None:
            return slot
        may_become_free = isinstance(choice, EndpointChoice) or choice.cold
        if view.isolated and not may_become_free:
            unisolated = choose(req, ctx, replace(view, isolated=frozenset()))
            may_become_free = isinstance(unisolated, EndpointChoice) or unisolated.cold
        if not may_become_free or ctx.clock() + SLOT_POLL_S >= req.deadline_at:
            raise RefusedError(code=ResultCode.NO_ENDPOINT)
        await asyncio.sleep(SLOT_POLL_S)


def _warm_slot(
    req: Request, ctx: Context, choice: EndpointChoice | NoEndpoint
) -> EndpointSlot | None:
    if isinstance(choice, NoEndpoint) or not ctx.permits.is_known_warm(choice.endpoint):
        return None
    return EndpointSlot(choice.endpoint, ctx, req=req)


async def _cold_slot(
    req: Request, ctx: Context, cold: tuple[str, ...]
) -> EndpointSlot | None:
    """Return a slot at the first cold endpoint for which a permit is granted."""
    for endpoint_id in cold:
        cold_endpoint = ctx.state.current.endpoints.get(endpoint_id)
        permit = await ctx.permits.acquire(cold_endpoint) if cold_endpoint else None
        if permit is None:
            continue
        endpoint = _usable_endpoint(req, ctx, endpoint_id)
        started_permit = ctx.permits.start(permit, endpoint)
        if started_permit is not None:
            return EndpointSlot(endpoint, ctx, started_permit, req)
    return None


def _usable_endpoint(
    req: Request, ctx: Context, endpoint_id: str
) -> EndpointView | None:
    """Return the endpoint's newest state, None if it takes no new work any more."""
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
    choice_request = ChoiceRequest(
        version=req.version.id,
        failure_domain=listen.failure_domain,
        region=listen.region,
        prompt_tokens=req.call.prompt_tokens,
        tried=req.avoid,
    )
    return choose_endpoint(choice_request, view, ctx.clock(), ctx.rng)


def _choose_replica(
    req: Request, ctx: Context, view: BalanceView
) -> EndpointChoice | NoEndpoint:
    listen = ctx.settings.listen
    choice_request = ServiceRequest(
        service=req.call.service,
        failure_domain=listen.failure_domain,
        region=listen.region,
        tried=req.avoid,
    )
    return choose_service_endpoint(choice_request, view, ctx.clock(), ctx.rng)


def ensure_slot_may_run(req: Request, ctx: Context, slot: EndpointSlot) -> None:
    """Check once more, right before sending, that the request may run.

    Release the slot and raise what ``ensure_may_run()`` raises if it may not.
    """
    try:
        ensure_may_run(req, ctx)
    except KnapweedhingeError:
        slot.close()
        raise


def balance_view(ctx: Context, *, alone: bool = False) -> BalanceView:
    """Return the newest state that the choice of an endpoint is based on.

    A request that should run alone goes to endpoints without other work. It waits for
    one for ``MAX_ALONE_WAIT_S`` only, since an engine may report work that never ends.
    """
    newest = ctx.state.current
    isolated = ctx.quarantine.isolated(ctx.clock())
    if alone:
        endpoints = newest.endpoints.index.by_id.values()
        busy = (
            endpoint.id
            for endpoint in endpoints
            if corrected_load(endpoint, ctx.ledger)
        )
        isolated = isolated.union(busy)
    return BalanceView(
        endpoints=newest.endpoints.index,
        ledger=ctx.ledger,
        domains_out=newest.configuration.domains_out,
        isolated=isolated,
        domain_shares=ctx.domains.shares(ctx.clock()),
    )
