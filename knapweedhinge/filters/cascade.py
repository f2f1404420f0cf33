"""Run a cascade: a cheap version first, a better one if the answer fails a check."""

from dataclasses import replace

from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.filters.types import (
    Answer,
    AnyAnswer,
    Context,
    EndHook,
    Handler,
    Request,
    Step,
    StreamAnswer,
    StreamEnd,
    Write,
)
from knapweedhinge.routing.cascade import CheapAnswer, CheckVerdict, check_answer


class Cascade:
    """Hold the cheap version's answer back until it has been checked.

    The caller receives either the cheap answer or the better one, never parts of both.
    """

    def __init__(self, ctx: Context, call_next: Handler):
        self._metrics = ctx.metrics
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on once, and again to the better version if needed.

        It is needed if the check of a cascade's cheap answer fails.
        """
        if req.decision is None or not req.decision.plan.is_cascade:
            return await self._next(req)
        cheap = await self._next(req)
        if isinstance(cheap, StreamAnswer):
            cheap = await BufferedStream.read(cheap)
        step = cheap.steps[0]
        verdict = check_answer(
            req.decision.check,
            CheapAnswer(step.usage.finish_reason, step.usage.output_tokens),
        )
        self._metrics.count("cascade_checks", verdict.name)
        if verdict is CheckVerdict.PASSED:
            return cheap.answer() if isinstance(cheap, BufferedStream) else cheap
        better = req.snapshot.configuration.version(req.decision.plan.better)
        try:
            answer = await self._next(replace(req, version=better, avoid=frozenset()))
        except KnapweedhingeError as exc:
            exc.run_state = RunState.UNKNOWN
            raise
        return with_cheap_step(answer, step)


class BufferedStream:
    """A stream that is read to its end before any of it goes to the caller."""

    def __init__(self, source: StreamAnswer):
        self._source = source
        self._events: list[bytes] = []
        self._end: StreamEnd | None = None

    @classmethod
    async def read(cls, source: StreamAnswer) -> "BufferedStream":
        """Read a stream to its end and return it buffered."""
        buffered = cls(source)
        await source.pump(buffered._buffer_event, (buffered._store_end,))
        return buffered

    @property
    def steps(self) -> tuple[Step, ...]:
        """Return the engine runs that the stream took."""
        return self._end.steps

    def answer(self) -> StreamAnswer:
        """Return an answer that writes the buffered events to the caller."""
        return replace(self._source, pump=self._pump)

    async def _buffer_event(self, data: bytes) -> None:
        self._events.append(data)

    async def _store_end(self, end: StreamEnd) -> None:
        self._end = end

    async def _pump(self, write: Write, on_end: tuple[EndHook, ...]) -> None:
        # The caller receives the first token only once the stream is complete.
        for hook in on_end:
            await hook(replace(self._end, first_token_s=self._end.total_s))
        for data in self._events:
            await write(data)


def with_cheap_step(answer: AnyAnswer, cheap_step: Step) -> AnyAnswer:
    """Return the better answer, with the cheap run counted as its first step."""
    if isinstance(answer, Answer):
        return replace(answer, steps=(cheap_step, *answer.steps))

    async def pump(write: Write, on_end: tuple[EndHook, ...]) -> None:
        async def run_hooks(end: StreamEnd) -> None:
            for hook in on_end:
                await hook(replace(end, steps=(cheap_step, *end.steps)))

        await answer.pump(write, (run_hooks,))

    return replace(answer, pump=pump)
