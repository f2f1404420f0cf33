"""One attempt of a call at one endpoint.

An attempt takes a connection, sends the request, reads the answer and reports how it
ended to the trackers of endpoint health, load, releases and quarantine.
"""

from dataclasses import replace
from typing import TYPE_CHECKING

from knapweedhinge.controllers.domainload import CallEnd
from knapweedhinge.controllers.fleet import EndpointLeaving
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.relay.admit import recheck_admission
from knapweedhinge.filters.relay.engineuse import EngineUse
from knapweedhinge.filters.relay.evidence import AttemptExpectation, AttemptObservation
from knapweedhinge.filters.relay.placing import prompt_block_hashes, select_endpoint
from knapweedhinge.filters.relay.screen import hold_suspect, refuse_quarantined
from knapweedhinge.filters.relay.types import (
    AnswerHead,
    AttemptParameters,
    HeadVerdict,
    RelayAnswer,
)
from knapweedhinge.http1 import ConnectFailedError, PoolFullError
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.placement import version_of
from knapweedhinge.routing.releases import may_use
from knapweedhinge.routing.silence import silence_timeout_s

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import CallExecution

# Connections of all nodes to one endpoint of a service without a catalog entry.
DEFAULT_MAX_CONNECTIONS = 64
FULL_STATUSES = frozenset({429, 503})  # an endpoint refuses a call for lack of room
MAX_ANSWER_BYTES = 16 * 1024 * 1024  # of an answer that is read into memory whole


class MisdirectedError(EndpointError):
    """An endpoint refused a call as meant for another endpoint or model."""


class FailedAnswerError(EndpointError):
    """An endpoint ran the call and answered with a server error.

    ``answer`` is that response. The caller receives it when no retry is possible.
    """

    def __init__(self, answer: RelayAnswer):
        super().__init__(f"status {answer.status}")
        self.answer = answer


