"""Resume a stream, which may have been started through another node."""

from dataclasses import replace

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError
from knapweedhinge.core.tokens import AttemptClaims
from knapweedhinge.filters.types import (
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    Resumption,
)


class Resume:
    """Resume the stream that ``Last-Event-ID`` names, after the last event received.

    The request gets its original request id back, so that it is billed once.
    """

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on as the continuation of the named stream.

        Raise CallerError if ``Last-Event-ID`` is invalid or of another organisation, or
        if the request doesn't ask for a stream.
        """
        if not req.last_event_id or not isinstance(req.call, ChatCall):
            return await self._next(req)
        attempt_id, _, position_text = req.last_event_id.rpartition(":")
        claims = self._ctx.tokens.verify(
            attempt_id, AttemptClaims, ResultCode.RESUME_TOKEN_INVALID
        )
        same_organisation = claims.organisation == req.organisation.id
        if (
            not same_organisation
            or not position_text.isdecimal()
            or not req.call.stream
        ):
            raise CallerError(code=ResultCode.RESUME_TOKEN_INVALID)
        resumption = Resumption(
            attempt_id, claims.endpoint, claims.version, int(position_text)
        )
        return await self._next(
            replace(
                req,
                request_id=claims.request_id,
                class_id=claims.class_id,
                pinned_version=claims.version,
                attempt=claims.attempt,
                resumption=resumption,
            )
        )
