"""Track where room is short, and which share of an organisation's calls may start."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from loguru import logger

from knapweedhinge.conf.catalog import Catalog
from knapweedhinge.conf.shares import ShareSettings
from knapweedhinge.controllers.demand import (
    ASKED,
    FIRST_CLASS,
    LATE,
    REFUSED,
    SCALE,
    STARTED,
    WINDOW_S,
    DemandTracker,
)
from knapweedhinge.controllers.fleet import FleetView
from knapweedhinge.controllers.fleetsums import FleetSums
from knapweedhinge.routing.fairdivision import FLOOR, OrganisationDemand, allocate
from knapweedhinge.routing.fairshare import (
    Arrival,
    Pressure,
    ServiceLoad,
    Verdict,
    capacity_per_s,
    decide,
    drain_per_s,
    is_short,
    pressure,
    share_of,
)
from knapweedhinge.routing.fleetsums import MAX_COLUMNS, FleetTable, Section, row_key
from knapweedhinge.routing.load import EndpointState
from knapweedhinge.routing.placement import SERVICE_WORK_S

# Time for which a standing is used before it is made anew, in seconds.
STANDING_AGE_S = 0.25
# Time constants of the mean by which a node's own part of a service is measured, in
# seconds: while there is room, and while it is short.
OWN_PART_S = 60.0
SHORT_OWN_PART_S = 600.0
# Calls that a node may start at least, a second, and at most at once from its own part.
LEAST_OWN_PER_S = 0.1
OWN_BURST = 2.0
# By how much the quickest known time grows with each answer, so that it can rise.
UNLEARN = 0.02
# What is kept, with each answer, of the sums that say how work delays calls.
KEPT = 0.95
# Seconds of work in these sums under which nothing is known of delays. None are
# expected then, so that calls are sent and their answers tell.
MIN_FOUND_S = 0.1


@dataclass(frozen=True, slots=True)
class Standing:
    """What is decided of a service for the present.

    ``shares`` holds the share by organisation and class, empty unless room is
    ``short``. ``served_parts`` is the part of its calls that each organisation started.
    """

    load: ServiceLoad
    pressure: Pressure
    short: bool
    capacity_per_s: float
    shares: Mapping[str, tuple[float, ...]]
    served_parts: Mapping[str, float]
    is_estimate: bool
    at: float


@dataclass(slots=True)
class _Service:
    """What a node learned of a service.

    ``tokens`` is what is left of its own part. ``delayed_s`` and ``found_s`` are sums
    over answers, decayed: by how long they came later than the quickest, and the work
    that they found outstanding, in seconds.
    """

    short: bool = False
    own_per_s: float = 0.0
    tokens: float = OWN_BURST
    at: float = 0.0
    first_piece_s: dict[str, float] = field(default_factory=dict)
    work_s: float = 0.0
    delayed_s: float = 0.0
    found_s: float = 0.0
    idle_since: dict[str, float] = field(default_factory=dict)
    standing: Standing | None = None


class ShareTracker:
    """Decide which calls may start, from sums over the fleet and own answers.

    ``work_s`` returns the outstanding work of all nodes at an endpoint, in seconds, and
    ``wall_s`` the wall-clock time. ``now`` is in seconds on the node's monotonic clock.
    """

    def __init__(
        self,
        settings: ShareSettings,
        sums: FleetSums,
        work_s: Callable[[str], float],
        wall_s: Callable[[float], float],
        rng: Random,
    ):
        self.demand = DemandTracker()
        self._weights = {item.organisation: item.weight for item in settings.weights}
        self._sums = sums
        self._work_s = work_s
        self._wall_s = wall_s
        self._rng = rng
        self._services: dict[str, _Service] = {}
        # Ranks by service, of the catalog that was used last.
        self._catalog: Catalog | None = None
        self._ranks: dict[str, set[int]] = {}
        sums.add_section(Section.DEMAND, self.demand.own)

    def decide(
        self,
        call: Arrival,
        service: str,
        standing: Standing,
        now: float,
    ) -> Verdict:
        """Decide whether a call may start, and take it from this node's own part."""
        known = self._service(service)
        self._refill(known, now)
        verdict = decide(
            call, standing.load, standing.short, self._wall_s(now), self._rng
        )
        if verdict.starts:
            known.tokens = max(0.0, known.tokens - 1)
            known.own_per_s += 1 / _own_part_s(known)
        return verdict

    def has_own_part(self, service: str, now: float) -> bool:
        """Return whether this node started less of a service than its own part."""
        known = self._service(service)
        self._refill(known, now)
        return known.tokens >= 1

    def share(self, standing: Standing, organisation: str, urgency: int) -> float:
        """Return the share of an organisation's calls of a class that may start."""
        if not standing.short:
            return 1.0
        return share_of(
            standing.shares, organisation, urgency, is_estimate=standing.is_estimate
        )

    def answer_began(
        self, service: str, organisation: str, now: float, *, late: bool
    ) -> None:
        """Count a call whose answer began; ``late`` if that was after its objective."""
        self.demand.started(service, organisation, now, late=late)

    def answered(
        self,
        service: str,
        route: str,
        first_piece_s: float,
        total_s: float,
        found_work_s: float,
    ) -> None:
        """Learn from an answer; all times are in seconds.

        That is how long the quickest answers take, and by how much the outstanding work
        that a call found at its endpoint, ``found_work_s``, delays it.
        """
        known = self._service(service)
        known.first_piece_s[route] = quickest = _quickest(
            known.first_piece_s.get(route, math.inf), first_piece_s
        )
        known.work_s = _quickest(known.work_s or math.inf, total_s)
        known.delayed_s = KEPT * known.delayed_s + first_piece_s - quickest
        known.found_s = KEPT * known.found_s + found_work_s

    def first_piece_s(self, service: str, route: str) -> float:
        """Return the quickest time to a first piece, 0 while none is known."""
        return self._service(service).first_piece_s.get(route, 0.0)

    def urgency(self, catalog: Catalog, service: str, rank: int) -> int:
        """Return the class of a rank: its place among the ranks of the service."""
        if catalog is not self._catalog:
            self._catalog, self._ranks = catalog, {}
        if service not in self._ranks:
            self._ranks[service] = ranks_of(catalog, service)
        return sum(known < rank for known in self._ranks[service])

    def standing(
        self, service: str, view: FleetView, nodes: int, now: float
    ) -> Standing:
        """Return what is decided of a service, made anew after ``STANDING_AGE_S``."""
        known = self._service(service)
        if known.standing is None or now - known.standing.at >= STANDING_AGE_S:
            known.standing = self._new_standing(service, known, view, nodes, now)
        return known.standing

    def dump(self) -> dict:
        """Return what is decided of each service as JSON-like values."""
        return {
            name: {
                "short": standing.short,
                "pressure": round(standing.pressure.value, 2),
                "wait_s": round(standing.load.expected_wait_s, 3),
                "capacity_per_s": round(standing.capacity_per_s, 1),
                "estimate": standing.is_estimate,
                "shares": {
                    organisation: [round(share, 2) for share in shares]
                    for organisation, shares in standing.shares.items()
                },
            }
            for name, known in self._services.items()
            if (standing := known.standing) is not None
        }

    def _new_standing(
        self, service: str, known: _Service, view: FleetView, nodes: int, now: float
    ) -> Standing:
        table = self._sums.table(Section.DEMAND, now, nodes)
        rows = organisation_rows(table, view.catalog, service)
        load = self._load(service, known, view, rows)
        present = pressure(load)
        capacity = capacity_per_s(load, present)
        asked = sum(row[ASKED] for row in rows.values()) / WINDOW_S
        short = is_short(known.short, present, asked - capacity)
        if short is not known.short:
            logger.bind(
                service=service,
                pressure=round(present.value, 2),
                wait_ms=round(load.expected_wait_s * 1000),
                refused=round(load.refused, 1),
                late=round(load.late, 1),
            ).info("room is short" if short else "room is no longer short")
            known.short = short
        shares = {}
        if short:
            shares = allocate(
                self._demands(known, rows, now), capacity, drain_per_s(load, present)
            )
        served = {
            name: min(1.0, row[STARTED] / row[ASKED])
            for name, row in rows.items()
            if row[ASKED] > 0
        }
        # A node that is alone knows all there is.
        is_estimate = nodes > 1 and table.is_estimate
        return Standing(
            load, present, short, capacity, shares, served, is_estimate, now
        )

    def _load(
        self,
        service: str,
        known: _Service,
        view: FleetView,
        rows: Mapping[str, tuple[float, ...]],
    ) -> ServiceLoad:
        index = view.endpoints
        endpoints = [
            endpoint
            for endpoint_id in index.by_service.get(service, ())
            if (endpoint := index.by_id[endpoint_id]).state is EndpointState.LIVE
            and endpoint.failure_domain not in view.domains_out
        ]
        outstanding = tuple(self._work_s(endpoint.id) for endpoint in endpoints)
        cfg = view.catalog.services.get(service)
        is_engine = cfg is not None and cfg.engine is not None
        slots = 0 if is_engine else sum(endpoint.slots for endpoint in endpoints)
        objectives = [
            route.objective_s for route in routes_of(view.catalog, service)
        ] or [1.0]
        return ServiceLoad(
            outstanding_s=outstanding,
            wait_per_work=wait_per_work(known.delayed_s, known.found_s),
            excess_calls=sum(outstanding) / SERVICE_WORK_S - slots,
            slots=slots,
            work_s=known.work_s,
            objective_s=max(0.01, min(objectives)),
            first_piece_s=min(known.first_piece_s.values(), default=0.0),
            started=sum(row[STARTED] for row in rows.values()),
            refused=sum(row[REFUSED] for row in rows.values()),
            late=sum(row[LATE] for row in rows.values()),
            window_s=WINDOW_S,
        )

    def _demands(
        self, known: _Service, rows: Mapping[str, tuple[float, ...]], now: float
    ) -> dict[str, OrganisationDemand]:
        idle = {
            name
            for name, row in rows.items()
            if row[ASKED] >= 1 and row[STARTED] < FLOOR * FLOOR * row[ASKED]
        }
        known.idle_since = {name: known.idle_since.get(name, now) for name in idle}
        return {
            name: OrganisationDemand(
                tuple(value / WINDOW_S for value in row[FIRST_CLASS:]),
                self._weights.get(name, 1.0),
                now - known.idle_since.get(name, now),
            )
            for name, row in rows.items()
            if any(row[FIRST_CLASS:])
        }

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service())

    def _refill(self, known: _Service, now: float) -> None:
        """Refill this node's own part: a quarter of what it started in the last minute.

        What is started for whatever reason is taken from it, so that it only adds to
        shares that are far too small. While room is short the mean changes slowly, or
        false sums would lower it to nothing.
        """
        passed_s = max(0.0, now - known.at)
        known.at = now
        known.own_per_s *= math.exp(-passed_s / _own_part_s(known))
        per_s = max(LEAST_OWN_PER_S, FLOOR * known.own_per_s)
        known.tokens = min(OWN_BURST, known.tokens + passed_s * per_s)


