"""Turn answers and errors into HTTP responses."""

import msgspec
from aiohttp import web

from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.filters import Answer, StreamAnswer

REQUEST_ID_HEADER = "X-Request-Id"
RESULT_CODE_HEADER = "X-Result-Code"
RUN_STATE_HEADER = "X-Run-State"
MODEL_VERSION_HEADER = "X-Model-Version"


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe an error to a caller.

    After a conflict, ``winner`` names the author and id of the change that was
    accepted first.
    """

    code: int
    name: str
    message: str
    run_state: str
    winner: str | None = None


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Hold the body of every error response."""

    error: ErrorBody


def error_bytes(exc: KnapweedhingeError) -> bytes:
    """Return the JSON body of an error."""
    code = exc.code
    winner = getattr(exc, "winner", None)
    body = ErrorBody(
        code.number,
        code.name,
        exc.message,
        exc.run_state,
        winner=f"{winner.author}: {winner.change_id}" if winner else None,
    )
    return msgspec.json.encode(ErrorAnswer(body))


def error_response(exc: KnapweedhingeError, request_id: str = "") -> web.Response:
    """Return the response for an error; ``request_id`` is empty if none is known."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        RESULT_CODE_HEADER: str(exc.code.number),
        RUN_STATE_HEADER: str(exc.run_state),
    }
    if exc.retry_after_s is not None:
        headers["Retry-After"] = f"{exc.retry_after_s:g}"
    return web.Response(
        status=exc.code.value.status,
        body=error_bytes(exc),
        content_type="application/json",
        headers=headers,
    )


def answer_headers(answer: Answer | StreamAnswer, request_id: str) -> dict[str, str]:
    """Return the headers that whole and streamed answers have in common."""
    headers = {
        REQUEST_ID_HEADER: request_id,
        RESULT_CODE_HEADER: str(ResultCode.OK.number),
        **answer.headers,
    }
    if answer.version:
        headers[MODEL_VERSION_HEADER] = answer.version
    return headers


def whole_response(answer: Answer, request_id: str) -> web.Response:
    """Return the response for an answer that isn't streamed."""
    headers = answer_headers(answer, request_id)
    headers[RESULT_CODE_HEADER] = str(answer.code.number)
    headers[RUN_STATE_HEADER] = str(answer.run_state)
    headers["Content-Type"] = answer.content_type
    return web.Response(status=answer.status, body=answer.body, headers=headers)


async def stream_response(
    raw: web.Request, answer: StreamAnswer, request_id: str
) -> web.StreamResponse:
    """Write a streamed answer; an error after its start becomes the last event.

    When the caller disconnects, the rest of the answer is still read, so that the
    request is billed and the engine's answer can be fetched again.
    """
    headers = answer_headers(answer, request_id)
    headers[RUN_STATE_HEADER] = str(RunState.RUNNING)
    headers["Content-Type"] = "text/event-stream"
    headers["Cache-Control"] = "no-store"
    resp = web.StreamResponse(headers=headers)
    await resp.prepare(raw)
    caller_gone = False

    async def write(data: bytes) -> None:
        nonlocal caller_gone
        if caller_gone:
            return
        try:
            await resp.write(data)
        except ConnectionError:
            caller_gone = True

    try:
        await answer.pump(write, answer.on_end)
    except KnapweedhingeError as exc:
        await write(b"event: error\ndata: " + error_bytes(exc) + b"\n\n")
        resp.force_close()
    if not caller_gone:
        await resp.write_eof()
    return resp
