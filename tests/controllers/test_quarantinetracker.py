"""A crash names the requests that were in flight, however late it is noticed."""

import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.controllers.quarantinetracker import (
    BROKEN_KEPT_S,
    QuarantineTracker,
)
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.quarantine import Standing

ENGINE = EndpointView("e1", "", "a", "here", incarnation="i1")
RESTARTED = EndpointView("e1", "", "a", "here", incarnation="i2")
LIMITS = VotedLimits()

ORDERS = {
    # steps with their times, suspects of the crash
    "in flight": ([("start", 0), ("crash", 1)], {"p"}),
    "broke off first": (
        [("start", 0), ("break", 1), ("end", 1), ("crash", 1.1)],
        {"p"},
    ),
    "breaks off later": (
        [("start", 0), ("crash", 1), ("break", 1.1), ("end", 1.1)],
        {"p"},
    ),
    "ended before": ([("start", 0), ("end", 1), ("crash", 1.1)], set()),
    "broke off too long before": (
        [("start", 0), ("break", 1), ("end", 1), ("crash", 1.1 + BROKEN_KEPT_S)],
        set(),
    ),
    "broke off long before": (
        [("start", 0), ("break", 1), ("end", 1), ("break other", 1.1 + BROKEN_KEPT_S)]
        + [("crash", 1.2 + BROKEN_KEPT_S)],
        set(),
    ),
}


@pytest.mark.parametrize("steps,suspects", ORDERS.values(), ids=ORDERS)
def test_no_request_in_flight_is_missing_from_a_crash(steps, suspects):
    tracker, published = QuarantineTracker(), []
    tracker.updates_for_peers.subscribe(published.append)
    for step, now in steps:
        match step:
            case "start":
                tracker.started(ENGINE, "p")
            case "break":
                tracker.broke_off(ENGINE, "p", now)
            case "break other":
                tracker.broke_off(RESTARTED, "q", now)
            case "end":
                tracker.ended(ENGINE, "p")
            case "crash":
                tracker.crashed(ENGINE, LIMITS, now)
    (crash,) = tracker.crashes()
    assert crash.fingerprints == suspects
    assert published[-1].update.entries.crashes == (crash,)


def test_a_sound_request_beside_a_part_that_crashes_engines_is_not_quarantined():
    tracker = QuarantineTracker()
    for number in range(3):
        engine = EndpointView(f"e{number}", "", "a", "here", incarnation="i1")
        tracker.broke_off(engine, f"tainted{number}", number, ("shared", "fatal"))
        if number < 2:
            tracker.broke_off(engine, "sound", number, ("shared",))
        tracker.crashed(engine, LIMITS, number)
    assert tracker.blamed_parts(("shared", "fatal"), LIMITS, 3.0)
    assert tracker.verdict("sound", LIMITS, 10, 3.0).standing is Standing.NORMAL


@pytest.mark.parametrize("beside", [True, False])
def test_parts_of_answers_cut_off_beside_another_part_are_not_blamed(beside):
    """Sound parts were refused while a part crashed engines that began to answer it."""
    tracker = QuarantineTracker()
    for number in range(5):
        engine = EndpointView(f"e{number}", "", "a", "here", incarnation="i1")
        if beside:
            tracker.broke_off(engine, f"tainted{number}", number, ("fatal",))
        tracker.broke_off(engine, f"s{number}", number, ("part",), answering=True)
        tracker.crashed(engine, LIMITS, number)
    assert bool(tracker.blamed_parts(("part",), LIMITS, 5.0)) is not beside


def test_an_answer_between_a_crash_and_its_discovery_clears_a_request():
    tracker = QuarantineTracker()
    for number in range(2):
        engine = EndpointView(f"e{number}", "", "a", "here", incarnation="i1")
        tracker.broke_off(engine, "p", 1.0, ("x",))
        tracker.broke_off(engine, "q", 1.0, ("y",))
    tracker.completed("p", 1.1)
    tracker.answered(("x",), 1.1)
    for number in range(2):
        engine = EndpointView(f"e{number}", "", "a", "here", incarnation="i1")
        tracker.crashed(engine, LIMITS, 1.2)
    standings = [tracker.verdict(name, LIMITS, 10, 1.3).standing for name in "pq"]
    assert standings == [Standing.NORMAL, Standing.QUARANTINED]
    (crash, _) = tracker.crashes()
    assert crash.at == 1.0 and crash.fingerprints == {"q"}


