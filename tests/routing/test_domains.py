import pytest

from knapweedhinge.conf.cooperative import FailureDomain
from knapweedhinge.routing.domains import (
    FEW_ANSWERS_STEP_S,
    START_SHARE,
    STEP_S,
    DomainRamp,
    DomainStates,
    remaining_capacity,
)
from knapweedhinge.routing.load import EndpointState, EndpointView

IN = (FailureDomain("a", "r"), FailureDomain("b", "r"))
B_OUT = (IN[0], FailureDomain("b", "r", out=True))


def test_domain_goes_out_at_once_and_returns_by_a_ramp():
    states = DomainStates().configured(B_OUT, 0.0)
    assert states.out == {"b"}
    assert states.shares() == {}
    back = states.configured(IN, 100.0)
    assert (back.out, back.shares()) == (frozenset(), {"b": START_SHARE})
    assert back.configured(IN, 101.0) == back
    assert back.configured(B_OUT, 101.0).shares() == {}


@pytest.mark.parametrize(
    ("answers", "at", "share"),
    [
        ([], FEW_ANSWERS_STEP_S - 1, START_SHARE),
        ([], FEW_ANSWERS_STEP_S, 2 * START_SHARE),
        ([True] * 10, STEP_S - 1, START_SHARE),
        ([True] * 10, STEP_S, 2 * START_SHARE),
        ([True] * 9, STEP_S, START_SHARE),
        ([False], FEW_ANSWERS_STEP_S, START_SHARE),
        ([True] * 8 + [False] * 2, STEP_S, START_SHARE / 2),
    ],
    ids=["early", "quiet", "too soon", "enough answers", "too few", "one bad", "bad"],
)
def test_share_follows_time_and_answers(answers, at, share):
    ramp = DomainRamp("b", 0.0)
    for ok in answers:
        ramp = ramp.answered(ok, 0.5)
    assert ramp.advanced(at).share == share


def test_ramp_ends_and_is_dropped():
    states = DomainStates().returned("b", 0.0)
    now = 0.0
    while states.ramps:
        now += 0.1
        states = states.answered("b", True, now).advanced(now)
    assert now == pytest.approx(4 * STEP_S, abs=0.5)


def test_remaining_capacity_counts_usable_slots():
    def endpoint(name, domain, state=EndpointState.LIVE):
        versions = frozenset({"v1"})
        return EndpointView(name, "", domain, "r", versions=versions, state=state)

    endpoints = [
        endpoint("a1", "a"),
        endpoint("a2", "a", EndpointState.LEAVING),
        endpoint("b1", "b"),
        endpoint("b2", "b", EndpointState.DEAD),
    ]
    out = DomainStates().configured(B_OUT, 0.0)
    assert remaining_capacity("v1", endpoints, out).slots == 8
    assert remaining_capacity("v1", endpoints, out).share == pytest.approx(1 / 3)
    back = out.configured(IN, 1.0)
    assert remaining_capacity("v1", endpoints, back).slots == 8 + int(0.1 * 8)
