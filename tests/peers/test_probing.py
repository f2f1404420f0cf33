"""Which failed probes make a member a suspect, and when probes are due."""

from random import Random

import pytest

from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.peers.probing import (
    LocalHealth,
    ProbeOutcome,
    ProbeSchedule,
    indicates_failure,
)

CFG = PeerSettings()


def outcome(
    started=1.0,
    answered_directly=False,
    helpers_asked=3,
    helpers_answered=3,
    helpers_reaching=0,
):
    return ProbeOutcome(
        "vm-001",
        started,
        answered_directly,
        helpers_asked,
        helpers_answered,
        helpers_reaching,
    )


@pytest.mark.parametrize(
    ("probe", "failed"),
    [
        (outcome(answered_directly=True), False),
        (outcome(helpers_reaching=1), False),
        (outcome(), True),
        (outcome(helpers_answered=1), True),
        (outcome(helpers_answered=0), False),
        (outcome(helpers_asked=2, helpers_answered=0), True),
        (outcome(helpers_asked=0, helpers_answered=0), True),
    ],
)
def test_a_failed_probe_counts_only_if_this_node_is_connected(probe, failed):
    assert indicates_failure(probe, LocalHealth(CFG, 0.0)) is failed


def test_a_probe_started_before_a_pause_is_ignored():
    health = LocalHealth(CFG, 0.0)
    assert not health.detect_pause(0.1)
    assert health.detect_pause(5.0)
    assert not indicates_failure(outcome(started=0.1), health)
    assert indicates_failure(outcome(started=5.1), health)


def test_a_bad_health_score_lengthens_timeouts_until_a_success():
    health = LocalHealth(CFG, 0.0)
    health.detect_pause(5.0)
    assert health.scale_timeout_s(1.0) == 2.0
    indicates_failure(outcome(answered_directly=True), health)
    assert health.scale_timeout_s(1.0) == 1.0


def test_a_neighbour_that_sent_a_message_is_not_probed():
    schedule = ProbeSchedule(CFG, Random(1))
    schedule.set_neighbours(("a", "b"), 0.0)
    heard = {"a": 9.9, "b": 0.0}
    assert schedule.due(heard.get, 10.0) == ("b",)
    assert schedule.due(heard.get, 9.9 + CFG.probe_s) == ("a",)


def test_probe_soon_ignores_the_schedule():
    schedule = ProbeSchedule(CFG, Random(1))
    schedule.set_neighbours(("a",), 0.0)
    schedule.probe_soon("a")
    assert schedule.due(lambda vm: 0.01, 0.01) == ("a",)
