"""Stand-in for an endpoint on the users' platform, speaking its protocol.

This is the platform to which ``knapweedhinge.platform`` adapts.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from knapweedhinge.http1 import Exchange, Limits, Server
from knapweedhinge.http1.connection import Connection

SSE_CONTENT_TYPE = (b"Content-Type", b"text/event-stream")
STAMP_HEADER = b"Knapweedhinge-Replica-Stamp"
REQUEST_ID_HEADER = b"Knapweedhinge-Request-Id"
HEALTH_PATH = b"/health"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Knapweedhinge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


@dataclass
class ReplicaFaults:
    """Faults that apply to every call until a test resets them.

    - ``refuse``: answer 503 and say that the call was not executed.
    - ``refuse_model``: do so only if the call asks this model.
    - ``unknown_model``: answer 421 if the call asks this model.
    - ``fail``: run the call and answer 500.
    - ``fail_model``: do so only if the call asks this model.
    - ``mute``: run the call and never answer.
    - ``reset``: run the call and reset the connection.
    - ``unframed``: answer without a length and abort, so that the caller can't tell
      whether the answer is whole.
    - ``cut_in_event``: abort a stream in the middle of the event with this number.
    - ``stall_before_event``: send nothing more before the event with this number.
    - ``stray``: a request id under which a second, unasked-for answer is sent.
    - ``late_s``: seconds before an answer begins.
    - ``repeat_refusal``: run the call, but first write the last refusal that was sent
      on its connection once more.
    - ``unproven``: run the call and answer this status, which says that it did not run.
    - ``resumed``: what a call that resumes a stream gets: ``status`` an error's status,
      ``text`` an error's text as the stream's body, ``head`` an error's head there,
      ``gap`` the next event together with one too far ahead.
    - ``drip_before_event``: before the event with this number, send a byte every 50 ms
      without end.
    - ``until_close``: answer with neither a length nor chunks, and end the answer with
      the connection.
    - ``close_in_head``: close in an orderly way after this many bytes of the head.
    - ``close_after``: close in an orderly way after this many bytes of a stream.
    - ``repeat_from_start``: resume a stream with its first event.
    - ``leaving``: say in all answers that this endpoint leaves.
    - ``retry_after``: with ``refuse``, the seconds for which it wants no calls.
    - ``crash_body``: crash when a call with this body begins to run.
    - ``crash_part``: crash when a call whose prompt contains the part with this id
      begins to run.
    - ``crash_after``: with one of these two, crash only after so many events of a
      stream, or so many bytes of another answer's body.
    - ``crash_sends``: with one of these two, raw bytes that are sent before the crash,
      in which ``%(id)s`` and ``%(stamp)s`` stand for the values of an answer's headers.
    - ``crash_late_s``: with ``crash_after`` or ``crash_sends``, seconds between these
      and the crash. With ``crash_sends`` it comes also if the caller has closed.

    ``unframed`` and ``stray`` apply only to answers that aren't streams,
    ``cut_in_event``, ``stall_before_event``, ``drip_before_event`` and ``close_after``
    only to streams.
    """

    refuse: bool = False
    refuse_model: bytes | None = None
    unknown_model: bytes | None = None
    fail: bool = False
    fail_model: bytes | None = None
    mute: bool = False
    reset: bool = False
    unframed: bool = False
    cut_in_event: int | None = None
    stall_before_event: int | None = None
    stray: bytes = b""
    late_s: float = 0.0
    repeat_refusal: bool = False
    unproven: int | None = None
    resumed: str = ""
    drip_before_event: int | None = None
    until_close: bool = False
    close_in_head: int | None = None
    close_after: int | None = None
    repeat_from_start: bool = False
    leaving: bool = False
    retry_after: str = ""
    crash_body: bytes | None = None
    crash_part: bytes | None = None
    crash_after: int | None = None
    crash_sends: bytes | None = None
    crash_late_s: float = 0.0


@dataclass
class Replica:
    """One endpoint on the loopback interface.

    ``choose_port`` returns the port of each start; 0 lets the kernel choose a free one.
    ``events`` is the length of a streamed answer, and ``confidence`` the value of the
    confidence header by model. ``calls`` holds the requests that it ran, ``refused``
    those that it did not run. ``crashed`` tells that the process ended by a fault;
    nothing listens then.
    """

    id: str
    service: str
    failure_domain: str = "a"
    version: str = "v1"
    events: int = 5
    confidence: dict[str, int] = field(default_factory=dict)
    faults: ReplicaFaults = field(default_factory=ReplicaFaults)
    calls: list[Exchange] = field(default_factory=list)
    refused: list[Exchange] = field(default_factory=list)
    crashed: bool = False
    choose_port: Callable[[], int] = lambda: 0

    def __post_init__(self):
        self._server = Server(self._handle, Limits)
        self._refusals: WeakKeyDictionary[Connection, bytes] = WeakKeyDictionary()
        self._crashing: set[asyncio.Task] = set()

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.connections)

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start("127.0.0.1", self.choose_port())

    async def stop(self) -> None:
        """Stop listening and abort the calls that still run."""
        await self._server.stop()

    async def restart(self) -> None:
        """Listen again after a crash, on another port."""
        self.crashed = False
        self._server = Server(self._handle, Limits)
        await self.start()

    def record(self, **fields) -> dict:
        """Return the row with which the endpoint registers in the platform's store.

        ``fields`` replace those of the default row or add to them.
        """
        return self.record_at(f"127.0.0.1:{self._server.port}", **fields)

    def record_at(self, address: str, **fields) -> dict:
        """Return the row of an endpoint like this one at another address."""
        row = {
            "service": self.service,
            "addr": address,
            "zone": self.failure_domain,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
        }
        return {**row, **fields}

    def header_values(self, name: bytes) -> list[bytes | None]:
        """Return the value of a header in each call that ran, None where absent."""
        return [call.get(name) for call in self.calls]

    async def _handle(self, exchange: Exchange) -> None:
        expected_id = exchange.get(b"knapweedhinge-expect-replica")
        if expected_id not in (None, self.id.encode()):
            self.refused.append(exchange)
            exchange.respond(421, (), b"")
            return
        if exchange.target == HEALTH_PATH:
            exchange.respond(200, ((b"Knapweedhinge-Replica-Id", self.id.encode()),))
            return
        model = exchange.get(b"knapweedhinge-model")
        if model and model == self.faults.unknown_model:
            self.refused.append(exchange)
            exchange.respond(421, ((b"Knapweedhinge-Not-Executed", b"1"),))
            return
        if self.faults.refuse or (model and model == self.faults.refuse_model):
            self.refused.append(exchange)
            await asyncio.sleep(self.faults.late_s)
            self._refusals[exchange._connection] = REFUSAL
            headers = [(b"Knapweedhinge-Not-Executed", b"1")]
            if self.faults.retry_after:
                headers.append((b"Retry-After", self.faults.retry_after.encode()))
            exchange.respond(503, (*headers, *self._leaving_headers()), b"")
            return
        self.calls.append(exchange)
        if self.faults.repeat_refusal:
            exchange._connection.write(self._refusals.pop(exchange._connection, b""))
        if self.faults.late_s:
            await asyncio.sleep(self.faults.late_s)
        if self._is_crashed_by(exchange):
            await self._crash(exchange)
            return
        if self.faults.mute:
            await asyncio.sleep(3600)
        if self.faults.reset:
            exchange.abort()
            return
        headers = self._response_headers(exchange)
        if self.faults.close_in_head is not None:
            head = b"HTTP/1.1 200 OK\r\n" + b"".join(b"%s: %s\r\n" % h for h in headers)
            exchange._connection.write(head[: self.faults.close_in_head])
            exchange._connection._close()
            return
        if self.faults.until_close:
            exchange.version = "1.0"
        if self.faults.fail or (model and model == self.faults.fail_model):
            exchange.respond(500, headers, b"failed")
        elif self.faults.unproven:
            exchange.respond(self.faults.unproven, headers, b"failed")
        elif self.faults.resumed and exchange.get(b"last-event-id"):
            self._respond_resumed(exchange, headers)
        elif model is not None:
            await self._respond_stream(exchange, headers)
        else:
            self._respond_whole(exchange, headers)

    def _is_crashed_by(self, exchange: Exchange) -> bool:
        prefix = exchange.get(b"knapweedhinge-prompt-prefix") or b""
        part_ids = {entry.partition(b":")[0] for entry in prefix.split(b",")}
        body, part = self.faults.crash_body, self.faults.crash_part
        return exchange.body == body or part in part_ids

    async def _crash(self, exchange: Exchange) -> None:
        """Send what ``crash_after`` or ``crash_sends`` says, and crash."""
        if self.faults.crash_sends is not None:
            request_id = exchange.get(REQUEST_ID_HEADER.lower())
            values = {b"id": request_id, b"stamp": self.id.encode()}
            exchange._connection.write(self.faults.crash_sends % values)
            # A task of its own: the handler is cancelled if the caller closes.
            crashing = asyncio.create_task(self._crash_late())
            self._crashing.add(crashing)
            await asyncio.shield(crashing)
            return
        count, headers = self.faults.crash_after, self._response_headers(exchange)
        if count is not None and exchange.get(b"knapweedhinge-model") is not None:
            first = int(exchange.get(b"last-event-id") or 0) + 1
            exchange.begin(200, (*headers, SSE_CONTENT_TYPE))
            for number in range(first, first + count):
                exchange.send(b"id: %d\ndata: piece %d\n\n" % (number, number))
        elif count is not None:
            exchange.begin(200, headers, b"%s %s" % (self.id.encode(), b"x" * count))
        if count is None:
            self.crashed = True
            await self._server.stop()
        else:
            await self._crash_late()

    async def _crash_late(self) -> None:
        await asyncio.sleep(self.faults.crash_late_s)
        self.crashed = True
        await self._server.stop()

    def _response_headers(self, exchange: Exchange) -> tuple:
        headers = [(STAMP_HEADER, self.id.encode())]
        request_id = exchange.get(REQUEST_ID_HEADER.lower())
        if request_id is not None:
            headers.append((REQUEST_ID_HEADER, request_id))
        model = (exchange.get(b"knapweedhinge-model") or b"").decode()
        if model in self.confidence:
            confidence = b"%d" % self.confidence[model]
            headers.append((b"Knapweedhinge-Confidence", confidence))
        return (*headers, *self._leaving_headers())

    def _leaving_headers(self) -> tuple:
        return ((b"Server-Leaving", b"1"),) if self.faults.leaving else ()

    def _respond_whole(self, exchange: Exchange, headers: tuple) -> None:
        body = b"%s %s" % (self.id.encode(), exchange.body)
        if self.faults.until_close:
            exchange.begin(200, headers, body)
            exchange.end()
            return
        if self.faults.unframed:
            exchange.version = "1.0"
            exchange.begin(200, headers, body)
            exchange.abort()
            return
        exchange.respond(200, headers, body)
        if self.faults.stray:
            stray = b"HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nstray"
            exchange._connection.write(stray % (REQUEST_ID_HEADER, self.faults.stray))

    def _respond_resumed(self, exchange: Exchange, headers: tuple) -> None:
        number = int(exchange.get(b"last-event-id")) + 1
        bodies = {
            "text": b"internal error\n\n",
            "head": b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
            "gap": b"id: %d\ndata: a\n\nid: %d\ndata: b\n\n" % (number, number + 2),
        }
        if self.faults.resumed == "status":
            exchange.respond(500, headers, b"failed")
            return
        exchange.begin(200, (*headers, SSE_CONTENT_TYPE))
        exchange.send(bodies[self.faults.resumed])
        exchange.end()

    async def _respond_stream(self, exchange: Exchange, headers: tuple) -> None:
        first = int(exchange.get(b"last-event-id") or 0) + 1
        if self.faults.repeat_from_start:
            first = 1
        exchange.begin(200, (*headers, SSE_CONTENT_TYPE))
        if self.faults.close_after is not None:
            numbers = range(first, self.events + 1)
            data = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)
            exchange.send(data[: self.faults.close_after])
            exchange._connection._close()
            return
        for number in range(first, self.events + 1):
            if number == self.faults.stall_before_event:
                await asyncio.sleep(3600)
            while number == self.faults.drip_before_event:
                exchange.send(b":")
                await asyncio.sleep(0.05)
            if number == self.faults.cut_in_event:
                exchange.send(b"id: %d\ndata: pie" % number)
                await asyncio.sleep(0.01)
                exchange.abort()
                return
            exchange.send(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(0.002)
        exchange.end()
