"""Stages of a roll-out: sessions in the trial, usable versions and the next stage."""

import pytest

from knapweedhinge.conf.relay import Promises
from knapweedhinge.routing.releases import (
    MAX_WATCH_PERIOD_SHARE,
    MAX_WATCHES,
    MOVE_UNTIMED_AT_PERIOD_SHARE,
    RECORD_MARGIN_S,
    STAGE_SPREAD_S,
    SURGE,
    WATCH_SHARE_OF_REST,
    Observed,
    Release,
    Stage,
    goes_to_new_version,
    in_trial,
    may_move,
    may_use,
    next_stage,
    trial_share,
)
from knapweedhinge.routing.releaseverdict import Verdict

PERIOD_S = 20.0
CALLS_PER_S = 50.0
PROMISES = Promises(exposure=0.15)
MOVE_AT = 0.92  # fraction of the period after which traffic moves by these promises
MARGIN = RECORD_MARGIN_S / PERIOD_S
WATCH = WATCH_SHARE_OF_REST * (1.0 - MARGIN - MOVE_AT)
GOOD = Verdict(False, True, "", as_fast=True)
UNTIMED = Verdict(False, True, "")
UNDECIDED = Verdict(False, False, "")
BAD = Verdict(True, False, "")


def release(stage: Stage = Stage.TRIAL) -> Release:
    return Release("s", "v2", PERIOD_S, stage, began_at=100.0)


def test_the_trial_gets_its_share_of_sessions_the_same_on_every_node():
    share = trial_share(0.15)
    picked = [n for n in range(20_000) if in_trial(f"session-{n}", release(), share)]
    assert 0.9 * share < len(picked) / 20_000 < 1.1 * share
    again = [n for n in range(20_000) if in_trial(f"session-{n}", release(), share)]
    assert picked == again


USE_CASES = [
    # stage, whether v1 and v2 may be used, whether v2 gets sessions outside the trial
    (Stage.TRIAL, True, True, False),
    (Stage.MOVING, True, True, True),
    (Stage.COMPLETE, False, True, True),
    (Stage.ROLLED_BACK, True, False, False),
]


@pytest.mark.parametrize("stage,old,new,goes_to_new", USE_CASES)
def test_which_versions_may_be_used(stage, old, new, goes_to_new):
    assert (may_use(release(stage), "v1"), may_use(release(stage), "v2")) == (old, new)
    assert goes_to_new_version(release(stage), in_trial=False) is goes_to_new
    assert goes_to_new_version(release(stage), in_trial=True) is new


STAGE_CASES = [
    # stage, verdict, elapsed fraction of the period, calls on the old release, next
    (Stage.TRIAL, GOOD, 0.3, 9, None),
    # Later calls would take the release beyond its share if it turns bad.
    (Stage.TRIAL, GOOD, MOVE_AT - 0.01, 9, None),
    (Stage.TRIAL, GOOD, MOVE_AT + 0.01, 9, Stage.MOVING),
    # A release that may be slow stays on trial longer.
    (Stage.TRIAL, UNTIMED, MOVE_AT + 0.01, 9, None),
    (Stage.TRIAL, UNTIMED, MOVE_UNTIMED_AT_PERIOD_SHARE + 0.01, 9, Stage.MOVING),
    (Stage.TRIAL, UNDECIDED, MOVE_UNTIMED_AT_PERIOD_SHARE + 0.01, 9, None),
    (Stage.TRIAL, BAD, 0.1, 9, Stage.ROLLED_BACK),
    (Stage.MOVING, BAD, 0.6, 9, Stage.ROLLED_BACK),
    (Stage.MOVING, GOOD, MOVE_AT + 0.001, 0, None),
    # The old release is kept until the new one has been watched under full load.
    (Stage.MOVING, GOOD, MOVE_AT + WATCH - 0.001, 0, None),
    (Stage.MOVING, GOOD, MOVE_AT + WATCH + 0.001, 0, Stage.COMPLETE),
    (Stage.MOVING, GOOD, MOVE_AT + WATCH + 0.001, 3, None),
    (Stage.MOVING, BAD, MOVE_AT + WATCH + 0.001, 0, Stage.ROLLED_BACK),
    (Stage.MOVING, GOOD, MOVE_AT + MAX_WATCHES * WATCH + 0.001, 3, Stage.COMPLETE),
    (Stage.COMPLETE, BAD, 0.9, 0, None),
    (Stage.ROLLED_BACK, GOOD, 0.9, 0, None),
]


