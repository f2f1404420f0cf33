import dataclasses
import random

import pytest

from knapweedhinge.routing.ageing import Sample
from knapweedhinge.routing.rollouts import (
    FINISH_RATINGS,
    HALT_AFTER_IDLE_S,
    ROLL_BACK_AFTER_IDLE_S,
    Cause,
    RollOutActivity,
    Step,
    next_step,
)
from knapweedhinge.routing.statistics import EvidenceKey, PlanEvidence, StatisticsView
from tests.routing.samples import MID, configuration, roll_out, statistics_of

ACTIVE = RollOutActivity(0.0, 1000.0, 1000.0)
HALTED = RollOutActivity(0.0, 1000.0, 1000.0 - HALT_AFTER_IDLE_S)
IDLE_TOO_LONG = RollOutActivity(1000.0 - ROLL_BACK_AFTER_IDLE_S)


@pytest.mark.parametrize(
    ("exposure", "quality", "count", "activity", "step", "cause"),
    [
        (0.01, 0.85, 5, ACTIVE, Step.HOLD, Cause.GATHERING),
        (0.01, 0.85, 60, ACTIVE, Step.ADVANCE, Cause.STEP_PROVEN),
        (0.05, 0.85, 60, ACTIVE, Step.ADVANCE, Cause.STEP_PROVEN),
        (0.1, 0.85, 60, ACTIVE, Step.HOLD, Cause.GATHERING),
        (0.1, 0.85, 400, ACTIVE, Step.FINISH, Cause.PROVEN),
        (0.1, 0.6, 60, ACTIVE, Step.ROLL_BACK, Cause.BELOW_TARGET),
        (0.05, 0.85, 60, HALTED, Step.HOLD, Cause.HALTED),
        (0.05, 0.85, 400, HALTED, Step.FINISH, Cause.HALTED_PROVEN),
        (0.05, 0.85, 60, IDLE_TOO_LONG, Step.ROLL_BACK, Cause.HALTED_TOO_LONG),
        (0.05, 0.85, 0, IDLE_TOO_LONG, Step.ROLL_BACK, Cause.HALTED_TOO_LONG),
    ],
)
def test_next_step(exposure, quality, count, activity, step, cause):
    rollout = roll_out(exposure)
    cfg = configuration(roll_outs=(rollout,), max_exposure=0.1)
    statistics = statistics_of({"mid": 0.85}, now=1000.0)
    new = statistics_of({"new": quality}, now=1000.0, count=count)
    view = statistics.view(1000.0)
    merged = dataclasses.replace(
        view, evidence=view.evidence | new.view(1000.0).evidence
    )
    result = next_step(cfg, rollout, merged, activity, frozenset(), 1000.0)
    assert (result.step, result.cause) == (step, cause)
    if step is Step.ADVANCE:
        assert exposure < result.exposure <= 0.1
    if step is Step.ROLL_BACK:
        assert result.exposure == 0.0


@pytest.mark.parametrize(
    ("state", "cuts", "withdrawn", "step"),
    [
        ("finished", (), False, Step.HOLD),
        ("running", ("new",), False, Step.ROLL_BACK),
        ("running", (), True, Step.ROLL_BACK),
    ],
)
def test_cut_or_withdrawn_versions_roll_back(state, cuts, withdrawn, step):
    rollout = roll_out(0.05, state=state)
    new = dataclasses.replace(MID, id="new", withdrawn=withdrawn)
    cfg = configuration(versions=(MID, new), roll_outs=(rollout,))
    view = statistics_of({"mid": 0.85}).view(0.0)
    result = next_step(cfg, rollout, view, ACTIVE, frozenset(cuts), 0.0)
    assert result.step is step


def test_a_version_exactly_on_target_is_rolled_back_in_fewer_than_1_of_100():
    rollout = roll_out(0.05)
    cfg = configuration(roll_outs=(rollout,))
    stable = statistics_of({"mid": 0.85}).view(0.0).evidence
    rolled_back = 0
    for seed in range(100):
        rng = random.Random(seed)
        ratings = [rng.betavariate(8, 2) for _ in range(FINISH_RATINGS)]
        steps = (
            next_step(cfg, rollout, view, ACTIVE, frozenset(), 0.0).step
            for view in views_after_each(ratings, stable)
        )
        rolled_back += any(step is Step.ROLL_BACK for step in steps)
    assert rolled_back == 0


def views_after_each(ratings, stable):
    total = squares = 0.0
    for size, rating in enumerate(ratings, start=1):
        total += rating
        squares += rating * rating
        mean = total / size
        sample = Sample(size, mean, squares / size - mean * mean)
        evidence = PlanEvidence(rating=sample, answers=size)
        yield StatisticsView(0.0, stable | {EvidenceKey("draft", "new"): evidence})
