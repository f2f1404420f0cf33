"""Send a call to endpoints, one after another, until one of them answers.

An attempt that failed is followed by another one as long as the retry rules, the retry
budget and the deadline allow it. A broken stream is resumed at another endpoint.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import xxhash

from knapweedhinge.conf.catalog import CallRoute, CallService
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.relay.attempt import (
    FailedAnswerError,
    RelayAttempt,
    open_attempt,
)
from knapweedhinge.filters.relay.escalate import escalate, larger_model
from knapweedhinge.filters.relay.screen import shared_parts
from knapweedhinge.filters.relay.types import (
    AnyRelayAnswer,
    CallTrace,
    RelayAnswer,
    RelayContext,
    RelayRequest,
    RelayStream,
)
from knapweedhinge.http1 import AnswerBrokenError, EventSplitter, StreamEvent
from knapweedhinge.routing.load import EndpointView
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
from knapweedhinge.routing.silence import Silence
from knapweedhinge.routing.sizing import first_size

# Bytes of comments and repeated events that an endpoint may send before its next new
# event. It may repeat all events that the caller has, when it resumes a stream.
MAX_STALE_BYTES = 64 * 1024
# Events of a stream that are processed before other calls have their turn.
MAX_EVENTS_PER_TURN = 100


class RunRelay:
    """The last stage of the chain: send the call to endpoints, with retries."""

    def __init__(self, ctx: RelayContext, call_next=None):
        self._ctx = ctx

    async def __call__(self, req: RelayRequest, trace: CallTrace) -> AnyRelayAnswer:
        """Pick the call's service and return the answer of one of its endpoints.

        Raise EndpointError or RefusedError when no attempt gave an answer.
        """
        call = req.call
        service = pick_service(req.route, call.session or call.request_id)
        trace.service = service
        req = replace(req, service=service)
        req = replace(req, shared_parts=shared_parts(req))
        self._ctx.budget.record_first_send(service, self._ctx.clock())
        in_trial = await self._ctx.trials.joins(service, call.session, call.request_id)
        return await CallExecution(self._ctx, req, trace, in_trial).answer()


def pick_service(route: CallRoute, affinity_key: str) -> str:
    """Return one of the route's target services, in proportion to their weights.

    The choice depends on a hash of ``affinity_key``, so all calls of a session get the
    same service.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    point = xxhash.xxh3_64_intdigest(affinity_key.encode()) / 2**64 * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service


