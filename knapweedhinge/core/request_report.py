"""Reconstruct from the log lines of nodes what happened to one request.

A line may have other text before its JSON object. Lines that aren't log lines are
skipped.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

CALL_ENDED_EVENT = "call ended"
# Events up to this long before a call began may explain its routing: on the platform a
# change must take effect within 2 s.
CONTEXT_BEFORE = timedelta(seconds=3)
# Log events that report a change of the node's own state, or of its view of endpoints,
# peers, the store and settings.
CONTEXT_EVENTS = frozenset(
    {
        "starting",
        "serving",
        "stopping",
        "stopped",
        "catalog in force",
        "fleet changed",
        "members changed",
        "dependency lost",
        "dependency regained",
        "endpoint paused",
        "endpoint answers again",
        "endpoint crashed under calls",
        "endpoint unreachable",
        "roll-out stage recorded",
        "share of calls that leave the failure domain changed",
        "room is no longer short",
        "room is short",
    }
)


@dataclass(frozen=True)
class LogLine:
    """Hold the fields of one log line and its parsed time."""

    at: datetime
    fields: dict[str, Any]


def parse_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines found in lines of text, in order; skip other lines."""
    found = []
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
            found.append(LogLine(datetime.fromisoformat(fields["time"]), fields))
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
    return found


def explain_request(request_id: str, lines: list[LogLine]) -> str | None:
    """Return a report of a request as text, None if no line logs its end.

    The report has one section for each "call ended" line with this request id.
    """
    ended = [
        line
        for line in lines
        if line.fields.get("event") == CALL_ENDED_EVENT
        and line.fields.get("request_id") == request_id
    ]
    if not ended:
        return None
    return "\n\n".join(_explain_call(call_end, lines) for call_end in ended)


def _explain_call(call_end: LogLine, lines: list[LogLine]) -> str:
    fields = call_end.fields
    domain = [f"  failure domain: {fields['domain']}"] if "domain" in fields else []
    total = timedelta(milliseconds=fields.get("total_ms") or 0)
    began = call_end.at - total
    head = [
        f"request {fields['request_id']} at {fields.get('vm')}",
        f"  route {fields.get('route') or '-'}, organisation "
        f"{fields.get('organisation') or '-'}, catalog {fields.get('revision')}"
        + (f" of era {fields['era']}" if "era" in fields else ""),
        f"  began {began.isoformat()}, took {fields.get('total_ms')} ms, first piece "
        f"after {_or_dash(fields.get('first_ms'))} ms, {fields.get('events')} events",
        f"  ended: {fields.get('outcome')} (code {fields.get('code')})",
        *domain,
        *_share(fields.get("share")),
        *_second_ask(fields.get("second_ask")),
        "attempts:",
    ]
    attempts = [_attempt(attempt) for attempt in fields.get("attempts", ())] or [
        "  none"
    ]
    context = [
        f"  {(event.at - began).total_seconds():+8.3f} s  {_event_text(event.fields)}"
        for event in _context(call_end, began, lines)
    ]
    return "\n".join(
        [*head, *attempts, "node events around the call:", *(context or ["  -"])]
    )


def _share(share: dict[str, Any] | None) -> list[str]:
    """Return a line that says why the call might start or not, if that was decided."""
    if not share:
        return []
    return [
        f"  share of its organisation's calls that may start: {share['part']}, decided "
        f"by: {share['cause']}"
    ]


def _second_ask(ask: dict[str, Any] | None) -> list[str]:
    """Return a line that says why a doubtful answer was kept or replaced, if it was."""
    if not ask:
        return []
    return [
        f"  second answer: {ask['reason']}, gain {ask['gain']}, taken from others "
        f"{ask['loss']}, expected wait {ask['wait_ms']} ms"
    ]


def _attempt(attempt: dict[str, Any]) -> str:
    if "stopped" in attempt:
        return f"  no further attempt: {attempt['stopped']}"
    if "retried" in attempt:
        return f"  retried by {attempt['retried']}"
    model = f" model {attempt['model']}" if attempt.get("model") else ""
    return (
        f"  {attempt['endpoint']} (version {attempt['version']}{model}), "
        f"{attempt['ms']} ms, work there {attempt['work_ms']} ms, first piece after "
        f"{_or_dash(attempt['first_ms'])} ms, {attempt['pieces']} pieces"
        f"{_engine(attempt)}: {attempt['outcome']}"
    )


def _engine(attempt: dict) -> str:
    """Return what was known of the attempt's engine, empty if nothing."""
    text = ""
    if "held_tokens" in attempt:
        text += f", {attempt['held_tokens']} tokens held there"
    if "speed" in attempt:
        text += f", speed {attempt['speed']}"
    if "failed_share" in attempt:
        text += (
            f", share of the fleet's calls that failed there {attempt['failed_share']}"
        )
    if "confidence" in attempt:
        text += f", confidence {attempt['confidence']}"
    return text


def _context(call_end: LogLine, began: datetime, lines: list[LogLine]) -> list[LogLine]:
    """Return the context events that the same node logged before and during a call."""
    attempted = {
        attempt.get("endpoint") for attempt in call_end.fields.get("attempts", ())
    } - {None}
    return [
        event
        for event in lines
        if event.fields.get("vm") == call_end.fields.get("vm")
        and event.fields.get("event") in CONTEXT_EVENTS
        and began - CONTEXT_BEFORE <= event.at <= call_end.at
        and _is_relevant(event.fields, attempted)
    ]


def _is_relevant(fields: dict[str, Any], attempted: set[str]) -> bool:
    """Return whether a line is about an endpoint of the call, or about no endpoint.

    The field ``news`` is the text of an event object, for example
    ``EndpointGone(endpoint_id='e-1')``.
    """
    if "endpoint" in fields:
        return fields["endpoint"] in attempted
    news = fields.get("news", "")
    return "Endpoint" not in news or any(endpoint in news for endpoint in attempted)


def _event_text(fields: dict[str, Any]) -> str:
    shown = {
        key: value
        for key, value in fields.items()
        if key not in ("time", "level", "event", "vm")
    }
    return f"{fields['event']} {shown}"


def _or_dash(value: Any) -> str:
    return "-" if value is None else str(value)
