from random import Random

import pytest

from knapweedhinge.backing.breaker import MAX_PAUSE_FACTOR, Breaker
from knapweedhinge.backing.budget import CallBudget, TokenBucket
from knapweedhinge.conf.node import PlatformSettings

CFG = PlatformSettings(url="http://127.0.0.1:1", breaker_failures=3)


def opened(seed=1, now=0.0):
    breaker = Breaker(CFG, Random(seed))
    for _ in range(CFG.breaker_failures):
        breaker.fail(breaker.admit(now), now)
    return breaker


def test_failures_in_a_row_open_and_a_success_between_does_not():
    breaker = Breaker(CFG, Random(1))
    for _ in range(10):
        breaker.fail(breaker.admit(0.0), 0.0)
        breaker.fail(breaker.admit(0.0), 0.0)
        breaker.succeed(breaker.admit(0.0))
    assert breaker.state(0.0).phase == "closed"
    assert opened().admit(0.0) is None


def test_half_open_lets_one_probe_through_at_a_time():
    breaker = opened()
    now = breaker.retry_after_s(0.0)
    for _ in range(3):
        ticket = breaker.admit(now)
        assert ticket is not None
        assert breaker.admit(now) is None
        breaker.succeed(ticket)
    assert breaker.state(now).phase == "closed"


def test_failed_probes_lengthen_the_pause_up_to_the_maximum():
    breaker = opened()
    now = 0.0
    pauses = []
    for _ in range(8):
        pauses.append(breaker.retry_after_s(now))
        now += pauses[-1]
        breaker.fail(breaker.admit(now), now)
    longest = CFG.breaker_open_s * MAX_PAUSE_FACTOR
    assert pauses[-1] >= longest / 2
    assert max(pauses) <= longest * 1.5


def test_cancelled_probe_does_not_block_the_next():
    breaker = opened()
    now = breaker.retry_after_s(0.0)
    breaker.release(breaker.admit(now))
    assert breaker.admit(now) is not None


def test_results_of_calls_admitted_before_the_opening_are_ignored():
    breaker = Breaker(CFG, Random(1))
    late = breaker.admit(0.0)
    for _ in range(CFG.breaker_failures):
        breaker.fail(breaker.admit(0.0), 0.0)
    breaker.succeed(late)
    assert breaker.state(0.0).phase == "open"


def test_first_probes_of_many_nodes_are_spread_over_time():
    breakers = [opened(seed) for seed in range(950)]
    first_probes = [breaker.retry_after_s(0.0) for breaker in breakers]
    tenths_of_seconds = [int(pause * 10) for pause in first_probes]
    assert (
        max(tenths_of_seconds.count(tenth) for tenth in set(tenths_of_seconds))
        < 950 / 5
    )


@pytest.mark.parametrize(
    ("at", "waits"),
    [(0.0, [0, 0, 0.5, 1.0, None]), (10.0, [0, 0, 0.5, 1.0, None])],
)
def test_bucket_waits_and_then_refuses(at, waits):
    bucket = TokenBucket(2.0, 2.0, 0.0)
    assert [bucket.reserve(at, 1.0) for _ in waits] == waits


def test_budget_is_shared_among_members():
    budget = CallBudget(0.0)
    budget.set_members(100, 0.0)
    state = budget.state(0.0)
    assert (state.reads_per_s, state.writes_per_s) == (10.0, 3.0)
