"""A node adopts revisions in order and refuses work when it may be out of date."""

from dataclasses import replace

import pytest
import reactivex
from hypothesis import given, settings
from hypothesis import strategies as st
from reactivex import operators

from knapweedhinge.conf import PeerSettings, VotedLimits
from knapweedhinge.conf.changes import FoundCooperative, SetLimits, UnknownChange
from knapweedhinge.controllers.configuration_records import Revision
from knapweedhinge.controllers.configuration_staleness import (
    Refusing,
    Serving,
    may_accept,
    staleness,
)
from knapweedhinge.controllers.configuration_state import (
    ConfigurationState,
    DocumentReceived,
    RevisionConfirmed,
    RevisionReceived,
    Ticked,
    accumulate,
)
from tests.controllers.samples import CONFIGURATION

CFG = PeerSettings()


def revision(number):
    change = FoundCooperative(CONFIGURATION)
    if number > 1:
        change = SetLimits(VotedLimits(retry_share=number / 1000))
    return Revision(number, f"c{number}", "op", 0.0, number - 1, change)


def document(number):
    if number == 1:
        return replace(CONFIGURATION, revision=1)
    limits = VotedLimits(retry_share=number / 1000)
    return replace(CONFIGURATION, limits=limits, revision=number)


def state_at(number, **fields):
    return ConfigurationState(document(number), newest_known=number, **fields)


@pytest.mark.parametrize(
    ("event", "held_revision", "expected_newest"),
    [
        (RevisionReceived(revision(4)), 4, 4),
        (RevisionReceived(revision(3)), 3, 3),
        (RevisionReceived(revision(2)), 3, 3),
        (RevisionReceived(revision(5)), 3, 5),
        (DocumentReceived(document(9)), 9, 9),
        (DocumentReceived(document(2)), 3, 3),
        (RevisionConfirmed(7, 1.0), 3, 7),
        (RevisionReceived(replace(revision(4), change=UnknownChange("novel"))), 3, 4),
    ],
)
def test_only_the_next_revision_or_a_later_document_is_adopted(
    event, held_revision, expected_newest
):
    state = accumulate(state_at(3), event)
    assert (state.revision, state.newest_known) == (held_revision, expected_newest)
    assert state.configuration == document(held_revision)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("revision", "document", "read", "relayed")),
        st.integers(1, 9),
        st.integers(0, 90),
    ),
    max_size=40,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(EVENTS)
