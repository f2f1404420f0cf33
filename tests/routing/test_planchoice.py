import dataclasses
import math

import msgspec
import pytest

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.allowed import Exclusion
from knapweedhinge.routing.explain import explain
from knapweedhinge.routing.exposure import Allowance
from knapweedhinge.routing.planchoice import decide_plan
from knapweedhinge.routing.plans import Choice, PlanRequest, RoutingSnapshot, Target
from tests.routing.samples import MID, configuration, roll_out, statistics_of

KNOWN = {"cheap": 0.7, "mid": 0.85, "best": 0.95}
OPEN = Allowance(frozenset({"r1"}))


def decide(cfg=None, known=KNOWN, now=0.0, statistics=None, **fields):
    snapshot_fields = {
        name: fields.pop(name) for name in ("cuts", "waits_s") if name in fields
    }
    statistics = statistics or statistics_of(known)
    snapshot = RoutingSnapshot(
        cfg or configuration(), statistics.view(now), **snapshot_fields
    )
    request = {"session": "s1"} | fields
    return decide_plan(PlanRequest("q1", "org", "draft", 100, **request), snapshot, now)


@pytest.mark.parametrize(
    ("fields", "plan", "choice"),
    [
        ({}, "mid", Choice.CHEAPEST_ELIGIBLE),
        ({"cfg": configuration(quality_target=0.6)}, "cheap", Choice.CHEAPEST_ELIGIBLE),
        ({"cfg": configuration(quality_target=0.9)}, "best", Choice.CHEAPEST_ELIGIBLE),
        ({"cfg": configuration(quality_target=0.99)}, "best", Choice.BEST_EFFORT),
        ({"known": {}}, "best", Choice.BEST_EFFORT),
        ({"waits_s": {"mid": 5.0}}, "best", Choice.CHEAPEST_ELIGIBLE),
        ({"waits_s": {"mid": math.inf}}, "best", Choice.CHEAPEST_ELIGIBLE),
        ({"cuts": frozenset({"mid"})}, "best", Choice.CHEAPEST_ELIGIBLE),
        ({"pinned": "cheap"}, "cheap", Choice.PINNED),
        ({"pinned": "cheap", "cuts": frozenset({"cheap"})}, "mid", "moved"),
        ({"named": "best"}, "best", Choice.NAMED),
        ({"cfg": configuration(quality_target=0.9, cost_limit_micros=50)}, "mid", None),
    ],
)
def test_choice(fields, plan, choice):
    decision = decide(**fields)
    assert decision.plan.id == plan
    if choice == "moved":
        assert decision.moved
    elif choice:
        assert decision.explanation.choice is choice


def test_missed_targets_are_listed():
    decision = decide(cfg=configuration(quality_target=0.99))
    assert decision.unmet == (Target.QUALITY,)
    slow = decide(waits_s=dict.fromkeys(KNOWN, 9.0) | {"new": 9.0})
    assert slow.unmet == (Target.LATENCY,)
    assert slow.plan.id in ("mid", "best")


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"named": "mid", "cuts": frozenset({"mid"})}, ResultCode.VERSION_WITHDRAWN),
        ({"cfg": configuration(allowed=())}, ResultCode.VERSION_NOT_ALLOWED),
        ({"cfg": configuration(cost_limit_micros=1)}, ResultCode.COST_LIMIT),
        ({"pinned": "mid", "waits_s": {"mid": math.inf}}, ResultCode.NO_ENDPOINT),
        (
            {"cfg": configuration(roll_outs=(roll_out(),)), "named": "new"},
            ResultCode.NO_PLAN,
        ),
        (
            {
                "waits_s": dict.fromkeys(("cheap", "mid", "best", "new"), math.inf),
            },
            ResultCode.NO_ENDPOINT,
        ),
    ],
)
def test_refusals(fields, code):
    decision = decide(**fields)
    assert decision.plan is None
    assert decision.refusal is code


def test_decision_tells_why_a_session_left_its_version():
    withdrawn = dataclasses.replace(MID, withdrawn=True)
    cfg = configuration(versions=(withdrawn, *configuration().versions[2:]))
    decision = decide(cfg=cfg, pinned="mid")
    assert decision.explanation.moved_from.reason is Exclusion.WITHDRAWN


def test_roll_out_serves_only_its_share_and_only_while_open():
    cfg = configuration(roll_outs=(roll_out(0.1),), max_exposure=0.2)
    statistics = statistics_of(KNOWN)
    plans = {
        allowance: [
            decide(cfg, statistics=statistics, session=f"s{i}", allowance=allowance)
            for i in range(300)
        ]
        for allowance in (OPEN, Allowance())
    }
    exposed = [decision for decision in plans[OPEN] if decision.roll_out]
    assert {decision.plan.id for decision in exposed} == {"new"}
    assert all(decision.wants_rating for decision in exposed)
    assert 10 <= len(exposed) <= 60
    assert not any(decision.roll_out for decision in plans[Allowance()])


def test_only_requests_without_session_use_cascades():
    statistics = statistics_of({"cheap": 0.7, "best": 0.95, "cheap>best": 0.9})
    cfg = configuration(in_class=("cheap", "best"), first_token_s=5.0)
    alone = decide(cfg, statistics=statistics, session="")
    assert alone.plan.id == "cheap>best"
    assert alone.check is not None
    assert decide(cfg, statistics=statistics, session="s").plan.id == "best"


def test_cascade_waits_for_the_whole_cheap_answer():
    statistics = statistics_of({"cheap": 0.7, "best": 0.95, "cheap>best": 0.9})
    cfg = configuration(in_class=("cheap", "best"), first_token_s=1.0)
    assert decide(cfg, statistics=statistics, session="").plan.id == "best"


def test_exploration_is_bounded_and_flagged():
    known = {"best": 0.95}
    allowance = Allowance(may_explore=True)
    statistics = statistics_of(known)
    decisions = [
        decide(statistics=statistics, session=f"s{i}", allowance=allowance)
        for i in range(1000)
    ]
    explored = [decision for decision in decisions if decision.explores]
    assert 5 <= len(explored) <= 40
    assert all(decision.plan.id != "best" for decision in explored)


def test_explanation_is_dumpable():
    record = explain(decide(cuts=frozenset({"best"})))
    text = msgspec.json.encode(record).decode()
    assert '"reason":"cut"' in text
    assert '"reason":"chosen: cheapest-eligible"' in text
