"""Refuse requests that crash engines, and run suspected ones alone."""

import asyncio
from dataclasses import replace

import aiohttp
import msgspec

from knapweedhinge.controllers.endpoints import StatusRead
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.types import (
    Answer,
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    StreamEnd,
)
from knapweedhinge.routing.crashes import fingerprint
from knapweedhinge.routing.load import EndpointState, EndpointView
from knapweedhinge.routing.quarantine import Standing

TRIAL_POLL_S = 0.05  # between two checks whether the trial at another endpoint ended
# Result codes of attempts after which the engine is checked for a crash.
CRASH_RESULT_CODES = (ResultCode.ENDPOINT_FAILED, ResultCode.STREAM_BROKEN)


class Quarantine:
    """Refuse quarantined chat requests, and run suspected ones alone.

    The filter comes after ``Retry`` in the chain, so it checks every attempt.
    """

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the attempt on; clear the request of suspicion once it is answered.

        Raise RefusedError if the request is in quarantine, or if the deadline comes
        before the end of its trial at another endpoint.
        """
        if not isinstance(req.call, ChatCall) or req.resumption is not None:
            return await self._next(req)
        request_fingerprint = fingerprint_of(req)
        answer = await self._next(
            await screen_attempt(
                replace(req, fingerprint=request_fingerprint), self._ctx
            )
        )
        if isinstance(answer, Answer):
            self._ctx.quarantine.completed(request_fingerprint, self._ctx.clock())
            return answer

        async def clear(end: StreamEnd) -> None:
            self._ctx.quarantine.completed(request_fingerprint, self._ctx.clock())

        return replace(answer, on_end=(*answer.on_end, clear))


def fingerprint_of(req: Request) -> str:
    """Return a hash of the organisation and body, the same for all attempts."""
    body = msgspec.json.encode(dict(req.call.fields), order="deterministic")
    return fingerprint(req.organisation.id, body)


async def screen_attempt(req: Request, ctx: Context) -> Request:
    """Return the attempt with ``alone`` set; raise RefusedError if it may not run.

    While the same request runs alone elsewhere to find out whether it crashes engines,
    wait for the result.
    """
    while True:
        now = ctx.clock()
        newest = ctx.state.current
        verdict = ctx.quarantine.verdict(
            req.fingerprint,
            newest.configuration.limits,
            len(newest.endpoints.index.by_id),
            now,
        )
        match verdict.standing:
            case Standing.QUARANTINED:
                raise RefusedError(code=ResultCode.QUARANTINED)
            case Standing.ON_TRIAL:
                if now + TRIAL_POLL_S >= req.deadline_at:
                    raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
                await asyncio.sleep(TRIAL_POLL_S)
            case _:
                return replace(req, alone=verdict.standing is Standing.ALONE)


def _is_connection_refused(exc: BaseException | None) -> bool:
    """Return whether the VM refused the connection: it runs, but its engine doesn't."""
    if not isinstance(exc, aiohttp.ClientConnectorError):
        return False
    return isinstance(exc.os_error, ConnectionRefusedError)


async def check_for_crash(
    endpoint: EndpointView, exc: EndpointError, ctx: Context
) -> None:
    """Find out whether an engine crashed after a request failed there; record it.

    A new incarnation proves a crash. So does a VM that refuses connections: it runs,
    but its engine doesn't. A VM that doesn't answer may be lost as a whole, which no
    request is to blame for. If the incarnation is unchanged, only the connection was
    lost.
    """
    if exc.run_state is not RunState.UNKNOWN or exc.code not in CRASH_RESULT_CODES:
        return
    try:
        status = await ctx.engines.status(endpoint, ctx.clock())
    except EndpointError as status_error:
        known = ctx.state.current.endpoints.get(endpoint.id)
        still_member = known is not None and known.state is not EndpointState.LEAVING
        crashed = still_member and _is_connection_refused(status_error.__cause__)
    else:
        crashed = status.incarnation != endpoint.incarnation
        ctx.state.endpoint_events.on_next(StatusRead(status))
    if crashed:
        limits = ctx.state.current.configuration.limits
        ctx.quarantine.crashed(endpoint, limits, ctx.clock())