def _own_part_s(known: _Service) -> float:
    return SHORT_OWN_PART_S if known.short else OWN_PART_S


def routes_of(catalog: Catalog, service: str) -> list:
    """Return the routes that lead to a service."""
    return [
        route
        for route in catalog.routes
        if any(target.service == service for target in route.targets)
    ]


def ranks_of(catalog: Catalog, service: str) -> set[int]:
    """Return the ranks that calls of a service may have."""
    ranks = {route.rank for route in routes_of(catalog, service)}
    own = {organisation.rank for organisation in catalog.organisations or ()}
    return ranks | {rank for rank in own if rank is not None}


def organisation_rows(
    table: FleetTable, catalog: Catalog, service: str
) -> dict[str, tuple[float, ...]]:
    """Return the calls in the window by organisation; rows of no organisation are left.

    Columns are those of ``controllers.demand``.
    """
    names = ["", *(organisation.name for organisation in catalog.organisations or ())]
    rows = {}
    for name in names:
        key = row_key(service, name)
        if key in table.rows or key in table.own:
            row = table.row(key, MAX_COLUMNS)
            rows[name] = tuple(value / SCALE for value in row)
    return rows


def wait_per_work(delayed_s: float, found_s: float) -> float:
    """Return how many seconds a second of outstanding work delays a call, 0 to 1."""
    return min(1.0, delayed_s / found_s) if found_s >= MIN_FOUND_S else 0.0


def _quickest(known: float, seconds: float) -> float:
    return min(seconds, known * (1 + UNLEARN))
