"""Validate the server-sent event stream of an engine.

Each event is a line ``id: <attempt id>:<position>`` and one ``data:`` line. Positions
increase by one, and the data of the last event is ``[DONE]``. Valid events are passed
on unchanged, so the ``Last-Event-ID`` that a caller sends names the attempt and the
position to resume it from.
"""

from dataclasses import replace

import msgspec

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import EndpointError
from knapweedhinge.endpoints.types import Usage

SEPARATOR = b"\n\n"
DATA_FIELD = b"\ndata: "
END_MARKER = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024  # most bytes kept of an event that hasn't arrived in full


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class EventChecker:
    """Check that a stream belongs to one request and is complete and in order.

    ``position`` is that of the last event passed on. ``tokens`` counts the chunks that
    held text, one token each. ``usage`` is what the engine has reported so far.
    ``done`` says whether the end marker has arrived. ``hide_usage`` keeps the usage
    chunk from the caller.
    """

    def __init__(self, attempt_id: str, position: int = 0, hide_usage: bool = False):
        self.attempt_id = attempt_id
        self.position = position
        self.done = False
        self.usage = Usage()
        self.tokens = 0
        self._prefix = f"id: {attempt_id}:".encode()
        self._hide_usage = hide_usage
        self._usage_hidden = False
        self._incomplete = b""
        self._text_parts: list[str] = []

    def take_text(self) -> str:
        """Return the text generated since the last call."""
        text = "".join(self._text_parts)
        self._text_parts.clear()
        return text

    def drop_partial(self) -> None:
        """Discard an incomplete event whose end was lost with the connection."""
        self._incomplete = b""

    def for_attempt(self, attempt_id: str) -> "EventChecker":
        """Return a checker for another attempt that continues this stream."""
        checker = EventChecker(attempt_id, self.position, self._hide_usage)
        checker.tokens = self.tokens
        return checker

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes, after checking them.

        Raise EndpointError if an event belongs to another request or is out of order.
        Events before it in ``chunk`` are then neither passed on nor counted, so they
        are requested again when the stream is resumed.
        """
        data = self._incomplete + chunk if self._incomplete else chunk
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._keep_incomplete(data)
            return b""
        end += len(SEPARATOR)
        self._keep_incomplete(data[end:])
        events = data[:end].split(SEPARATOR)[:-1]
        visible = self._check_all(events)
        if visible == events:
            return data[:end]
        return b"".join(event + SEPARATOR for event in visible if event)

    def _check_all(self, events: list[bytes]) -> list[bytes]:
        """Return each event as the caller receives it, empty if it is hidden.

        If an event is invalid, undo the effect of those before it and raise
        EndpointError.
        """
        saved = (self.position, self.tokens, self.usage, self.done)
        part_count = len(self._text_parts)
        try:
            return [self._check(event) for event in events]
        except EndpointError:
            self.position, self.tokens, self.usage, self.done = saved
            del self._text_parts[part_count:]
            raise

    def _keep_incomplete(self, incomplete: bytes) -> None:
        if len(incomplete) > MAX_EVENT_BYTES:
            raise EndpointError("an event is too long", code=ResultCode.STREAM_BROKEN)
        self._incomplete = incomplete

    def _check(self, event: bytes) -> bytes:
        """Check one event and return it as the caller receives it, empty if hidden.

        The end marker takes the position of a hidden usage event right before it, so
        that the caller's event ids have no gap. This can't break a resumption, since
        no event follows the end marker.
        """
        if not event.startswith(self._prefix):
            raise EndpointError(
                "an event belongs to another request", code=ResultCode.ANSWER_CROSSED
            )
        data_at = event.find(DATA_FIELD)
        try:
            position = int(event[len(self._prefix) : data_at])
            data = event[data_at + len(DATA_FIELD) :]
            chunk = None if data == END_MARKER else _decode_chunk(data)
        except (ValueError, msgspec.MsgspecError, RecursionError) as exc:
            raise EndpointError(
                "an event is malformed", code=ResultCode.STREAM_BROKEN
            ) from exc
        if self.done or position != self.position + 1:
            raise EndpointError(
                f"event {position} is out of order after event {self.position}",
                code=ResultCode.STREAM_BROKEN,
            )
        self.position = position
        if chunk is not None:
            self._usage_hidden = not self._record_chunk(chunk)
            return b"" if self._usage_hidden else event
        self.done = True
        if self._usage_hidden:
            return b"%s%d%s%s" % (self._prefix, position - 1, DATA_FIELD, END_MARKER)
        return event

    def _record_chunk(self, chunk: _Chunk) -> bool:
        """Record a chunk's text and usage; return whether it is shown to the caller."""
        for choice in chunk.choices:
            if choice.delta.content:
                self._text_parts.append(choice.delta.content)
                self.tokens += 1
            if choice.finish_reason:
                self.usage = replace(self.usage, finish_reason=choice.finish_reason)
        if chunk.usage is None:
            return True
        self.usage = replace(
            self.usage,
            input_tokens=chunk.usage.prompt_tokens,
            output_tokens=chunk.usage.completion_tokens,
        )
        return bool(chunk.choices) or not self._hide_usage
