"""Tests of prefill speeds, which are learnt from long prompts."""

import pytest

from knapweedhinge.routing.prefillspeed import (
    DEFAULT_TOKEN_S,
    MIN_PROMPT_TOKENS,
    assumed_speed,
)


def learnt_speed(*answers: tuple[int, float]):
    speed = assumed_speed(1.0)
    for tokens, first_s in answers:
        speed = speed.updated(tokens, first_s)
    return speed


CASES = [
    # (fresh tokens, seconds to the first piece), tokens of a prompt, seconds expected
    ((), 20_000, 20_000 * DEFAULT_TOKEN_S),
    (((MIN_PROMPT_TOKENS - 1, 9.0),) * 50, 20_000, 20_000 * DEFAULT_TOKEN_S),
    (((40_000, 4.0),) * 100, 20_000, 2.0),
    (((2_000, 1.0), (40_000, 2.0)) * 100, 21_000, 1.5),
    ((), -5, 0.0),
]


@pytest.mark.parametrize("answers,tokens,expected_s", CASES)
def test_seconds(answers, tokens, expected_s):
    assert learnt_speed(*answers).seconds(tokens) == pytest.approx(expected_s, rel=0.1)


def test_a_small_model_is_assumed_to_be_faster():
    assert assumed_speed(0.1).seconds(1_000) < assumed_speed(1.0).seconds(1_000)
