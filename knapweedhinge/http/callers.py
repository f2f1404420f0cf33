"""Serve callers: chat requests, calls of plain services and auxiliary requests.

Auxiliary requests list nodes and models, return the outcomes of requests and check the
node's health.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import msgspec
from aiohttp import web
from loguru import logger

from knapweedhinge.controllers.snapshot import Phase
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import (
    CallerError,
    KnapweedhingeError,
    RefusedError,
)
from knapweedhinge.filters import (
    Answer,
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    ServiceCall,
    StreamEnd,
)
from knapweedhinge.filters.admit import ensure_serving
from knapweedhinge.filters.authenticate import find_organisation
from knapweedhinge.http.answers import (
    error_response,
    stream_response,
    whole_response,
)
from knapweedhinge.http.parse import bearer, parse_chat, parse_request, read_body

# Reserved idempotency keys handed out with each list of nodes.
RESERVED_KEYS_PER_ANSWER = 4
REQUEST_KEY = web.RequestKey("request", Request)


class CallerHandlers:
    """Answer callers' HTTP requests; chat and service calls go through the filters."""

    def __init__(self, ctx: Context, chain: Handler):
        self._ctx = ctx
        self._chain = chain

    def add_routes(self, app: web.Application) -> None:
        """Add the paths for callers."""
        app.router.add_get("/v1/addresses", self.addresses)
        app.router.add_get("/v1/models", self.models)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.service)
        app.router.add_get("/v1/requests/{id}", self.outcome)
        app.router.add_get("/healthz", self.healthz)
        app.router.add_get("/readyz", self.readyz)

    async def addresses(self, raw: web.Request) -> web.Response:
        """List the nodes that callers may use, with some reserved idempotency keys.

        Nodes of this node's failure domain come first, then those of its region.
        """
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        listen = self._ctx.settings.listen
        nearest = sorted(
            snapshot.available_addresses,
            key=lambda address: (
                address.failure_domain != listen.failure_domain,
                address.region != listen.region,
                address.vm,
            ),
        )
        return json_response(
            {
                "addresses": [
                    {
                        "ip": address.ip,
                        "port": address.port,
                        "failure_domain": address.failure_domain,
                    }
                    for address in nearest
                ],
                "ttl_s": self._ctx.settings.http.address_ttl_s,
                "reserved_keys": self._ctx.reserved.hand_out(RESERVED_KEYS_PER_ANSWER),
            }
        )

    async def models(self, raw: web.Request) -> web.Response:
        """List the classes and versions that the caller's organisation may use."""
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        configuration = snapshot.configuration
        organisation = find_organisation(configuration, bearer(raw))
        versions = [
            version.id
            for version in configuration.versions
            if version.id in organisation.allowed_versions and not version.withdrawn
        ]
        classes = [
            work_class.id
            for work_class in configuration.classes
            if set(work_class.versions) & set(versions)
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": owner}
            for owner, names in (("class", classes), ("version", versions))
            for name in names
        ]
        return json_response({"object": "list", "data": data})

    async def chat(self, raw: web.Request) -> web.StreamResponse:
        """Answer a chat request, whole or as a stream of server-sent events."""

        async def parse() -> ChatCall:
            return parse_chat(await read_body(raw, self._ctx.settings.http))

        return await self._answer(raw, parse)

    async def service(self, raw: web.Request) -> web.StreamResponse:
        """Answer a call of a plain service, one that isn't a language model."""

        async def parse() -> ServiceCall:
            body = await read_body(raw, self._ctx.settings.http)
            return ServiceCall(
                raw.match_info["service"],
                raw.method,
                raw.match_info["path"],
                raw.query_string,
                raw.headers.get("Content-Type", ""),
                body,
            )

        return await self._answer(raw, parse)

    async def outcome(self, raw: web.Request) -> web.Response:
        """Return the outcome of an earlier request of the caller's organisation."""
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        organisation = find_organisation(snapshot.configuration, bearer(raw))
        request_id = raw.match_info["id"]
        outcome = await self._ctx.outcomes.find(
            organisation.id, request_id, self._ctx.claims
        )
        if outcome is None:
            raise CallerError(code=ResultCode.REQUEST_UNKNOWN)
        return json_response(outcome)

    async def healthz(self, raw: web.Request) -> web.Response:
        """Answer the liveness check: the process responds."""
        return json_response({"live": True})

    async def readyz(self, raw: web.Request) -> web.Response:
        """Answer the readiness check: an error unless the node accepts new requests."""
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        if snapshot.phase is Phase.LEAVING:
            raise RefusedError(code=ResultCode.LEAVING)
        return json_response({"ready": True})

    async def _answer(
        self,
        raw: web.Request,
        parse: Callable[[], Awaitable[ChatCall | ServiceCall]],
    ) -> web.StreamResponse:
        """Parse a request, pass it through the filter chain and write its answer.

        ``parse`` reads the body. It is called after the caller was authenticated.
        """
        snapshot = self._ctx.state.current
        ensure_serving(snapshot)
        received_at = self._ctx.clock()
        organisation = find_organisation(snapshot.configuration, bearer(raw))
        call = await parse()
        req = parse_request(
            raw, call, organisation, snapshot, self._ctx.settings.http, received_at
        )
        raw[REQUEST_KEY] = req
        answer = await self._run(req)
        if isinstance(answer, Answer):
            resp = whole_response(answer, req.request_id)
        else:
            resp = await stream_response(raw, answer, req.request_id)
        self._log_answer(req, answer)
        return resp

    async def _run(self, req: Request) -> AnyAnswer:
        """Pass a request through the filter chain and record its outcome."""
        outcomes = self._ctx.outcomes
        keyed = bool(req.idempotency_key)
        outcomes.begin(req.organisation.id, req.request_id, keyed=keyed)
        try:
            answer = await self._chain(req)
        except KnapweedhingeError as exc:
            outcomes.fail(req.request_id, exc.code, exc.run_state)
            raise
        except BaseException:
            code = ResultCode.INTERNAL_ERROR
            outcomes.fail(req.request_id, code, code.value.run_state)
            raise
        if isinstance(answer, Answer):
            outcomes.complete(req.request_id, answer.body)
            return answer

        async def complete(end: StreamEnd) -> None:
            outcomes.complete(req.request_id, b"")

        return replace(answer, on_end=(*answer.on_end, complete))

    def _log_answer(self, req: Request, answer) -> None:
        seconds = self._ctx.clock() - req.received_at
        name = target_name(req)
        self._ctx.metrics.observe(name, "total", seconds)
        self._ctx.metrics.count("answers", name)
        logger.bind(
            request_id=req.request_id,
            target=name,
            version=answer.version,
            endpoint=answer.endpoint_id,
            code=ResultCode.OK.number,
            seconds=round(seconds, 6),
        ).info("answered")


