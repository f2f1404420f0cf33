"""Conversion of HTTP headers from callers and endpoints into calls and answers."""

import re
import secrets
from collections.abc import Callable

import xxhash

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError
from knapweedhinge.filters.relay import (
    AnswerHead,
    AttemptParameters,
    HeadVerdict,
    PromptPart,
    RelayCall,
)
from knapweedhinge.http1 import Exchange, ResponseHead
from knapweedhinge.routing.load import EndpointView

Headers = tuple[tuple[bytes, bytes], ...]
MS_PER_S = 1_000
DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

REQUEST_ID = b"knapweedhinge-request-id"
NEW_ID_BYTES = 8  # of an id that the node makes for a call
# Remaining time in milliseconds, not a point in time.
DEADLINE = b"knapweedhinge-deadline-ms"
MODEL = b"knapweedhinge-model"
# Number of prompt tokens and largest number of output tokens, separated by a comma.
TOKEN_COUNT = b"knapweedhinge-token-count"
# Parts of the prompt as "name:tokens", separated by commas.
PROMPT_PREFIX = b"knapweedhinge-prompt-prefix"
# Number of output tokens that the caller expects.
LENGTH_HINT = b"knapweedhinge-length-hint"
LAST_EVENT = b"last-event-id"
SESSION = b"session"
MAX_SESSION_CHARS = 64
# The endpoint's id, which it sets on its own answers.
REPLICA_STAMP = b"knapweedhinge-replica-stamp"
NOT_EXECUTED = b"knapweedhinge-not-executed"  # the endpoint has not run the call
# Id of the endpoint that is to answer; any other one at its address refuses with 421.
EXPECT_REPLICA = b"knapweedhinge-expect-replica"
REPLICA_ID = b"knapweedhinge-replica-id"  # in answers to health checks
ORGANISATION = b"knapweedhinge-tenant"
REQUEST_PRIORITY = b"knapweedhinge-request-priority"  # 0 to 9, 0 the highest
CONFIDENCE = b"knapweedhinge-confidence"  # of the model in its answer, 0 to 100
COLD_MS = b"knapweedhinge-cold-ms"  # how long the endpoint remains cold, milliseconds
LEAVING = b"server-leaving"  # "1" in all answers of an endpoint that leaves
RETRY_AFTER = b"retry-after"
MAX_RATING_DIGITS = 3  # of a confidence from 0 to 100
MAX_COLD_DIGITS = 9  # of the milliseconds for which an endpoint says it is cold
MAX_PAUSE_S = 60.0  # longest pause that an endpoint may ask for
AUTHORIZATION = b"authorization"
BEARER = b"bearer "
ANY_MODEL = "*"  # the caller leaves the choice of the model to the node
# Statuses that tell the caller that its call has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The call is not for the endpoint: it expects another one, or a model unknown there.
MISDIRECTED = 421
PAUSE_STATUSES = frozenset({429, 503})  # with Retry-After, the endpoint wants a pause

