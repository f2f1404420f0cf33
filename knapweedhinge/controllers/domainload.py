"""Count the calls of each failure domain, and hold the shares of them that leave.

The counts travel with the reports of work and are summed over all nodes of the region
(``fleetsums``). The shares are decided by ``routing.domainshare``.
"""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from math import exp

from loguru import logger

from knapweedhinge.conf.relay import RelaySettings
from knapweedhinge.controllers.fleet import FleetTracker
from knapweedhinge.controllers.fleetsums import REPORT_MAX_AGE_S
from knapweedhinge.controllers.loadtracker import LoadTracker
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.routing.domainshare import (
    MEGABYTE,
    Assignment,
    AwayShare,
    CallNeeds,
    DomainLoad,
    assign,
    next_share,
    penalty_s,
)
from knapweedhinge.routing.fleetsums import FleetTable, Section, Table, row_key
from knapweedhinge.routing.load import EndpointState, EndpointView
from knapweedhinge.routing.placement import (
    PREFILL_TOKENS_PER_S,
    SERVICE_WORK_S,
    version_of,
)
from knapweedhinge.routing.releases import may_use

# Seconds in which the weight of a counted call falls to 1/e; a count divided by it is
# a rate.
DECAY_S = 4.0
DECIDE_INTERVAL_S = 1.0  # least time between two decisions about a service
FORGET_SHARE_S = 60.0  # time after which a share that no call asked for is dropped
LOGGED_CHANGE = 0.1  # change of a share that is worth a log line
MIN_ENDED = 10 * 100  # calls, in hundredths, below which the late ones say nothing
FORGET_BELOW = 0.005  # counts of a row that are dropped
# Rows of the failure domain of the nodes that calls came to, and of the endpoints.
DEMAND, LOAD = "demand", "load"
# Columns of a row, in hundredths, since a node sees few calls.
CALLS, WORK_S, SERVED, LATE, KILOBYTES, CACHED_TOKENS = range(6)
COLUMNS = 6
# Why a call went to another domain than the one it was assigned to.
HOME = "home"
HOME_BUSY = "home-busy"
OTHER_BUSY = "assigned-domain-busy"


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ended at an endpoint, with the bytes of the call and its answer.

    ``served`` says that it was answered, ``late`` that it failed or that its answer
    began later than its route's objective.
    """

    served: bool
    late: bool
    size: int


@dataclass(frozen=True, slots=True)
class _ServiceShare:
    """The share of a service's calls, their mean size, and the share last logged."""

    share: AwayShare
    megabytes: float
    logged: float


