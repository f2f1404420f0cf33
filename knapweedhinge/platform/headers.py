"""Headers of callers and endpoints, decoded into calls and answers."""

from collections.abc import Callable

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

Headers = tuple[tuple[bytes, bytes], ...]
MS_PER_S = 1_000

REQUEST_ID = b"knapweedhinge-request-id"
BUDGET = b"knapweedhinge-deadline-ms"  # time left, not a moment
MODEL = b"knapweedhinge-model"
TOKENS = b"knapweedhinge-token-count"  # prompt tokens, most output tokens
PARTS = b"knapweedhinge-prompt-prefix"
LENGTH = b"knapweedhinge-length-hint"  # output tokens the caller expects
LAST_EVENT = b"last-event-id"
SESSION = b"session"
STAMP = b"knapweedhinge-replica-stamp"  # an endpoint's mark on its own answers
NOT_RUN = b"knapweedhinge-not-executed"
EXPECT = b"knapweedhinge-expect-replica"
ORGANISATION = b"knapweedhinge-tenant"
RANK = b"knapweedhinge-request-priority"
CONFIDENCE = b"knapweedhinge-confidence"
COLD = b"knapweedhinge-cold-ms"
AUTHORIZATION = b"authorization"
BEARER = b"bearer "
ANY_MODEL = "*"

# Headers of one connection, and those that are set anew.
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
# Headers that only the system sets, whatever a caller sent.
OURS = frozenset(
    {
        BUDGET,
        EXPECT,
        ORGANISATION,
        RANK,
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
# Headers a caller can't have dropped by naming them in Connection.
KEPT = frozenset({REQUEST_ID, MODEL, TOKENS, PARTS, b"host"})
ONCE = (REQUEST_ID, BUDGET, b"host", AUTHORIZATION, MODEL, LAST_EVENT)


def call_of(exchange: Exchange) -> RelayCall:
    """Return a caller's request as a call; raise CallerError for bad headers."""
    found: dict[bytes, bytes] = {}
    dropped = HOP_BY_HOP | OURS
    for name, value in exchange.headers:
        key = name.lower()
        if key in found and key in ONCE:
            raise _bad(f"{key.decode('latin-1')} stands twice")
        found.setdefault(key, value)
        if key == b"connection":
            named = {one.strip() for one in value.lower().split(b",")}
            dropped |= named - KEPT
    passed = tuple(
        (name, value) for name, value in exchange.headers if name.lower() not in dropped
    )
    target = exchange.target
    tokens = _numbers(found.get(TOKENS))
    model = _text(found, MODEL)
    return RelayCall(
        request_id=_text(found, REQUEST_ID),
        method=exchange.method,
        target=target,
        host=_host(found),
        path=target.partition(b"?")[0].decode("latin-1"),
        headers=passed,
        body=exchange.body,
        key=_key(found.get(AUTHORIZATION, b"")),
        caller_timeout_s=_budget_s(found.get(BUDGET)),
        any_model=model == ANY_MODEL,
        model=model,
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=_expected_output(found.get(LENGTH), tokens),
        parts=_parts(found.get(PARTS)),
        session=_session(found),
        after_event_number=_event(found.get(LAST_EVENT)),
    )


class Codec:
    """Write calls to endpoints and read the heads of their answers."""

    def encode(self, call: RelayCall, parameters: AttemptParameters) -> bytes:
        """Return the bytes of one attempt; the body goes on as it came."""
        lines = [b"%s %s HTTP/1.1\r\n" % (call.method.encode(), call.target)]
        for name, value in call.headers:
            if parameters.model and name.lower() == MODEL:
                value = parameters.model.encode()
            lines.append(b"%s: %s\r\n" % (name, value))
        left_ms = max(1, int(parameters.remaining_s * MS_PER_S))
        lines.append(b"Knapweedhinge-Deadline-Ms: %d\r\n" % left_ms)
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
        """Return what tells the call's answer from another's.

        An answer without an id can only be a refusal, which :meth:`decode` judges.
        """
        wanted = call.request_id.encode()

        def response_matcher(headers: Headers) -> bool:
            for name, value in headers:
                if name.lower() == REQUEST_ID:
                    return value == wanted
            return True

        return response_matcher

    def decode(self, head: ResponseHead) -> AnswerHead:
        """Return what the head of an answer says."""
        passed, stamp, not_run, echoed = [], False, False, False
        confidence, cold_s = None, 0.0
        for name, value in head.headers:
            key = name.lower()
            if key in HOP_BY_HOP:
                continue
            if key == STAMP:
                stamp = True
            elif key == REQUEST_ID:
                echoed = True
            elif key == NOT_RUN:
                not_run = True
            elif key == CONFIDENCE:
                confidence = int(value) if value.isdigit() else None
            elif key == COLD:
                cold_s = int(value) / MS_PER_S if value.isdigit() else 0.0
            passed.append((name, value))
        verdict = HeadVerdict.ANSWER
        if head.status == 421:
            verdict = HeadVerdict.OTHER_ENDPOINT
        elif not_run:
            verdict = HeadVerdict.NOT_RUN
        elif 200 <= head.status < 300 and not (stamp and echoed):
            verdict = HeadVerdict.INVALID
        return AnswerHead(head.status, tuple(passed), verdict, confidence, cold_s)


def _host(found: dict[bytes, bytes]) -> str:
    host = found.get(b"host", b"").decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    return found.get(name, b"").decode("latin-1").strip()


def _key(value: bytes) -> str:
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _budget_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value)) / MS_PER_S
    except ValueError as exc:
        raise _bad("the deadline is not a number of milliseconds") from exc


def _event(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.strip().isdigit() else None


def _numbers(value: bytes | None) -> list[int]:
    parts = (value or b"").split(b",")
    return [int(one) for one in parts if one.strip().isdigit()]


def _parts(value: bytes | None) -> tuple[PromptPart, ...]:
    parts = []
    for entry in (value or b"").split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _expected_output(hint: bytes | None, tokens: list[int]) -> int:
    """Return the caller's estimate, at most the most tokens it allows."""
    most = tokens[1] if len(tokens) > 1 else 0
    hinted = _numbers(hint)
    return min(hinted[0], most or hinted[0]) if hinted else most


def _session(found: dict[bytes, bytes]) -> str:
    """Return the session a caller names."""
    return _text(found, SESSION)


def _bad(message: str) -> CallerError:
    return CallerError(message, code=ResultCode.INVALID_HEADER)
