"""Relay one streamed answer, and recover it when the connection breaks off."""

from dataclasses import replace

import aiohttp
import msgspec

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import (
    EndpointError,
    KnapweedhingeError,
    OutcomeUnknownError,
)
from knapweedhinge.endpoints import EventChecker, StallWatch, read_chunk
from knapweedhinge.endpoints.sse import SEPARATOR
from knapweedhinge.filters.attempt import engine_call
from knapweedhinge.filters.place import (
    EndpointSlot,
    acquire_engine_slot,
    ensure_slot_may_run,
)
from knapweedhinge.filters.quarantine import check_for_crash, screen_attempt
from knapweedhinge.filters.types import (
    Context,
    EndHook,
    Request,
    Step,
    StreamEnd,
    Write,
)

MAX_RECOVERY_ATTEMPTS = 4  # for one stream


class StreamRelay:
    """Pass an engine's events on to the caller, each exactly once.

    A stream that breaks off is resumed at its engine first. If that fails, another
    engine of the same version continues from the text already passed on.
    """

    def __init__(
        self,
        req: Request,
        ctx: Context,
        slot: EndpointSlot,
        resp: aiohttp.ClientResponse,
        checker: EventChecker,
    ):
        self._req = req
        self._ctx = ctx
        self._slot = slot
        self._resp = resp
        self._checker = checker
        self._text = ""
        self._recovery_attempts = 0
        self._first_event_at: float | None = None

    async def pump(self, write: Write, on_end: tuple[EndHook, ...]) -> None:
        """Write the stream to the caller; run the hooks before its last event.

        Raise OutcomeUnknownError if the stream breaks off and can't be recovered.
        """
        try:
            while not await self._relay_connection(write, on_end):
                await self._recover()
        finally:
            self._resp.close()
            self._slot.close()

    async def _relay_connection(
        self, write: Write, on_end: tuple[EndHook, ...]
    ) -> bool:
        """Relay events until the stream ends or breaks; return whether it ended."""
        watch = StallWatch(self._resp, self._ctx.settings.endpoints.stall_s)
        try:
            await self._relay_events(write, on_end, watch)
        except EndpointError as exc:
            self._ctx.metrics.count("streams_broken", exc.code.name)
            await check_for_crash(self._slot.endpoint, exc, self._ctx)
        finally:
            watch.stop()
        return self._checker.done

    async def _relay_events(
        self, write: Write, on_end: tuple[EndHook, ...], watch: StallWatch
    ) -> None:
        """Relay events until the end; raise EndpointError when the stream breaks."""
        checker, endpoint, resp = self._checker, self._slot.endpoint, self._resp
        while not checker.done:
            chunk = await read_chunk(endpoint, resp)
            if not chunk:
                raise EndpointError(code=ResultCode.STREAM_BROKEN)
            watch.data_received()
            events = checker.feed(chunk)
            if checker.done:
                events, last = split_last(events)
            if events:
                await write(events)
                if self._first_event_at is None:
                    self._first_event_at = self._ctx.clock()
        self._slot.mark_succeeded()
        await self._finish(on_end)
        await write(last)

    async def _finish(self, on_end: tuple[EndHook, ...]) -> None:
        now = self._ctx.clock()
        first_at = self._first_event_at or now
        end = StreamEnd(
            self._req.version.id,
            self._slot.endpoint.id,
            (Step(self._req.version.id, self._checker.usage),),
            first_at - self._req.received_at,
            now - self._req.received_at,
        )
        for hook in on_end:
            await hook(end)

    async def _recover(self) -> None:
        """Replace the broken response by one that continues after the last event.

        Raise OutcomeUnknownError when no attempt succeeds.
        """
        self._resp.close()
        while (
            self._recovery_attempts < MAX_RECOVERY_ATTEMPTS
            and self._ctx.clock() < self._req.deadline_at
        ):
            self._recovery_attempts += 1
            try:
                if self._recovery_attempts == 1 or self._req.resumption is not None:
                    await self._resume()
                else:
                    await self._continue_at_other_engine()
                return
            except EndpointError as exc:
                self._ctx.metrics.count("mends_failed", exc.code.name)
            except KnapweedhingeError as exc:
                raise self._stream_lost_error() from exc
        raise self._stream_lost_error()

    def _stream_lost_error(self) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            f"the stream broke off after event {self._checker.position}",
            code=ResultCode.STREAM_BROKEN,
        )

    async def _resume(self) -> None:
        self._checker.drop_partial()
        self._resp = await self._ctx.engines.resume_stream(
            self._slot.endpoint,
            self._checker.attempt_id,
            self._checker.position,
            self._req.deadline_at - self._ctx.clock(),
        )

    async def _continue_at_other_engine(self) -> None:
        self._slot.close()
        self._text += self._checker.take_text()
        avoid = self._req.avoid | {self._slot.endpoint.id}
        self._req = replace(self._req, avoid=avoid, attempt=self._req.attempt + 1)
        if self._req.fingerprint:
            self._req = await screen_attempt(self._req, self._ctx)
        self._slot = await acquire_engine_slot(self._req, self._ctx)
        ensure_slot_may_run(self._req, self._ctx, self._slot)
        call = engine_call(self._req, self._ctx, self._slot.endpoint.id)
        position = self._checker.position
        call = replace(
            call,
            body=continuation(call.body, self._text, self._checker.tokens),
            first_position=position + 1,
        )
        self._resp = await self._ctx.engines.open_stream(self._slot.endpoint, call)
        self._checker = self._checker.for_attempt(call.attempt_id)


def split_last(events: bytes) -> tuple[bytes, bytes]:
    """Split whole events into those before the last one, and the last one."""
    split_at = events.rfind(SEPARATOR, 0, -len(SEPARATOR))
    if split_at < 0:
        return b"", events
    split_at += len(SEPARATOR)
    return events[:split_at], events[split_at:]


def continuation(body: bytes, text: str, tokens: int) -> bytes:
    """Return a request body that makes an engine continue the answer after ``text``.

    ``tokens`` is how many tokens were generated already; they count against the
    request's ``max_tokens``.
    """
    if not text:
        return body
    fields = msgspec.json.decode(body)
    fields["messages"] = [
        *fields["messages"],
        {"role": "assistant", "content": text},
    ]
    fields["continue_final_message"] = True
    fields["add_generation_prompt"] = False
    if fields.get("max_tokens"):
        fields["max_tokens"] = max(1, fields["max_tokens"] - tokens)
    return msgspec.json.encode(fields)
