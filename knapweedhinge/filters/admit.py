"""Refuse requests that the node can't or mustn't serve, before any work is done."""

from dataclasses import replace

from knapweedhinge.conf import Configuration, PeerSettings
from knapweedhinge.conf.cooperative import Route, Service
from knapweedhinge.controllers.configuration_staleness import Refusing, staleness
from knapweedhinge.controllers.snapshot import Phase, Snapshot
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError, RefusedError
from knapweedhinge.filters.types import (
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    ServiceCall,
)

# Retry-After of a node that has no current configuration, in seconds. It is short since
# another node can probably serve the request.
RETRY_AFTER_S = 0.1
UNKNOWN_VERSION_DEADLINE_S = 60.0  # for a version that no class of work uses


class Admit:
    """Check that the node may serve, and resolve the class or route of the request."""

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on with its class or route and its deadline.

        Raise CallerError or RefusedError if it may not run.
        """
        now = self._ctx.clock()
        ensure_current(req.snapshot, self._ctx.settings.peers, now)
        resolved = resolve_target(req)
        if resolved.deadline_at <= now:
            raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
        return await self._next(resolved)


def ensure_serving(snapshot: Snapshot) -> None:
    """Raise RefusedError while the node starts or has no configuration."""
    if snapshot.configuration is None or snapshot.phase is Phase.STARTING:
        raise RefusedError(code=ResultCode.NOT_READY, retry_after_s=RETRY_AFTER_S)


def ensure_current(snapshot: Snapshot, cfg: PeerSettings, now: float) -> None:
    """Raise RefusedError when the node's configuration may be outdated.

    A newer one may already be in force on other nodes.
    """
    ensure_serving(snapshot)
    verdict = staleness(
        snapshot.configured,
        now,
        snapshot.heard_fraction(now),
        snapshot.configured.newest_known,
        cfg,
        snapshot.configuration.limits,
    )
    if isinstance(verdict, Refusing):
        raise RefusedError(
            f"the configuration may be outdated: {verdict.why}",
            code=verdict.code,
            retry_after_s=RETRY_AFTER_S,
        )


def resolve_target(req: Request) -> Request:
    """Return the request with its class or route, and with its deadline.

    The deadline is the earlier of the caller's and the configured one. Raise
    CallerError for an unknown service or route, and RefusedError for a service that
    the organisation may not call.
    """
    match req.call:
        case ChatCall():
            return _resolve_class(req, req.call)
        case ServiceCall():
            return _resolve_route(req, req.call)


def _resolve_class(req: Request, call: ChatCall) -> Request:
    configuration = req.snapshot.configuration
    work_class = configuration.class_of_work(call.model)
    time_limit_s = (
        work_class.deadline_s if work_class else version_deadline_s(configuration, call)
    )
    deadline_at = min(req.deadline_at, req.received_at + time_limit_s)
    return replace(
        req, class_id=work_class.id if work_class else "", deadline_at=deadline_at
    )


def version_deadline_s(configuration: Configuration, call: ChatCall) -> float:
    """Return the time limit, in seconds, for a version named instead of a class.

    It is the longest one among the classes that use the version.
    """
    deadlines = [
        work_class.deadline_s
        for work_class in configuration.classes
        if call.model in work_class.versions
    ]
    return max(deadlines, default=UNKNOWN_VERSION_DEADLINE_S)


def _resolve_route(req: Request, call: ServiceCall) -> Request:
    service = req.snapshot.configuration.service(call.service)
    if service is None:
        raise CallerError(code=ResultCode.SERVICE_UNKNOWN)
    if call.service not in req.organisation.allowed_services:
        raise RefusedError(code=ResultCode.SERVICE_NOT_ALLOWED)
    route = find_route(service, call)
    if route is None:
        raise CallerError(code=ResultCode.ROUTE_UNKNOWN)
    deadline_at = min(req.deadline_at, req.received_at + route.deadline_s)
    return replace(req, class_id=service.id, route=route, deadline_at=deadline_at)


def find_route(service: Service, call: ServiceCall) -> Route | None:
    """Return the service's first route that matches the call, None without one."""
    matching = (route for route in service.routes if route_matches(route, call))
    return next(matching, None)


def route_matches(route, call: ServiceCall) -> bool:
    """Return whether the route's method and path match the call.

    A path that ends in ``*`` matches every path with that prefix.
    """
    if route.method not in ("*", call.method):
        return False
    path = route.path.strip("/")
    if path.endswith("*"):
        return call.path.startswith(path[:-1])
    return call.path == path
