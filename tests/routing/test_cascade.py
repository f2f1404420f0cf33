import pytest

from knapweedhinge.routing.cascade import (
    CheapAnswer,
    CheckRule,
    CheckVerdict,
    PlanLatency,
    cascade_latency,
    check_answer,
)


@pytest.mark.parametrize(
    ("answer", "verdict"),
    [
        (CheapAnswer("stop", 50, 0.9), CheckVerdict.PASSED),
        (CheapAnswer("stop", 50), CheckVerdict.PASSED),
        (CheapAnswer("length", 50, 0.9), CheckVerdict.FINISH_REASON),
        (CheapAnswer("stop", 1, 0.9), CheckVerdict.TOO_SHORT),
        (CheapAnswer("stop", 900, 0.9), CheckVerdict.TOO_LONG),
        (CheapAnswer("stop", 50, 0.1), CheckVerdict.LOW_SCORE),
    ],
)
def test_check(answer, verdict):
    assert check_answer(CheckRule(min_tokens=2, max_tokens=800), answer) is verdict


@pytest.mark.parametrize(
    ("pass_rate", "first_token_s", "total_s"),
    [(1.0, 2.0, 2.0), (0.96, 2.0, 2.0), (0.9, 2.5, 7.0), (0.0, 2.5, 7.0)],
)
def test_latency_includes_the_second_step_if_the_check_fails_often(
    pass_rate, first_token_s, total_s
):
    cheap, better = PlanLatency(0.2, 2.0), PlanLatency(0.5, 5.0)
    latency = cascade_latency(cheap, better, pass_rate)
    assert latency == PlanLatency(first_token_s, total_s)