class DomainLoadTracker:
    """Count calls by failure domain and decide which share of them leaves this one.

    ``now`` is in seconds on the node's monotonic clock.
    """

    def __init__(
        self,
        settings: RelaySettings,
        fleet: FleetTracker,
        loads: LoadTracker,
        metrics: Metrics,
    ):
        self._cfg = settings.leaving
        self._home = settings.listen.failure_domain
        self._region = settings.listen.region
        self._fleet = fleet
        self._loads = loads
        self._metrics = metrics
        self._counts: dict[int, list[float]] = {}
        self._counted_at = float("-inf")
        self._services: dict[str, _ServiceShare] = {}
        loads.tables.add_section(Section.DOMAIN_LOAD, self.own_table)

    def began(
        self, service: str, work_s: float, cached_tokens: int, now: float
    ) -> None:
        """Count a call that is sent to an endpoint, with what is cached there of it."""
        row = self._row(DEMAND, service, self._home, now)
        row[CALLS] += 1
        row[WORK_S] += work_s
        row[CACHED_TOKENS] += max(0, cached_tokens)

    def ended(self, service: str, domain: str, end: CallEnd, now: float) -> None:
        """Count a call that an endpoint of ``domain`` answered or failed."""
        row = self._row(LOAD, service, domain, now)
        row[CALLS] += 1
        row[SERVED] += end.served
        row[LATE] += end.late
        self._row(DEMAND, service, self._home, now)[KILOBYTES] += end.size / 1000

    def own_table(self, now: float) -> Table:
        """Return this node's decayed counts, to be added up with the others'."""
        self._decay(now)
        return {
            key: tuple(round(value * 100) for value in row)
            for key, row in self._counts.items()
        }

    def assigned(
        self,
        service: str,
        affinity_key: str,
        body_bytes: int,
        objective_s: float,
        now: float,
    ) -> Assignment | None:
        """Return the failure domain that a call prefers, None without recent sums."""
        share = self._share(service, now)
        if share is None:
            return None
        megabytes = max(body_bytes / MEGABYTE, self._services[service].megabytes)
        allowed_s = penalty_s(self._cfg, megabytes, objective_s)
        return assign(share, self._home, f"{service}\0{affinity_key}", allowed_s)

    def placed(self, assignment: Assignment, domain: str) -> str:
        """Count a call that was placed in a failure domain; return why it was."""
        is_home = domain == self._home
        if domain == assignment.domain:
            cause = HOME if is_home else assignment.reason.value
        else:
            cause = HOME_BUSY if assignment.domain == self._home else OTHER_BUSY
        self._metrics.count("calls_kept" if is_home else "calls_sent_away", cause)
        return cause

    def dump(self, now: float) -> dict:
        """Return the shares by service with their reasons, and the age of the sums."""
        table = self._loads.tables.table(Section.DOMAIN_LOAD, now, self._fleet.nodes)
        age_s = round(table.age_s, 2) if table.age_s < float("inf") else None
        shares = {name: asdict(held.share) for name, held in self._services.items()}
        return {"sums_age_s": age_s, "services": shares}

    def _share(self, service: str, now: float) -> AwayShare | None:
        """Return the share of a service's calls that leave, decided anew if due."""
        held = self._services.get(service)
        before = held.share if held else None
        if before is not None and now - before.at < DECIDE_INTERVAL_S:
            return before
        tables = self._loads.tables
        table = tables.table(Section.DOMAIN_LOAD, now, self._fleet.nodes)
        # Own counts say nothing of other domains, so they aren't scaled up.
        if table.age_s > REPORT_MAX_AGE_S:
            return None
        needs = self._needs(service, table)
        if needs is None:
            return None
        loads = self._domain_loads(service, table, now)
        share = next_share(
            before, self._home, loads, needs, self._cfg, table.age_s, now
        )
        logged = held.logged if held else 0.0
        if _is_worth_logging(share.away, logged):
            self._log_change(service, share, logged)
            logged = share.away
        self._services = {
            name: other
            for name, other in self._services.items()
            if now - other.share.at < FORGET_SHARE_S
        }
        self._services[service] = _ServiceShare(share, needs.megabytes, logged)
        return share

    @staticmethod
    def _log_change(service: str, share: AwayShare, logged: float) -> None:
        logger.bind(
            service=service,
            share=round(share.away, 3),
            before=round(logged, 3),
            reason=share.reason.value,
            targets=dict(share.targets),
        ).info("share of calls that leave the failure domain changed")

    def _needs(self, service: str, table: FleetTable) -> CallNeeds | None:
        """Return what the calls of a service need, None if no route leads to it."""
        catalog = self._fleet.view.catalog
        routes = [
            route
            for route in (catalog.routes if catalog else ())
            if any(target.service == service for target in route.targets)
        ]
        if not routes:
            return None
        strictest = min(routes, key=lambda route: route.objective_s)
        rows = [
            table.row(row_key(DEMAND, service, domain), COLUMNS)
            for domain in self._domains(service)
        ]
        calls = sum(row[CALLS] for row in rows)
        means = [
            sum(row[i] for row in rows) / calls if calls else 0.0 for i in range(6)
        ]
        return CallNeeds(
            work_s=means[WORK_S] or SERVICE_WORK_S,
            objective_s=strictest.objective_s,
            deadline_s=strictest.timeout_s,
            megabytes=means[KILOBYTES] * 1000 / MEGABYTE,
            reread_s=means[CACHED_TOKENS] / PREFILL_TOKENS_PER_S,
        )

    def _domain_loads(
        self, service: str, table: FleetTable, now: float
    ) -> dict[str, DomainLoad]:
        """Return the load of each failure domain of the region."""
        in_use = list(self._in_use(service))
        # Cold endpoints take few calls; they count only if no other is left.
        warm = [e for e in in_use if not self._fleet.is_cold(e.id, now)] or in_use
        found = {}
        for domain in self._domains(service):
            there = [e for e in warm if e.failure_domain == domain]
            demand = table.row(row_key(DEMAND, service, domain), COLUMNS)
            load = table.row(row_key(LOAD, service, domain), COLUMNS)
            found[domain] = DomainLoad(
                len(there),
                demand[CALLS] / 100 / DECAY_S,
                load[SERVED] / 100 / DECAY_S,
                sum(self._loads.work_s(endpoint.id) for endpoint in there),
                load[LATE] / load[CALLS] if load[CALLS] >= MIN_ENDED else 0.0,
            )
        return found

    def _domains(self, service: str) -> list[str]:
        """Return the failure domains of the region with endpoints, and this node's."""
        names = {endpoint.failure_domain for endpoint in self._known(service)}
        return sorted(names | {self._home})

    def _known(self, service: str) -> Iterable[EndpointView]:
        index = self._fleet.view.endpoints
        for endpoint_id in index.by_service.get(service, ()):
            endpoint = index.by_id[endpoint_id]
            if endpoint.region == self._region:
                yield endpoint

    def _in_use(self, service: str) -> Iterable[EndpointView]:
        view, lapsed = self._fleet.view, self._fleet.lapsed_ids()
        release = view.release(service)
        for endpoint in self._known(service):
            if (
                endpoint.state is EndpointState.LIVE
                and endpoint.failure_domain not in view.domains_out
                and endpoint.id not in lapsed
                and may_use(release, version_of(endpoint))
            ):
                yield endpoint

    def _row(self, kind: str, service: str, domain: str, now: float) -> list[float]:
        self._decay(now)
        return self._counts.setdefault(row_key(kind, service, domain), [0.0] * COLUMNS)

    def _decay(self, now: float) -> None:
        elapsed_s, self._counted_at = now - self._counted_at, now
        if not self._counts or elapsed_s <= 0:
            return
        factor = exp(-elapsed_s / DECAY_S)
        decayed = (
            (key, [value * factor for value in row])
            for key, row in self._counts.items()
        )
        self._counts = {key: row for key, row in decayed if max(row) >= FORGET_BELOW}


def _is_worth_logging(away: float, logged: float) -> bool:
    """Return whether a share changed by a step, or to none or all of the calls."""
    if away == logged:
        return False
    return away in (0.0, 1.0) or abs(away - logged) >= LOGGED_CHANGE