def target_name(req: Request) -> str:
    """Return the id of the class, version or service that a request names."""
    call = req.call
    return call.model if isinstance(call, ChatCall) else call.service


def json_response(value) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def error_middleware(ctx: Context):
    """Return the middleware that answers an error with its numbered result code.

    Of aiohttp's own HTTP errors, only those for an unknown path or method get one; the
    others pass unchanged.
    """

    @web.middleware
    async def handle_errors(raw: web.Request, handler) -> web.StreamResponse:
        try:
            return await handler(raw)
        except KnapweedhingeError as exc:
            return _respond_with_error(ctx, raw, exc)
        except web.HTTPNotFound:
            return _respond_with_error(
                ctx, raw, CallerError(code=ResultCode.PATH_UNKNOWN)
            )
        except web.HTTPMethodNotAllowed:
            return _respond_with_error(
                ctx, raw, CallerError(code=ResultCode.METHOD_NOT_ALLOWED)
            )
        except web.HTTPException:
            raise
        except Exception as exc:
            logger.opt(exception=exc).error("internal error")
            return _respond_with_error(ctx, raw, KnapweedhingeError())

    return handle_errors


def _respond_with_error(
    ctx: Context, raw: web.Request, exc: KnapweedhingeError
) -> web.Response:
    """Log and count an error, and return its response."""
    req = raw.get(REQUEST_KEY)
    request_id = req.request_id if req else ""
    ctx.metrics.count("errors", exc.code.name)
    logger.bind(
        request_id=request_id,
        path=raw.path,
        code=exc.code.number,
        run_state=str(exc.run_state),
    ).info("refused")
    return error_response(exc, request_id)
