"""Client of model engines.

Engines speak the OpenAI-compatible chat protocol, with the ``X-Request-Id`` repeated in
every event. Status reports and stream resumption use the ``/engine`` calls described in
``docs/ref/endpoints.md``.
"""

import asyncio

import aiohttp
import msgspec

from knapweedhinge.conf import EndpointSettings
from knapweedhinge.core.bodies import read_body
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError
from knapweedhinge.core.jsondecode import decode_json
from knapweedhinge.endpoints.responses import REFUSALS
from knapweedhinge.endpoints.types import (
    EndpointStatus,
    EngineCall,
    PlainAnswer,
    Usage,
)
from knapweedhinge.routing.load import EndpointKind, EndpointView, LoadReport

# No connection was made, so the endpoint can't have received the call.
CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    ConnectionRefusedError,
)
STATUS_PATHS = {
    EndpointKind.ENGINE: "/engine/status",
    EndpointKind.SERVICE: "/service/status",
}
# The connection failed or timed out after the call may have been sent.
CONNECTION_LOST_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError)


class _Status(msgspec.Struct):
    """A status report; ``capacity`` is how many requests run at once."""

    incarnation: str
    versions: list[str] = []
    running: int = 0
    waiting: int = 0
    capacity: int = 1
    kv_free: float = 1.0
    cold: bool = False


class _Message(msgspec.Struct):
    content: str | None = None


class _CompletionChoice(msgspec.Struct):
    message: _Message
    finish_reason: str | None = None


class _CompletionUsage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Completion(msgspec.Struct):
    id: str
    choices: list[_CompletionChoice]
    usage: _CompletionUsage = msgspec.field(default_factory=_CompletionUsage)


class EngineClient:
    """Call engines over one HTTP session with a shared connection pool."""

    def __init__(self, cfg: EndpointSettings, session: aiohttp.ClientSession):
        self.cfg = cfg
        self._session = session

    async def complete(self, endpoint: EndpointView, call: EngineCall) -> PlainAnswer:
        """Send a chat request without streaming and return its complete answer.

        Raise EndpointError if the call fails or the answer isn't complete.
        """
        timeout = self._timeout(call.timeout_s)
        try:
            async with self._post(endpoint, call, timeout) as resp:
                await raise_for_failure(resp)
                body = await read_body(resp)
        except CONNECT_ERRORS as exc:
            raise unreachable_error(endpoint) from exc
        except CONNECTION_LOST_ERRORS as exc:
            raise connection_lost_error(endpoint, exc) from exc
        return PlainAnswer(
            200, "application/json", body, check_completion(call, body), endpoint.id
        )

    async def open_stream(
        self, endpoint: EndpointView, call: EngineCall
    ) -> aiohttp.ClientResponse:
        """Start a streamed answer; the caller of this method closes the response.

        Raise EndpointError if the call fails, or if no response begins within
        ``cfg.stall_s`` seconds.
        """
        timeout = self._timeout(call.timeout_s)
        return await self._open(endpoint, self._post(endpoint, call, timeout))

    async def resume_stream(
        self, endpoint: EndpointView, attempt_id: str, after: int, timeout_s: float
    ) -> aiohttp.ClientResponse:
        """Resume a stream after the event at position ``after``.

        The caller of this method closes the response. ``timeout_s`` limits the whole
        stream, in seconds. Raise EndpointError if the engine can't resume it.
        """
        request = self._session.get(
            f"{endpoint.url}/engine/streams/{attempt_id}",
            params={"after": str(after)},
            timeout=self._timeout(timeout_s),
            allow_redirects=False,
        )
        return await self._open(endpoint, request)

    async def cancel(self, endpoint: EndpointView, attempt_id: str) -> None:
        """Ask the engine to stop generating; ignore failures."""
        try:
            async with self._session.delete(
                f"{endpoint.url}/engine/streams/{attempt_id}",
                timeout=self._timeout(self.cfg.connect_timeout_s),
            ):
                pass
        except CONNECTION_LOST_ERRORS:
            pass

    async def status(self, endpoint: EndpointView, now: float) -> EndpointStatus:
        """Read the endpoint's status report, dated ``now``.

        Raise EndpointError if it can't be read.
        """
        timeout = self._timeout(self.cfg.connect_timeout_s)
        try:
            async with self._session.get(
                f"{endpoint.url}{STATUS_PATHS[endpoint.kind]}", timeout=timeout
            ) as resp:
                await raise_for_failure(resp)
                status = decode_json(await read_body(resp), _Status)
        except CONNECTION_LOST_ERRORS as exc:
            raise connection_lost_error(endpoint, exc) from exc
        except msgspec.MsgspecError as exc:
            raise EndpointError(
                f"{endpoint.id} sent a malformed status report"
            ) from exc
        return EndpointStatus(
            endpoint.id,
            status.incarnation,
            frozenset(status.versions),
            status.cold,
            LoadReport(
                running=status.running,
                waiting=status.waiting,
                kv_free=status.kv_free,
                reported_at=now,
                slots=status.capacity,
            ),
        )

    def _timeout(self, total_s: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=self.cfg.connect_timeout_s,
        )

    def _post(self, endpoint: EndpointView, call: EngineCall, timeout):
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": call.attempt_id,
            "X-Priority": str(call.priority),
            "X-First-Position": str(call.first_position),
        }
        return self._session.post(
            f"{endpoint.url}/v1/chat/completions",
            data=call.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        )

    async def _open(self, endpoint: EndpointView, request) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(self.cfg.stall_s):
                resp = await request
        except CONNECT_ERRORS as exc:
            raise unreachable_error(endpoint) from exc
        except CONNECTION_LOST_ERRORS as exc:
            raise connection_lost_error(endpoint, exc) from exc
        try:
            await raise_for_failure(resp)
        except EndpointError:
            resp.close()
            raise
        return resp


