"""Recently active sessions of a node, and the release that each ran on."""

import pytest

from knapweedhinge.controllers.session_tracker import MAX_SESSIONS, SessionTracker

IDLE_S = 5.0
SHOP, SESSION = "shop", "s"


def ran(tracker: SessionTracker, version: str, began: float, ended: float) -> None:
    tracker.began(SHOP, SESSION, version, began)
    tracker.ended(SHOP, SESSION, ended)


ACTIVE_CASES = [
    # what happened to the session, time of the question, release it is active on
    (lambda tracker: None, 1.0, None),
    (lambda tracker: tracker.arrived(SHOP, SESSION, "", 1.0), 2.0, ""),
    (lambda tracker: tracker.arrived(SHOP, SESSION, "v2", 1.0), 2.0, "v2"),
    (lambda tracker: ran(tracker, "v1", 1.0, 2.0), 7.0, "v1"),
    (lambda tracker: ran(tracker, "v1", 1.0, 2.0), 7.1, None),
    (lambda tracker: tracker.began(SHOP, SESSION, "v1", 1.0), 60.0, "v1"),
    (
        lambda tracker: (
            ran(tracker, "v1", 1.0, 2.0),
            tracker.arrived(SHOP, SESSION, "", 3.0),
        ),
        4.0,
        "v1",
    ),
    (
        lambda tracker: (
            ran(tracker, "v1", 1.0, 2.0),
            ran(tracker, "v2", 3.0, 4.0),
        ),
        5.0,
        "v2",
    ),
]


@pytest.mark.parametrize("happen,now,version", ACTIVE_CASES)
@pytest.mark.parametrize("expired_at", [0.0, 3.0])
def test_the_release_of_an_active_session(happen, now, version, expired_at):
    tracker = SessionTracker(IDLE_S)
    happen(tracker)
    tracker.expire(expired_at)
    assert tracker.version(SHOP, SESSION, now) == version
    expected = [] if version is None else [(SESSION, version)]
    assert tracker.active(SHOP, now) == expected
    assert tracker.active("other", now) == []


def test_calls_without_a_session_are_not_tracked():
    tracker = SessionTracker(IDLE_S)
    tracker.arrived(SHOP, "", "v1", 1.0)
    tracker.began(SHOP, "", "v1", 1.0)
    tracker.ended(SHOP, "", 1.0)
    assert tracker.active(SHOP, 1.0) == []


def test_a_flood_of_sessions_holds_bounded_memory():
    tracker = SessionTracker(IDLE_S)
    for n in range(MAX_SESSIONS + 10):
        tracker.arrived(SHOP, f"s{n}", "", 1.0)
    assert len(tracker.active(SHOP, 1.0)) == MAX_SESSIONS
    assert tracker.version(SHOP, "s0", 1.0) is None
