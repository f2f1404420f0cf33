"""Evidence on releases that nodes report to the owner of a roll-out."""

import msgspec
import pytest

from knapweedhinge.controllers.release_tracker import ReleaseReport, ReleaseTracker
from knapweedhinge.routing.releases import Release, Stage
from knapweedhinge.routing.releaseverdict import AnswerStats, CallKind

KINDS = [CallKind(f"route-{n}", size, n % 3) for n in range(12) for size in "abc"]
RELEASE = Release("s", "v2", 20.0, Stage.TRIAL)
# A node on the slowest link of the grown sites (5 Mbit/s) may get reports of 70 others
# 2.5 times a second in a tenth of its link.
MAX_CHANGE_BYTES = 350


def counted(tracker: ReleaseTracker, version: str, count: int, bad: int = 0) -> None:
    for n in range(count):
        stats = AnswerStats(1, bad=int(n < bad))
        tracker.answered("s", version, KINDS[n % len(KINDS)], stats)


def send(node: ReleaseTracker, owner: ReleaseTracker, known) -> dict:
    """Send a report as it goes over the wire; return what the owner then knows."""
    data = msgspec.msgpack.encode(node.report("s", known))
    owner.merge("vm", msgspec.msgpack.decode(data, type=ReleaseReport))
    return node.rows("s")


def test_reports_of_changes_add_up_to_the_node_s_counts():
    node, owner, known = ReleaseTracker(), ReleaseTracker(), {}
    for round_number in range(4):
        counted(node, "v1", 40)
        counted(node, "v2", 10 * round_number, bad=5)
        known = send(node, owner, known)
        assert owner.verdict(RELEASE) == node.verdict(RELEASE)
    assert node.verdict(RELEASE).bad


def test_a_report_of_few_changes_is_small():
    node, owner = ReleaseTracker(), ReleaseTracker()
    counted(node, "v1", 500)
    counted(node, "v2", 60)
    known = send(node, owner, {})
    node.answered("s", "v2", KINDS[0], AnswerStats(1))
    node.answered("s", "v1", KINDS[1], AnswerStats(1))
    report = node.report("s", known)
    assert len(report.tallies) == 2
    assert len(msgspec.msgpack.encode(report)) < MAX_CHANGE_BYTES


@pytest.mark.parametrize("forgotten_at_owner", [False, True])
def test_counts_of_an_earlier_roll_out_are_forgotten(forgotten_at_owner):
    node, owner = ReleaseTracker(), ReleaseTracker()
    counted(node, "v1", 40)
    counted(node, "v2", 40, bad=20)
    known = send(node, owner, {})
    assert owner.verdict(RELEASE).bad
    node.forget("s", "v2")
    if forgotten_at_owner:
        owner.forget("s", "v2")
    send(node, owner, known)
    assert not owner.verdict(RELEASE).bad


def test_running_calls_on_the_old_release_are_summed_without_lost_peers():
    node, owner = ReleaseTracker(), ReleaseTracker()
    for version in ("v1", "v1", "v2"):
        node.began("s", version)
    owner.began("s", "v1")
    send(node, owner, {})
    assert owner.old_in_use(RELEASE) == 3
    node.ended("s", "v1")
    send(node, owner, node.rows("s"))
    assert owner.old_in_use(RELEASE) == 2
    owner.drop_peer("vm")
    assert owner.old_in_use(RELEASE) == 1
