"""Send one attempt of a request to an endpoint."""

from functools import singledispatch

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import EndpointError, OutcomeUnknownError
from knapweedhinge.endpoints import EngineCall, EventChecker, PlainCall
from knapweedhinge.filters.attempt import engine_call
from knapweedhinge.filters.place import (
    EndpointSlot,
    acquire_engine_slot,
    acquire_service_slot,
    ensure_slot_may_run,
)
from knapweedhinge.filters.quarantine import check_for_crash
from knapweedhinge.filters.retry import is_idempotent
from knapweedhinge.filters.streaming import StreamRelay
from knapweedhinge.filters.types import (
    Answer,
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    Resumption,
    ServiceCall,
    Step,
    StreamAnswer,
)


class Dispatch:
    """The last filter: choose an endpoint and send the request there."""

    def __init__(self, ctx: Context, call_next: Handler | None = None):
        self._ctx = ctx

    async def __call__(self, req: Request) -> AnyAnswer:
        """Return the endpoint's answer; raise EndpointError if it gives none."""
        try:
            answer = await send(req.call, req, self._ctx)
        except EndpointError as exc:
            self._record_outcome(exc.endpoint_id, ok=False)
            raise
        self._record_outcome(answer.endpoint_id, ok=True)
        return answer

    def _record_outcome(self, endpoint_id: str, *, ok: bool) -> None:
        """Count the attempt as a success or failure of its failure domain."""
        endpoint = self._ctx.state.current.endpoints.get(endpoint_id)
        if endpoint is not None:
            domain, now = endpoint.failure_domain, self._ctx.clock()
            self._ctx.domains.answered(domain, ok, now)


@singledispatch
async def send(call, req: Request, ctx: Context) -> AnyAnswer:
    """Send the request to one endpoint, in the way its kind of call needs."""
    raise TypeError(f"calls of type {type(call).__name__} can't be dispatched")


@send.register
async def _(call: ChatCall, req: Request, ctx: Context) -> AnyAnswer:
    if req.resumption is not None:
        return await _resume(call, req, ctx, req.resumption)
    slot = await acquire_engine_slot(req, ctx)
    ensure_slot_may_run(req, ctx, slot)
    attempt = engine_call(req, ctx, slot.endpoint.id)
    if call.stream:
        return await _stream(call, req, ctx, slot, attempt)
    with slot:
        try:
            engine_answer = await ctx.engines.complete(slot.endpoint, attempt)
        except EndpointError as exc:
            exc.endpoint_id = slot.endpoint.id
            await check_for_crash(slot.endpoint, exc, ctx)
            raise
    return Answer(
        200,
        engine_answer.body,
        version=req.version.id,
        endpoint_id=slot.endpoint.id,
        steps=(Step(req.version.id, engine_answer.usage),),
    )


async def _stream(
    call: ChatCall, req: Request, ctx: Context, slot: EndpointSlot, attempt: EngineCall
) -> StreamAnswer:
    try:
        resp = await ctx.engines.open_stream(slot.endpoint, attempt)
    except EndpointError as exc:
        exc.endpoint_id = slot.endpoint.id
        await check_for_crash(slot.endpoint, exc, ctx)
        slot.close()
        raise
    except BaseException:
        slot.close()
        raise
    checker = EventChecker(attempt.attempt_id, hide_usage=not call.include_usage)
    relay = StreamRelay(req, ctx, slot, resp, checker)
    return StreamAnswer(relay.pump, req.version.id, slot.endpoint.id)


async def _resume(
    call: ChatCall, req: Request, ctx: Context, resumption: Resumption
) -> StreamAnswer:
    """Resume a stream at the engine that generates it.

    The engine has the work already, so no endpoint is chosen. Raise OutcomeUnknownError
    if the engine is gone or can't resume the stream.
    """
    endpoint = ctx.state.current.endpoints.get(resumption.endpoint_id)
    if endpoint is None:
        raise OutcomeUnknownError(code=ResultCode.STREAM_BROKEN)
    try:
        resp = await ctx.engines.resume_stream(
            endpoint,
            resumption.attempt_id,
            resumption.position,
            req.deadline_at - ctx.clock(),
        )
    except EndpointError as exc:
        raise OutcomeUnknownError(code=ResultCode.STREAM_BROKEN) from exc
    checker = EventChecker(
        resumption.attempt_id,
        resumption.position,
        hide_usage=not call.include_usage,
    )
    relay = StreamRelay(req, ctx, EndpointSlot(endpoint, ctx), resp, checker)
    return StreamAnswer(relay.pump, req.version.id, endpoint.id)


@send.register
async def _(call: ServiceCall, req: Request, ctx: Context) -> AnyAnswer:
    slot = await acquire_service_slot(req, ctx)
    ensure_slot_may_run(req, ctx, slot)
    plain_call = PlainCall(
        attempt_id=f"{req.request_id}.{req.attempt}",
        method=call.method,
        path=call.path,
        query=call.query,
        content_type=call.content_type,
        body=call.body,
        timeout_s=req.deadline_at - ctx.clock(),
        idempotency_key=req.idempotency_key,
    )
    idempotent = is_idempotent(req)
    with slot:
        try:
            service_answer = await ctx.services.call(
                slot.endpoint, plain_call, idempotent=idempotent
            )
            if not service_answer.body and not req.route.may_be_empty:
                raise EndpointError(code=ResultCode.ANSWER_EMPTY)
        except EndpointError as exc:
            exc.endpoint_id = slot.endpoint.id
            raise
    return Answer(
        service_answer.status,
        service_answer.body,
        service_answer.content_type,
        endpoint_id=slot.endpoint.id,
    )
