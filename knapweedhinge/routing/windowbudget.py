"""Limit the retries sent to a service to a share of its calls, over all nodes.

Without a limit, endpoints that fail together under full traffic would receive each
failed call two or three times. Nodes need no communication to keep the limit: each may
retry a share of its own first sends, plus its part of a fixed allowance, so the sum
over all nodes is within the bound whatever the others do. What the others leave unused
is lent to nodes that know the sums (``retrypool``).
"""

from collections import deque
from dataclasses import dataclass, field

from knapweedhinge.routing.fleetsums import FleetTable, Table, row_key
from knapweedhinge.routing.retrypool import (
    LENDING_S,
    Credit,
    FleetRetries,
    credit_after,
)

BUCKET_S = 0.5  # resolution of the sliding window in seconds
# Share of the bound that nodes use. The rest is a margin: the window that the bound is
# checked in may start within a bucket, and a node may count one node too few.
USED_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class BudgetBound:
    """The bound of the retries to a service, over all nodes.

    In any window of ``window_s`` seconds there may be ``allowance`` retries, plus
    ``ratio`` retries for each first send.
    """

    ratio: float
    allowance: float
    window_s: float


@dataclass(slots=True)
class _Counts:
    """First sends and retries of one service by time, oldest first.

    A bucket is a list of its start in seconds, the first sends, the retries charged to
    the node's own share, and those beyond it.
    """

    buckets: deque[list[float]] = field(default_factory=deque)

    def add(
        self,
        now: float,
        *,
        first_sends: int = 0,
        retries: float = 0.0,
        lent: float = 0.0,
    ) -> None:
        start = now - now % BUCKET_S
        if not self.buckets or self.buckets[-1][0] < start:
            self.buckets.append([start, 0, 0.0, 0.0])
        for column, count in enumerate((first_sends, retries, lent), start=1):
            self.buckets[-1][column] += count

    def sums(self, now: float, window_s: float) -> tuple[float, float, float]:
        while self.buckets and self.buckets[0][0] <= now - window_s - BUCKET_S:
            self.buckets.popleft()
        return tuple(
            sum(bucket[column] for bucket in self.buckets) for column in (1, 2, 3)
        )


# Number of nodes from which on unused parts are lent. In smaller fleets a node's own
# part of the allowance bears the calls that happen to fail there.
MIN_LENDING_NODES = 24


class WindowBudget:
    """This node's part of the retry budget of each service.

    ``lent`` counts the retries beyond this node's own share.
    """

    def __init__(self, bound: BudgetBound):
        self._bound = bound
        self._nodes = 1
        self._counts: dict[str, _Counts] = {}
        self._credits: dict[str, Credit] = {}
        self.lent = 0

    def own_table(self, now: float) -> Table:
        """Return first sends and retries in the window, by the key of the service.

        It is empty in a small fleet, where nothing is lent.
        """
        if self._nodes < MIN_LENDING_NODES:
            return {}
        table = {}
        for service, counts in self._counts.items():
            first_sends, own, lent = counts.sums(now, self._bound.window_s)
            if first_sends or own or lent:
                table[row_key(service)] = round(first_sends), round(own + lent)
        return table

    def lend(self, table: FleetTable, now: float) -> None:
        """Update what this node may use of the others' budget from new sums.

        Sums that were used before are skipped.
        """
        if table.is_estimate:
            self._credits.clear()
        if table.is_estimate or table.age_s > 0.0:
            return
        known_share = min(1.0, table.nodes / self._nodes)
        for service in self._counts:
            first_sends, retries = table.row(row_key(service), 2)
            bound = self._bound.ratio * first_sends + (
                known_share * self._bound.allowance
            )
            sums = FleetRetries(
                first_sends, retries, USED_SHARE * bound, self._nodes, now
            )
            self._credits[service] = credit_after(
                self._credits.get(service, Credit()), sums
            )

    def set_nodes(self, nodes: int) -> None:
        """Divide the allowance by this number of nodes, at least one."""
        self._nodes = max(1, nodes)

    def record_first_send(self, service: str, now: float) -> None:
        """Record the first send of a call, which adds to the budget."""
        self._counts.setdefault(service, _Counts()).add(now, first_sends=1)

    def left(self, service: str, now: float) -> float:
        """Return how many retries the node may send now."""
        return max(self._own_left(service, now), self._credit(service, now).retries)

    def _own_left(self, service: str, now: float) -> float:
        counts = self._counts.setdefault(service, _Counts())
        first_sends, retries, _ = counts.sums(now, self._bound.window_s)
        allowance = self._bound.allowance / self._nodes
        return USED_SHARE * (self._bound.ratio * first_sends + allowance) - retries

    def _credit(self, service: str, now: float) -> Credit:
        """Return what others lend, nothing if the last sums are too old."""
        credit = self._credits.get(service, Credit())
        if credit.last is None or now - credit.last.at > LENDING_S:
            return Credit()
        return credit

    def spend(self, service: str, cost: float, now: float) -> bool:
        """Charge ``cost`` retries and return True; return False if too few are left."""
        if self._own_left(service, now) < cost:
            credit = self._credit(service, now)
            if credit.retries < cost:
                return False
            self._credits[service] = credit.spent(cost)
            self.lent += 1
            self._counts[service].add(now, lent=cost)
        else:
            self._counts[service].add(now, retries=cost)
        return True

    def at(self, now: float) -> "BudgetAtTime":
        """Return a view of the budget that charges retries at the time ``now``."""
        return BudgetAtTime(self, now)


@dataclass(frozen=True, slots=True)
class BudgetAtTime:
    """A window budget at a fixed time, with the interface ``decide_retry()`` needs."""

    budget: WindowBudget
    now: float

    def spend(self, service: str, cost: float) -> bool:
        """Charge ``cost`` retries and return True; return False if too few are left."""
        return self.budget.spend(service, cost, self.now)
