"""Request handlers of the node's ports: calls, the directory of nodes, readiness."""

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec
from loguru import logger

from knapweedhinge.controllers.addresses import Address
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    EndpointError,
    KnapweedhingeError,
    RefusedError,
)
from knapweedhinge.filters.relay import (
    RELAY_CHAIN,
    RelayAnswer,
    RelayContext,
    RelayStream,
)
from knapweedhinge.filters.relay.types import CallTrace
from knapweedhinge.http1 import Exchange
from knapweedhinge.platform.headers import NOT_RUN_STATUSES, REQUEST_ID, call_of
from knapweedhinge.routing.nodecapacity import named

RESOLVE_PATH = b"/knapweedhinge/resolve"
READY_PATH = b"/knapweedhinge/ready"
MAX_ADDRESSES = 64  # in one answer of the directory
RETRY_SOON = ((b"Retry-After", b"0.5"),)  # seconds; a node takes about this to start
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
# Retry-After of refused calls whose error gives no time: paused and full endpoints are
# usually available again by then.
DEFAULT_RETRY_AFTER_S = 0.4
MAX_ID_CHARS = 200  # of a caller's request id or session in a log line


class CallHandler:
    """Handler that runs callers' requests through the filters and answers them."""

    def __init__(self, ctx: RelayContext):
        self._ctx = ctx
        handler = None
        for stage in reversed(RELAY_CHAIN):
            handler = stage(ctx, handler)
        self._chain = handler
        self._open: dict[asyncio.Timeout, asyncio.Task] = {}

    @property
    def open_calls(self) -> int:
        """Return the number of calls that are not answered yet."""
        return len(self._open)

    async def end_open_calls(self, timeout_s: float) -> None:
        """End the calls that are not answered yet, and wait until their callers know.

        Wait for at most ``timeout_s`` seconds.
        """
        now = asyncio.get_running_loop().time()
        for scope in self._open:
            scope.reschedule(now)
        if self._open:
            await asyncio.wait(set(self._open.values()), timeout=max(0.0, timeout_s))

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one request and log how the call ended."""
        trace = CallTrace()
        code, outcome = ResultCode.OK, ""
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._open[scope] = asyncio.current_task()
                outcome = str(await self._answer(exchange, trace))
        except KnapweedhingeError as exc:
            code = exc.code
            outcome = self._respond_error(exchange, exc)
        except TimeoutError:
            if not scope.expired():
                raise
            exc = stopped_error(trace)
            code = exc.code
            outcome = self._respond_error(exchange, exc)
        except BaseException as exc:
            outcome = f"ended by {type(exc).__name__}"
            raise
        finally:
            self._open.pop(scope, None)
            self._log(exchange, trace, code, outcome)

    async def _answer(self, exchange: Exchange, trace: CallTrace) -> int:
        """Answer one request; return the status."""
        call = call_of(exchange)
        trace.session = call.session
        answer = await self._chain(call, exchange.received_at, trace)
        if isinstance(answer, RelayAnswer):
            exchange.respond(answer.status, answer.headers, answer.body)
        else:
            await self._stream(exchange, answer)
        return answer.status

    async def _stream(self, exchange: Exchange, answer: RelayStream) -> None:
        events = answer.events
        try:
            async for data in events:
                if exchange.began:
                    exchange.send(data)
                else:
                    exchange.begin(answer.status, answer.headers, data)
                await exchange.wait_writable()
            if not exchange.began:
                exchange.begin(answer.status, answer.headers)
            exchange.end()
        finally:
            await events.aclose()

    def _respond_error(self, exchange: Exchange, exc: KnapweedhingeError) -> str:
        """Write the error response, or abort a begun one; return the outcome to log."""
        if exchange.began:
            exchange.abort()
            return "broken off"
        status = exc.code.value.status
        if status in NOT_RUN_STATUSES and exc.run_state is not RunState.NOT_RUN:
            status = 502
        headers = [JSON_CONTENT_TYPE]
        request_id = exchange.get(REQUEST_ID)
        if request_id is not None:
            headers.append((b"Knapweedhinge-Request-Id", request_id))
        if status in NOT_RUN_STATUSES and exc.code is not ResultCode.MODEL_UNKNOWN:
            after_s = exc.retry_after_s or DEFAULT_RETRY_AFTER_S
            headers.append((b"Retry-After", b"%.2f" % after_s))
        body = msgspec.json.encode(
            {"error": {"code": exc.code.number, "message": exc.message}}
        )
        exchange.respond(status, tuple(headers), body)
        return f"{status} {exc.message}"

    def _log(
        self, exchange: Exchange, trace: CallTrace, code: ResultCode, outcome: str
    ) -> None:
        ctx, now = self._ctx, self._ctx.clock()
        total_s = now - exchange.received_at
        view = ctx.fleet.view
        name = trace.service or "-"
        ctx.metrics.observe(name, "total", total_s)
        if trace.first_event_s is not None:
            ctx.metrics.observe(name, "first", trace.first_event_s)
        ctx.metrics.count("calls", code.name)
        request_id = exchange.get(REQUEST_ID) or b""
        logger.bind(
            request_id=request_id.decode("latin-1")[:MAX_ID_CHARS],
            session=trace.session[:MAX_ID_CHARS],
            route=trace.route,
            organisation=trace.organisation,
            code=code.number,
            outcome=outcome,
            attempts=trace.attempts,
            first_ms=_ms(trace.first_event_s),
            total_ms=_ms(total_s),
            events=trace.events,
            **({"domain": trace.domain} if trace.domain else {}),
            **({} if trace.share is None else {"share": trace.share}),
            **({"second_ask": trace.second_ask} if trace.second_ask else {}),
            revision=view.catalog.revision if view.catalog else None,
            **({"era": self._ctx.fleet.era} if self._ctx.fleet.era else {}),
        ).info("call ended")


def stopped_error(trace: CallTrace) -> KnapweedhingeError:
    """Return the error for a call that the node can't finish before it stops."""
    if not trace.sent:
        return RefusedError(code=ResultCode.LEAVING)
    return EndpointError(
        "the node stopped before the endpoint had answered",
        code=ResultCode.ENDPOINT_TIMEOUT,
    )


