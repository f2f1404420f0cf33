"""Splitting of server-sent event streams into events, kept as raw bytes."""

from dataclasses import dataclass

LONGEST_SEPARATOR = b"\r\n\r\n"
MAX_EVENT_BYTES = 1024 * 1024  # of an event that is still incomplete


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with its separator; ``number`` is its numeric id or None."""

    number: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Return whether it has only comment lines, as sent to keep connections up."""
        if self.data[:1] not in (b":", b"\r", b"\n"):
            return False
        return all(line.startswith(b":") for line in self.data.splitlines() if line)


class EventSplitter:
    """Split a stream into events, buffering the bytes that are not split yet.

    ``may_have_more`` tells that events may be left to split off without more data.
    """

    def __init__(self):
        self._rest = bytearray()
        self.may_have_more = False

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event is buffered."""
        return bool(self._rest.strip())

    def feed(self, data: bytes, max_events: int | None = None) -> list[StreamEvent]:
        """Return the events that ``data`` completes, the first ``max_events`` of them.

        Raise ValueError if an incomplete event exceeds MAX_EVENT_BYTES.
        """
        searched = 0
        if not self.may_have_more:
            # The separator may have begun in the bytes received before.
            searched = max(0, len(self._rest) - len(LONGEST_SEPARATOR) + 1)
        if self._rest:
            self._rest += data
            data = self._rest
        events = []
        start = end = 0
        while len(events) != max_events:
            end = _end_of_event(data, max(start, searched))
            if end < 0:
                break
            raw = bytes(data[start:end])
            events.append(StreamEvent(_number(raw), raw))
            start = end
        self.may_have_more = end >= 0 and start < len(data)
        if data is self._rest:
            del self._rest[:start]
        else:
            self._rest += data[start:]
        if len(self._rest) > MAX_EVENT_BYTES and not self.may_have_more:
            raise ValueError("an event is longer than the limit")
        return events


def _end_of_event(data: bytes | bytearray, start: int) -> int:
    """Return the index after the first separator from ``start`` on, -1 without one."""
    unix = data.find(b"\n\n", start)
    dos = data.find(LONGEST_SEPARATOR, start, None if unix < 0 else unix + 2)
    if dos >= 0:
        return dos + len(LONGEST_SEPARATOR)
    return unix + 2 if unix >= 0 else -1


def _number(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
