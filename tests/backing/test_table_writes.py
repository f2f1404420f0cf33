from itertools import product

import pytest

from knapweedhinge.backing import Row, Write
from knapweedhinge.backing.settle import Settlement, settle
from knapweedhinge.core.exceptions import (
    PlatformUnavailableError,
    RowConflictError,
    WriteUnsettledError,
)
from tests.controllers.faulty_tables import Fault, Operation, Service, SteppedTables

LOSSES = {Fault.LOST_AFTER, Fault.LOST_BEFORE, Fault.LATE}


def insert(tables):
    return tables.insert("t", "new", {"x": 1}, "mine")


def update(tables):
    return tables.update("t", "old", {"x": 1}, 1, "mine")


def delete(tables):
    return tables.delete("t", "old", 1, "mine")


def put(tables):
    return tables.batch((Write("t", "old", {"x": 1}, None, "mine"),))


def pair(tables):
    writes = (
        Write("t", "new", {"x": 1}, 0, "mine"),
        Write("t", "old", {"x": 1}, 1, "mine"),
    )
    return tables.batch(writes, atomic=True)


def updates(tables):
    writes = tuple(Write("t", key, {"x": 1}, 1, "mine") for key in ("old", "older"))
    return tables.batch(writes, atomic=True)


class RecordingService:
    """Table service that records the writes that took effect."""

    def __init__(self):
        self.service = Service()
        self.applied = []
        self.write("old", "first")
        self.write("older", "first")
        self._write = self.service.store._write
        self.service.store._write = self.apply_and_record

    def apply_and_record(self, write):
        outcome = self._write(write)
        if outcome.applied:
            self.applied.append((write.write_id, write.key))
        return outcome

    def write(self, key, write_id):
        self.service.store.write((Write("t", key, {}, None, write_id),), False)

    def count(self):
        return sum(write_id == "mine" for write_id, _ in self.applied)


def run_with_faults(
    operation, recording, faults, competing_rounds, before_call, late_writes_apply
):
    """Run an operation; before one of its calls, other clients write all its rows."""
    call_count, faults_left = 0, list(faults)
    while not operation.done:
        if call_count == before_call:
            for call in recording.service.late if late_writes_apply else ():
                recording.service.execute(call)
            for number in range(competing_rounds):
                for key in ("old", "older", "new"):
                    recording.write(key, f"other{number}")
        faulty = operation.at_write and faults_left
        operation.advance(faults_left.pop(0) if faulty else Fault.NONE)
        call_count += 1


@pytest.mark.parametrize("start", [insert, update, delete, put, pair, updates])
@pytest.mark.parametrize("competing_rounds", [0, 1, 9])
@pytest.mark.parametrize("before_call", [0, 1, 2])
@pytest.mark.parametrize("late_writes_apply", [False, True])
def test_reported_outcome_matches_the_applied_writes(
    start, competing_rounds, before_call, late_writes_apply
):
    """Run each kind of write with all sequences of three faults.

    A lost response may hide a write that took effect, and a delayed call may take
    effect after the client gave up; neither may lead to a wrong outcome.
    """
    size = 2 if start in (pair, updates) else 1
    for faults in product(Fault, repeat=3):
        recording = RecordingService()
        operation = Operation(start(SteppedTables()), recording.service)
        run_with_faults(
            operation,
            recording,
            faults,
            competing_rounds,
            before_call,
            late_writes_apply,
        )
        applied_at_return = recording.count()
        for call in recording.service.late:
            recording.service.execute(call)
        refused = isinstance(operation.error, RowConflictError)
        if size == 2 and operation.error is None:
            refused = not any(outcome.applied for outcome in operation.result)
        if refused or isinstance(operation.error, PlatformUnavailableError):
            assert recording.count() == 0
        elif isinstance(operation.error, WriteUnsettledError):
            assert LOSSES & set(faults)
        else:
            assert operation.error is None
            assert applied_at_return >= size
        # An unconditional write may take effect again after a delayed call, or when
        # other writes pushed it out of the row's history before it was read back.
        if start is not put or (Fault.LATE not in faults and competing_rounds < 9):
            assert recording.count() <= size


def row(version, write_id, recent=(), insert_id="first"):
    return Row("t", "k", {}, version, write_id, insert_id, tuple(recent))


@pytest.mark.parametrize(
    ("expected_version", "found", "settlement"),
    [
        (0, None, "open"),
        (0, row(1, "mine", insert_id="mine"), "applied"),
        (0, row(30, "b", ["c"], insert_id="mine"), "applied"),
        (0, row(1, "b", insert_id="b"), "refused"),
        (2, None, "hidden"),
        (2, row(2, "a"), "open"),
        (2, row(3, "mine"), "applied"),
        (2, row(3, "b"), "refused"),
        (2, row(5, "c", ["b", "mine", "a"]), "applied"),
        (2, row(5, "c", ["b", "a"]), "refused"),
        (2, row(5, "c", ["b"]), "hidden"),
        (2, row(5, "c"), "hidden"),
        (None, row(5, "c", ["mine"]), "applied"),
        (None, row(5, "c"), "open"),
    ],
)
def test_settle(expected_version, found, settlement):
    write = Write("t", "k", {}, expected_version, "mine")
    assert settle(write, found) is Settlement(settlement)
