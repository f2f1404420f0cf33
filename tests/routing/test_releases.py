"""Stages of a roll-out: sessions in the trial, usable versions and the next stage."""

import pytest

from knapweedhinge.routing.releases import (
    FINISH_AT_PERIOD_SHARE,
    MOVE_AT_PERIOD_SHARE,
    MOVE_UNTIMED_AT_PERIOD_SHARE,
    PROOF_PERIOD_SHARE,
    Release,
    Stage,
    goes_to_new_version,
    in_trial,
    may_use,
    next_stage,
    trial_share,
)
from knapweedhinge.routing.releaseverdict import Verdict

PERIOD_S = 20.0
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
    (Stage.TRIAL, GOOD, MOVE_AT_PERIOD_SHARE + 0.01, 9, Stage.MOVING),
    # A release that may be slow stays on trial longer.
    (Stage.TRIAL, UNTIMED, MOVE_AT_PERIOD_SHARE + 0.01, 9, None),
    (Stage.TRIAL, UNTIMED, MOVE_UNTIMED_AT_PERIOD_SHARE + 0.01, 9, Stage.MOVING),
    (Stage.TRIAL, UNDECIDED, MOVE_AT_PERIOD_SHARE + 0.01, 9, None),
    (Stage.TRIAL, BAD, 0.1, 9, Stage.ROLLED_BACK),
    (Stage.MOVING, BAD, 0.6, 9, Stage.ROLLED_BACK),
    (Stage.MOVING, GOOD, MOVE_AT_PERIOD_SHARE + 0.01, 0, None),
    # The old release is kept until the new one has been watched under full load.
    (Stage.MOVING, GOOD, MOVE_AT_PERIOD_SHARE + PROOF_PERIOD_SHARE - 0.01, 0, None),
    (
        Stage.MOVING,
        GOOD,
        MOVE_AT_PERIOD_SHARE + PROOF_PERIOD_SHARE + 0.01,
        0,
        Stage.COMPLETE,
    ),
    (Stage.MOVING, GOOD, MOVE_AT_PERIOD_SHARE + PROOF_PERIOD_SHARE + 0.01, 3, None),
    (
        Stage.MOVING,
        BAD,
        MOVE_AT_PERIOD_SHARE + PROOF_PERIOD_SHARE + 0.01,
        0,
        Stage.ROLLED_BACK,
    ),
    (Stage.MOVING, GOOD, FINISH_AT_PERIOD_SHARE, 3, Stage.COMPLETE),
    (Stage.COMPLETE, BAD, 0.9, 0, None),
    (Stage.ROLLED_BACK, GOOD, 0.9, 0, None),
]


@pytest.mark.parametrize("stage,verdict,elapsed,in_use,expected", STAGE_CASES)
def test_next_stage(stage, verdict, elapsed, in_use, expected):
    now = 100.0 + elapsed * PERIOD_S
    moved_s = (
        max(0.0, (elapsed - MOVE_AT_PERIOD_SHARE) * PERIOD_S)
        if stage is Stage.MOVING
        else 0.0
    )
    assert next_stage(release(stage), verdict, in_use, moved_s, now) == expected


def test_a_release_that_moved_late_is_watched_as_long():
    now = 100.0 + 0.8 * PERIOD_S
    assert next_stage(release(Stage.MOVING), GOOD, 0, 0.1, now) is None