class DirectoryHandler:
    """Handler that tells callers the addresses of the nodes.

    Answers are valid for ``ttl_s`` seconds. ``vm`` and ``failure_domain`` are those of
    this node.
    """

    def __init__(
        self,
        addresses: Callable[[], tuple[Address, ...]],
        ttl_s: float,
        vm: str,
        failure_domain: str,
    ):
        self._addresses = addresses
        self._ttl_s = ttl_s
        self._vm = vm
        self._failure_domain = failure_domain

    async def __call__(self, exchange: Exchange) -> None:
        """Answer with the nodes of the caller's failure domain, else with all."""
        path, _, query = exchange.target.partition(b"?")
        if path != RESOLVE_PATH:
            exchange.respond(404, ())
            return
        query_fields = parse_qs(query.decode("latin-1"))
        domain = query_fields.get("zone", [self._failure_domain])[0]
        found = self._addresses()
        nearest = [
            address for address in found if address.failure_domain == domain
        ] or found
        if not nearest:
            exchange.respond(503, RETRY_SOON)
            return
        chosen = named(nearest, self._vm)[:MAX_ADDRESSES]
        texts = [f"{address.ip}:{address.port}" for address in chosen]
        body = msgspec.json.encode({"addrs": texts, "ttlS": self._ttl_s})
        exchange.respond(200, (JSON_CONTENT_TYPE,), body)


class ReadinessHandler:
    """Health check handler that tells the platform whether the node takes calls."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    async def __call__(self, exchange: Exchange) -> None:
        """Answer 200 if the node is ready, else 503."""
        if exchange.target.partition(b"?")[0] != READY_PATH:
            exchange.respond(404, ())
            return
        exchange.respond(200 if self._is_ready() else 503, ())


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
