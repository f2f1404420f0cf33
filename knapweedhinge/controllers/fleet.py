"""Track the endpoints, catalog, failure domains and roll-outs known to a relay node.

Updates come from the store and from peers, in any order and possibly repeated. Each
kind of update is an event class. Applying an event builds a new immutable view.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch
from random import Random
from types import MappingProxyType

from reactivex.subject import Subject

from knapweedhinge.conf.catalog import Catalog
from knapweedhinge.routing.coldrate import COLD_MARGIN_S, ColdEndpoint, admit
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointKind, EndpointState, EndpointView
from knapweedhinge.routing.releases import Release, Stage

# Seconds an endpoint is kept after its record lapsed during a store outage. Live
# endpoints write their records again within about this time of the store's return.
LAPSED_GRACE_S = 2.0
MAX_LEAVING = 1024  # endpoints of which it is remembered that they said they leave


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Record that an endpoint publishes about itself.

    ``born`` identifies its process and changes on a restart. ``cold_s`` is the time in
    seconds for which the endpoint still expects to be cold. ``slots`` is how many calls
    it runs at once, 0 if it doesn't say.
    """

    id: str
    service: str
    ip: str
    port: int
    failure_domain: str
    region: str
    version: str
    born: str
    leaving: bool
    cold_s: float
    slots: int = 0


@dataclass(frozen=True, slots=True)
class CatalogSeen:
    """A catalog was read; one whose revision isn't newer is ignored."""

    catalog: Catalog


@dataclass(frozen=True, slots=True)
class EndpointSeen:
    """An endpoint's record was read."""

    record: EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointGone:
    """An endpoint's record was removed.

    ``lapsed`` is True when the store was unreachable shortly before, so that the
    record may have expired although its endpoint is alive.
    """

    endpoint_id: str
    lapsed: bool = False


@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """An endpoint's process said in an answer that it leaves."""

    endpoint_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class DomainOut:
    """A failure domain was taken out of service and must get no more calls."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class DomainIn:
    """A failure domain was put back into service and may get calls again."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class ReleaseOrdered:
    """An operator ordered a roll-out: move a service's traffic to a version.

    ``period_s`` is the time in seconds that the roll-out should take.
    """

    service: str
    version: str
    period_s: float


@dataclass(frozen=True, slots=True)
class ReleaseWithdrawn:
    """The order for a service's roll-out was withdrawn."""

    service: str


@dataclass(frozen=True, slots=True)
class ReleaseStaged:
    """A roll-out reached a stage.

    ``began_at`` is when the roll-out began (its trial stage), the same in every stage,
    in seconds on the store's clock.
    """

    service: str
    version: str
    stage: Stage
    began_at: float


def _empty() -> Mapping:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class FleetView:
    """Immutable view of the deployment at one moment.

    ``domains_out`` names the failure domains that get no calls. ``orders`` holds the
    ordered roll-outs and ``stages`` their recorded stages, both by service name.
    """

    catalog: Catalog | None = None
    endpoints: EndpointIndex = field(default_factory=EndpointIndex)
    domains_out: frozenset[str] = frozenset()
    orders: Mapping[str, ReleaseOrdered] = field(default_factory=_empty)
    stages: Mapping[str, ReleaseStaged] = field(default_factory=_empty)

    def release(self, service: str) -> Release | None:
        """Return the roll-out ordered for a service, or None.

        A recorded stage of another version belongs to an earlier order and is ignored.
        """
        order, staged = self.orders.get(service), self.stages.get(service)
        if order is None:
            return None
        if staged is None or staged.version != order.version:
            return Release(service, order.version, order.period_s)
        return Release(
            service, order.version, order.period_s, staged.stage, staged.began_at
        )


@singledispatch
def fold(event, view: FleetView) -> FleetView:
    """Return the view that results from applying an event.

    A catalog or endpoint event that changes nothing returns ``view`` itself; any other
    event returns a new view. Raise TypeError for an unknown kind of event.
    """
    raise TypeError(f"unsupported event type {type(event).__name__}")


@fold.register
def _(event: CatalogSeen, view: FleetView) -> FleetView:
    if view.catalog is not None and view.catalog.revision >= event.catalog.revision:
        return view
    return replace(view, catalog=event.catalog)


@fold.register
def _(event: EndpointSeen, view: FleetView) -> FleetView:
    known = view.endpoints.by_id.get(event.record.id)
    seen = endpoint_view(event.record)
    if known == seen:
        return view
    return replace(view, endpoints=view.endpoints.replace(seen))


