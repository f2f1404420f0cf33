import pytest

from knapweedhinge.routing.load import (
    MAX_LEDGER_EVENTS,
    EndpointView,
    LoadReport,
    LocalLedger,
    corrected_load,
    expected_wait_s,
    split_load,
)


def endpoint(**report):
    return EndpointView(
        "e1", "http://127.0.0.1:1", "a", "r", report=LoadReport(**report)
    )


@pytest.mark.parametrize(
    ("dispatched", "completed", "reported_at", "expected"),
    [
        ([], [], 10.0, 4),
        ([9.0], [], 10.0, 4),
        ([11.0, 12.0], [], 10.0, 6),
        ([9.0], [11.0], 10.0, 3),
        ([11.0], [12.0], 10.0, 4),
        ([9.0, 9.0, 9.0, 9.0, 9.0], [], 10.0, 5),
    ],
    ids=["no work", "in report", "after report", "ended", "both after", "own floor"],
)
def test_corrected_load(dispatched, completed, reported_at, expected):
    ledger = LocalLedger()
    for at in dispatched:
        ledger.dispatched("e1", at)
    for at in completed:
        ledger.completed("e1", at)
    view = endpoint(running=3, waiting=1, reported_at=reported_at)
    assert corrected_load(view, ledger) == expected


def test_ledger_is_bounded_and_forgets():
    ledger = LocalLedger()
    for at in range(MAX_LEDGER_EVENTS + 10):
        ledger.dispatched("e1", float(at))
    assert ledger.net_since("e1", -1.0) == MAX_LEDGER_EVENTS
    assert ledger.in_flight("e1") == MAX_LEDGER_EVENTS + 10
    ledger.forget("e1")
    assert ledger.in_flight("e1") == 0


def test_wait_grows_with_load_and_with_a_full_cache():
    report = LoadReport(slots=4)
    waits = [expected_wait_s(report, load, 200) for load in range(12)]
    assert waits == sorted(waits)
    assert waits[0] == 0.0
    full = LoadReport(slots=4, kv_free=0.0)
    assert expected_wait_s(full, 2, 200) > expected_wait_s(report, 2, 200)


@pytest.mark.parametrize(
    ("now", "low", "high"),
    [(10.0, 7.0, 7.0), (10.1, 5.5, 6.5), (12.0, 5.0, 5.0)],
    ids=["fresh", "ageing", "old"],
)
def test_others_load_moves_to_the_mean_as_a_report_ages(now, low, high):
    ledger = LocalLedger()
    ledger.dispatched("e1", 9.0)
    ledger.dispatched("e1", 10.0)
    ledger.dispatched("e1", 10.0)
    parts = split_load(endpoint(running=5, waiting=2, reported_at=10.0), ledger, now)
    assert (parts.own, parts.others) == (3, 4)
    assert low <= parts.current_load(mean_others=2) <= high
