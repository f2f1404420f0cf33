"""Retry a failed request at another endpoint as long as that is safe."""

import asyncio
from dataclasses import replace

from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import EndpointError, KnapweedhingeError
from knapweedhinge.filters.admit import find_route
from knapweedhinge.filters.types import (
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
)
from knapweedhinge.routing.retry import (
    Attempt,
    RetryRequest,
    Stop,
    decide_retry,
    overall_run_state,
)


class Retry:
    """Retry requests that certainly didn't run, and those that may run twice.

    The retry budget limits the retries of each organisation to about the voted share
    (``retry_share``) of its requests.
    """

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on until it is answered or may not be retried.

        An error raised in the end says "not run" only if no attempt may have run.
        """
        attempts: tuple[Attempt, ...] = ()
        self._ctx.retries.record_first_attempt(req.organisation.id)
        while True:
            try:
                return await self._next(req)
            except EndpointError as exc:
                attempts += (Attempt(exc.code, exc.run_state),)
                delay_s = self._delay_s(req, attempts, exc)
                avoid = req.avoid | {exc.endpoint_id}
                req = replace(
                    req,
                    avoid=avoid,
                    attempt=req.attempt + 1,
                    may_have_run=overall_run_state(attempts) is not RunState.NOT_RUN,
                )
                await asyncio.sleep(delay_s)
            except KnapweedhingeError as exc:
                if overall_run_state(attempts) is not RunState.NOT_RUN:
                    exc.run_state = RunState.UNKNOWN
                raise

    def _delay_s(
        self, req: Request, attempts: tuple[Attempt, ...], exc: EndpointError
    ) -> float:
        """Return the seconds to wait before a retry; raise if there is none."""
        ctx = self._ctx
        retry_request = RetryRequest(
            organisation=req.organisation.id,
            idempotent=may_run_again(req, ctx),
            deadline=req.deadline_at,
            attempts=attempts,
        )
        decision = decide_retry(retry_request, ctx.retries, ctx.clock(), ctx.rng)
        if isinstance(decision, Stop):
            ctx.metrics.count("retries_stopped", decision.reason.name)
            exc.code = decision.code
            exc.run_state = decision.run_state
            raise exc
        ctx.metrics.count("retries", exc.code.name)
        return decision.delay_s


def is_idempotent(req: Request) -> bool:
    """Return whether the request may run twice; a chat request always may."""
    return isinstance(req.call, ChatCall) or req.route.idempotent


def may_run_again(req: Request, ctx: Context) -> bool:
    """Return whether the request may run twice by its route, also as it is now."""
    if isinstance(req.call, ChatCall):
        return True
    service = ctx.state.current.configuration.service(req.call.service)
    route = find_route(service, req.call) if service is not None else None
    return is_idempotent(req) and (route is None or route.idempotent)
