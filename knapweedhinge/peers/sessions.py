"""Server and client of the RPC session between authenticated peers."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import capnp
import msgspec
from loguru import logger

from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import KnapweedhingeError, PeerError
from knapweedhinge.peers import wire
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.traffic import Cause, RefusalReason, TrafficCounters

MAX_METHOD_CHARS = 128  # of a method name in the log line of a failed call
T = TypeVar("T")
CODES_BY_NUMBER = {code.number: code for code in ResultCode}


@dataclass(frozen=True)
class Reply:
    """The answer to a call; ``message`` describes an error."""

    payload: bytes
    code: ResultCode = ResultCode.OK
    message: str = ""


class SessionHandlers(Protocol):
    """The request handlers that ``SessionServer`` delegates to."""

    def record_contact(self, link: Link, alive_at: float) -> None:
        """Record that the peer was alive and connected at ``alive_at``."""

    async def probe_for(self, link: Link, vm: str, timeout_s: float) -> bool:
        """Probe a member on behalf of a peer; returns whether it was reached."""

    def exchange(
        self, link: Link, message: wire.Exchange, delay_s: float
    ) -> wire.Exchange:
        """Return the answer to a gossip message that waited ``delay_s`` on its way."""

    async def answer(self, link: Link, method: str, payload: bytes) -> Reply:
        """Run a registered method and return its reply."""


class SessionServer(wire.SCHEMA.Session.Server):
    """Serves the calls of one link.

    Errors of ``call`` and invalid messages to ``exchange`` are answered with a result
    code.

    Writing the results of a call whose caller has disconnected crashes the process, so
    a cancelled call must end at its ``await``. Work that may suppress the cancellation
    therefore runs in a separate task, which continues to its end.
    """

    def __init__(
        self,
        link: Link,
        handlers: SessionHandlers,
        counters: TrafficCounters,
        tasks: Tasks,
        clock: Callable[[], float],
    ):
        self._tasks = tasks
        self._link = link
        self._handlers = handlers
        self._counters = counters
        self._clock = clock

    async def probe(self, sentAt, _context, **_):  # noqa: N803
        """Answer a probe; that proves that the event loop runs."""
        self._record_contact(sentAt)
        self._count_received(Cause.PROBE, 0)

    async def probeIndirectly(self, vm, timeoutMs, _context, **_):  # noqa: N802
        """Probe another member on behalf of the peer, for at most 10 seconds."""
        self._count_received(Cause.INDIRECT_PROBE, len(vm))
        timeout_s = min(timeoutMs, 10_000) / 1000
        if not self._has_room(len(vm)):
            # Not a result: false would say that the member was not reached.
            raise PeerError(code=ResultCode.OVERLOADED)
        probing = self._handlers.probe_for(self._link, vm, timeout_s)
        _context.results.reached = await self._run_detached(probing, False, len(vm))

    async def exchange(self, message, sentAt, _context, **_):  # noqa: N803
        """Answer a gossip message: a push or a step of a repair."""
        if not self._has_room(0):
            _context.results.code = ResultCode.OVERLOADED.number
            return
        data = bytes(message)
        delay_s = self._record_contact(sentAt)
        try:
            request = wire.decode(data)
            answer = wire.encode(self._handlers.exchange(self._link, request, delay_s))
        except (msgspec.MsgspecError, PeerError):
            self._counters.count_refused(RefusalReason.MALFORMED)
            _context.results.code = ResultCode.PEER_MALFORMED.number
            return
        cause = Cause.PUSH if isinstance(request, wire.Push) else Cause.REPAIR
        self._count_received(cause, len(data) + len(answer))
        self._link.flow.count_answer(len(answer))
        _context.results.answer = answer
        _context.results.sentAt = self._clock()

    async def call(self, method, payload, _context, **_):
        """Run a registered method."""
        data = bytes(payload)
        if self._has_room(len(data)):
            stopped = Reply(b"", ResultCode.LEAVING, "the node has stopped")
            work = self._run(method, data)
            reply = await self._run_detached(work, stopped, len(data))
        else:
            reply = Reply(b"", ResultCode.OVERLOADED, "too many calls at a time")
        if len(reply.payload) > wire.MAX_PAYLOAD_BYTES:
            logger.error("answer of peer method {} is too large", method)
            reply = Reply(b"", ResultCode.INTERNAL_ERROR, "the answer is too large")
        self._count_received(Cause.CALL, len(data) + len(reply.payload))
        self._link.flow.count_answer(len(reply.payload))
        _context.results.payload = reply.payload
        _context.results.code = reply.code.number
        _context.results.message = reply.message

    def _has_room(self, size: int) -> bool:
        """Return whether a call with ``size`` bytes may run; count it if not."""
        if self._link.flow.has_room(size):
            return True
        self._counters.count_refused(RefusalReason.EXCESS)
        return False

    async def _run_detached(
        self, work: Coroutine[Any, Any, T], stopped: T, size: int
    ) -> T:
        """Run a coroutine as a task of its own and return its result.

        Returns ``stopped`` without running it if the node has stopped. ``size`` is that
        of the call's argument in bytes.
        """
        task = self._tasks.spawn(work)
        if task is None:
            return stopped
        flow = self._link.flow
        held = flow.start_call(size)
        task.add_done_callback(lambda _: flow.end_call(held))
        return await asyncio.shield(task)

    async def _run(self, method: str, data: bytes) -> Reply:
        try:
            return await self._handlers.answer(self._link, method, data)
        except KnapweedhingeError as exc:
            return Reply(b"", exc.code, exc.message)
        except msgspec.MsgspecError:
            self._counters.count_refused(RefusalReason.MALFORMED)
            return Reply(b"", ResultCode.PEER_MALFORMED)
        except Exception:
            logger.exception("peer method {} failed", method[:MAX_METHOD_CHARS])
            return Reply(b"", ResultCode.INTERNAL_ERROR)

    def _record_contact(self, sent: float) -> float:
        now = self._clock()
        delay_s = self._link.delay_estimator.estimate_s(sent, now)
        self._handlers.record_contact(self._link, now - delay_s)
        return delay_s

    def _count_received(self, cause: Cause, size_bytes: int) -> None:
        self._link.last_used = self._clock()
        self._counters.count_received(cause, size_bytes)


class SessionClient:
    """Makes calls over links; every failure is raised as PeerError.

    ``on_answer`` gets the link and the send time of each answered call.
    """

    def __init__(
        self,
        counters: TrafficCounters,
        clock: Callable[[], float],
        on_answer: Callable[[Link, float], None],
    ):
        self._counters = counters
        self._clock = clock
        self._on_answer = on_answer

    async def probe(self, link: Link, timeout_s: float) -> None:
        """Probe the peer and return once it answered."""
        await self._call_session(
            link, lambda session: session.probe(sentAt=self._clock()), timeout_s, 0
        )
        self._counters.count_sent(Cause.PROBE, 0)

    async def probe_indirectly(self, link: Link, vm: str, timeout_s: float) -> bool:
        """Return whether the peer reached another member within the timeout.

        Raises PeerError if the peer doesn't answer within twice that time, since its
        own probe may take the whole timeout.
        """
        timeout_ms = round(timeout_s * 1000)
        reply = await self._call_session(
            link,
            lambda session: session.probeIndirectly(vm=vm, timeoutMs=timeout_ms),
            2 * timeout_s,
            len(vm),
        )
        self._counters.count_sent(Cause.INDIRECT_PROBE, len(vm))
        return reply.reached

    async def exchange(
        self, link: Link, message: wire.Exchange, timeout_s: float
    ) -> tuple[wire.Exchange, float]:
        """Send a gossip message.

        Returns the answer and the seconds that the answer was delayed on its way.
        """
        data = wire.encode(message)
        sent = self._clock()
        reply = await self._call_session(
            link,
            lambda session: session.exchange(message=data, sentAt=sent),
            timeout_s,
            len(data),
        )
        answer = bytes(reply.answer)
        cause = Cause.PUSH if isinstance(message, wire.Push) else Cause.REPAIR
        self._counters.count_sent(cause, len(data) + len(answer))
        if reply.code:
            raise PeerError(
                code=CODES_BY_NUMBER.get(reply.code, ResultCode.PEER_MALFORMED)
            )
        delay_s = link.delay_estimator.estimate_s(reply.sentAt, self._clock())
        return _decoded(answer), delay_s

    async def call(
        self, link: Link, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Call a method and return its answer.

        Raises PeerError, with the peer's result code if the peer reported an error.
        """
        if len(payload) > wire.MAX_PAYLOAD_BYTES:
            raise PeerError(
                f"{len(payload)} bytes exceed {wire.MAX_PAYLOAD_BYTES}",
                code=ResultCode.PEER_MALFORMED,
                run_state=RunState.NOT_RUN,
            )
        reply = await self._call_session(
            link,
            lambda session: session.call(method=method, payload=payload),
            timeout_s,
            len(payload),
        )
        answer = bytes(reply.payload)
        self._counters.count_sent(Cause.CALL, len(payload) + len(answer))
        if reply.code:
            code = CODES_BY_NUMBER.get(reply.code, ResultCode.PEER_MALFORMED)
            raise PeerError(reply.message, code=code)
        return answer

    async def _call_session(
        self, link: Link, start_call: Any, timeout_s: float, size: int
    ) -> Any:
        """Start a call with an argument of ``size`` bytes and return its results."""
        if link.session is None:
            raise PeerError("the link is closed", run_state=RunState.NOT_RUN)
        if not link.flow.may_send(size):
            raise PeerError(
                f"{link.member.vm} reads nothing", run_state=RunState.NOT_RUN
            )
        link.flow.count_sent(size)
        sent = self._clock()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await start_call(link.session)
        except TimeoutError:
            raise PeerError(f"{link.member.vm} did not answer in time") from None
        except capnp.KjException as exc:
            raise PeerError(f"{link.member.vm}: {exc.type}") from None
        link.last_used = self._clock()
        self._on_answer(link, sent)
        return reply


def _decoded(data: bytes) -> wire.Exchange:
    try:
        return wire.decode(data)
    except msgspec.MsgspecError:
        raise PeerError(code=ResultCode.PEER_MALFORMED) from None
