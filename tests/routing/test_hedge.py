import pytest

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.routing.hedge import (
    MAX_SAMPLES,
    Hedge,
    HedgeLater,
    HedgeRequest,
    LatencyQuantiles,
    NoHedge,
    NoHedgeReason,
    decide_hedge,
)
from knapweedhinge.routing.retry import INITIAL_RETRIES, RetryBudget


def latencies(count=100):
    quantiles = LatencyQuantiles()
    for index in range(count):
        quantiles.record("status", index / 100)
    return quantiles


@pytest.mark.parametrize(
    ("fields", "now", "expected"),
    [
        ({}, 1.0, Hedge()),
        ({}, 0.5, HedgeLater(0.95)),
        ({"idempotent": False}, 1.0, NoHedge(NoHedgeReason.NOT_IDEMPOTENT)),
        ({"first_byte": True}, 1.0, NoHedge(NoHedgeReason.ANSWER_STARTED)),
        ({"copies": 1}, 1.0, NoHedge(NoHedgeReason.ALREADY_HEDGED)),
        ({"key": "new"}, 1.0, NoHedge(NoHedgeReason.TOO_LITTLE_KNOWN)),
        ({"deadline": 0.9}, 0.5, NoHedge(NoHedgeReason.DEADLINE)),
    ],
)
def test_decide_hedge(fields, now, expected):
    values = {"idempotent": True, "deadline": 5.0, "key": "status", **fields}
    req = HedgeRequest("oak", started_at=0.0, **values)
    assert decide_hedge(req, latencies(), RetryBudget(VotedLimits()), now) == expected


def test_hedges_share_the_retry_budget():
    budget = RetryBudget(VotedLimits())
    req = HedgeRequest("oak", "status", True, 0.0, 5.0)
    answers = [decide_hedge(req, latencies(), budget, 1.0) for _ in range(10)]
    assert answers.count(Hedge()) == INITIAL_RETRIES
    assert answers[-1] == NoHedge(NoHedgeReason.BUDGET)


def test_old_latencies_are_dropped():
    quantiles = latencies()
    for _ in range(MAX_SAMPLES):
        quantiles.record("status", 7.0)
    assert quantiles.quantile("status", 0.0) == 7.0
