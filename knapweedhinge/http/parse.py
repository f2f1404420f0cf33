"""Parse callers' requests into the types of the filters, and bound their size."""

import asyncio
import uuid

import msgspec
from aiohttp import web

from knapweedhinge.conf import HttpSettings, Organisation
from knapweedhinge.controllers.claims import keyed_request_id
from knapweedhinge.controllers.snapshot import Snapshot
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError
from knapweedhinge.filters import ChatCall, Request, ServiceCall

BEARER_PREFIX = "Bearer "
MS_PER_S = 1_000
BYTES_PER_TOKEN = 4  # bytes of a chat body for each prompt token, an estimate
NO_DEADLINE = float("inf")


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _Message(msgspec.Struct):
    role: str
    content: str | list | None = None


class _ChatBody(msgspec.Struct):
    """Hold the fields of a chat request that the node itself evaluates.

    All fields, also the others, are passed to the engine.
    """

    model: str
    messages: list[_Message]
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = None
    n: int | None = 1


async def read_body(raw: web.Request, cfg: HttpSettings) -> bytes:
    """Return the whole body.

    Raise CallerError if it is too large, too slow or malformed.
    """
    length = raw.content_length
    if length is not None and length > cfg.max_body_bytes:
        raise CallerError(code=ResultCode.BODY_TOO_LARGE)
    try:
        async with asyncio.timeout(cfg.body_timeout_s):
            return await raw.read()
    except TimeoutError as exc:
        raise CallerError(code=ResultCode.BODY_TIMEOUT) from exc
    except web.HTTPRequestEntityTooLarge as exc:
        raise CallerError(code=ResultCode.BODY_TOO_LARGE) from exc
    except ValueError as exc:
        raise CallerError("the framing of the body is invalid") from exc


def parse_chat(body: bytes) -> ChatCall:
    """Return the chat call in a request body.

    Raise CallerError if the body isn't valid JSON or a field is invalid; the message
    names the field.
    """
    try:
        fields = msgspec.json.decode(body)
        chat = msgspec.convert(fields, _ChatBody)
    except msgspec.ValidationError as exc:
        raise CallerError(str(exc), code=ResultCode.INVALID_FIELD) from exc
    except msgspec.DecodeError as exc:
        raise CallerError(str(exc), code=ResultCode.MALFORMED_JSON) from exc
    except RecursionError as exc:
        message = "the body is nested too deeply"
        raise CallerError(message, code=ResultCode.MALFORMED_JSON) from exc
    if not chat.messages:
        raise CallerError("messages is empty - at `$.messages`")
    if chat.max_tokens is not None and chat.max_tokens < 1:
        raise CallerError("max_tokens must be at least 1 - at `$.max_tokens`")
    if chat.n not in (None, 1):
        raise CallerError("only one choice is supported - at `$.n`")
    options = chat.stream_options or _StreamOptions()
    return ChatCall(
        chat.model,
        fields,
        prompt_tokens=len(body) // BYTES_PER_TOKEN,
        stream=bool(chat.stream),
        include_usage=options.include_usage,
    )


def parse_request(
    raw: web.Request,
    call: ChatCall | ServiceCall,
    organisation: Organisation,
    snapshot: Snapshot,
    cfg: HttpSettings,
    now: float,
) -> Request:
    """Return a call as a request, with the key, session and deadline of its headers.

    ``now`` is the time of arrival on the node's monotonic clock, in seconds. Raise
    CallerError if a header is invalid.
    """
    headers = raw.headers
    key = _text_header(headers, "Idempotency-Key", cfg.max_key_chars)
    return Request(
        request_id=_request_id(call, organisation, key),
        call=call,
        snapshot=snapshot,
        received_at=now,
        organisation=organisation,
        idempotency_key=key,
        session_id=_text_header(headers, "X-Session-Id", cfg.max_session_chars),
        session_token=_text_header(headers, "X-Session-Token", cfg.max_header_bytes),
        last_event_id=_text_header(headers, "Last-Event-ID", cfg.max_header_bytes),
        deadline_at=_deadline_at(headers, now),
    )


def _request_id(
    call: ChatCall | ServiceCall, organisation: Organisation, key: str
) -> str:
    """Return a new id, or one derived from the idempotency key.

    Repeats of a request under the same key get the same id. For a chat request the
    body must be equal too.
    """
    if not key:
        return uuid.uuid4().hex
    if isinstance(call, ServiceCall):
        return keyed_request_id(organisation.id, key)
    return keyed_request_id(organisation.id, key, msgspec.json.encode(call.fields))


def bearer(raw: web.Request) -> str:
    """Return the key in the Authorization header, or an empty string."""
    value = raw.headers.get("Authorization", "")
    return value[len(BEARER_PREFIX) :] if value.startswith(BEARER_PREFIX) else ""


def _text_header(headers, name: str, max_chars: int) -> str:
    """Return a header's value, empty if absent; raise CallerError if it is invalid."""
    value = headers.get(name, "")
    if len(value) > max_chars or not value.isprintable():
        raise CallerError(
            f"{name} must be printable and at most {max_chars} characters",
            code=ResultCode.INVALID_HEADER,
        )
    return value


def _deadline_at(headers, now: float) -> float:
    """Return the deadline on the node's clock, infinite if the caller set none."""
    value = headers.get("X-Deadline-Ms")
    if value is None:
        return NO_DEADLINE
    if not value.isdecimal() or len(value) > 9 or int(value) == 0:
        raise CallerError(
            "X-Deadline-Ms must be a whole number of milliseconds, 1 to 999999999",
            code=ResultCode.INVALID_HEADER,
        )
    return now + int(value) / MS_PER_S