def joined_trackers(count: int) -> list[QuarantineTracker]:
    """Return trackers of nodes that get each other's updates at once."""
    trackers = [QuarantineTracker() for _ in range(count)]
    for tracker in trackers:
        for peer in trackers:
            if peer is not tracker:
                tracker.updates_for_peers.subscribe(
                    lambda keyed, peer=peer: peer.merge(keyed.update, 0.0)
                )
    return trackers


@pytest.mark.parametrize("nodes", [2, 40])
def test_a_crash_is_not_told_with_the_requests_of_other_nodes(nodes):
    trackers = joined_trackers(nodes)
    published = []
    for number, tracker in enumerate(trackers):
        tracker.broke_off(ENGINE, f"call{number}", 0.0, (f"part{number}",))
        tracker.updates_for_peers.subscribe(published.append)
    for tracker in trackers:
        tracker.crashed(ENGINE, LIMITS, 0.0)
    told = [keyed.update.entries.crashes[0] for keyed in published]
    assert [crash.fingerprints for crash in told] == [
        {f"call{number}"} for number in range(nodes)
    ]
    everything = {f"call{number}" for number in range(nodes)}
    assert all(tracker.crashes()[0].fingerprints == everything for tracker in trackers)


def test_a_restarted_node_still_tells_what_it_told_of_a_crash_before():
    tracker, published = QuarantineTracker(), []
    tracker.updates_for_peers.subscribe(published.append)
    tracker.broke_off(ENGINE, "before", 0.0)
    tracker.crashed(ENGINE, LIMITS, 0.0)
    again = QuarantineTracker()
    again.updates_for_peers.subscribe(published.append)
    again.merge(published[-1].update, 0.0, own=True)
    again.broke_off(ENGINE, "after", 0.5)
    assert published[-1].update.entries.crashes[0].fingerprints == {"before", "after"}
    assert again.known_updates() == (published[-1],)


JOINS = {
    # is each crash followed by an answer, how many of the records a node reads that
    # joins, has the node that told of them looked at them since, is the part refused
    "answered, all recorded": (True, 6, False, False),
    "answered, last recorded": (True, 1, False, False),
    "answered, looked at again": (True, 0, True, False),
    "answered, both": (True, 6, True, False),
    "never answered": (False, 0, True, True),
    "never answered, last recorded": (False, 1, True, True),
    "never answered, all recorded": (False, 6, True, True),
}


@pytest.mark.parametrize("answering", [False, True])
@pytest.mark.parametrize("answered,recorded,trimmed,refused", JOINS.values(), ids=JOINS)
def test_a_node_that_joins_does_not_count_crashes_that_were_answered(
    answered, recorded, trimmed, refused, answering
):
    """It counted each that peers still told of as a new one, and refused the part."""
    tracker, told, records, now = QuarantineTracker(1e6), {}, [], 0.0
    tracker.updates_for_peers.subscribe(lambda keyed: told.update({keyed.key: keyed}))
    for number in range(6):
        engine = EndpointView(f"e{number}", "", "a", "here", incarnation="i1")
        tracker.broke_off(engine, f"c{number}", now, ("part",), answering=answering)
        crash = tracker.crashed(engine, LIMITS, now)
        kept = tracker.open_crashes(LIMITS, now)[crash.id]
        records.append((kept, tracker.last_answers(kept)))
        if answered:
            tracker.answered(("part",), now + 2.0, complete=True)
        now += 4.0
    if trimmed:
        tracker.trim_own_crashes(LIMITS, now)
    joined = QuarantineTracker(1e6)
    for kept, answers in records[len(records) - recorded :]:
        joined.restore(kept, LIMITS, now, answers)
    for keyed in told.values():
        joined.merge(keyed.update, now)
    assert bool(joined.blamed_parts(("part",), LIMITS, now)) is refused
