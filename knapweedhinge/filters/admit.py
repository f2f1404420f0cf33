"""Refuse work early when the node can't or mustn't take it."""

from dataclasses import replace

from knapweedhinge.conf import Configuration, PeerSettings
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

RETRY_ELSEWHERE_S = 0.1
UNCLASSED_DEADLINE_S = 60.0


class Admit:
    """Check that the node serves, and what the request names."""

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on with its class or route and its deadline."""
        now = self._ctx.clock()
        ensure_current(req.snapshot, self._ctx.settings.peers, now)
        named = name_target(req)
        if named.deadline_at <= now:
            raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
        return await self._next(named)


def ensure_serving(snapshot: Snapshot) -> None:
    """Raise RefusedError unless the node has a configuration."""
    if snapshot.configuration is None or snapshot.phase is Phase.STARTING:
        raise RefusedError(code=ResultCode.NOT_READY, retry_after_s=RETRY_ELSEWHERE_S)


def ensure_current(snapshot: Snapshot, cfg: PeerSettings, now: float) -> None:
    """Raise RefusedError when a newer configuration may be in force elsewhere."""
    ensure_serving(snapshot)
    judged = staleness(
        snapshot.configured,
        now,
        snapshot.heard_fraction(now),
        snapshot.configured.newest_known,
        cfg,
        snapshot.configuration.limits,
    )
    if isinstance(judged, Refusing):
        raise RefusedError(
            f"the configuration is not confirmed: {judged.why}",
            code=judged.code,
            retry_after_s=RETRY_ELSEWHERE_S,
        )


def name_target(req: Request) -> Request:
    """Return the request with its class or route, and the earliest deadline."""
    match req.call:
        case ChatCall():
            return _name_class(req, req.call)
        case ServiceCall():
            return _name_route(req, req.call)


def _name_class(req: Request, call: ChatCall) -> Request:
    configuration = req.snapshot.configuration
    work = configuration.class_of_work(call.model)
    longest_s = work.deadline_s if work else version_deadline_s(configuration, call)
    deadline_at = min(req.deadline_at, req.received_at + longest_s)
    return replace(req, class_id=work.id if work else "", deadline_at=deadline_at)


def version_deadline_s(configuration: Configuration, call: ChatCall) -> float:
    """Return the longest answer of a version a caller names instead of a class.

    It is that of the slowest class the version may serve.
    """
    deadlines = [
        work.deadline_s for work in configuration.classes if call.model in work.versions
    ]
    return max(deadlines, default=UNCLASSED_DEADLINE_S)


def _name_route(req: Request, call: ServiceCall) -> Request:
    service = req.snapshot.configuration.service(call.service)
    if service is None:
        raise CallerError(code=ResultCode.SERVICE_UNKNOWN)
    if call.service not in req.organisation.allowed_services:
        raise RefusedError(code=ResultCode.SERVICE_NOT_ALLOWED)
    route = next((one for one in service.routes if matches(one, call)), None)
    if route is None:
        raise CallerError(code=ResultCode.ROUTE_UNKNOWN)
    deadline_at = min(req.deadline_at, req.received_at + route.deadline_s)
    return replace(req, class_id=service.id, route=route, deadline_at=deadline_at)


def matches(route, call: ServiceCall) -> bool:
    """Return whether a call is one of the route's."""
    if route.method not in ("*", call.method):
        return False
    path = route.path.strip("/")
    if path.endswith("*"):
        return call.path.startswith(path[:-1])
    return call.path == path
