"""Limit the retries sent to a service to a share of its calls, over all nodes.

Without a limit, endpoints that fail together under full traffic would receive each
failed call two or three times. Nodes need no communication to keep the limit: each may
retry a share of its own first sends, plus its part of a fixed allowance, so the sum
over all nodes is within the bound whatever the others do.
"""

from collections import deque
from dataclasses import dataclass, field

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

    A bucket is a list of its start in seconds, the first sends and the retries charged.
    """

    buckets: deque[list[float]] = field(default_factory=deque)

    def add(self, now: float, *, first_sends: int = 0, retries: float = 0.0) -> None:
        start = now - now % BUCKET_S
        if not self.buckets or self.buckets[-1][0] < start:
            self.buckets.append([start, 0, 0.0])
        self.buckets[-1][1] += first_sends
        self.buckets[-1][2] += retries

    def sums(self, now: float, window_s: float) -> tuple[float, float]:
        while self.buckets and self.buckets[0][0] <= now - window_s - BUCKET_S:
            self.buckets.popleft()
        first_sends = sum(bucket[1] for bucket in self.buckets)
        return first_sends, sum(bucket[2] for bucket in self.buckets)


class WindowBudget:
    """This node's part of the retry budget of each service."""

    def __init__(self, bound: BudgetBound):
        self._bound = bound
        self._nodes = 1
        self._counts: dict[str, _Counts] = {}

    def set_nodes(self, nodes: int) -> None:
        """Divide the allowance by this number of nodes, at least one."""
        self._nodes = max(1, nodes)

    def record_first_send(self, service: str, now: float) -> None:
        """Record the first send of a call, which adds to the budget."""
        self._counts.setdefault(service, _Counts()).add(now, first_sends=1)

    def left(self, service: str, now: float) -> float:
        """Return how many retries the node may send now."""
        counts = self._counts.setdefault(service, _Counts())
        first_sends, retries = counts.sums(now, self._bound.window_s)
        allowance = self._bound.allowance / self._nodes
        return USED_SHARE * (self._bound.ratio * first_sends + allowance) - retries

    def spend(self, service: str, cost: float, now: float) -> bool:
        """Charge ``cost`` retries and return True; return False if too few are left."""
        if self.left(service, now) < cost:
            return False
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
