"""What a node knows of the deployment it passes calls on in, as one immutable view.

News come from the store and from peers, in any order and more than once. Each kind of
news is an event; the view is folded from them and replaced, never changed.
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

# Records that lapsed while the store was away come back within about this time of its
# return, if their endpoint lives.
LAPSED_S = 2.0


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint's own record of itself; ``born`` names its process."""

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


@dataclass(frozen=True, slots=True)
class CatalogSeen:
    """A catalog; an older one than the present changes nothing."""

    catalog: Catalog


@dataclass(frozen=True, slots=True)
class EndpointSeen:
    """A record as it stands."""

    record: EndpointRecord


@dataclass(frozen=True, slots=True)
class EndpointGone:
    """A record was removed; ``lapsed`` if the store was away lately."""

    endpoint_id: str
    lapsed: bool = False


@dataclass(frozen=True, slots=True)
class DomainOut:
    """A failure domain gets no work any more."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class DomainIn:
    """A failure domain may get work again."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class ReleaseOrdered:
    """Operators want a service's traffic moved to a version within ``period_s``."""

    service: str
    version: str
    period_s: float


@dataclass(frozen=True, slots=True)
class ReleaseWithdrawn:
    """The order of a service's roll-out is gone."""

    service: str


@dataclass(frozen=True, slots=True)
class ReleaseStaged:
    """A roll-out is at a stage; ``began_at`` is on the store's clock."""

    service: str
    version: str
    stage: Stage
    began_at: float


def _empty() -> Mapping:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class FleetView:
    """The deployment as of one moment.

    ``orders`` are the roll-outs asked for, ``stages`` what is recorded of them, both
    by service.
    """

    catalog: Catalog | None = None
    endpoints: EndpointIndex = field(default_factory=EndpointIndex)
    domains_out: frozenset[str] = frozenset()
    orders: Mapping[str, ReleaseOrdered] = field(default_factory=_empty)
    stages: Mapping[str, ReleaseStaged] = field(default_factory=_empty)

    def release(self, service: str) -> Release | None:
        """Return the roll-out of a service, whose order may be newer than its stage."""
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
    """Return the view after ``event``."""
    raise TypeError(f"no fold for {type(event).__name__}")


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
def _(event: EndpointGone, view: FleetView) -> FleetView:
    if event.endpoint_id not in view.endpoints.by_id:
        return view
    kept = (one for one in view.endpoints.by_id.values() if one.id != event.endpoint_id)
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
    orders = {name: one for name, one in view.orders.items() if name != event.service}
    return replace(view, orders=MappingProxyType(orders))


@fold.register
def _(event: ReleaseStaged, view: FleetView) -> FleetView:
    stages = MappingProxyType({**view.stages, event.service: event})
    return replace(view, stages=stages)


def endpoint_view(record: EndpointRecord) -> EndpointView:
    """Return the endpoint as routing sees it."""
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
    )


class FleetBook:
    """Hold the present view, and what of it depends on time.

    ``changes`` emits each event that changed something. ``now`` is on the node's
    monotonic clock.
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self.view = FleetView()
        self.changes: Subject = Subject()
        self.nodes = 1
        self._first_catalog = asyncio.Event()
        self._cold: dict[str, ColdEndpoint] = {}
        self._lapsed: dict[str, float] = {}

    def apply(self, event, now: float) -> bool:
        """Take an event in; return whether it changed the view."""
        if isinstance(event, EndpointGone) and event.lapsed:
            if event.endpoint_id in self.view.endpoints.by_id:
                self._lapsed.setdefault(event.endpoint_id, now + LAPSED_S)
            return False
        before = self.view
        known = None
        if isinstance(event, EndpointSeen):
            known = before.endpoints.by_id.get(event.record.id)
            self._lapsed.pop(event.record.id, None)
            self._note_cold(event.record, known, now)
        if isinstance(event, EndpointGone):
            self._cold.pop(event.endpoint_id, None)
            self._lapsed.pop(event.endpoint_id, None)
        if isinstance(event, DomainIn):
            self._cool_domain(event.failure_domain, now)
        self.view = fold(event, before)
        if self.view is before:
            return False
        if self.view.catalog is not None:
            self._first_catalog.set()
        self.changes.on_next(event)
        return True

    async def wait_for_catalog(self, longest_s: float) -> None:
        """Return when a catalog is known, or after ``longest_s`` all the same."""
        try:
            async with asyncio.timeout(longest_s):
                await self._first_catalog.wait()
        except TimeoutError:
            return

    def expire(self, now: float) -> None:
        """Give up records that lapsed and did not come back in time."""
        for endpoint_id in [one for one, at in self._lapsed.items() if now >= at]:
            del self._lapsed[endpoint_id]
            self.apply(EndpointGone(endpoint_id), now)

    def doubtful(self) -> frozenset[str]:
        """Return the endpoints whose records lapsed and may come back."""
        return frozenset(self._lapsed)

    def admit_cold(self, endpoint_id: str, now: float) -> bool:
        """Take one of this node's calls to a cold endpoint; False if none is left."""
        state, allowed = admit(self._cold.get(endpoint_id), self.nodes, now)
        if state is None:
            self._cold.pop(endpoint_id, None)
        else:
            self._cold[endpoint_id] = state
        return allowed

    def is_cold(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint is believed to be cold still."""
        cold = self._cold.get(endpoint_id)
        return cold is not None and now < cold.until

    def cold_refused(self, now: float) -> frozenset[str]:
        """Return the cold endpoints that this node may send nothing to now."""
        return frozenset(
            one
            for one, cold in self._cold.items()
            if not admit(cold, self.nodes, now)[1]
        )

    def heard_cold(self, endpoint_id: str, cold_s: float, now: float) -> None:
        """Take an endpoint's word in an answer that it is cold."""
        endpoint = self.view.endpoints.by_id.get(endpoint_id)
        if endpoint is not None and cold_s > 0:
            self._set_cold(endpoint_id, endpoint.service, cold_s, now)

    def _note_cold(
        self, record: EndpointRecord, known: EndpointView | None, now: float
    ) -> None:
        """Take cold time over; a process that is new to us counts as cold as told."""
        restarted = known is not None and known.incarnation != record.born
        cold_s = record.cold_s
        if restarted and cold_s <= 0:
            cold_s = self._service_cold_s(record.service)
        if cold_s > 0:
            self._set_cold(record.id, record.service, cold_s, now)

    def _cool_domain(self, failure_domain: str, now: float) -> None:
        """Send slowly to a domain that returns; its endpoints may have cooled."""
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