class CallExecution:
    """The state of one call over all its attempts.

    ``in_trial`` says whether the call goes to a release on trial, decided once so that
    all attempts agree. ``chosen_model`` is the model asked now, empty unless the node
    chooses the model. ``attempts`` holds the failed attempts and ``tried`` the ids of
    their endpoints; ``runs`` counts the attempts that may have run, ``dropped_runs``
    those of them whose answers were dropped to ask a larger model.
    ``first_confidence`` is that of the answer dropped last, until the next one came.
    ``crash_suspect`` is the endpoint of the last attempt if the call may crash it.
    ``last_event_number`` and ``sent_bytes`` say how much of a stream the caller has
    already received, ``new_bytes`` how much of that were events. ``stale_bytes`` counts
    what the present endpoint sent since its last new event.

    Whether the call may run another time is answered by ``runs_left`` only.
    """

    def __init__(
        self, ctx: RelayContext, req: RelayRequest, trace: CallTrace, in_trial: bool
    ):
        self.ctx = ctx
        self.req = req
        self.trace = trace
        self.in_trial = in_trial
        self._newest_catalog = req.view.catalog
        self._newest_route = req.route
        self.chosen_model = first_size(req.route.sizes) if req.call.any_model else ""
        self.attempts: tuple[Attempt, ...] = ()
        self.tried: frozenset[str] = frozenset()
        self.runs = 0
        self.dropped_runs = 0
        self.first_confidence: int | None = None
        self.crash_suspect: EndpointView | None = None
        self.last_event_number = req.call.after_event_number
        self.sent_bytes = 0
        self.new_bytes = 0
        self.stale_bytes = 0

    async def answer(self) -> AnyRelayAnswer:
        """Return the first successful answer, or the last error that an endpoint gave.

        Raise EndpointError or RefusedError when no endpoint gave an answer.
        """
        while True:
            attempt: RelayAttempt | None = None
            try:
                attempt = await open_attempt(self)
                if attempt.head.good and self.req.route.streams:
                    larger = larger_model(self, attempt)
                    if larger is not None:
                        escalate(self, attempt, larger)
                        continue
                    return await self._open_stream(attempt)
                return await self._read_answer(attempt)
            except EndpointError as exc:
                if attempt is not None:
                    attempt.failed(exc)
                try:
                    await self.prepare_next_attempt(exc)
                except EndpointError:
                    if isinstance(exc, FailedAnswerError):
                        return exc.answer
                    raise
            except RefusedError as exc:
                raise self._with_run_state(exc) from exc
            except BaseException:
                if attempt is not None:
                    attempt.abandoned()
                raise

    async def prepare_next_attempt(self, exc: EndpointError) -> None:
        """Record a failed attempt, and wait until the next one may start.

        If its endpoint crashed, the call may be quarantined before it is sent again.
        Raise EndpointError when no further attempt may be made. It carries the result
        code and run state of the whole call.
        """
        ctx, route = self.ctx, self.req.route
        attempt = Attempt(
            exc.code,
            exc.run_state,
            int(exc.run_state is not RunState.NOT_RUN),  # bytes sent: 0, or 1 for any
            self.sent_bytes,
            refused=exc.code is ResultCode.ENDPOINT_REFUSED,
        )
        self.attempts += (attempt,)
        if exc.endpoint_id:
            self.tried |= {exc.endpoint_id}
        if self.crash_suspect is not None:
            endpoint, self.crash_suspect = self.crash_suspect, None
            # A silent endpoint may be out of reach, and the call has waited enough.
            wait = exc.code is not ResultCode.ENDPOINT_TIMEOUT
            await ctx.check_crash(endpoint, wait=wait)
        now = ctx.clock()
        retry_request = RetryRequest(
            organisation=self.req.service,  # the retry budget is kept by service
            idempotent=self.may_run_again,
            deadline=self.req.deadline_at,
            attempts=self.attempts,
            resumable=route.resumable and self.last_event_number is not None,
            most_runs=self.most_runs,
            dropped_runs=self.dropped_runs,
        )
        lent = ctx.budget.lent
        decision = decide_retry(retry_request, ctx.budget.at(now), now, ctx.rng)
        if ctx.budget.lent > lent:
            ctx.metrics.count("retries_lent", self.req.service)
            self.trace.attempts.append(
                {"retried": "a retry that other nodes left unused"}
            )
        if isinstance(decision, Stop):
            ctx.metrics.count("retries_stopped", decision.reason.name)
            self.trace.attempts.append({"stopped": decision.reason.value})
            timed_out = exc.code is ResultCode.ENDPOINT_TIMEOUT
            raise EndpointError(
                exc.message,
                code=exc.code if timed_out else decision.code,
                run_state=decision.run_state,
            ) from exc
        ctx.metrics.count("retries", exc.code.name)
        if decision.delay_s:
            await asyncio.sleep(decision.delay_s)

    def wait_limits(
        self, endpoint: EndpointView, prefill_s: float, *, first: bool
    ) -> Silence | None:
        """Return what limits the wait for the next piece of the answer.

        ``first`` says that no piece has arrived yet, ``prefill_s`` is the expected
        prefill time in seconds. None means that only the deadline limits the wait.
        """
        route = self.req.route
        if not self.may_run_again or not (first or route.pause_s):
            return None
        remaining_s = self.req.deadline_at - self.ctx.clock()
        allowed_s = min(route.objective_s, remaining_s) if first else route.pause_s
        work_s = self.ctx.loads.work_s(endpoint.id)
        return Silence(allowed_s, first, work_s, prefill_s=prefill_s)

    def can_fail_over(self) -> bool:
        """Return whether the call could still be repeated at another endpoint."""
        if self.sent_bytes and self.last_event_number is None:
            return False
        if self.runs_left < 1:
            return False
        return self.ctx.budget.left(self.req.service, self.ctx.clock()) >= 1.0

    @property
    def may_run_again(self) -> bool:
        """Return whether it is safe to run the call a second time.

        Both the route that admitted it and the one that it has now must allow that.
        """
        return self.req.route.may_run_again and self._route_now().may_run_again

    @property
    def most_runs(self) -> int:
        """Return how many endpoints may run the call.

        One if another run isn't safe, or if it runs to test whether it still crashes
        them: the endpoint may crash only some time after the call seems to have ended
        there.
        """
        if self.req.tested_strikes or not self.may_run_again:
            return 1
        return min(self.req.route.most_runs, self._route_now().most_runs)

    @property
    def runs_left(self) -> int:
        """Return how many more endpoints may run the call."""
        return max(0, self.most_runs - self.runs)

    def ensure_run_left(self) -> None:
        """Raise RefusedError if the call may have run as often as it may.

        Every attempt asks this right before it is sent, for whatever reason it is made:
        the route may have changed since that was decided.
        """
        if self.runs_left < 1:
            raise RefusedError("no further run allowed", code=ResultCode.NO_ENDPOINT)

    def _route_now(self) -> CallRoute:
        """Return the call's route in the newest catalog, its own if there is none."""
        catalog = self.ctx.fleet.view.catalog
        if catalog is not self._newest_catalog:
            call = self.req.call
            self._newest_catalog = catalog
            self._newest_route = catalog.route(call.host, call.path) or self.req.route
        return self._newest_route

    @property
    def service(self) -> CallService | None:
        """Return the catalog entry of the call's service, None if there is none."""
        return self.ctx.fleet.view.catalog.services.get(self.req.service)

    def uncached_tokens(self, endpoint: EndpointView, blocks: tuple[int, ...]) -> int:
        """Return the prompt tokens that are not expected in the endpoint's KV cache.

        ``blocks`` are the chained hashes of the prompt's parts.
        """
        call = self.req.call
        cached_block_count = self.ctx.prefixes.cached_block_count(endpoint.id, blocks)
        return call.prompt_tokens - sum(
            part.tokens for part in call.parts[:cached_block_count]
        )

    def work(self, endpoint: EndpointView, uncached_tokens: int) -> EngineWork:
        """Return how long the call is expected to keep the endpoint busy."""
        call, service = self.req.call, self.service
        if not call.parts:
            return SERVICE_WORK
        model = self.chosen_model or call.model
        costs = service.engine.costs if service and service.engine else {}
        return engine_work(
            self.ctx.speeds.of(service, model).seconds(uncached_tokens),
            call.output_tokens,
            relative_cost(costs, model),
        )

    def decode_s(self) -> float:
        """Return how long an engine is expected to be busy with the output, in seconds.

        0 for calls without a prompt.
        """
        call, service = self.req.call, self.service
        if not call.parts or service is None or service.engine is None:
            return 0.0
        cost = relative_cost(service.engine.costs, self.chosen_model or call.model)
        return engine_work(0.0, call.output_tokens, cost).decode_s

    def _with_run_state(self, exc: RefusedError) -> RefusedError:
        """Make a refusal say "not run" only if that holds for every attempt.

        If an attempt may have run, the refusal takes the code of the last attempt. A
        code that itself means "not run" is replaced by ENDPOINT_FAILED.
        """
        exc.run_state = overall_run_state(self.attempts, self.dropped_runs)
        if exc.run_state is not RunState.NOT_RUN:
            if self.attempts:
                exc.code = self.attempts[-1].code
            if exc.code.value.run_state is RunState.NOT_RUN:
                exc.code = ResultCode.ENDPOINT_FAILED
        return exc

    async def _read_answer(self, attempt: RelayAttempt) -> RelayAnswer:
        """Read the whole answer; raise FailedAnswerError if it may be retried."""
        body = await attempt.read_all()
        answer = RelayAnswer(attempt.head.status, attempt.head.headers, body)
        if attempt.head.good:
            attempt.succeeded()
            return answer
        if attempt.head.status >= 500 and self.may_run_again:
            raise FailedAnswerError(answer)
        attempt.error_answered(server_error=attempt.head.status >= 500)
        return answer

    async def _open_stream(self, attempt: RelayAttempt) -> RelayStream:
        """Return the stream once its first event has arrived in full.

        Until then nothing has gone to the caller, so a failure is still retried.
        """
        splitter, first, ended = EventSplitter(), b"", False
        self.stale_bytes = 0
        while not ended and attempt.is_empty:
            events = await self._next_events(attempt, splitter)
            ended = events is None
            first += self._accept_events(attempt, events or [])
        self.trace.first_event_s = self.ctx.clock() - self.req.received_at
        self.sent_bytes += len(first)
        stream = self._stream_events(attempt, splitter, first, ended=ended)
        return RelayStream(attempt.head.status, attempt.head.headers, stream)

    async def _stream_events(
        self,
        attempt: RelayAttempt,
        splitter: EventSplitter,
        first: bytes,
        *,
        ended: bool,
    ) -> AsyncIterator[bytes]:
        """Yield each event once; resume the stream elsewhere when it breaks off.

        ``first`` is the data of the events read so far; ``ended`` says that no more
        follow.
        """
        try:
            if first:
                yield first
            while not ended:
                try:
                    events = await self._next_events(attempt, splitter)
                    ended = events is None
                    data = b"" if ended else self._accept_events(attempt, events)
                    self.sent_bytes += len(data)
                except EndpointError as exc:
                    attempt.failed(exc)
                    attempt, splitter = await self._resume_stream(exc)
                    continue
                if data:
                    yield data
            attempt.succeeded()
        finally:
            attempt.abandoned()

    async def _resume_stream(
        self, exc: EndpointError
    ) -> tuple[RelayAttempt, EventSplitter]:
        """Return an attempt at another endpoint that resumes after the last event.

        Raise EndpointError when no further attempt may be made.
        """
        while True:
            await self.prepare_next_attempt(exc)
            try:
                attempt = await open_attempt(self)
            except EndpointError as failed:
                exc = failed
                continue
            if attempt.head.good:
                self.stale_bytes = 0
                self.ctx.metrics.count("streams_mended", self.req.route.name)
                return attempt, EventSplitter()
            exc = EndpointError(
                f"status {attempt.head.status}", endpoint_id=attempt.endpoint.id
            )
            attempt.failed(exc)

    async def _next_events(
        self, attempt: RelayAttempt, splitter: EventSplitter
    ) -> list[StreamEvent] | None:
        """Return the next complete events, None at the end of a complete stream.

        Raise EndpointError when the stream is malformed, or ends within an event or,
        unless its framing says that it is complete, before the first one.
        """
        while True:
            if splitter.may_have_more:
                data = b""
                await asyncio.sleep(0)
            else:
                data = await attempt.read()
            if not data and not splitter.may_have_more:
                if splitter.has_partial_event:
                    raise self._stream_cut(
                        attempt, "the stream ended in the middle of an event"
                    )
                if attempt.is_empty and attempt.may_be_cut:
                    raise self._stream_cut(
                        attempt, "the stream ended before its first event"
                    )
                return None
            try:
                events = splitter.feed(data, MAX_EVENTS_PER_TURN)
            except ValueError as exc:
                raise self._stream_broken(attempt, str(exc)) from exc
            if events:
                new = sum(not event.is_comment for event in events)
                if new:
                    attempt.piece_arrived(new)
                return events

    def _accept_events(self, attempt: RelayAttempt, events: list[StreamEvent]) -> bytes:
        """Return the bytes of the new events, without those the caller already has.

        Raise EndpointError when an event number is missing in between, or an event has
        none after others had: an endpoint that can't go on may send an error's text.
        """
        accepted, last = [], self.last_event_number
        for event in events:
            if event.is_comment:
                accepted.append(event)
                continue
            if last is not None:
                if event.number is None:
                    raise self._stream_broken(attempt, f"no number after event {last}")
                if event.number <= last:
                    continue
                if event.number > last + 1:
                    raise self._stream_broken(
                        attempt, f"event {event.number} follows event {last}"
                    )
            if event.number is not None:
                last = event.number
            accepted.append(event)
        new_bytes = sum(len(e.data) for e in accepted if not e.is_comment)
        if new_bytes:
            self.new_bytes += new_bytes
            self.stale_bytes = 0
            attempt.progressed()
        else:
            self.stale_bytes += sum(len(event.data) for event in events)
        if self.stale_bytes > MAX_STALE_BYTES + self.new_bytes:
            raise self._stream_broken(
                attempt, f"no new event in {self.stale_bytes} bytes"
            )
        # Only now, since an error drops all of these events: they are requested again.
        self.last_event_number = last
        data = b"".join(event.data for event in accepted)
        self.trace.events += len(accepted)
        return data

    @staticmethod
    def _stream_cut(attempt: RelayAttempt, message: str) -> AnswerBrokenError:
        """Return the error of a stream that ended too soon, as it does in a crash."""
        return AnswerBrokenError(
            message, code=ResultCode.STREAM_BROKEN, endpoint_id=attempt.endpoint.id
        )

    @staticmethod
    def _stream_broken(attempt: RelayAttempt, message: str) -> EndpointError:
        return EndpointError(
            message, code=ResultCode.STREAM_BROKEN, endpoint_id=attempt.endpoint.id
        )
