"""Decide which share of a service's calls leaves a failure domain, and where to.

Designed for regions of two to sixteen failure domains whose demand and endpoints don't
match: one with several times its usual calls, or with half of its endpoints. Hundreds
of nodes decide by themselves, on sums that are 0.4 to 3 s old, so the share follows
from the calls that arrive, which don't depend on it, and changes by bounded steps. Load
that lasts for less than a second is left to ``placement``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from math import log

import xxhash

from knapweedhinge.conf.leaving import LeavingSettings
from knapweedhinge.routing.queuedelay import calls_waiting, expected_excess_s

# A domain's demand is moved in this many pieces.
PIECES = 40
# Smallest change of a share, but for one to 0: estimates vary by about this much.
MIN_CHANGE = 0.05
# Seconds lost by each second of delay beyond the objective and beyond the deadline,
# while a second within the objective counts as one. The cost stays convex, so that no
# domain is given up in favour of another.
LATE_STEEPNESS = 4.0
LOST_STEEPNESS = 8.0
# Part of the price that a call must save to stay away, which it had to save whole to
# leave.
STAY_AWAY_PRICE = 0.5
# Calls that wait are counted as demand of at least this many seconds, and of this many
# times the age of the sums.
MIN_DRAIN_S = 4.0
DRAIN_AGES = 3.0
# Calls served a second below which a domain's capacity is taken from the others.
MIN_SERVED_PER_S = 2.0
# A domain whose share of late or failed calls is above that of the others by less than
# this counts as sound.
TOLERATED_LATE_SHARE = 0.1
# Calls a second below which a rest of a domain's demand isn't moved.
MIN_PIECE_PER_S = 1e-6
MEGABYTE = 1e6


class LeavingReason(StrEnum):
    """Why the share of calls that leave is what it is."""

    SUFFICIENT = "home-suffices"
    QUEUEING = "queueing-at-home"
    FAILING = "late-at-home"
    RETURNING = "returning-home"
    ABSENT = "no-endpoint-at-home"
    ALONE = "no-endpoint-elsewhere"


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """A failure domain's part in the load of a service, summed over the fleet.

    ``endpoints`` counts those in use there. ``demand_per_s`` are the calls that arrive
    at the domain's nodes, ``served_per_s`` those that its endpoints answered, and
    ``late_share`` the share of those that were late or failed. ``work_s`` is the
    outstanding work at its endpoints, in seconds.
    """

    endpoints: int
    demand_per_s: float = 0.0
    served_per_s: float = 0.0
    work_s: float = 0.0
    late_share: float = 0.0

    @property
    def work_s_by_endpoint(self) -> float:
        """Return the mean outstanding work at an endpoint, in seconds."""
        return self.work_s / self.endpoints if self.endpoints else 0.0


@dataclass(frozen=True, slots=True)
class CallNeeds:
    """What the calls of a service need and cost, as means or as the least of a route.

    ``work_s`` is the time a call keeps an endpoint busy; ``megabytes`` is the size of a
    call with its answer, ``reread_s`` the prefill of what is cached where it is.
    ``objective_s`` and ``deadline_s`` count from the call's arrival.
    """

    work_s: float
    objective_s: float
    deadline_s: float
    megabytes: float = 0.0
    reread_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AwayShare:
    """The share of a domain's calls that leave it, by receiving domain.

    ``targets`` holds the weights of the receiving domains, in order of their names.
    ``at`` is when the share was decided.
    """

    away: float
    targets: tuple[tuple[str, float], ...]
    reason: LeavingReason
    at: float


@dataclass(frozen=True, slots=True)
class Assignment:
    """The failure domain that a call is assigned to.

    ``penalty_s`` is the delay that an endpoint of another domain of the region has to
    save.
    """

    domain: str
    penalty_s: float
    reason: LeavingReason


def next_share(
    before: AwayShare | None,
    home: str,
    loads: Mapping[str, DomainLoad],
    needs: CallNeeds,
    cfg: LeavingSettings,
    age_s: float,
    now: float,
) -> AwayShare:
    """Return the share of the calls of ``home`` that leave it from ``now`` on.

    ``loads`` are those of all failure domains of the region, from sums that are
    ``age_s`` old. ``before`` is the share decided last, None for the first one.
    """
    others = sum(load.endpoints for name, load in loads.items() if name != home)
    if not others:
        return AwayShare(0.0, (), LeavingReason.ALONE, now)
    plan = _Plan(loads, needs, cfg, age_s)
    price_s = leaving_price_s(cfg, needs.megabytes) + needs.reread_s
    sent, sent_at_most = (
        plan_sent[home] for plan_sent in plan.sent((price_s, price_s * STAY_AWAY_PRICE))
    )
    if not loads[home].endpoints:
        weights = sent or {n: float(d.endpoints) for n, d in loads.items() if n != home}
        return AwayShare(1.0, _normalized(weights), LeavingReason.ABSENT, now)
    least = _share(sent, loads[home])
    most = max(least, _share(sent_at_most, loads[home]))
    if before is None:
        away = least
    else:
        step = cfg.max_change_per_s * max(0.0, now - before.at)
        wanted = min(max(before.away, least), most)
        if wanted and abs(wanted - before.away) <= MIN_CHANGE:
            wanted = before.away
        away = min(max(wanted, before.away - step), before.away + step)
    targets = _normalized(sent or sent_at_most)
    if not targets and before is not None:
        targets = tuple(
            (name, weight)
            for name, weight in before.targets
            if name in loads and loads[name].endpoints
        )
    if not targets:
        targets = _normalized(
            {n: float(d.endpoints) for n, d in loads.items() if n != home}
        )
    reason = _reason(away, away > most + MIN_CHANGE, plan.is_queueing(home))
    return AwayShare(away, targets, reason, now)


def assign(
    share: AwayShare, home: str, affinity_key: str, penalty_s: float
) -> Assignment:
    """Return the domain of a call; all calls with ``affinity_key`` get the same one.

    A larger share moves further calls and leaves those away that were.
    """
    if _point(affinity_key, "leaves") >= share.away or not share.targets:
        return Assignment(home, penalty_s, LeavingReason.SUFFICIENT)
    # Weighted rendezvous hashing: a changed weight moves few of the calls.
    domain, _ = max(
        share.targets,
        key=lambda target: target[1] / -log(_point(affinity_key, target[0])),
    )
    return Assignment(domain, penalty_s, share.reason)


def leaving_price_s(cfg: LeavingSettings, megabytes: float) -> float:
    """Return the delay in seconds that the traffic of a call outweighs."""
    return cfg.delay_per_call_s + cfg.delay_per_megabyte_s * megabytes


def penalty_s(cfg: LeavingSettings, megabytes: float, objective_s: float) -> float:
    """Return the delay that an endpoint of another domain has to save, in seconds.

    It is never more than the delay that costs the call nothing.
    """
    tolerated_s = cfg.tolerated_share * objective_s
    return min(leaving_price_s(cfg, megabytes), tolerated_s)


class _Plan:
    """The cost of delays in each domain, and where calls are sent to lessen it."""

    def __init__(
        self,
        loads: Mapping[str, DomainLoad],
        needs: CallNeeds,
        cfg: LeavingSettings,
        age_s: float,
    ):
        self._loads = loads
        self._needs = needs
        self._tolerated_s = cfg.tolerated_share * needs.objective_s
        self._capacities = _capacities(loads, needs.work_s)
        # Calls that wait at an endpoint, and the seconds in which it serves one.
        waiting = {
            n: load.work_s_by_endpoint / needs.work_s for n, load in loads.items()
        }
        self._call_s = {
            name: load.endpoints / self._capacities[name] if load.endpoints else 0.0
            for name, load in loads.items()
        }
        self._delays_s = {name: waiting[name] * self._call_s[name] for name in loads}
        drain_s = max(MIN_DRAIN_S, DRAIN_AGES * age_s)
        self._waiting_per_s = {
            name: max(0.0, self._delays_s[name] - self._tolerated_s)
            * self._capacities[name]
            / drain_s
            for name in loads
        }
        self._failing = {name: self._failing_share(name) for name in loads}
        # Seconds lost by all calls of a flow, by domain and flow.
        self._totals_s: dict[tuple[str, float], float] = {}

    def sent(self, prices_s: tuple[float, ...]) -> list[dict[str, dict[str, float]]]:
        """Return the calls a second that each domain sends to each other one.

        The result has one entry for each price, given from the highest to the lowest:
        each call that is sent saves at least so many seconds of delay that counts.
        """
        loads, sent = self._loads, {name: {} for name in self._loads}
        flows = {name: load.demand_per_s for name, load in loads.items()}
        kept = {name: self._movable_per_s(name) for name in loads}
        saved_s = {name: self._saved_s(name, flows[name]) for name in loads}
        receivers = [name for name, load in loads.items() if load.endpoints]
        found = []
        for _ in range(PIECES * len(loads)):
            sources = [name for name in loads if kept[name] > MIN_PIECE_PER_S]
            if not sources or not receivers:
                break
            source = max(sources, key=lambda name: (saved_s[name], name))
            piece = min(loads[source].demand_per_s / PIECES, kept[source])
            added_s, _, target = min(
                (
                    self._added_s(name, flows[name], piece),
                    self._utilisation(name, flows[name]),
                    name,
                )
                for name in receivers
                if name == source or not sent[name]
            )
            gain_s = saved_s[source] - added_s if target != source else 0.0
            while len(found) < len(prices_s) and gain_s <= prices_s[len(found)]:
                found.append({name: dict(targets) for name, targets in sent.items()})
            if len(found) == len(prices_s):
                return found
            flows[source] -= piece
            kept[source] -= piece
            flows[target] += piece
            sent[source][target] = sent[source].get(target, 0.0) + piece
            saved_s[source] = self._saved_s(source, flows[source])
            kept[target] = 0.0  # a domain that takes calls of others sends none away
        return found + [sent] * (len(prices_s) - len(found))

    def is_queueing(self, name: str) -> bool:
        """Return whether calls lose more by queueing at home than by failing there."""
        demand_per_s = self._loads[name].demand_per_s
        failing_s = self._failing[name] * self._needs.objective_s
        return self._cost_s(name, demand_per_s) >= failing_s

    def _movable_per_s(self, name: str) -> float:
        """Return how much of a domain's demand may leave.

        Where calls fail rather than wait, it is the share that fails: the rest shows
        when that is over.
        """
        load = self._loads[name]
        if load.endpoints and not self.is_queueing(name):
            return load.demand_per_s * self._failing[name]
        return load.demand_per_s

    def _saved_s(self, name: str, flow_per_s: float) -> float:
        """Return the seconds saved by each call of one piece less."""
        load = self._loads[name]
        if not load.endpoints:
            return float("inf")
        piece = min(flow_per_s, load.demand_per_s / PIECES)
        if piece <= MIN_PIECE_PER_S:
            return 0.0
        return self._added_s(name, flow_per_s - piece, piece)

    def _added_s(self, name: str, flow_per_s: float, piece: float) -> float:
        """Return the seconds lost for each call of a piece that is added to a flow."""
        more_s = self._total_s(name, flow_per_s + piece) - self._total_s(
            name, flow_per_s
        )
        return more_s / piece + self._failing[name] * self._needs.objective_s

    def _total_s(self, name: str, flow_per_s: float) -> float:
        total_s = self._totals_s.get((name, flow_per_s))
        if total_s is None:
            total_s = flow_per_s * self._cost_s(name, flow_per_s)
            self._totals_s[name, flow_per_s] = total_s
        return total_s

    def _cost_s(self, name: str, flow_per_s: float) -> float:
        """Return the seconds that a call is expected to lose by queueing."""
        utilisation, needs = self._utilisation(name, flow_per_s), self._needs
        delay_s = self._call_s[name] * calls_waiting(utilisation)
        return (
            expected_excess_s(delay_s, self._tolerated_s)
            + (LATE_STEEPNESS - 1) * expected_excess_s(delay_s, needs.objective_s)
            + (LOST_STEEPNESS - LATE_STEEPNESS)
            * expected_excess_s(delay_s, needs.deadline_s)
        )

    def _failing_share(self, name: str) -> float:
        """Return the share of late and failed calls that no queue explains.

        It is that beyond the mean of the other domains: where all are late, leaving
        doesn't help.
        """
        load = self._loads[name]
        others = [
            other.late_share
            for other_name, other in self._loads.items()
            if other.endpoints and other_name != name
        ]
        if not others or self._delays_s[name] > self._tolerated_s:
            return 0.0
        usual = sum(others) / len(others)
        return max(0.0, load.late_share - usual - TOLERATED_LATE_SHARE)

    def _utilisation(self, name: str, flow_per_s: float) -> float:
        """Return the flow and the work that waits as a share of the capacity."""
        capacity = self._capacities[name]
        return (flow_per_s + self._waiting_per_s[name]) / capacity if capacity else 0.0


def _capacities(loads: Mapping[str, DomainLoad], work_s: float) -> dict[str, float]:
    """Return the calls a second that each domain can serve.

    An endpoint at which ``n`` calls wait in the mean is busy for ``n / (n + 1)`` of the
    time, in which it served what it did. ``work_s`` only converts work into calls, so
    that it may be wrong by a factor.
    """
    known = {}
    for name, load in loads.items():
        if load.served_per_s >= MIN_SERVED_PER_S and load.work_s_by_endpoint:
            waiting = load.work_s_by_endpoint / work_s
            known[name] = load.served_per_s * (waiting + 1) / waiting
    endpoints = sum(loads[name].endpoints for name in known)
    by_endpoint = sum(known.values()) / endpoints if known else 1.0 / work_s
    return {
        name: known.get(name, by_endpoint * load.endpoints)
        for name, load in loads.items()
    }


def _share(sent: Mapping[str, float], load: DomainLoad) -> float:
    if not load.demand_per_s:
        return 0.0
    return min(1.0, sum(sent.values()) / load.demand_per_s)


def _normalized(weights: Mapping[str, float]) -> tuple[tuple[str, float], ...]:
    total = sum(weights.values())
    return tuple(
        (name, weight / total) for name, weight in sorted(weights.items()) if weight > 0
    )


def _reason(away: float, returning: bool, queueing: bool) -> LeavingReason:
    if not away:
        return LeavingReason.SUFFICIENT
    if returning:
        return LeavingReason.RETURNING
    return LeavingReason.QUEUEING if queueing else LeavingReason.FAILING


def _point(affinity_key: str, purpose: str) -> float:
    """Return a number between 0 and 1, both excluded, that stands for a key."""
    hashed = xxhash.xxh3_64_intdigest(f"{purpose}\0{affinity_key}".encode())
    # With more bits the greatest hashes would be rounded to 1.
    return ((hashed >> 12) + 0.5) / 2**52
