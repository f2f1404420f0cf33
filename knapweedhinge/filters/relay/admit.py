"""Check a call against the catalog: route, API key and deadline."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from knapweedhinge.conf.catalog import CallerOrganisation, CallRoute, Catalog
from knapweedhinge.controllers.fleet import FleetView
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError, RefusedError
from knapweedhinge.filters.relay.types import (
    AnyRelayAnswer,
    CallTrace,
    RelayCall,
    RelayContext,
    RelayRequest,
)

# A node that has just started needs one read of the store for its catalog. Calls wait
# for it, but at most for this fraction of their time limit, and are then refused, since
# the store may be unreachable for longer.
CATALOG_WAIT_FRACTION = 0.15
NOT_READY_RETRY_AFTER_S = 0.8  # Retry-After of that refusal, in seconds
# The same on a node that stops without a catalog; other nodes accept the call at once.
LEAVING_RETRY_AFTER_S = 0.1
# Time limit of a call whose caller sets none; the route's timeout applies as well.
DEFAULT_TIMEOUT_S = 60.0

Handler = Callable[[RelayCall, float, CallTrace], Awaitable[AnyRelayAnswer]]
NextHandler = Callable[[RelayRequest, CallTrace], Awaitable[AnyRelayAnswer]]


class AdmitRelay:
    """Refuse calls that no route or API key allows, before any work is done."""

    def __init__(self, ctx: RelayContext, call_next: NextHandler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(
        self, call: RelayCall, received_at: float, trace: CallTrace
    ) -> AnyRelayAnswer:
        """Pass the call on with its route, organisation and deadline.

        Raise CallerError for an unknown route, key or model, and RefusedError if the
        node has no catalog yet, stops without one, or the deadline has passed.
        """
        if self._ctx.fleet.view.catalog is None:
            max_wait_s = CATALOG_WAIT_FRACTION * (
                call.caller_timeout_s or DEFAULT_TIMEOUT_S
            )
            await self._ctx.fleet.wait_for_catalog(max_wait_s)
        catalog = self._ctx.fleet.view.catalog
        if catalog is None and self._ctx.fleet.leaving:
            raise RefusedError(
                code=ResultCode.LEAVING, retry_after_s=LEAVING_RETRY_AFTER_S
            )
        if catalog is None:
            raise RefusedError(
                code=ResultCode.NOT_READY, retry_after_s=NOT_READY_RETRY_AFTER_S
            )
        route = find_route(catalog, call)
        organisation = find_organisation(catalog, route, call)
        check_model(route, call)
        trace.route = route.name
        trace.organisation = organisation.name if organisation else ""
        time_limit_s = (
            DEFAULT_TIMEOUT_S
            if call.caller_timeout_s is None
            else call.caller_timeout_s
        )
        req = RelayRequest(
            call,
            received_at,
            self._ctx.fleet.view,
            route,
            organisation,
            received_at + min(time_limit_s, route.timeout_s),
            rank_of(route, organisation),
        )
        if req.deadline_at <= self._ctx.clock():
            raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
        return await self._next(req, trace)


def find_route(catalog: Catalog, call: RelayCall) -> CallRoute:
    """Return the route of the call's host and path; raise CallerError without one."""
    route = catalog.route(call.host, call.path)
    if route is None:
        raise CallerError(code=ResultCode.ROUTE_UNKNOWN)
    return route


def find_organisation(
    catalog: Catalog, route: CallRoute, call: RelayCall
) -> CallerOrganisation | None:
    """Return the organisation of the call's API key.

    Return None if the catalog requires no keys, or for an unknown or missing key on a
    public route. Raise CallerError for such a key on any other route.
    """
    if not catalog.needs_keys:
        return None
    organisation = catalog.organisation(call.key)
    if organisation is None and not route.public:
        raise CallerError(code=ResultCode.AUTHENTICATION_FAILED)
    return organisation


def check_model(route: CallRoute, call: RelayCall) -> None:
    """Raise CallerError if a call names a model that its route doesn't have.

    Endpoints would refuse it one after the other.
    """
    names_model = call.model and not call.any_model
    if route.sizes and names_model and call.model not in route.sizes:
        raise CallerError(code=ResultCode.MODEL_UNKNOWN)


def recheck_admission(req: RelayRequest, view: FleetView) -> RelayRequest:
    """Check an admitted call against the newest catalog, and return it updated.

    Its key or route may have been withdrawn while it waited or was refused by another
    endpoint; raise CallerError then. It keeps its original deadline and route.
    """
    if view.catalog is req.view.catalog:
        return req
    find_route(view.catalog, req.call)
    organisation = find_organisation(view.catalog, req.route, req.call)
    rank = rank_of(req.route, organisation)
    return replace(req, view=view, organisation=organisation, rank=rank)


def rank_of(route: CallRoute, organisation: CallerOrganisation | None) -> int:
    """Return the call's priority rank, of which 0 is the highest.

    It is that of the organisation if set, else that of the route.
    """
    if organisation is not None and organisation.rank is not None:
        return organisation.rank
    return route.rank
