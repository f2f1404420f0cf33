"""Simulation of admission under overload, in virtual time.

One large and nine small organisations share the capacity. Arrivals and costs are drawn
from a seeded random generator.
"""

from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from knapweedhinge.routing.admission import FairAdmission
from knapweedhinge.routing.admissiontypes import (
    AdmissionRequest,
    Admit,
    Capacity,
    Refuse,
)

SMALL_ORGANISATIONS = 9
TOKENS_PER_S = 2000.0  # the shared capacity
BATCH_TOKENS = 8000.0  # tokens of all requests that run at once
MEAN_COST_TOKENS = 400.0
RUN_S = BATCH_TOKENS / TOKENS_PER_S  # run time of each request
DEADLINE_S = 20.0  # from the arrival of a request

# Requests that arrive in these first and last seconds don't count towards the shares.
WARM_UP_S = 30.0
COOL_DOWN_S = 30.0


@dataclass(frozen=True)
class FairnessCase:
    """An overload of ``duration_s`` seconds.

    ``load`` is the offered load of all organisations and ``small_share`` that of each
    small one, both as shares of capacity; the large one offers the rest. Without
    ``fair``, requests are admitted in order of arrival.
    """

    load: float = 1.2
    small_share: float = 0.09
    duration_s: float = 300.0
    fair: bool = True


@dataclass(frozen=True)
class FairnessResult:
    """The results of one run.

    ``worst_small`` is the lowest share that a small organisation completed of its fair
    part of capacity, or of what it offered if that is less. ``large`` is the share that
    the large one completed of its fair part, ``utilisation`` the share of capacity that
    was used. These three leave out requests of the warm-up and the cool-down. ``late``
    counts requests that ended after their deadline, ``refused`` those refused.
    """

    worst_small: float
    large: float
    utilisation: float
    late: int
    refused: int


class FirstComeFirstServed:
    """Baseline for comparison: all organisations share one queue."""

    def __init__(self):
        self._fair = FairAdmission()

    def offer(self, req, capacity, now):
        """Offer a request under an organisation name that all requests share."""
        return self._fair.offer(_with_common_organisation(req), capacity, now)

    def drain(self, capacity, now):
        """Admit and refuse requests from the common queue."""
        return self._fair.drain(capacity, now)


def _with_common_organisation(req: AdmissionRequest) -> AdmissionRequest:
    return AdmissionRequest(
        req.id, "all", 1.0, req.cost_tokens, req.run_s, req.deadline
    )


def run_fairness(case: FairnessCase, seed: int) -> FairnessResult:
    """Simulate a case with one seed and return its results."""
    return _Run(case, seed).result()


class _Run:
    """The state of one simulation: completions, tokens in use and counters."""

    def __init__(self, case: FairnessCase, seed: int):
        self.case = case
        self.rng = Random(seed)
        self.admission = FairAdmission() if case.fair else FirstComeFirstServed()
        self.tokens_in_use = 0.0
        # Heap of (end, organisation, cost in tokens, deadline) of running requests.
        self.completions: list[tuple[float, str, float, float]] = []
        self.completed_tokens: dict[str, float] = {}
        self.offered_tokens: dict[str, float] = {}
        self.late = 0
        self.refused = 0

    def result(self) -> FairnessResult:
        for now, organisation, cost in self._arrivals():
            self._complete_until(now)
            if self._is_counted(now):
                self.offered_tokens[organisation] = (
                    self.offered_tokens.get(organisation, 0) + cost
                )
            request_id = f"{organisation}:{now}"
            req = AdmissionRequest(
                request_id, organisation, 1.0, cost, RUN_S, now + DEADLINE_S
            )
            self._apply(self.admission.offer(req, self._capacity(), now), now)
        return self._summary()

    def _arrivals(self):
        """Return arrivals as (time, organisation, cost in tokens), in order of time."""
        rates = {
            f"small-{i}": self.case.small_share for i in range(SMALL_ORGANISATIONS)
        }
        rates["large"] = self.case.load - sum(rates.values())
        arrivals = []
        for organisation, share in rates.items():
            rate = share * TOKENS_PER_S / MEAN_COST_TOKENS
            now = self.rng.expovariate(rate)
            while now < self.case.duration_s:
                cost = MEAN_COST_TOKENS * self.rng.uniform(0.25, 1.75)
                arrivals.append((now, organisation, cost))
                now += self.rng.expovariate(rate)
        return sorted(arrivals)

    def _is_counted(self, arrived_at: float) -> bool:
        return WARM_UP_S < arrived_at < self.case.duration_s - COOL_DOWN_S

    def _complete_until(self, now: float) -> None:
        while self.completions and self.completions[0][0] <= now:
            at, organisation, cost, deadline = heappop(self.completions)
            self.tokens_in_use -= cost
            self.late += at > deadline
            if self._is_counted(deadline - DEADLINE_S):
                self.completed_tokens[organisation] = (
                    self.completed_tokens.get(organisation, 0) + cost
                )
            drained = self.admission.drain(self._capacity(), at)
            for decision in (*drained.admitted, *drained.refused):
                self._apply(decision, at)

    def _apply(self, decision, now: float) -> None:
        if isinstance(decision, Refuse):
            self.refused += 1
        if not isinstance(decision, Admit):
            return
        req = decision.request
        organisation = req.id.split(":")[0]
        self.tokens_in_use += req.cost_tokens
        completion = (now + RUN_S, organisation, req.cost_tokens, req.deadline)
        heappush(self.completions, completion)

    def _capacity(self) -> Capacity:
        return Capacity(BATCH_TOKENS, BATCH_TOKENS - self.tokens_in_use, TOKENS_PER_S)

    def _summary(self) -> FairnessResult:
        """Return the results; a fair part of capacity is the same for everyone."""
        span_s = self.case.duration_s - WARM_UP_S - COOL_DOWN_S
        fair_tokens = TOKENS_PER_S * span_s / (SMALL_ORGANISATIONS + 1)
        small = [
            self.completed_tokens.get(f"small-{i}", 0.0)
            / min(fair_tokens, self.offered_tokens.get(f"small-{i}", fair_tokens))
            for i in range(SMALL_ORGANISATIONS)
        ]
        return FairnessResult(
            worst_small=min(small),
            large=self.completed_tokens.get("large", 0.0) / fair_tokens,
            utilisation=sum(self.completed_tokens.values()) / (TOKENS_PER_S * span_s),
            late=self.late,
            refused=self.refused,
        )
