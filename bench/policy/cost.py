"""CPU time of one routing decision, by number of versions."""

import time
from dataclasses import dataclass

from knapweedhinge.conf.cooperative import (
    ClassOfWork,
    Configuration,
    Organisation,
    Version,
)
from knapweedhinge.routing import (
    PlanRequest,
    RoutingSnapshot,
    decide_plan,
)

VERSION_COUNTS = (10, 100, 1000)
TIMED_DECISIONS = 5000  # decisions that one mean is taken over
US_PER_S = 1e6
MS_PER_S = 1e3


@dataclass(frozen=True)
class DecisionCost:
    """CPU time of a decision among ``versions`` versions, in microseconds.

    ``table_ms`` is the time in milliseconds of the first decision on a snapshot, which
    also builds the table that decisions look up.
    """

    versions: int
    decision_us: float
    table_ms: float


def decision_costs() -> tuple[DecisionCost, ...]:
    """Return the cost of decisions for each number in ``VERSION_COUNTS``."""
    return tuple(_cost(size) for size in VERSION_COUNTS)


def _cost(size: int) -> DecisionCost:
    snapshot = RoutingSnapshot(_configuration(size))
    started = time.process_time()
    decide_plan(PlanRequest("first", "org", "work", 100), snapshot, 0.0)
    table_s = time.process_time() - started
    requests = [
        PlanRequest(f"q{i}", "org", "work", 100) for i in range(TIMED_DECISIONS)
    ]
    started = time.process_time()
    for request in requests:
        decide_plan(request, snapshot, 0.0)
    decision_s = (time.process_time() - started) / TIMED_DECISIONS
    return DecisionCost(size, decision_s * US_PER_S, table_s * MS_PER_S)


def _configuration(size: int) -> Configuration:
    versions = tuple(
        Version(f"model@{i}", "model", 10 + i, 30 + i, prior_quality=0.9)
        for i in range(size)
    )
    ids = tuple(version.id for version in versions)
    return Configuration(
        organisations=(Organisation("org", ("00",), allowed_versions=ids),),
        versions=versions,
        classes=(ClassOfWork("work", quality_target=0.8, versions=ids),),
        failure_domains=(),
    )
