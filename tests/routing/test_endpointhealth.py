"""Tests that endpoints are rated by how calls ended there."""

from random import Random

import pytest

from knapweedhinge.routing.coldrate import ColdEndpoint, admit
from knapweedhinge.routing.endpointhealth import (
    FAILURES_TO_PAUSE,
    HEALTHY,
    MAX_PAUSE_S,
    answered,
    failed,
    is_paused,
    penalty_s,
)


def after(outcomes: str, step_s: float = 0.1, ratio: float = 1.0):
    """Return the health after calls with these outcomes, and the time of the last one.

    Each letter is one call: g is answered, b fails, u cannot reach the endpoint.
    """
    health, now = HEALTHY, 0.0
    for outcome in outcomes:
        now += step_s
        if outcome == "g":
            health = answered(health, ratio, now)
        else:
            health = failed(health, now, unreachable=outcome == "u")
    return health, now


PAUSES = [
    ("g", False),
    ("b", False),
    ("b" * (FAILURES_TO_PAUSE - 1), False),
    ("b" * FAILURES_TO_PAUSE, True),
    ("bbgbb", False),
    ("u", True),
    ("uuuuuuuuuuuu", True),
]


@pytest.mark.parametrize("outcomes,paused", PAUSES)
def test_pauses(outcomes, paused):
    health, now = after(outcomes)
    assert is_paused(health, now) is paused
    assert not is_paused(health, now + MAX_PAUSE_S + 0.01)


def test_an_endpoint_that_fails_a_part_of_its_calls_costs_more():
    healthy, now = after("gggggggg")
    flaky, _ = after("gbgbgbgb")
    assert penalty_s(flaky, now, 0.1) > penalty_s(healthy, now, 0.1) + 0.5
    assert penalty_s(flaky, now + 30, 0.1) < 0.01


def test_a_slow_endpoint_costs_more():
    slow, now = after("g" * 20, ratio=8.0)
    assert penalty_s(slow, now, typical_first_piece_s=0.5) > 1.0


BOUNDS = [
    # nodes that send all they may, seconds simulated
    (1, 5),
    (6, 5),
    (70, 5),
]


@pytest.mark.parametrize("nodes,seconds", BOUNDS)
def test_a_cold_endpoint_gets_no_more_than_its_rate_from_all_nodes(nodes, seconds):
    """The platform's bound for any second is 1.5 times the rate, plus 5 calls."""
    per_s, sent = 10.0, []
    rng = Random(7)
    for _ in range(nodes):
        cold, now = ColdEndpoint(100.0, per_s, rng.random()), 0.0
        while now < seconds:
            cold, allowed = admit(cold, nodes, now)
            if allowed:
                sent.append(now)
            now += 0.02
    for tenth in range(10 * seconds):
        begin = tenth / 10
        count = sum(begin <= at < begin + 1.0 for at in sent)
        assert count <= per_s * 1.5 + 5


def test_a_warm_endpoint_has_no_limit():
    assert admit(None, 6, 1.0) == (None, True)
    assert admit(ColdEndpoint(1.0, 1.0, 0.0), 6, 1.5) == (None, True)
