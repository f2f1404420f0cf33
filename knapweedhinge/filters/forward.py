"""Forward calls with a reserved idempotency key to the node that owns the key."""

from typing import Protocol

import msgspec

from knapweedhinge.controllers.claims import keyed_request_id
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    CallerError,
    KnapweedhingeError,
    OutcomeUnknownError,
    PeerError,
)
from knapweedhinge.filters.types import Answer, Context, Handler, Request, ServiceCall

FORWARD_METHOD = "reserved-call"
CODES_BY_NUMBER = {code.number: code for code in ResultCode}


class PeerCalls(Protocol):
    """The interface to peers that forwarding needs."""

    async def call(
        self, vm: str, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of another node and return its reply."""


class ForwardedCall(msgspec.Struct, frozen=True, array_like=True):
    """A call on the wire; ``remaining_s`` is the time to its deadline, in seconds."""

    organisation: str
    key: str
    remaining_s: float
    service: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes


class ForwardedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The owner's answer, or its error if ``code`` isn't 0."""

    code: int
    run_state: str
    message: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    headers: dict[str, str] = {}


async def forward(req: Request, vm: str, peers: PeerCalls, now: float) -> Answer:
    """Send the call to the key's owner; return its answer or raise its error.

    Raise PeerError if the call certainly didn't reach the owner, OutcomeUnknownError if
    it may have.
    """
    call, remaining_s = req.call, req.deadline_at - now
    payload = msgspec.msgpack.encode(
        ForwardedCall(
            req.organisation.id,
            req.idempotency_key,
            remaining_s,
            call.service,
            call.method,
            call.path,
            call.query,
            call.content_type,
            call.body,
        )
    )
    try:
        data = await peers.call(vm, FORWARD_METHOD, payload, remaining_s)
    except PeerError as exc:
        if exc.run_state is RunState.NOT_RUN:
            raise
        raise OutcomeUnknownError() from exc
    return _answer(msgspec.msgpack.decode(data, type=ForwardedAnswer))


async def serve_forwarded(payload: bytes, chain: Handler, ctx: Context) -> bytes:
    """Run a forwarded call and return the encoded answer or error."""
    try:
        call = msgspec.msgpack.decode(payload, type=ForwardedCall)
        answer = await chain(_request(call, ctx))
    except KnapweedhingeError as exc:
        reply = ForwardedAnswer(exc.code.number, str(exc.run_state), exc.message)
    else:
        reply = ForwardedAnswer(
            answer.code.number,
            str(answer.run_state),
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            headers=dict(answer.headers),
        )
    return msgspec.msgpack.encode(reply)


def _request(call: ForwardedCall, ctx: Context) -> Request:
    snapshot, now = ctx.state.current, ctx.clock()
    organisation = snapshot.configuration.organisation(call.organisation)
    if organisation is None:
        raise CallerError(code=ResultCode.AUTHENTICATION_FAILED)
    key = ctx.reserved.parse(call.key)
    if key is None or not ctx.reserved.owns(key):
        raise PeerError("this node doesn't own the key", run_state=RunState.NOT_RUN)
    service_call = ServiceCall(
        call.service,
        call.method,
        call.path,
        call.query,
        call.content_type,
        call.body,
    )
    return Request(
        keyed_request_id(organisation.id, call.key),
        service_call,
        snapshot,
        now,
        organisation,
        idempotency_key=call.key,
        deadline_at=now + call.remaining_s,
    )


def _answer(reply: ForwardedAnswer) -> Answer:
    code = CODES_BY_NUMBER.get(reply.code, ResultCode.INTERNAL_ERROR)
    run_state = RunState(reply.run_state)
    if code is ResultCode.PEER_UNAVAILABLE:
        raise PeerError(reply.message, run_state=run_state)
    if code is not ResultCode.OK:
        raise KnapweedhingeError(reply.message, code=code, run_state=run_state)
    return Answer(
        reply.status,
        reply.body,
        reply.content_type,
        headers=reply.headers,
        billed=True,
    )
