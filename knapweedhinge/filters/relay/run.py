"""Run a call at endpoints until one answers or nothing more may be tried."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import xxhash

from knapweedhinge.conf.catalog import CallRoute, CallService
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.relay.attempt import Run, open_run
from knapweedhinge.filters.relay.placing import least_crowding_s
from knapweedhinge.filters.relay.types import (
    AnyRelayAnswer,
    RelayAnswer,
    RelayContext,
    RelayRequest,
    RelayStream,
    Story,
)
from knapweedhinge.http1 import EventSplitter, StreamEvent
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.patience import Silence
from knapweedhinge.routing.placement import (
    SERVICE_WORK,
    EngineWork,
    engine_work,
    relative_cost,
)
from knapweedhinge.routing.retry import (
    Attempt,
    RetryRequest,
    Stop,
    decide_retry,
    overall_run_state,
)
from knapweedhinge.routing.sizing import SizeRequest, first_size, larger_size


class FailedAnswerError(EndpointError):
    """An endpoint ran the call and says that it failed; ``answer`` is its word."""

    def __init__(self, answer: RelayAnswer):
        super().__init__(f"status {answer.status}")
        self.answer = answer


class RunRelay:
    """The last stage: send the call, and send it again where that does no harm."""

    def __init__(self, ctx: RelayContext, call_next=None):
        self._ctx = ctx

    async def __call__(self, req: RelayRequest, story: Story) -> AnyRelayAnswer:
        """Return the answer of an endpoint."""
        service = pick_service(req.route, req.call.session or req.call.request_id)
        story.service = service
        req = replace(req, service=service)
        self._ctx.budget.first(service, self._ctx.clock())
        return await RelayRun(self._ctx, req, story).answer()


def pick_service(route: CallRoute, name: str) -> str:
    """Return the service of a call; one name always gets the same."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh3_64_intdigest(name.encode()) / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


