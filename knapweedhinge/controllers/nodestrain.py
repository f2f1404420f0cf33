"""Measure this node's strain, and know which nodes say that they are choked.

A node that is choked has a row in a table of its own (``fleetsums``), with its degree.
The others learn of it with the sums, and forget it with them.
"""

from collections.abc import Callable
from math import exp

from loguru import logger

from knapweedhinge.controllers.fleetsums import FleetSums
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.routing.fleetsums import MAX_REPORTED, Section, Table, row_key
from knapweedhinge.routing.nodestrain import UNIT, Choke, Strain, next_choke

# Time constant in seconds of the mean lateness, and the most that one timer counts: a
# process that was stopped for long isn't late any more when it runs again.
LATE_TIME_S = 1.0
MAX_LATE_S = 1.0
DECIDE_INTERVAL_S = 0.4  # least time between two decisions


class StrainTracker:
    """Decide whether this node is choked, and tell which others are.

    ``measure`` returns this node's strain for a mean lateness in seconds. ``now`` is in
    seconds on the node's monotonic clock.
    """

    def __init__(
        self,
        vm: str,
        tables: FleetSums,
        metrics: Metrics,
        measure: Callable[[float], Strain],
    ):
        self._vm, self._tables, self._metrics = vm, tables, metrics
        self._measure = measure
        # The first wake has no weight: what starts a process holds its timers up.
        self._late_s, self._late_at = 0.0, float("inf")
        self._choke, self._decided_at = Choke(), float("-inf")
        tables.add_section(Section.CHOKED, self.own_table)

    def woke(self, late_s: float, now: float) -> None:
        """Record that a timer of this node came ``late_s`` seconds late."""
        weight = exp(-max(0.0, now - self._late_at) / LATE_TIME_S)
        late_s = min(MAX_LATE_S, max(0.0, late_s))
        self._late_s = weight * self._late_s + (1.0 - weight) * late_s
        self._late_at = now
        self._decide(now)

    def own_table(self, now: float) -> Table:
        """Return this node's row if it is choked, else an empty table."""
        choke = self._decide(now)
        if not choke.choked:
            return {}
        degree = min(MAX_REPORTED, max(1, round(UNIT * choke.degree)))
        return {row_key(self._vm): (degree,)}

    def is_choked(self, now: float, nodes: int) -> Callable[[str], bool]:
        """Return a function that tells whether the node of a VM says it is choked."""
        table = self._tables.table(Section.CHOKED, now, nodes)
        return lambda vm: row_key(vm) in table.rows or row_key(vm) in table.own

    def dump(self, now: float) -> dict:
        """Return what this node measures of itself as JSON-like values."""
        causes = self._measure(self._late_s).causes()
        return {
            "choked": self._decide(now).choked,
            **{cause: round(value, 2) for cause, value in causes.items()},
        }

    def _decide(self, now: float) -> Choke:
        if now - self._decided_at < DECIDE_INTERVAL_S:
            return self._choke
        self._decided_at = now
        before, strain = self._choke, self._measure(self._late_s)
        self._choke = next_choke(before, strain, now)
        if self._choke.choked is not before.choked:
            causes = strain.causes()
            cause = max(causes, key=causes.get)
            if self._choke.choked:
                self._metrics.count("node_choked", cause)
            logger.bind(cause=cause, late_ms=round(self._late_s * 1000)).info(
                "node is choked" if self._choke.choked else "node is no longer choked"
            )
        return self._choke
