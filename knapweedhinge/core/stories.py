"""Tell from a node's log lines what happened to one request.

A line may have other text before its JSON object. Lines that aren't log lines are
passed over.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

ENDED = "call ended"
# News this long before a call began may have decided it: a bound for changes is 2 s.
BEFORE = timedelta(seconds=3)
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
    }
)


@dataclass(frozen=True)
class Line:
    """One log line with its time."""

    at: datetime
    fields: dict[str, Any]


def parse_lines(lines: Iterable[str]) -> list[Line]:
    """Return the log lines among lines of text, in order."""
    found = []
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
            found.append(Line(datetime.fromisoformat(fields["time"]), fields))
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
    return found


def tell(request_id: str, lines: list[Line]) -> str | None:
    """Return the story of a request as text, None if no line ends it."""
    ended = [
        line
        for line in lines
        if line.fields.get("event") == ENDED
        and line.fields.get("request_id") == request_id
    ]
    if not ended:
        return None
    return "\n\n".join(_tell_one(line, lines) for line in ended)


def _tell_one(line: Line, lines: list[Line]) -> str:
    fields = line.fields
    total = timedelta(milliseconds=fields.get("total_ms") or 0)
    began = line.at - total
    head = [
        f"request {fields['request_id']} at {fields.get('vm')}",
        f"  route {fields.get('route') or '-'}, organisation "
        f"{fields.get('organisation') or '-'}, catalog {fields.get('revision')}",
        f"  began {began.isoformat()}, took {fields.get('total_ms')} ms, first piece "
        f"after {_or_none(fields.get('first_ms'))} ms, {fields.get('events')} events",
        f"  ended: {fields.get('outcome')} (code {fields.get('code')})",
        "attempts:",
    ]
    attempts = [_attempt(one) for one in fields.get("attempts", ())] or ["  none"]
    context = [
        f"  {(one.at - began).total_seconds():+8.3f} s  {_news(one.fields)}"
        for one in _context(line, began, lines)
    ]
    return "\n".join([*head, *attempts, "what the node knew:", *(context or ["  -"])])


def _attempt(attempt: dict[str, Any]) -> str:
    if "stopped" in attempt:
        return f"  no further attempt: {attempt['stopped']}"
    model = f" model {attempt['model']}" if attempt.get("model") else ""
    return (
        f"  {attempt['endpoint']} (version {attempt['version']}{model}), "
        f"{attempt['ms']} ms, work there {attempt['work_ms']} ms, first piece after "
        f"{_or_none(attempt['first_ms'])} ms, {attempt['pieces']} pieces: "
        f"{attempt['outcome']}"
    )


def _context(line: Line, began: datetime, lines: list[Line]) -> list[Line]:
    """Return what the same node logged of its beliefs around the call."""
    named = {one.get("endpoint") for one in line.fields.get("attempts", ())} - {None}
    return [
        one
        for one in lines
        if one.fields.get("vm") == line.fields.get("vm")
        and one.fields.get("event") in CONTEXT_EVENTS
        and began - BEFORE <= one.at <= line.at
        and _concerns(one.fields, named)
    ]


def _concerns(fields: dict[str, Any], named: set[str]) -> bool:
    """Return whether a line is about an endpoint of the call, or about no endpoint."""
    if "endpoint" in fields:
        return fields["endpoint"] in named
    news = fields.get("news", "")
    return "Endpoint" not in news or any(one in news for one in named)


def _news(fields: dict[str, Any]) -> str:
    shown = {
        key: value
        for key, value in fields.items()
        if key not in ("time", "level", "event", "vm")
    }
    return f"{fields['event']} {shown}"


def _or_none(value: Any) -> str:
    return "-" if value is None else str(value)