def test_confirmed_revisions_are_held_in_any_order_of_events(events):
    """No order of events confirms a time whose revisions the node lacks.

    Revision n is accepted at second 10 n, so a confirmation as of second t names
    revision t // 10 at most.
    """
    states = []
    make_event = {
        "revision": lambda number, at: RevisionReceived(revision(number)),
        "document": lambda number, at: DocumentReceived(document(number)),
        "read": lambda number, at: RevisionConfirmed(at // 10, at),
        "relayed": lambda number, at: RevisionConfirmed(
            min(number, at // 10), at - at % 10
        ),
    }
    stream = [make_event[kind](number, at) for kind, number, at in events]
    stream = [
        event
        if not isinstance(event, RevisionConfirmed)
        else limited_to_true_time(event)
        for event in stream
    ]
    reactivex.from_iterable(stream).pipe(
        operators.scan(accumulate, ConfigurationState())
    ).subscribe(states.append)
    for before, after in zip(states, states[1:], strict=False):
        assert after.revision >= before.revision
        assert after.as_of >= before.as_of
    for state in states:
        accepted = 0 if state.as_of < 0 else int(state.as_of // 10)
        assert state.revision >= accepted
        if state.revision:
            assert state.configuration == document(state.revision)


def limited_to_true_time(confirmation):
    """Return the confirmation with a time at which its revision was the newest."""
    latest = confirmation.revision * 10 + 9
    return replace(confirmation, as_of=min(confirmation.as_of, latest))


# In the tests below ``now`` is 100.0 unless they say otherwise. By default
# stale_after_s is 3.0, stamp_age_s 1.5 and stale_region_serve_s 3.0.
BELOW_HALF, HALF = 0.4, 0.5
RUNNING = {"ticked_at": 99.9, "resumed_at": 0.0}


@pytest.mark.parametrize(
    ("state", "heard_fraction", "peer_revision", "expected"),
    [
        (ConfigurationState(), 1.0, 0, "no-configuration"),
        (state_at(3, as_of=99.0, **RUNNING), 1.0, 3, "serving"),
        (state_at(3, as_of=99.0, **RUNNING), 0.0, 3, "serving"),
        (state_at(3, as_of=97.0, **RUNNING), BELOW_HALF, 3, "serving"),
        (state_at(3, as_of=96.9, **RUNNING), BELOW_HALF, 3, "cut-off"),
        (state_at(3, as_of=96.9, **RUNNING), HALF, 3, "platform down"),
        (state_at(3, as_of=-3500.0, **RUNNING), 1.0, 3, "platform down"),
        (state_at(3, as_of=-3500.0, **RUNNING), BELOW_HALF, 3, "cut-off"),
        (state_at(3, as_of=96.9, **RUNNING), 1.0, 4, "behind"),
        (
            accumulate(state_at(3, as_of=96.9, **RUNNING), RevisionConfirmed(4, 99.0)),
            1.0,
            3,
            "behind",
        ),
        (state_at(3, as_of=99.0, **RUNNING), 1.0, 4, "serving"),
        (state_at(3, as_of=90.0, ticked_at=90.0, resumed_at=0.0), 1.0, 3, "paused"),
        (state_at(3, as_of=90.0, ticked_at=99.9, resumed_at=99.5), 1.0, 3, "paused"),
        (state_at(3, as_of=99.6, ticked_at=90.0, resumed_at=0.0), 1.0, 3, "serving"),
    ],
)
def test_staleness(state, heard_fraction, peer_revision, expected):
    verdict = staleness(state, 100.0, heard_fraction, peer_revision, CFG, VotedLimits())
    if isinstance(verdict, Refusing):
        assert verdict.why == expected
        assert verdict.code.value.run_state == "not-run"
    else:
        assert isinstance(verdict, Serving)
        assert expected == ("platform down" if verdict.platform_down else "serving")


@pytest.mark.parametrize(
    ("voted_s", "age_s", "serves"),
    [(0.0, 1.4, True), (0.0, 1.6, False), (2.0, 1.9, True), (4.0, 3.1, False)],
)
def test_voted_limit_bounds_how_long_a_partitioned_region_serves(
    voted_s, age_s, serves
):
    state = state_at(3, as_of=100.0 - age_s, **RUNNING)
    limits = VotedLimits(stale_region_serve_s=voted_s)
    verdict = staleness(state, 100.0, BELOW_HALF, 3, CFG, limits)
    assert isinstance(verdict, Serving) is serves


def test_pause_is_remembered_after_the_next_tick():
    state = state_at(3, as_of=50.0, ticked_at=50.0, resumed_at=0.0)
    woken = accumulate(state, Ticked(100.0))
    assert staleness(woken, 100.0, 1.0, 3, CFG, VotedLimits()).why == "paused"
    ticking = woken
    for tenth in range(1, 31):
        ticking = accumulate(ticking, Ticked(100.0 + tenth / 10))
    later = staleness(ticking, 103.0, 1.0, 3, CFG, VotedLimits())
    assert later == Serving(53.0, platform_down=True)


@pytest.mark.parametrize("members", range(1, 20))
def test_no_partition_serves_unconfirmed_on_one_side_and_accepts_changes_on_other(
    members,
):
    for side in range(members + 1):
        serves = staleness(
            state_at(3, as_of=0.0, **RUNNING),
            100.0,
            side / members,
            3,
            CFG,
            VotedLimits(),
        )
        if isinstance(serves, Serving):
            assert not may_accept((members - side) / members)
