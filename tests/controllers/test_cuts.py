"""A node cuts a bad version by its own evidence and that of its peers."""

import random
from types import SimpleNamespace

import pytest

from knapweedhinge.backing.types import Rating
from knapweedhinge.controllers.learning import Learning
from knapweedhinge.controllers.snapshot import Snapshot
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters import attempt
from knapweedhinge.filters.types import ChatCall, Request
from knapweedhinge.routing.load import LocalLedger
from knapweedhinge.routing.plans import PlanDecision
from knapweedhinge.routing.records import AnswerRecord, Outcome
from tests.routing.samples import configuration, roll_out

WORK = "draft"
EPOCH_S = 1_700_000_000.0


def snapshot_of(cfg) -> Snapshot:
    return Snapshot(configured=SimpleNamespace(configuration=cfg))


def learning(vm: str, lead_s: float = 0.0) -> Learning:
    """Return the Learning of a node whose monotonic clock began ``lead_s`` ago."""
    return Learning(vm, f"{vm}-1", LocalLedger(), EPOCH_S - lead_s)


def decision(version: str) -> PlanDecision:
    plan = SimpleNamespace(id=version, cheap=version, is_cascade=False)
    return PlanDecision(None, plan, roll_out="r1", wants_rating=True)


def answer(node: Learning, number: int, now: float, *, failed=False, score=0.9):
    outcome = Outcome.FAILED if failed else Outcome.COMPLETED
    record = AnswerRecord(WORK, "new", 100, outcome, 0.2, 1.0, 50, 5.0)
    name = f"r{number}"
    node.decided(name, WORK, decision("new"), now)
    node.answered(name, decision("new"), record, now)
    if not failed:
        assert node.rated(Rating(name, "new", WORK, score, now), now)


def started(vm: str = "a", lead_s: float = 0.0):
    snapshot = snapshot_of(configuration(roll_outs=(roll_out(),)))
    node = learning(vm, lead_s)
    node.routing_snapshot(snapshot, lead_s)
    return node, snapshot


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param({"failed": True}, id="fails"),
        pytest.param({"score": 0.1}, id="bad"),
    ],
)
def test_bad_version_is_cut_at_once(fault):
    node, snapshot = started()
    found = []
    node.cuts.cuts_made.subscribe(found.append)
    for number in range(60):
        answer(node, number, float(number), **fault)
    assert [cut.version for cut in found] == ["new"]
    assert node.routing_snapshot(snapshot, 60.0).cuts == {"new"}


def test_healthy_version_is_not_cut():
    node, _ = started()
    rng = random.Random(7)
    for number in range(600):
        score = rng.betavariate(8.5, 1.5)
        answer(node, number, number * 0.5, failed=rng.random() < 0.01, score=score)
    assert not node.cuts.versions


def test_evidence_of_two_nodes_with_different_clocks_adds_up_to_a_cut():
    first, _ = started("a")
    second, _ = started("b", 5000.0)
    number = 0
    while not second.cuts.versions:
        assert number < 60
        answer(first, number, float(number), failed=True)
        answer(second, number, 5000.0 + number, failed=True)
        first.merge(second.encoded_delta(5000.0 + number), float(number))
        second.merge(first.encoded_delta(float(number)), 5000.0 + number)
        number += 1
    alone, _ = started("c")
    for other in range(number):
        answer(alone, other, float(other), failed=True)
    assert not alone.cuts.versions


def test_cut_applies_to_the_routing_snapshot_and_to_attempts_already_planned(
    monkeypatch,
):
    node, snapshot = started()
    for number in range(60):
        answer(node, number, 0.1, failed=True)
    assert node.routing_snapshot(snapshot, 0.1).cuts == {"new"}
    monkeypatch.setattr(attempt, "ensure_current", lambda *_: None)
    cfg = snapshot.configuration
    ctx = SimpleNamespace(
        state=SimpleNamespace(current=snapshot),
        clock=lambda: 0.1,
        settings=SimpleNamespace(peers=None),
        learning=node,
    )
    for version in ("mid", "new"):
        req = Request(
            "x",
            ChatCall(WORK, {}),
            snapshot,
            0.0,
            cfg.organisations[0],
            version=cfg.version(version),
        )
        if version == "mid":
            attempt.ensure_may_run(req, ctx)
            continue
        with pytest.raises(RefusedError) as raised:
            attempt.ensure_may_run(req, ctx)
        assert raised.value.code is ResultCode.VERSION_WITHDRAWN
