"""Tests that retries stay a share of first sends, over nodes that don't communicate."""

import random

import pytest

from knapweedhinge.routing.windowbudget import BudgetBound, WindowBudget

BOUND = BudgetBound(ratio=0.9, allowance=52, window_s=10)


def test_a_quiet_service_has_its_part_of_the_allowance():
    budget = WindowBudget(BOUND)
    budget.set_nodes(6)
    spent = 0
    while budget.spend("s", 1.0, now=0.0):
        spent += 1
    assert 0 < spent <= BOUND.allowance / 6


def test_services_do_not_share_a_budget():
    budget = WindowBudget(BOUND)
    while budget.spend("a", 1.0, now=0.0):
        pass
    assert budget.spend("b", 1.0, now=0.0)


def test_budget_is_restored_after_the_window():
    budget = WindowBudget(BOUND)
    while budget.spend("s", 1.0, now=0.0):
        pass
    assert not budget.spend("s", 1.0, now=9.9)
    assert budget.spend("s", 1.0, now=11.0)


LOADS = [
    # nodes, first sends a second on each while the load is high, seed
    (6, 15.0, 1),
    (6, 2.0, 2),
    (70, 4.0, 3),
    (1, 50.0, 4),
]


@pytest.mark.parametrize("nodes,per_s,seed", LOADS)
def test_the_bound_holds_in_every_window_when_all_calls_fail(nodes, per_s, seed):
    """Simulate bursts in which each node sends all the retries its budget allows."""
    rng = random.Random(seed)
    budgets = [WindowBudget(BOUND) for _ in range(nodes)]
    first_sends, retries = [], []
    for budget in budgets:
        budget.set_nodes(nodes)
        now = 0.0
        while now < 40.0:
            high = int(now / 7) % 2 == 0
            now += rng.expovariate(per_s if high else per_s / 20)
            budget.record_first_send("s", now)
            first_sends.append(now)
            while budget.spend("s", 1.0, now):
                retries.append(now)
    assert retries
    for tenth in range(400):
        begin = tenth / 10
        sent = sum(begin <= at < begin + BOUND.window_s for at in retries)
        counts = [
            sum(start <= at < start + BOUND.window_s for at in first_sends)
            for start in (begin, begin - BOUND.window_s / 2, begin - BOUND.window_s)
        ]
        assert sent <= BOUND.ratio * max(counts) + BOUND.allowance
