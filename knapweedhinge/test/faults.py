"""Fault switches and the call log that engine and service stand-ins share."""

import asyncio
import time
from dataclasses import asdict, dataclass, field

from aiohttp import web

DISCONNECT_POLL_INTERVAL_S = 0.02


@dataclass
class Faults:
    """Faults that a test switches on with ``POST /standin/faults``.

    Fields that end in ``_next``, and ``cut_before_answer``, count the calls to which
    the fault still applies; each such call lowers the count by one. Each stand-in
    applies only the faults that make sense for it.

    - ``refuse``: answer 503 without running the call.
    - ``slow_s``: wait so many seconds before each answer.
    - ``token_s``: seconds between two tokens, instead of the engine's own; 0 is off.
    - ``fail_next``: answer 500 without running the call.
    - ``empty_next``: answer with an empty body.
    - ``truncate_next``: leave out the end of the answer.
    - ``hang_after``, ``cut_after``: the position in the stream behind which the engine
      falls silent or closes the connection, once; 0 is off.
    - ``cross_next``: answer under the id of another request.
    - ``cut_before_answer``: run the call but close the connection instead of answering.
    - ``crash_on``: crash when the messages contain this text; empty is off.
    - ``bad_share``: accepted but without effect.
    """

    refuse: bool = False
    slow_s: float = 0.0
    token_s: float = 0.0
    fail_next: int = 0
    empty_next: int = 0
    truncate_next: int = 0
    hang_after: int = 0
    cut_after: int = 0
    cross_next: int = 0
    cut_before_answer: int = 0
    crash_on: str = ""
    bad_share: float = 0.0


@dataclass(frozen=True)
class LoggedCall:
    """A call that the stand-in ran.

    ``key`` is the idempotency key, ``version`` the model version (empty at a service),
    and ``body`` the chat messages as JSON or the body sent to the service. ``at`` is
    the wall-clock time of its start in seconds.
    """

    request_id: str
    key: str
    version: str
    path: str
    at: float
    body: str = ""


@dataclass
class EndpointStandIn:
    """Base of the engine and service stand-ins: fault switches and call log."""

    name: str
    faults: Faults = field(default_factory=Faults)
    calls: list[LoggedCall] = field(default_factory=list)

    def consume_fault(self, switch: str) -> bool:
        """Lower the count of a fault switch by one; return whether it was above 0."""
        remaining = getattr(self.faults, switch)
        if remaining <= 0:
            return False
        setattr(self.faults, switch, remaining - 1)
        return True

    def log_call(self, req: web.Request, version: str, body: str = "") -> None:
        """Add a call that is about to run to the call log."""
        self.calls.append(
            LoggedCall(
                req.headers.get("X-Request-Id", ""),
                req.headers.get("Idempotency-Key", ""),
                version,
                req.path,
                time.time(),
                body,
            )
        )

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoints for reading the call log and setting faults."""
        app.router.add_get("/standin/calls", self._get_calls)
        app.router.add_post("/standin/faults", self._post_faults)

    async def _get_calls(self, req: web.Request) -> web.Response:
        return web.json_response({"calls": [asdict(call) for call in self.calls]})

    async def _post_faults(self, req: web.Request) -> web.Response:
        for switch, value in (await req.json()).items():
            if not hasattr(self.faults, switch):
                raise web.HTTPBadRequest(text=f"no such fault switch: {switch!r}")
            setattr(self.faults, switch, value)
        return web.json_response(asdict(self.faults))


async def serve(app: web.Application, ip: str, port: int) -> tuple[web.AppRunner, int]:
    """Serve ``app`` and return its runner and its port.

    Port 0 lets the operating system choose a free one.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, ip, port)
    await site.start()
    return runner, runner.addresses[0][1]


async def wait_forever() -> None:
    """Wait until the task is cancelled, to keep the server running."""
    await asyncio.Event().wait()


async def wait_until_disconnected(req: web.Request) -> None:
    """Send nothing until the client disconnects, then raise ConnectionResetError."""
    while req.transport is not None and not req.transport.is_closing():  # noqa: ASYNC110
        await asyncio.sleep(DISCONNECT_POLL_INTERVAL_S)
    raise ConnectionResetError
