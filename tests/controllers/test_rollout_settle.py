"""Stuck roll-outs are found, and settling one leaves nothing to settle."""

from dataclasses import replace

import pytest

from knapweedhinge.conf import RollOut
from knapweedhinge.conf import changes as c
from knapweedhinge.controllers.configuration_apply import apply
from knapweedhinge.controllers.configuration_records import Revision
from knapweedhinge.controllers.configuration_rules import validate_and_apply
from knapweedhinge.controllers.rollout_settle import (
    ABANDONED_AFTER_S,
    STALLED_AFTER_S,
    Evidence,
    Progress,
    find_stuck_roll_outs,
    last_changed,
)
from tests.controllers.samples import CONFIGURATION

RUNNING = replace(
    CONFIGURATION, roll_outs=(RollOut("r1", "oak@2", "oak@1", 0.1),), revision=7
)


def withdrawn(version_id):
    """Return a configuration with the version withdrawn and its roll-out running."""
    versions = tuple(
        replace(item, withdrawn=item.id == version_id) for item in RUNNING.versions
    )
    return replace(RUNNING, versions=versions)


def idle(seconds, evidence=Evidence.UNDECIDED):
    return (Progress("r1", -seconds, evidence),)


FINISH, ROLL_BACK = c.FinishRollOut("r1"), c.RollBackRollOut("r1")
UNUSED = apply(c.PutClass(replace(RUNNING.classes[0], versions=("oak@1",))), RUNNING)


@pytest.mark.parametrize(
    ("configuration", "progress", "reason", "change"),
    [
        (RUNNING, (), None, None),
        (RUNNING, idle(ABANDONED_AFTER_S - 1), None, None),
        (RUNNING, idle(STALLED_AFTER_S - 1, Evidence.WORSE), None, None),
        (withdrawn("oak@2"), (), "version-gone", ROLL_BACK),
        (withdrawn("oak@1"), (), "stable-gone", FINISH),
        (UNUSED, (), "unused", ROLL_BACK),
        (
            apply(c.SetClassLimits("draft", 0, 0.05), RUNNING),
            (),
            "over-limit",
            c.AdvanceRollOut("r1", 0.05),
        ),
        (RUNNING, idle(STALLED_AFTER_S, Evidence.WORSE), "stalled", ROLL_BACK),
        (RUNNING, idle(STALLED_AFTER_S, Evidence.AS_GOOD), "stalled", FINISH),
        (RUNNING, idle(ABANDONED_AFTER_S), "abandoned", ROLL_BACK),
        (apply(ROLL_BACK, RUNNING), idle(ABANDONED_AFTER_S), None, None),
        (apply(FINISH, RUNNING), idle(ABANDONED_AFTER_S), None, None),
    ],
)
def test_stuck_roll_outs_are_found(configuration, progress, reason, change):
    findings = find_stuck_roll_outs(configuration, progress, 0.0)
    assert [(item.reason, item.request.change) for item in findings] == (
        [(reason, change)] if reason else []
    )
    for finding in findings:
        assert finding.request.change_id == "settle/r1/7"
        settled = validate_and_apply(change, configuration)
        assert find_stuck_roll_outs(settled, (), 0.0) == ()


def test_last_changed_is_the_time_of_the_last_start_or_advance():
    changes = (
        c.StartRollOut("r1", "oak@2", "oak@1", 0.1),
        c.AdvanceRollOut("r1", 0.2),
        c.WithdrawVersion("pine@1"),
    )
    revisions = tuple(
        Revision(n, f"c{n}", "op", float(n), n - 1, change)
        for n, change in enumerate(changes, 2)
    )
    assert last_changed(revisions) == {"r1": 3.0}