@pytest.mark.parametrize("stage,verdict,elapsed,in_use,expected", STAGE_CASES)
def test_next_stage(stage, verdict, elapsed, in_use, expected):
    elapsed_s = elapsed * PERIOD_S
    observed = Observed(
        verdict,
        calls=int(CALLS_PER_S * elapsed_s),
        old_in_use=in_use,
        moved_s=elapsed_s - MOVE_AT * PERIOD_S if stage is Stage.MOVING else 0.0,
    )
    now = 100.0 + elapsed_s
    assert next_stage(release(stage), observed, PROMISES, now) == expected


@pytest.mark.parametrize("moved_at", [0.6, 0.8, 0.95, 1.01, 1.5])
def test_a_release_is_watched_for_a_part_of_the_time_that_is_left(moved_at):
    rest = 1.0 - MARGIN - moved_at if moved_at < 1.0 - MARGIN else 1.0
    watch_s = PERIOD_S * min(MAX_WATCH_PERIOD_SHARE, WATCH_SHARE_OF_REST * rest)
    watch_s = max(STAGE_SPREAD_S, watch_s)
    stages = [
        next_stage(
            release(Stage.MOVING),
            Observed(GOOD, moved_s=moved_s),
            PROMISES,
            100.0 + moved_at * PERIOD_S + moved_s,
        )
        for moved_s in (0.1, watch_s - 0.01, watch_s + 0.01)
    ]
    assert stages == [None, None, Stage.COMPLETE]


def exposed_beyond_bound(promises, per_s, surge, period_s, known=1.0) -> float:
    """Return the calls beyond the voted share if a release moves as soon as it may.

    ``known`` is the share of all calls that the deciding node knows of.
    """
    order = Release("s", "v2", period_s, began_at=0.0)
    now, step_s, new = 0.0, 0.01, 0.0
    moved = False
    calls = 0.0
    while now < period_s:
        now += step_s
        calls += step_s * per_s * (surge if moved else 1.0)
        share = 1.0 if moved else trial_share(promises.exposure)
        new += step_s * per_s * (surge if moved else share)
        observed = Observed(GOOD, int(known * calls), int(known * new))
        moved = moved or next_stage(order, observed, promises, now) is Stage.MOVING
    return new - promises.exposure * calls


@pytest.mark.parametrize("surge", [0.5, 1.0, SURGE])
@pytest.mark.parametrize("per_s", [2.0, 16.0, 200.0])
@pytest.mark.parametrize(
    "bound,allowance", [(0.02, 0), (0.15, 0), (0.15, 30), (0.5, 30)]
)
def test_no_release_can_get_more_than_its_share_of_calls_until_the_period_ends(
    bound, allowance, per_s, surge
):
    promises = Promises(exposure=bound, exposure_allowance=allowance)
    beyond = exposed_beyond_bound(promises, per_s, surge, 24.0)
    assert beyond <= allowance + 3.0  # calls are counted whole


def test_a_node_that_knows_few_of_the_calls_hardly_moves_earlier():
    promises = Promises(exposure=0.15, exposure_allowance=30)
    beyond = exposed_beyond_bound(promises, 200.0, 1.0, 24.0, known=0.1)
    assert beyond <= 0.08 * 200.0 * 24.0 + 3.0


MOVE_CASES = [
    # voted share, allowance, whether traffic may move at fractions 0.8, 0.9, 0.95 and 1
    (0.0, 0, (False, False, False, True)),
    (0.15, 0, (False, False, True, True)),
    (0.15, 1000, (False, True, True, True)),
    (0.5, 0, (True, True, True, True)),
    (1.0, 0, (True, True, True, True)),
]


@pytest.mark.parametrize("bound,allowance,expected", MOVE_CASES)
def test_traffic_moves_the_earlier_the_larger_the_voted_share(
    bound, allowance, expected
):
    promises = Promises(exposure=bound, exposure_allowance=allowance)
    found = []
    for elapsed in (0.8, 0.9, 0.95, 1.0):
        observed = Observed(GOOD, calls=int(CALLS_PER_S * elapsed * PERIOD_S))
        found.append(may_move(release(), observed, promises, elapsed * PERIOD_S))
    assert tuple(found) == expected
