"""Hedge requests: send a second copy of a slow idempotent one to another endpoint.

Copies are charged to the retry budget.
"""

from bisect import bisect_left, insort
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.routing.retry import RETRY_COST, RetryBudget

# Quantile of the latencies to the first byte after which a request is hedged.
HEDGE_QUANTILE = 0.95
# Fewest samples of a key that give a quantile, and most that are kept.
MIN_SAMPLES = 30
MAX_SAMPLES = 512
# Keys kept; the least recently used is dropped first.
MAX_KEYS = 1024
# Shortest time before a request is hedged, in seconds.
MIN_DELAY_S = 0.01


class LatencyQuantiles:
    """Recent latencies to the first byte, by a key such as a route or a version."""

    def __init__(self):
        self._samples: OrderedDict[str, _Samples] = OrderedDict()

    def record(self, key: str, seconds: float) -> None:
        """Add a latency; the oldest of more than ``MAX_SAMPLES`` is dropped."""
        samples = self._samples.setdefault(key, _Samples())
        self._samples.move_to_end(key)
        samples.add(seconds)
        if len(self._samples) > MAX_KEYS:
            self._samples.popitem(last=False)

    def quantile(self, key: str, share: float) -> float | None:
        """Return the quantile ``share`` (0..1) of a key's latencies, in seconds.

        Return None with fewer than ``MIN_SAMPLES``.
        """
        samples = self._samples.get(key)
        if samples is None or len(samples.ordered) < MIN_SAMPLES:
            return None
        rank = min(int(share * len(samples.ordered)), len(samples.ordered) - 1)
        return samples.ordered[rank]


class _Samples:
    __slots__ = ("arrived", "ordered")

    def __init__(self):
        self.arrived: deque[float] = deque()
        self.ordered: list[float] = []

    def add(self, seconds: float) -> None:
        self.arrived.append(seconds)
        insort(self.ordered, seconds)
        if len(self.arrived) > MAX_SAMPLES:
            oldest = self.arrived.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]


@dataclass(frozen=True, slots=True)
class HedgeRequest:
    """A request in flight at one endpoint.

    ``started_at`` and ``deadline`` are in seconds, on the clock that ``decide_hedge()``
    gets its ``now`` from. ``key`` selects the latencies to compare with.
    ``first_byte`` tells that the answer has started, after which a copy is of no use.
    ``copies`` counts those sent.
    """

    organisation: str
    key: str
    idempotent: bool
    started_at: float
    deadline: float
    first_byte: bool = False
    copies: int = 0


class NoHedgeReason(StrEnum):
    """The rule by which no copy is sent."""

    NOT_IDEMPOTENT = "not-idempotent"
    ANSWER_STARTED = "answer-started"
    ALREADY_HEDGED = "already-hedged"
    TOO_LITTLE_KNOWN = "too-little-known"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class Hedge:
    """Send a copy to another endpoint now. The retry budget has been charged."""


@dataclass(frozen=True, slots=True)
class HedgeLater:
    """Decide again at ``at`` if the answer hasn't started by then.

    ``at`` is in seconds on the clock of the request's times.
    """

    at: float


@dataclass(frozen=True, slots=True)
class NoHedge:
    """Send no copy of this request."""

    reason: NoHedgeReason


def decide_hedge(
    req: HedgeRequest, latencies: LatencyQuantiles, budget: RetryBudget, now: float
) -> Hedge | HedgeLater | NoHedge:
    """Decide whether to send a copy of a request now, later or not at all.

    A copy is due once the request has waited longer than the usual latency of its key,
    the ``HEDGE_QUANTILE``. The budget is charged for a copy that is due.
    """
    if not req.idempotent:
        return NoHedge(NoHedgeReason.NOT_IDEMPOTENT)
    if req.first_byte:
        return NoHedge(NoHedgeReason.ANSWER_STARTED)
    if req.copies:
        return NoHedge(NoHedgeReason.ALREADY_HEDGED)
    quantile_s = latencies.quantile(req.key, HEDGE_QUANTILE)
    if quantile_s is None:
        return NoHedge(NoHedgeReason.TOO_LITTLE_KNOWN)
    at = req.started_at + max(quantile_s, MIN_DELAY_S)
    if max(at, now) >= req.deadline:
        return NoHedge(NoHedgeReason.DEADLINE)
    if now < at:
        return HedgeLater(at)
    if not budget.spend(req.organisation, RETRY_COST):
        return NoHedge(NoHedgeReason.BUDGET)
    return Hedge()