@fold.register
def _(event: EndpointLeaving, view: FleetView) -> FleetView:
    known = view.endpoints.by_id.get(event.endpoint_id)
    if known is None or known.incarnation != event.incarnation:
        return view
    if known.state is EndpointState.LEAVING:
        return view
    leaving = replace(known, state=EndpointState.LEAVING)
    return replace(view, endpoints=view.endpoints.replace(leaving))


@fold.register
def _(event: EndpointGone, view: FleetView) -> FleetView:
    if event.endpoint_id not in view.endpoints.by_id:
        return view
    kept = (
        endpoint
        for endpoint in view.endpoints.by_id.values()
        if endpoint.id != event.endpoint_id
    )
    return replace(view, endpoints=EndpointIndex(kept))


@fold.register
def _(event: DomainOut, view: FleetView) -> FleetView:
    return replace(view, domains_out=view.domains_out | {event.failure_domain})


@fold.register
def _(event: DomainIn, view: FleetView) -> FleetView:
    return replace(view, domains_out=view.domains_out - {event.failure_domain})


@fold.register
def _(event: ReleaseOrdered, view: FleetView) -> FleetView:
    orders = MappingProxyType({**view.orders, event.service: event})
    return replace(view, orders=orders)


@fold.register
def _(event: ReleaseWithdrawn, view: FleetView) -> FleetView:
    orders = {
        name: order for name, order in view.orders.items() if name != event.service
    }
    return replace(view, orders=MappingProxyType(orders))


@fold.register
def _(event: ReleaseStaged, view: FleetView) -> FleetView:
    stages = MappingProxyType({**view.stages, event.service: event})
    return replace(view, stages=stages)


def endpoint_view(record: EndpointRecord) -> EndpointView:
    """Convert an endpoint's record into the view that routing works on."""
    return EndpointView(
        id=record.id,
        url=f"http://{record.ip}:{record.port}",
        failure_domain=record.failure_domain,
        region=record.region,
        kind=EndpointKind.SERVICE,
        versions=frozenset({record.version}),
        service=record.service,
        incarnation=record.born,
        state=EndpointState.LEAVING if record.leaving else EndpointState.LIVE,
        slots=record.slots,
    )