# Headers that concern one connection only, or that are set anew for each attempt.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers of a caller that are not passed on: the node reads them or sets them anew for
# each attempt, or a caller may not set them.
NOT_PASSED = frozenset(
    {
        DEADLINE,
        EXPECT_REPLICA,
        ORGANISATION,
        REQUEST_PRIORITY,
        AUTHORIZATION,
        LAST_EVENT,
        b"knapweedhinge-expect-version",
        b"knapweedhinge-pin-ms",
        b"knapweedhinge-hold",
        b"knapweedhinge-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
# Headers that are passed on even if a caller names them in Connection.
ALWAYS_PASSED = frozenset({REQUEST_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX, b"host"})
# Headers that a request may contain only once.
SINGLE = (REQUEST_ID, DEADLINE, b"host", AUTHORIZATION, MODEL, LAST_EVENT)


def call_of(exchange: Exchange) -> RelayCall:
    """Convert a caller's request into a call; raise CallerError for invalid headers.

    A call without a request id gets one, since an answer that doesn't name its call
    counts as a fault of the endpoint.
    """
    found: dict[bytes, bytes] = {}
    dropped = HOP_BY_HOP | NOT_PASSED
    for name, value in exchange.headers:
        key = name.lower()
        if key in found and key in SINGLE:
            raise _invalid_header(f"{key.decode('latin-1')} occurs more than once")
        found.setdefault(key, value)
        if key == b"connection":
            named = {option.strip() for option in value.lower().split(b",")}
            dropped |= named - ALWAYS_PASSED
    passed = tuple(
        (name, value) for name, value in exchange.headers if name.lower() not in dropped
    )
    if REQUEST_ID not in found:
        found[REQUEST_ID] = secrets.token_hex(NEW_ID_BYTES).encode()
        passed += ((b"Knapweedhinge-Request-Id", found[REQUEST_ID]),)
    target = exchange.target
    tokens = _integers(found.get(TOKEN_COUNT))
    model = _text(found, MODEL)
    return RelayCall(
        request_id=_text(found, REQUEST_ID),
        method=exchange.method,
        target=target,
        host=_host(found),
        path=target.partition(b"?")[0].decode("latin-1"),
        headers=passed,
        body=exchange.body,
        key=_api_key(found.get(AUTHORIZATION, b"")),
        caller_timeout_s=_remaining_time_s(found.get(DEADLINE)),
        any_model=model == ANY_MODEL,
        model=model,
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=_expected_output(found.get(LENGTH_HINT), tokens),
        parts=_prompt_parts(found.get(PROMPT_PREFIX)),
        session=_session(found),
        after_event_number=_event_number(found.get(LAST_EVENT)),
    )


class EndpointHeaderCodec:
    """Encoder of requests to endpoints and decoder of their response heads."""

    def encode(self, call: RelayCall, parameters: AttemptParameters) -> bytes:
        """Return the request of one attempt as bytes; the body is unchanged."""
        lines = [b"%s %s HTTP/1.1\r\n" % (call.method.encode(), call.target)]
        for name, value in call.headers:
            if parameters.model and name.lower() == MODEL:
                value = parameters.model.encode()
            lines.append(b"%s: %s\r\n" % (name, value))
        remaining_ms = max(1, int(parameters.remaining_s * MS_PER_S))
        lines.append(b"Knapweedhinge-Deadline-Ms: %d\r\n" % remaining_ms)
        expect = parameters.endpoint_id.encode()
        lines.append(b"Knapweedhinge-Expect-Replica: %s\r\n" % expect)
        if parameters.organisation:
            name = parameters.organisation.encode()
            lines.append(b"Knapweedhinge-Tenant: %s\r\n" % name)
        if call.parts:
            rank = min(9, max(0, parameters.rank))
            lines.append(b"Knapweedhinge-Request-Priority: %d\r\n" % rank)
        if parameters.after_event_number is not None:
            lines.append(b"Last-Event-Id: %d\r\n" % parameters.after_event_number)
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(b"Content-Length: %d\r\n" % len(call.body))
        lines.append(b"\r\n")
        lines.append(call.body)
        return b"".join(lines)

    def response_matcher(self, call: RelayCall) -> Callable[[Headers], bool]:
        """Return a function that tells whether headers belong to the call's answer.

        They do if they repeat the call's request id. Headers without an id are accepted
        too, since a refusal may lack one; :meth:`decode` rejects a success without it
        and marks the head as one that doesn't name the call.
        """
        wanted = call.request_id.encode("latin-1")

        def belongs_to_call(headers: Headers) -> bool:
            for name, value in headers:
                if name.lower() == REQUEST_ID:
                    return value == wanted
            return True

        return belongs_to_call

    def decode(self, head: ResponseHead) -> AnswerHead:
        """Convert the head of an endpoint's answer.

        A success without both the endpoint's stamp and the request id is invalid, and
        so is another answer without either: something else may listen at the address.
        A failure whose status promises that the call has not run is unproven unless it
        says so in a header as well.
        """
        passed, stamped, not_run, echoed = [], False, False, False
        confidence, cold_s, leaving, pause_s = None, 0.0, False, 0.0
        for name, value in head.headers:
            key = name.lower()
            if key in HOP_BY_HOP:
                continue
            if key == REPLICA_STAMP:
                stamped = True
            elif key == REQUEST_ID:
                echoed = True
            elif key == NOT_EXECUTED:
                not_run = True
            elif key == CONFIDENCE:
                is_rating = value.isdigit() and len(value) <= MAX_RATING_DIGITS
                confidence = min(100, int(value)) if is_rating else None
            elif key == COLD_MS:
                is_time = value.isdigit() and len(value) <= MAX_COLD_DIGITS
                cold_s = int(value) / MS_PER_S if is_time else 0.0
            elif key == LEAVING:
                leaving = value.strip() == b"1"
            elif key == RETRY_AFTER and head.status in PAUSE_STATUSES:
                pause_s = _pause_s(value)
            passed.append((name, value))
        verdict = HeadVerdict.ANSWER
        if head.status == MISDIRECTED:
            verdict = HeadVerdict.MISDIRECTED
        elif not_run:
            verdict = HeadVerdict.NOT_RUN
        elif 200 <= head.status < 300 and not (stamped and echoed):
            verdict = HeadVerdict.INVALID
        elif head.status in NOT_RUN_STATUSES:
            verdict = HeadVerdict.UNPROVEN
        elif not (stamped or echoed):
            verdict = HeadVerdict.INVALID
        return AnswerHead(
            head.status,
            tuple(passed),
            verdict,
            confidence,
            cold_s,
            names_call=echoed,
            leaving=leaving,
            pause_s=pause_s,
        )


def encode_identity_check(path: str, endpoint: EndpointView) -> bytes:
    """Return a request that only ``endpoint`` itself answers with its id."""
    host = endpoint.url.removeprefix("http://")
    return (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
        f"Knapweedhinge-Expect-Replica: {endpoint.id}\r\n\r\n"
    ).encode()


def names_other_endpoint(head: ResponseHead, endpoint_id: str) -> bool:
    """Return whether the answer to an identity check comes from another endpoint."""
    name = head.get(REPLICA_ID)
    return head.status == MISDIRECTED or name not in (None, endpoint_id.encode())


def _pause_s(value: bytes) -> float:
    """Return the seconds in a Retry-After header, 0 if it holds none."""
    text = value.strip()
    if not DECIMAL.fullmatch(text):
        return 0.0
    return min(MAX_PAUSE_S, float(text))


def _host(found: dict[bytes, bytes]) -> str:
    host = found.get(b"host", b"").decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    return found.get(name, b"").strip().decode("latin-1")


def _api_key(value: bytes) -> str:
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _remaining_time_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value)) / MS_PER_S
    except ValueError as exc:
        raise _invalid_header("the deadline must be a number of milliseconds") from exc


def _event_number(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.strip().isdigit() else None


def _integers(value: bytes | None) -> list[int]:
    parts = (value or b"").split(b",")
    return [int(number) for number in parts if number.strip().isdigit()]


def _prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or b"").split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _expected_output(hint: bytes | None, tokens: list[int]) -> int:
    """Return the output tokens to expect: the caller's hint, limited by its maximum."""
    max_tokens = tokens[1] if len(tokens) > 1 else 0
    hinted = _integers(hint)
    return min(hinted[0], max_tokens or hinted[0]) if hinted else max_tokens


def _session(found: dict[bytes, bytes]) -> str:
    """Return the caller's session, empty without one.

    Sessions are remembered for a while, so that long ones are replaced by a hash.
    """
    session = _text(found, SESSION)
    if len(session) <= MAX_SESSION_CHARS:
        return session
    return xxhash.xxh3_128_hexdigest(session.encode())


def _invalid_header(message: str) -> CallerError:
    return CallerError(message, code=ResultCode.INVALID_HEADER)
