"""Authentication proofs, and the delay estimate of a link."""

import pytest

from knapweedhinge.peers.authentication import (
    Greeting,
    Role,
    new_nonce,
    prove,
    shares_protocol_version,
    verify,
)
from knapweedhinge.peers.delay_estimator import WINDOW_S, DelayEstimator

DIALER = Greeting(1, 1, b"d" * 32, b"dialer")
ACCEPTOR = Greeting(1, 1, b"a" * 32, b"acceptor")


@pytest.mark.parametrize(
    ("ours", "theirs", "good"),
    [
        (("old",), ("old",), True),
        (("old", "new"), ("old",), True),
        (("new", "old"), ("old", "new"), True),
        (("new",), ("new", "old"), True),
        (("new",), ("old",), False),
        (("other",), ("old", "new"), False),
    ],
)
def test_proofs_are_made_with_the_first_key_and_verified_with_any(ours, theirs, good):
    proof = prove(ours, Role.DIALER, DIALER, ACCEPTOR)
    assert verify(theirs, Role.DIALER, DIALER, ACCEPTOR, proof) is good


@pytest.mark.parametrize(
    ("role", "dialer", "acceptor"),
    [
        (Role.ACCEPTOR, DIALER, ACCEPTOR),
        (Role.DIALER, ACCEPTOR, DIALER),
        (Role.DIALER, DIALER, Greeting(1, 1, new_nonce(), b"acceptor")),
        (Role.DIALER, Greeting(1, 1, b"d" * 32, b"another"), ACCEPTOR),
        (Role.DIALER, Greeting(1, 1, b"", b"dialer"), ACCEPTOR),
        (Role.DIALER, Greeting(1, 1, b"a" * 32, b"dialer"), ACCEPTOR),
    ],
)
def test_a_proof_is_valid_for_one_connection_and_role_only(role, dialer, acceptor):
    proof = prove(("key",), Role.DIALER, DIALER, ACCEPTOR)
    assert not verify(("key",), role, dialer, acceptor, proof)


@pytest.mark.parametrize(
    ("first", "second", "common"),
    [((1, 1), (1, 1), True), ((3, 2), (2, 1), True), ((3, 3), (2, 1), False)],
)
def test_protocol_version_ranges_must_overlap(first, second, common):
    greetings = [Greeting(*versions, b"", b"") for versions in (first, second)]
    assert shares_protocol_version(*greetings) is common


def test_the_delay_is_the_excess_over_the_smallest_offset():
    delay_estimator = DelayEstimator()
    assert delay_estimator.estimate_s(1000.0, 50.0) == 0.0
    assert delay_estimator.estimate_s(1001.0, 51.2) == pytest.approx(0.2)
    assert delay_estimator.estimate_s(1002.0, 57.0) == pytest.approx(5.0)


def test_the_delay_estimate_follows_clocks_that_drift_apart():
    delay_estimator = DelayEstimator()
    for second in range(4 * int(WINDOW_S)):
        assert delay_estimator.estimate_s(second * 1.001, float(second)) < 0.2
    assert delay_estimator.estimate_s(float("nan"), 1.0) == 0.0