class RelayAttempt:
    """A call sent to one endpoint.

    ``sent`` says whether the request was written to the connection; ``head`` is set
    once the status and headers of the answer have been read.

    One of ``succeeded``, ``error_answered``, ``failed``, ``superseded`` and
    ``abandoned`` ends it and gives its resources back. Only the first call to any of
    them takes effect.
    """

    def __init__(
        self,
        execution: "CallExecution",
        endpoint: EndpointView,
        blocks: tuple[int, ...],
    ):
        self.endpoint = endpoint
        self.head: AnswerHead | None = None
        self._execution = execution
        self._ctx = execution.ctx
        self._blocks = blocks
        self._channel = None
        self._pool = None
        self._open = True
        self._started_at = self._ctx.clock()
        self.sent = False
        self._in_flight = False
        self._parts_cleared = False
        self._chosen_model = execution.chosen_model
        self._version = version_of(endpoint)
        self._uncached_tokens = execution.uncached_tokens(endpoint, blocks)
        work = execution.work(endpoint, self._uncached_tokens)
        self._prefill_s, self._work_s = work.prefill_s, work.total_s
        self._progress_at = self._started_at
        self._observation = AttemptObservation(execution, endpoint, self._started_at)
        self._answer_bytes = 0
        self._engine_use = EngineUse(
            execution,
            endpoint,
            blocks,
            self._uncached_tokens,
            self._ctx.loads.work_s(endpoint.id),
            self._started_at,
        )
        self._ctx.loads.began(endpoint.id, self._work_s)
        if self._ctx.domains is not None:
            self._ctx.domains.began(
                execution.req.service,
                self._work_s,
                execution.req.call.prompt_tokens - self._uncached_tokens,
                self._started_at,
            )
        self._ctx.releases.began(execution.req.service, self._version)
        self._ctx.sessions.began(
            execution.req.service,
            execution.req.call.session,
            self._version,
            self._started_at,
        )

    @property
    def expectation(self) -> AttemptExpectation:
        """Return what was expected of the attempt when it began."""
        return AttemptExpectation(
            self._started_at,
            self._observation.found_work_s,
            self._work_s - self._prefill_s,
        )

    async def send(self) -> None:
        """Send the call and read the status and headers of its answer.

        Raise EndpointError or RefusedError when there is no usable answer.
        """
        ctx, execution, req = self._ctx, self._execution, self._execution.req
        service = ctx.fleet.view.catalog.services.get(req.service)
        max_connections = (
            service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        )
        self._pool = ctx.pools.get(self.endpoint, max_connections, ctx.fleet.nodes)
        now = ctx.clock()
        self._channel = await self._pool.acquire(
            now, unrepeatable=not execution.may_run_again
        )
        now = ctx.clock()
        self._recheck(now)
        execution.ensure_run_left()
        req = execution.req
        if not ctx.fleet.admit_cold(self.endpoint.id, now):
            raise self._not_run_error("the endpoint is cold", ResultCode.NO_ENDPOINT)
        self._channel.set_deadline(req.deadline_at)
        parameters = AttemptParameters(
            endpoint_id=self.endpoint.id,
            organisation=req.organisation.name if req.organisation else "",
            remaining_s=req.deadline_at - now,
            model=self._chosen_model,
            rank=req.rank,
            after_event_number=execution.last_event_number,
        )
        self.sent = execution.trace.sent = True
        ctx.quarantine.started(self.endpoint, req.fingerprint)
        self._in_flight = True
        execution.runs += 1
        self._channel.send(
            ctx.codec.encode(req.call, parameters),
            ctx.codec.response_matcher(req.call),
            head_only=req.call.method == "HEAD",
        )
        if self._blocks:
            ctx.prefixes.dispatched(self.endpoint.id, self._blocks)
        self._progress_at = ctx.clock()
        await self._wait_for_data(head=True)
        self.head = ctx.codec.decode(await self._channel.head())
        self._progress_at = ctx.clock()
        if not self.head.names_call:
            # A second copy of this answer could not be told from the answer to the
            # next call on the connection.
            self._channel.reusable = False
        self._check_head()

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Raise EndpointError when the endpoint makes no progress for too long and the
        call may be repeated elsewhere, otherwise only at the call's deadline or when
        the connection breaks off.
        """
        self._engine_use.reading(self._ctx.clock())
        await self._wait_for_data()
        data = await self._channel.read()
        self._answer_bytes += len(data)
        return data

    async def read_all(self) -> bytes:
        """Return the whole body.

        Raise EndpointError above ``MAX_ANSWER_BYTES``, or if the memory for answers is
        used up.
        """
        memory, chunks, size = self._ctx.answer_memory, [], 0
        try:
            while data := await self._channel.read():
                if size + len(data) > MAX_ANSWER_BYTES or not memory.grow(
                    size, len(data)
                ):
                    raise EndpointError(
                        f"the body is too long after {size} bytes",
                        code=ResultCode.ANSWER_TRUNCATED,
                    )
                chunks.append(data)
                size += len(data)
        finally:
            memory.release(size)
        self._answer_bytes += size
        self.piece_arrived()
        return b"".join(chunks)

    @property
    def is_empty(self) -> bool:
        """Return whether no piece of the body has arrived."""
        return not self._observation.pieces

    @property
    def may_be_cut(self) -> bool:
        """Return whether an answer that was cut looks like a complete one.

        Its head announced a body that ends with the connection.
        """
        is_head_only = self._execution.req.call.method == "HEAD"
        return self._channel.ends_with_connection and not is_head_only

    def piece_arrived(self, events: int = 1) -> None:
        """Record that a piece with so many events of the answer arrived.

        The first piece ends the prefill, so its time is no longer counted as work at
        the endpoint.
        """
        now = self._ctx.clock()
        self._observation.piece_arrived(now)
        if self.head.good:
            self._engine_use.piece_arrived(events, now)
        self._ctx.health.served(self.endpoint.id, now)
        if self._observation.pieces == 1:
            self._ctx.quarantine.answer_began(
                self.endpoint, self._execution.req.fingerprint
            )
            self._ctx.loads.ended(self.endpoint.id, self._prefill_s)
            self._work_s -= self._prefill_s
            self._record_prefill_speed()
            self._count_start(now)

    def progressed(self) -> None:
        """Record that a whole piece arrived that the caller doesn't have yet.

        Single bytes and repeated events are no progress: an endpoint may send them
        without end.
        """
        self._progress_at = self._ctx.clock()
        self._clear_parts()

    def succeeded(self) -> None:
        """End the attempt with a complete and successful answer."""
        if not self._open:
            return
        now, kind = (
            self._ctx.clock(),
            (self._execution.req.route.name, self._chosen_model),
        )
        first_piece_s = self._observation.first_piece_s or now - self._started_at
        self._ctx.health.answered(self.endpoint.id, kind, first_piece_s, now)
        req = self._execution.req
        self._ctx.quarantine.completed(req.fingerprint, now)
        self._ctx.quarantine.answered(req.shared_parts, now, complete=True)
        self._observation.record_success(first_piece_s)
        self._count_domain(served=True)
        if self._ctx.shares is not None:
            self._ctx.shares.answered(
                req.service,
                req.route.name,
                first_piece_s,
                now - self._started_at,
                self._observation.found_work_s,
            )
        self._close("ok")

    def error_answered(self, *, server_error: bool) -> None:
        """End the attempt with an answer whose status isn't a success.

        Only a ``server_error`` counts against the endpoint and its release.
        """
        if not self._open:
            return
        if server_error:
            self._ctx.health.failed(
                self.endpoint.id, self._ctx.clock(), unreachable=False
            )
        if server_error:
            self._observation.record_failure()
        else:
            self._observation.record_success(None)
        self._count_domain(served=not server_error)
        self._close(f"status {self.head.status}")

    def failed(self, exc: EndpointError) -> None:
        """End the attempt without a usable answer."""
        if not self._open:
            return
        exc.endpoint_id = self.endpoint.id
        now = self._ctx.clock()
        if not isinstance(exc, PoolFullError | MisdirectedError):
            unreachable = isinstance(exc, ConnectFailedError)
            self._ctx.health.failed(self.endpoint.id, now, unreachable=unreachable)
            self._count_domain(served=False)
        if exc.code is ResultCode.ENDPOINT_REFUSED and not isinstance(
            exc, MisdirectedError
        ):
            self._count_refusal(now)
        if exc.code is ResultCode.ENDPOINT_TIMEOUT:
            self._observation.record_timeout()
        elif exc.run_state is not RunState.NOT_RUN:
            self._observation.record_failure()
        refused = exc.code is ResultCode.ENDPOINT_REFUSED and self.head is not None
        if refused and self.head.status in FULL_STATUSES:
            self._engine_use.refused(now)
        if self._may_still_run(exc):
            req = self._execution.req
            self._ctx.quarantine.broke_off(
                self.endpoint,
                req.fingerprint,
                now,
                req.shared_parts,
                answering=not self.is_empty,
            )
            self._execution.crash_suspect = self.endpoint
        self._close(f"{exc.code.number} {exc.message}")

    def superseded(self, reason: str) -> None:
        """End the attempt early because a larger model is asked instead."""
        if self._open:
            self.piece_arrived()
            self._observation.record_success(None)
            self._close(reason)

    def abandoned(self) -> None:
        """End the attempt because nobody waits for its answer any more."""
        if self._open:
            self._observation.record_abandoned()
            self._close("abandoned")

    def _recheck(self, now: float) -> None:
        """Check the deadline, the caller's rights and the endpoint once more.

        Any of them may have changed while the call waited for a connection. Raise
        RefusedError, CallerError or EndpointError if the call may no longer be sent.
        """
        execution, view = self._execution, self._ctx.fleet.view
        if now >= execution.req.deadline_at:
            raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
        refuse_quarantined(self._ctx, execution.req, now)
        if not execution.sent_bytes:  # a stream already begun is not cut off
            execution.req = recheck_admission(execution.req, view)
        req = execution.req
        known = view.endpoints.by_id.get(self.endpoint.id)
        gone = known is None or known.state is not self.endpoint.state
        domain_out = self.endpoint.failure_domain in view.domains_out
        not_released = not may_use(view.release(req.service), self._version)
        if gone or domain_out or not_released:
            raise self._not_run_error(
                "the endpoint, its failure domain or its release was taken out of use",
                ResultCode.NO_ENDPOINT,
            )
        if self._ctx.health.waits(self.endpoint.id, now):
            raise self._not_run_error(
                "the endpoint asked for a pause", ResultCode.NO_ENDPOINT
            )

    def _check_head(self) -> None:
        head = self.head
        if head.leaving:
            self._ctx.fleet.apply(
                EndpointLeaving(self.endpoint.id, self.endpoint.incarnation),
                self._ctx.clock(),
            )
        if head.pause_s:
            self._ctx.health.asked_to_wait(
                self.endpoint.id, head.pause_s, self._ctx.clock()
            )
        if head.cold_s:
            self._ctx.fleet.note_cold_answer(
                self.endpoint.id, head.cold_s, self._ctx.clock()
            )
        match head.verdict:
            case HeadVerdict.NOT_RUN:
                raise self._not_run_error(
                    f"refused with {head.status}", ResultCode.ENDPOINT_REFUSED
                )
            case HeadVerdict.MISDIRECTED:
                self._ctx.check_identity(self.endpoint)
                raise MisdirectedError(
                    "refused as meant for another endpoint or model",
                    code=ResultCode.ENDPOINT_REFUSED,
                    run_state=RunState.NOT_RUN,
                )
            case HeadVerdict.INVALID:
                raise EndpointError(
                    f"status {head.status} without headers naming endpoint and call",
                    code=ResultCode.ANSWER_CROSSED,
                )
            case HeadVerdict.UNPROVEN:
                raise EndpointError(
                    f"status {head.status} without a statement that the call didn't run"
                )

    async def _wait_for_data(self, *, head: bool = False) -> None:
        """Wait until more has arrived, but not too long after the last progress.

        When the endpoint made no progress for too long, raise EndpointError with
        ENDPOINT_TIMEOUT if the call can be repeated elsewhere, else return.
        """
        began = self._progress_at
        wait_limits = self._execution.wait_limits(
            self.endpoint, self._prefill_s, first=not self._observation.pieces
        )
        while wait_limits is not None:
            give_up_at = began + silence_timeout_s(wait_limits)
            if await self._channel.arrives_by(give_up_at, head=head):
                return
            others_served = self._ctx.health.served_at(self.endpoint.id) > began
            wait_limits = replace(wait_limits, others_served=others_served)
            if began + silence_timeout_s(wait_limits) > self._ctx.clock():
                continue
            if not self._execution.can_fail_over():
                return
            raise EndpointError(
                f"no progress for {self._ctx.clock() - began:.2f} s",
                code=ResultCode.ENDPOINT_TIMEOUT,
            )

    def _may_still_run(self, exc: EndpointError) -> bool:
        """Return whether the endpoint may not have finished the call.

        It may crash under the call then, also if this node has ended the attempt
        because of what the endpoint sent, or because it sent nothing.
        """
        finished = isinstance(exc, FailedAnswerError)
        return (
            self._in_flight and not finished and exc.run_state is not RunState.NOT_RUN
        )

    def _record_prefill_speed(self) -> None:
        service = self._execution.service
        if self._blocks and service is not None:
            self._ctx.speeds.answered(
                service,
                self._chosen_model or self._execution.req.call.model,
                self._uncached_tokens,
                self._observation.first_piece_s,
            )

    def _not_run_error(self, message: str, code: ResultCode) -> EndpointError:
        return EndpointError(
            message,
            code=code,
            endpoint_id=self.endpoint.id,
            run_state=RunState.NOT_RUN,
        )

    def _clear_parts(self) -> None:
        """Note once that the endpoint answers the parts of the call's prompt."""
        if not self._parts_cleared:
            self._parts_cleared = True
            self._ctx.quarantine.answered(
                self._execution.req.shared_parts, self._ctx.clock()
            )

    def _count_domain(self, *, served: bool) -> None:
        """Count the call for the endpoint's failure domain, if these are counted."""
        if self._ctx.domains is None:
            return
        req, now = self._execution.req, self._ctx.clock()
        first_piece_s = self._observation.first_piece_s or now - self._started_at
        self._ctx.domains.ended(
            req.service,
            self.endpoint.failure_domain,
            CallEnd(
                served,
                late=not served or first_piece_s > req.route.objective_s,
                size=len(req.call.body) + self._answer_bytes,
            ),
            now,
        )

    def _leave_endpoint(self) -> None:
        """Count the call no longer among those in flight at the endpoint."""
        if self._in_flight:
            self._in_flight = False
            self._ctx.quarantine.ended(self.endpoint, self._execution.req.fingerprint)

    def _count_start(self, now: float) -> None:
        """Count the call as started when its first answer begins."""
        req, trace = self._execution.req, self._execution.trace
        if self._ctx.shares is None or trace.answer_began:
            return
        trace.answer_began = True
        late = now - req.received_at > req.route.objective_s
        self._ctx.shares.answer_began(req.service, trace.organisation, now, late=late)

    def _count_refusal(self, now: float) -> None:
        """Count that an endpoint had no room for the call."""
        service, trace = self._execution.req.service, self._execution.trace
        if self._ctx.shares is not None:
            self._ctx.shares.demand.refused(service, trace.organisation, now)

    def _close(self, outcome: str) -> None:
        self._open = False
        now = self._ctx.clock()
        req = self._execution.req
        self._ctx.loads.ended(self.endpoint.id, self._work_s)
        self._engine_use.ended(now)
        self._ctx.releases.ended(req.service, self._version)
        self._ctx.sessions.ended(req.service, req.call.session, now)
        self._leave_endpoint()
        if self._channel is not None:
            self._pool.release(self._channel, now)
        self._ctx.waiting.wake(req.service)
        self._execution.trace.attempts.append(
            {
                "endpoint": self.endpoint.id,
                "version": self._version,
                "model": self._chosen_model,
                "ms": round((now - self._started_at) * 1000),
                **self._observation.log_fields(),
                **self._engine_use.log_fields(),
                **(self.head.log_fields() if self.head else {}),
                "outcome": outcome,
            }
        )


async def open_attempt(execution: "CallExecution") -> RelayAttempt:
    """Select an endpoint, send the call and return the attempt.

    The head of the answer has been read. Raise EndpointError if the attempt failed,
    and RefusedError if no endpoint may take the call.
    """
    await hold_suspect(execution.ctx, execution.req)
    blocks = prompt_block_hashes(execution)
    placement = await select_endpoint(execution, blocks)
    attempt = RelayAttempt(execution, placement.chosen.endpoint, blocks)
    try:
        await attempt.send()
    except EndpointError as exc:
        if attempt.sent and exc.run_state is RunState.NOT_RUN:
            execution.runs -= 1
        attempt.failed(exc)
        raise
    except BaseException:
        attempt.abandoned()
        raise
    return attempt
