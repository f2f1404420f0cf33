"""Tests of which model answers a call, and when a larger one is asked instead."""

import pytest

from knapweedhinge.routing.sizing import (
    MAX_START_SHARE,
    MIN_KEPT_CONFIDENCE,
    SizeRequest,
    first_size,
    larger_size,
)

SIZES = ("s", "m", "l")


def size_request(**fields) -> SizeRequest:
    base = {
        "sizes": SIZES,
        "elapsed_s": 0.2,
        "objective_s": 4.0,
        "runs_left": 2,
        "retry_budget_left": 5.0,
    }
    return SizeRequest(**base | fields)


CASES = [
    # fields of the request, model, its confidence, model asked instead
    ({}, "s", 100, None),
    ({}, "s", int(MIN_KEPT_CONFIDENCE), None),
    ({}, "s", int(MIN_KEPT_CONFIDENCE) - 1, "l"),
    ({}, "s", 0, "l"),
    ({}, "s", None, None),
    ({}, "l", 0, None),
    ({"runs_left": 0}, "s", 0, None),
    ({"retry_budget_left": 0.5}, "s", 0, None),
    ({"elapsed_s": 4.1}, "s", 0, None),
    ({"elapsed_s": MAX_START_SHARE * 4.0 + 0.1}, "s", 0, None),
    ({"prefill_s": {"m": 1.0, "l": 3.9}}, "s", 0, "m"),
    ({"prefill_s": {"m": 4.0, "l": 9.0}}, "s", 0, None),
    ({"prefill_s": {"m": 1.0, "l": 2.5}, "elapsed_s": 2.0}, "s", 0, "m"),
    # At busy engines a larger model is asked as long as it starts in time.
    ({"queueing_delay_s": 3.0}, "s", 40, "l"),
    ({"queueing_delay_s": 3.0, "prefill_s": {"m": 1.0, "l": 2.0}}, "s", 0, "m"),
    ({"queueing_delay_s": 3.0, "elapsed_s": 2.2}, "s", 0, None),
    ({"queueing_delay_s": 7.0}, "s", 0, None),
    ({"sizes": ("s",)}, "s", 0, None),
]


@pytest.mark.parametrize("fields,size,confidence,expected", CASES)
def test_larger_size(fields, size, confidence, expected):
    assert larger_size(size_request(**fields), size, confidence) == expected


@pytest.mark.parametrize("sizes,expected", [(SIZES, "s"), (("s",), "s"), ((), "")])
def test_first_size(sizes, expected):
    assert first_size(sizes) == expected


def test_the_busier_the_engines_the_smaller_the_model_asked():
    prefill_s = {"m": 0.5, "l": 1.5}
    asked = [
        larger_size(
            size_request(queueing_delay_s=queueing_delay_s, prefill_s=prefill_s), "s", 0
        )
        for queueing_delay_s in (0.0, 2.0, 4.5, 6.0, 8.0)
    ]
    assert asked == ["l", "l", "m", None, None]
