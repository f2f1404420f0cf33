"""Which sessions take part in a trial, on the node that decides."""

import pytest

from knapweedhinge.routing.trialsessions import (
    COLLECT_S,
    TrialSessions,
    early_sessions,
)

BEGAN = 50.0
NODES = ("a", "b")

# reports of nodes as (vm, sessions on the old and on the new release),
# seconds since the trial began, whether session 1 joins
JOIN_CASES = [
    ([], 0.1, False),
    ([("a", [], [])], 0.1, False),
    ([("a", [], []), ("b", [], [])], 0.1, True),
    ([("a", [1], []), ("b", [], [])], 0.1, False),
    ([("a", [], []), ("b", [1], [])], 0.1, False),
    ([("a", [], []), ("b", [2], [])], 0.1, True),
    ([("a", [], [1])], 0.1, True),
    ([("a", [], [1]), ("b", [1], [])], 0.1, True),
    ([], COLLECT_S, True),
    ([("a", [1], [])], COLLECT_S, False),
]


@pytest.mark.parametrize("reports,after_s,joins", JOIN_CASES)
def test_a_session_joins_only_if_it_recently_ran_on_no_other_release(
    reports, after_s, joins
):
    trial = TrialSessions(BEGAN)
    for vm, on_old, on_new in reports:
        trial.report(vm, on_old, on_new)
    assert trial.joins(1, NODES, BEGAN + after_s) is joins
    trial.report("a", [], [])
    trial.report("b", [1], [1])
    assert trial.joins(1, NODES, BEGAN + after_s + 5.0) is joins


def test_an_open_trial_is_not_closed_by_a_node_that_joins_later():
    trial = TrialSessions(BEGAN)
    trial.report("a", [], [])
    assert trial.joins(1, ["a"], BEGAN)
    assert trial.joins(2, ["a", "b"], BEGAN)


EARLY_CASES = [
    # operators' allowance, sessions beyond the share that ask, how many of them join
    (0.0, 5, 0),
    (2.0, 5, 0),
    (30.0, 5, 5),
    (30.0, 50, 9),
]


@pytest.mark.parametrize("allowance,asked,joined", EARLY_CASES)
def test_early_sessions_stay_within_the_allowance(allowance, asked, joined):
    trial = TrialSessions(BEGAN, early_sessions(allowance))
    for vm in NODES:
        trial.report(vm, [], [])
    early = [trial.joins(n, NODES, BEGAN, early=True) for n in range(asked)]
    assert sum(early) == joined
    again = [trial.joins(n, NODES, BEGAN, early=True) for n in range(asked)]
    assert again == early
    assert trial.joins(1000, NODES, BEGAN)


def test_no_early_session_joins_before_all_nodes_have_reported():
    trial = TrialSessions(BEGAN, early_sessions(30.0))
    assert not trial.joins(1, NODES, BEGAN, early=True)
    for vm in NODES:
        trial.report(vm, [], [])
    joined = [n for n in range(50) if trial.joins(n, NODES, BEGAN, early=True)]
    assert 1 not in joined
    assert len(joined) == early_sessions(30.0)


def test_nodes_are_told_the_early_sessions_once_no_more_join():
    trial = TrialSessions(BEGAN, most_early=2)
    for vm in NODES:
        trial.report(vm, [], [])
    assert trial.joins(1, NODES, BEGAN, early=True)
    assert trial.early_joined is None
    assert trial.joins(2, NODES, BEGAN)
    assert trial.joins(3, NODES, BEGAN, early=True)
    assert trial.early_joined == (1, 3)
