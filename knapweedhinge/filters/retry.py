"""Try a failed request at another endpoint while that is safe."""

import asyncio
from dataclasses import replace

from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import EndpointError, KnapweedhingeError
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
    """Repeat what was not run and what may be repeated, within the voted budget."""

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on until it is answered or may not be tried again."""
        attempts: tuple[Attempt, ...] = ()
        self._ctx.retries.record_first_attempt(req.organisation.id)
        while True:
            try:
                return await self._next(req)
            except EndpointError as exc:
                attempts += (Attempt(exc.code, exc.run_state),)
                delay_s = self._delay(req, attempts, exc)
                avoid = req.avoid | {exc.endpoint_id}
                req = replace(req, avoid=avoid, attempt=req.attempt + 1)
                await asyncio.sleep(delay_s)
            except KnapweedhingeError as exc:
                if overall_run_state(attempts) is not RunState.NOT_RUN:
                    exc.run_state = RunState.UNKNOWN
                raise

    def _delay(
        self, req: Request, attempts: tuple[Attempt, ...], exc: EndpointError
    ) -> float:
        """Return the pause before the next attempt, or raise that there is none."""
        ctx = self._ctx
        wanted = RetryRequest(
            organisation=req.organisation.id,
            idempotent=is_idempotent(req),
            deadline=req.deadline_at,
            attempts=attempts,
        )
        decided = decide_retry(wanted, ctx.retries, ctx.clock(), ctx.rng)
        if isinstance(decided, Stop):
            ctx.metrics.count("retries_stopped", decided.reason.name)
            exc.code = decided.code
            exc.run_state = decided.run_state
            raise exc
        ctx.metrics.count("retries", exc.code.name)
        return decided.delay_s


def is_idempotent(req: Request) -> bool:
    """Return whether running the request twice does no harm."""
    return isinstance(req.call, ChatCall) or req.route.idempotent
