"""Tests of how long a call waits for an endpoint that sends nothing."""

import pytest

from knapweedhinge.routing.silence import (
    BUSY_WORK_S,
    MIN_TIMEOUT_S,
    Silence,
    silence_timeout_s,
)

CASES = [
    # silence, timeout after which the call goes elsewhere
    (Silence(4.0, first_piece=True), 2.0),
    (Silence(4.0, first_piece=True, work_s=BUSY_WORK_S), 3.0),
    (Silence(2.5, first_piece=False), 2.0),
    (Silence(2.5, first_piece=False, work_s=BUSY_WORK_S), 5.0),
    (Silence(2.5, first_piece=False, work_s=BUSY_WORK_S, others_served=True), 2.0),
    (Silence(0.1, first_piece=True), MIN_TIMEOUT_S),
    (Silence(4.0, first_piece=True, prefill_s=3.0), 6.0),
    (Silence(2.5, first_piece=False, prefill_s=3.0), 2.0),
]


@pytest.mark.parametrize("silence,expected_s", CASES)
def test_silence_timeout(silence, expected_s):
    assert silence_timeout_s(silence) == pytest.approx(expected_s)