async def read_chunk(endpoint: EndpointView, resp: aiohttp.ClientResponse) -> bytes:
    """Return the next bytes of a stream, empty at its end.

    Raise EndpointError if the connection is lost.
    """
    try:
        return await resp.content.readany()
    except CONNECTION_LOST_ERRORS as exc:
        raise connection_lost_error(endpoint, exc) from exc


class StallWatch:
    """Close a response that receives no whole event for ``stall_s`` seconds.

    A single timer checks when the last event arrived. The HTTP library's read timeout
    would set a timer for each read, which costs more than the read itself, and a byte
    sent now and then would keep a stalled stream open.
    """

    def __init__(self, resp: aiohttp.ClientResponse, stall_s: float):
        self._resp = resp
        self._stall_s = stall_s
        self._loop = asyncio.get_running_loop()
        self._last_event_at = self._loop.time()
        self._timer = self._loop.call_later(stall_s, self._check)

    def event_received(self) -> None:
        """Record that an event arrived just now."""
        self._last_event_at = self._loop.time()

    def stop(self) -> None:
        """Stop watching the response."""
        self._timer.cancel()

    def _check(self) -> None:
        remaining_s = self._last_event_at + self._stall_s - self._loop.time()
        if remaining_s <= 0:
            self._resp.close()
            return
        self._timer = self._loop.call_later(remaining_s, self._check)


def check_completion(call: EngineCall, body: bytes) -> Usage:
    """Return the token usage of an answer without a stream.

    Raise EndpointError if the answer is incomplete or belongs to another request.
    """
    try:
        completion = decode_json(body, _Completion)
    except msgspec.MsgspecError as exc:
        raise EndpointError(
            "the answer is not a valid chat completion",
            code=ResultCode.ANSWER_TRUNCATED,
        ) from exc
    if completion.id != call.attempt_id:
        raise EndpointError(
            "the answer belongs to another request", code=ResultCode.ANSWER_CROSSED
        )
    if not completion.choices or not completion.choices[0].finish_reason:
        raise EndpointError(
            "the answer has no finish reason", code=ResultCode.ANSWER_TRUNCATED
        )
    return Usage(
        completion.usage.prompt_tokens,
        completion.usage.completion_tokens,
        completion.choices[0].finish_reason,
    )


async def raise_for_failure(
    resp: aiohttp.ClientResponse, min_failure_status: int = 300
) -> None:
    """Raise EndpointError for a status that says the call was refused or failed.

    A refusal (429 or 503) means that the call was not run. ``min_failure_status`` is
    the lowest other status that counts as a failure.
    """
    if resp.status < min_failure_status and resp.status not in REFUSALS:
        return
    if resp.status in REFUSALS:
        raise EndpointError(
            f"the endpoint refused the call with status {resp.status}",
            code=ResultCode.ENDPOINT_REFUSED,
            run_state=RunState.NOT_RUN,
        )
    raise EndpointError(f"the endpoint answered with status {resp.status}")


def unreachable_error(endpoint: EndpointView) -> EndpointError:
    """Return the error for a connection that was never made: the call didn't run."""
    return EndpointError(
        f"{endpoint.id} can't be reached",
        code=ResultCode.ENDPOINT_FAILED,
        run_state=RunState.NOT_RUN,
    )


def connection_lost_error(endpoint: EndpointView, exc: BaseException) -> EndpointError:
    """Return the error for a connection lost after the call may have been sent."""
    if isinstance(exc, asyncio.TimeoutError):
        return EndpointError(
            f"{endpoint.id} timed out", code=ResultCode.ENDPOINT_TIMEOUT
        )
    return EndpointError(f"connection to {endpoint.id} lost: {type(exc).__name__}")