class RelayRun:
    """The attempts of one call and what the caller has received so far."""

    def __init__(self, ctx: RelayContext, req: RelayRequest, story: Story):
        self.ctx = ctx
        self.req = req
        self.story = story
        self.size = first_size(req.route.sizes) if req.call.any_model else ""
        self.attempts: tuple[Attempt, ...] = ()
        self.tried: frozenset[str] = frozenset()
        self.runs = 0
        self.last_event = req.call.after_event
        self.sent_bytes = 0

    async def answer(self) -> AnyRelayAnswer:
        """Return the first good answer, or the last one an endpoint gave."""
        while True:
            run: Run | None = None
            try:
                run = await open_run(self)
                if run.head.good and self.req.route.streams:
                    larger = self._larger_size(run)
                    if larger is not None:
                        self._drop_for_larger(run, larger)
                        continue
                    return await self._begin_stream(run)
                return await self._whole(run)
            except EndpointError as exc:
                if run is not None:
                    run.failed(exc)
                try:
                    await self.next_attempt(exc)
                except EndpointError:
                    if isinstance(exc, FailedAnswerError):
                        return exc.answer
                    raise
            except RefusedError as exc:
                raise self._refused(exc) from exc
            except BaseException:
                if run is not None:
                    run.abandoned()
                raise

    async def next_attempt(self, exc: EndpointError) -> None:
        """Return when another attempt may be made, or raise how the call ends."""
        ctx, route = self.ctx, self.req.route
        attempt = Attempt(
            exc.code,
            exc.run_state,
            int(exc.run_state is not RunState.NOT_RUN),
            self.sent_bytes,
            refused=exc.code is ResultCode.ENDPOINT_REFUSED,
        )
        self.attempts += (attempt,)
        if exc.endpoint_id:
            self.tried |= {exc.endpoint_id}
        now = ctx.clock()
        wanted = RetryRequest(
            organisation=self.req.service,
            idempotent=route.may_run_again,
            deadline=self.req.deadline_at,
            attempts=self.attempts,
            resumable=route.resumable and self.last_event is not None,
            most_runs=route.most_runs,
        )
        decided = decide_retry(wanted, ctx.budget.at(now), now, ctx.rng)
        if isinstance(decided, Stop):
            ctx.metrics.count("retries_stopped", decided.reason.name)
            self.story.attempts.append({"stopped": decided.reason.value})
            timed_out = exc.code is ResultCode.ENDPOINT_TIMEOUT
            raise EndpointError(
                exc.message,
                code=exc.code if timed_out else decided.code,
                run_state=decided.run_state,
            ) from exc
        ctx.metrics.count("retries", exc.code.name)
        if decided.delay_s:
            await asyncio.sleep(decided.delay_s)

    def silence(
        self, endpoint: EndpointView, reading_s: float, *, first: bool
    ) -> Silence | None:
        """Return what a wait at an endpoint is judged by, None to wait for ever."""
        route = self.req.route
        if not route.may_run_again or not (first or route.pause_s):
            return None
        left_s = self.req.deadline_at - self.ctx.clock()
        allowed_s = min(route.objective_s, left_s) if first else route.pause_s
        work_s = self.ctx.loads.work_s(endpoint.id)
        return Silence(allowed_s, first, work_s, reading_s=reading_s)

    def may_go_elsewhere(self) -> bool:
        """Return whether a silent endpoint can be given up for another one."""
        if self.sent_bytes and self.last_event is None:
            return False
        if self.runs >= self.req.route.most_runs:
            return False
        return self.ctx.budget.left(self.req.service, self.ctx.clock()) >= 1.0

    @property
    def service(self) -> CallService | None:
        """Return the catalog's entry of the service the call goes to."""
        return self.ctx.fleet.view.catalog.services.get(self.req.service)

    def fresh_tokens(self, endpoint: EndpointView, blocks: tuple[int, ...]) -> int:
        """Return how much of the prompt the endpoint is expected to read."""
        call = self.req.call
        leading = self.ctx.prefixes.leading(endpoint.id, blocks)
        return call.prompt_tokens - sum(one.tokens for one in call.parts[:leading])

    def work(self, endpoint: EndpointView, fresh_tokens: int) -> EngineWork:
        """Return the time the endpoint is expected to be busy with the call."""
        call, service = self.req.call, self.service
        if not call.parts:
            return SERVICE_WORK
        model = self.size or call.model
        costs = service.engine.costs if service and service.engine else {}
        return engine_work(
            self.ctx.speeds.of(service, model).seconds(fresh_tokens),
            call.output_tokens,
            relative_cost(costs, model),
        )

    def _refused(self, exc: RefusedError) -> RefusedError:
        """Return the refusal, true over all attempts."""
        exc.run_state = overall_run_state(self.attempts)
        if exc.run_state is not RunState.NOT_RUN:
            exc.code = self.attempts[-1].code
            if exc.code.value.run_state is RunState.NOT_RUN:
                exc.code = ResultCode.ENDPOINT_FAILED
        return exc

    def _larger_size(self, run: Run) -> str | None:
        if not self.size or self.last_event is not None:
            return None
        route, now = self.req.route, self.ctx.clock()
        speeds, tokens = self.ctx.speeds, self.req.call.prompt_tokens
        wanted = SizeRequest(
            route.sizes,
            elapsed_s=now - self.req.received_at,
            objective_s=route.objective_s,
            runs_left=route.most_runs - self.runs,
            repeats_left=self.ctx.budget.left(self.req.service, now),
            crowding_s=least_crowding_s(self),
            reading_s={
                one: speeds.of(self.service, one).seconds(tokens) for one in route.sizes
            },
        )
        return larger_size(wanted, self.size, run.head.confidence)

    def _drop_for_larger(self, run: Run, larger: str) -> None:
        run.dropped(f"confidence {run.head.confidence}, asking {larger}")
        self.ctx.budget.spend(self.req.service, 1.0, self.ctx.clock())
        self.ctx.metrics.count("escalations", self.req.route.name)
        self.size = larger

    async def _whole(self, run: Run) -> RelayAnswer:
        body = await run.read_all()
        answer = RelayAnswer(run.head.status, run.head.headers, body)
        if run.head.good:
            run.succeeded()
            return answer
        if run.head.status >= 500 and self.req.route.may_run_again:
            raise FailedAnswerError(answer)
        run.ended(bad=run.head.status >= 500)
        return answer

    async def _begin_stream(self, run: Run) -> RelayStream:
        """Return the stream once its first event is whole."""
        splitter = EventSplitter()
        events = await self._next_events(run, splitter)
        self.story.first_s = self.ctx.clock() - self.req.received_at
        first = self._take(events or [])
        stream = self._events(run, splitter, first, ended=events is None)
        return RelayStream(run.head.status, run.head.headers, stream)

    async def _events(
        self, run: Run, splitter: EventSplitter, first: bytes, *, ended: bool
    ) -> AsyncIterator[bytes]:
        """Give the events out, each once, and mend the stream where it breaks."""
        try:
            if first:
                yield first
            while not ended:
                try:
                    events = await self._next_events(run, splitter)
                    ended = events is None
                    data = b"" if ended else self._take(events)
                except EndpointError as exc:
                    run.failed(exc)
                    run, splitter = await self._mend(exc)
                    continue
                if data:
                    yield data
            run.succeeded()
        finally:
            run.abandoned()

    async def _mend(self, exc: EndpointError) -> tuple[Run, EventSplitter]:
        """Return a run at another endpoint that goes on behind the last event."""
        while True:
            await self.next_attempt(exc)
            try:
                run = await open_run(self)
            except EndpointError as failed:
                exc = failed
                continue
            if run.head.good:
                self.ctx.metrics.count("streams_mended", self.req.route.name)
                return run, EventSplitter()
            exc = EndpointError(
                f"status {run.head.status}", endpoint_id=run.endpoint.id
            )
            run.failed(exc)

    async def _next_events(
        self, run: Run, splitter: EventSplitter
    ) -> list[StreamEvent] | None:
        """Return the next whole events, None at the end of a whole stream."""
        while True:
            data = await run.read()
            if not data:
                if splitter.has_partial_event:
                    raise self._broken(run, "the stream ended within an event")
                return None
            try:
                events = splitter.feed(data)
            except ValueError as exc:
                raise self._broken(run, str(exc)) from exc
            if events:
                run.piece()
                return events

    def _take(self, events: list[StreamEvent]) -> bytes:
        """Return the bytes of events that are next in order; drop repeated ones."""
        taken = []
        for event in events:
            if event.number is not None and self.last_event is not None:
                if event.number <= self.last_event:
                    continue
                if event.number > self.last_event + 1:
                    raise EndpointError(
                        f"event {event.number} follows {self.last_event}",
                        code=ResultCode.STREAM_BROKEN,
                    )
            if event.number is not None:
                self.last_event = event.number
            taken.append(event.data)
        data = b"".join(taken)
        self.sent_bytes += len(data)
        self.story.events += len(taken)
        return data

    @staticmethod
    def _broken(run: Run, message: str) -> EndpointError:
        return EndpointError(
            message, code=ResultCode.STREAM_BROKEN, endpoint_id=run.endpoint.id
        )