class FleetTracker:
    """Hold the current view, cold starts and lapsed records of endpoints.

    ``changes`` emits each event that led to a new view. ``nodes`` is the number of
    proxy nodes among which the call rate of a cold endpoint is divided. ``rng`` draws
    the tokens with which this node starts for a cold endpoint. ``leaving`` says that
    the node stops, ``era`` is the store's, for log lines. ``now`` is in seconds on the
    node's monotonic clock.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self.view = FleetView()
        self.changes: Subject = Subject()
        self.nodes = 1
        self.leaving = False
        self.era = 0
        self._catalog_wait_over = asyncio.Event()
        self._cold: dict[str, ColdEndpoint] = {}
        self._lapsed: dict[str, float] = {}
        # Incarnations of endpoints that said in an answer that they leave, by id.
        self._leaving: dict[str, str] = {}

    def apply(self, event, now: float) -> bool:
        """Apply an event and return whether it led to a new view.

        The removal of a lapsed record takes effect only after a grace period, unless
        the record is seen again before.
        """
        if isinstance(event, EndpointGone) and event.lapsed:
            if event.endpoint_id in self.view.endpoints.by_id:
                self._lapsed.setdefault(event.endpoint_id, now + LAPSED_GRACE_S)
            return False
        before = self.view
        known = None
        if isinstance(event, EndpointLeaving):
            self._leaving[event.endpoint_id] = event.incarnation
            if len(self._leaving) > MAX_LEAVING:
                del self._leaving[next(iter(self._leaving))]
        if isinstance(event, EndpointSeen):
            event = self._still_leaving(event)
            known = before.endpoints.by_id.get(event.record.id)
            self._lapsed.pop(event.record.id, None)
            self._note_cold_record(event.record, known, now)
        if isinstance(event, EndpointGone):
            # Its cold start is kept: the record may return, and expires by itself.
            self._lapsed.pop(event.endpoint_id, None)
        if isinstance(event, DomainIn):
            self._mark_domain_cold(event.failure_domain, now)
        self.view = fold(event, before)
        if self.view is before:
            return False
        if self.view.catalog is not None:
            self._catalog_wait_over.set()
        self.changes.on_next(event)
        return True

    def _still_leaving(self, event: EndpointSeen) -> EndpointSeen:
        """Return a record as that of a leaving endpoint if its process said so.

        The record may have been written before the answer.
        """
        record = event.record
        if self._leaving.get(record.id) != record.born:
            return event
        return EndpointSeen(replace(record, leaving=True))

    async def wait_for_catalog(self, longest_s: float) -> None:
        """Wait for the first catalog, but at most ``longest_s`` seconds.

        Don't wait for it on a node that stops.
        """
        try:
            async with asyncio.timeout(longest_s):
                await self._catalog_wait_over.wait()
        except TimeoutError:
            return

    def leave(self) -> None:
        """Note that the node stops, which ends all waits for a first catalog."""
        self.leaving = True
        self._catalog_wait_over.set()

    def expire(self, now: float) -> None:
        """Remove endpoints whose lapsed records did not return in the grace period.

        Drop cold starts that are over, too.
        """
        for endpoint_id in [i for i, cold in self._cold.items() if now >= cold.until]:
            del self._cold[endpoint_id]
        for endpoint_id in [
            lapsed_id
            for lapsed_id, remove_at in self._lapsed.items()
            if now >= remove_at
        ]:
            del self._lapsed[endpoint_id]
            self.apply(EndpointGone(endpoint_id), now)

    def lapsed_ids(self) -> frozenset[str]:
        """Return the ids of endpoints whose records lapsed and may still return."""
        return frozenset(self._lapsed)

    def admit_cold(self, endpoint_id: str, now: float) -> bool:
        """Return whether this node may send a call to an endpoint now.

        For a cold endpoint, an allowed call uses up one token of this node's share
        of the endpoint's call rate. Warm endpoints always allow a call.
        """
        state, allowed = admit(self._cold.get(endpoint_id), self.nodes, now)
        if state is None:
            self._cold.pop(endpoint_id, None)
        else:
            self._cold[endpoint_id] = state
        return allowed

    def is_cold(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint is still expected to be cold."""
        cold = self._cold.get(endpoint_id)
        return cold is not None and now < cold.until

    def cold_rate_limited(self, now: float) -> frozenset[str]:
        """Return the ids of cold endpoints for which this node has no token left."""
        return frozenset(
            endpoint_id
            for endpoint_id, cold in self._cold.items()
            if not admit(cold, self.nodes, now)[1]
        )

    def note_cold_answer(self, endpoint_id: str, cold_s: float, now: float) -> None:
        """Note that an endpoint's answer said it stays cold for ``cold_s`` seconds."""
        endpoint = self.view.endpoints.by_id.get(endpoint_id)
        if endpoint is not None and cold_s > 0:
            self._set_cold(endpoint_id, endpoint.service, cold_s, now)

    def _note_cold_record(
        self, record: EndpointRecord, known: EndpointView | None, now: float
    ) -> None:
        """Note the cold time in a record.

        A restarted endpoint whose record states no cold time gets the usual one of
        its service.
        """
        restarted = known is not None and known.incarnation != record.born
        cold_s = record.cold_s
        if restarted and cold_s <= 0:
            cold_s = self._service_cold_s(record.service)
        if cold_s > 0:
            self._set_cold(record.id, record.service, cold_s, now)

    def _mark_domain_cold(self, failure_domain: str, now: float) -> None:
        """Limit calls to the endpoints of a returning failure domain as if cold.

        They may have become cold while they got no calls. Endpoints of a service
        without a cold start are left as they are.
        """
        for endpoint in self.view.endpoints.by_id.values():
            if endpoint.failure_domain == failure_domain:
                cold_s = self._service_cold_s(endpoint.service)
                if cold_s > 0:
                    self._set_cold(endpoint.id, endpoint.service, cold_s, now)

    def _set_cold(
        self, endpoint_id: str, service: str, cold_s: float, now: float
    ) -> None:
        catalog = self.view.catalog
        known = catalog.services.get(service) if catalog else None
        if known is None or known.cold_per_s <= 0:
            return
        until = now + cold_s + COLD_MARGIN_S
        held = self._cold.get(endpoint_id)
        if held is None:
            held = ColdEndpoint(until, known.cold_per_s, self._rng.random(), now)
        self._cold[endpoint_id] = replace(held, until=max(held.until, until))

    def _service_cold_s(self, service: str) -> float:
        catalog = self.view.catalog
        known = catalog.services.get(service) if catalog else None
        return known.cold_s if known else 0.0
