"""Progress of a batch of writes: which outcomes are known so far."""

from dataclasses import replace

from knapweedhinge.backing.settle import Settlement, settle, settle_atomic
from knapweedhinge.backing.types import Row, Write, WriteOutcome
from knapweedhinge.core.exceptions import WriteUnsettledError


class PendingBatch:
    """Collect the outcomes of a batch of writes over several attempts.

    ``maybe_applied`` is set by the caller when a response was lost. From then on, the
    service may refuse a write because an earlier attempt of the same batch took
    effect. A refusal is therefore no longer believed if the row can't show whether
    that happened.
    """

    def __init__(self, writes: tuple[Write, ...], atomic: bool):
        self.atomic = atomic
        self.maybe_applied = False
        self._writes = writes
        self._outcomes: dict[int, WriteOutcome] = {}

    @property
    def writes(self) -> tuple[Write, ...]:
        """Return the writes whose outcome is not known yet, in order."""
        return tuple(self._writes[index] for index in self._unresolved_indexes())

    @property
    def done(self) -> bool:
        """Return whether the outcome of every write is known."""
        return len(self._outcomes) == len(self._writes)

    @property
    def outcomes(self) -> tuple[WriteOutcome, ...]:
        """Return the outcome of each write, in order, once the batch is ``done``."""
        return tuple(self._outcomes[index] for index in range(len(self._writes)))

    def record_outcomes(self, outcomes: tuple[WriteOutcome, ...]) -> None:
        """Record the outcomes that the service returned for ``writes``.

        Raises WriteUnsettledError if the outcome of a write can't be determined.
        """
        rows = tuple(outcome.row for outcome in outcomes)
        if self.atomic:
            self._record_atomic_outcomes(outcomes, rows)
            return
        for index, outcome in zip(self._unresolved_indexes(), outcomes, strict=True):
            self._outcomes[index] = self._resolve_outcome(self._writes[index], outcome)

    def record_rows(self, rows: tuple[Row | None, ...]) -> None:
        """Record the outcomes that the rows of ``writes`` show after a lost response.

        Raises WriteUnsettledError if the outcome of a write can't be determined.
        """
        if self.atomic:
            self._record_atomic_rows(settle_atomic(self.writes, rows), rows)
            return
        for index, row in zip(self._unresolved_indexes(), rows, strict=True):
            self._record_row(index, row)

    def _unresolved_indexes(self) -> list[int]:
        return [i for i in range(len(self._writes)) if i not in self._outcomes]

    def _resolve_outcome(self, write: Write, outcome: WriteOutcome) -> WriteOutcome:
        if outcome.applied:
            return outcome
        found = settle(write, outcome.row)
        if found in (Settlement.APPLIED, Settlement.ABSENT):
            return replace(outcome, applied=True)
        if found is Settlement.HIDDEN and self.maybe_applied:
            raise _hidden_error(write)
        return outcome

    def _record_atomic_outcomes(self, outcomes, rows) -> None:
        if all(outcome.applied for outcome in outcomes):
            self._set_all(True, rows)
            return
        found = settle_atomic(self.writes, rows)
        if found is Settlement.HIDDEN and self.maybe_applied:
            raise _hidden_error(self._writes[0])
        self._set_all(found is Settlement.APPLIED, rows)

    def _record_row(self, index: int, row: Row | None) -> None:
        write = self._writes[index]
        found = settle(write, row)
        if found is Settlement.HIDDEN:
            raise _hidden_error(write)
        if found is not Settlement.OPEN:
            applied = found is not Settlement.REFUSED
            self._outcomes[index] = WriteOutcome(applied, row)

    def _record_atomic_rows(self, found: Settlement, rows) -> None:
        if found is Settlement.HIDDEN:
            raise _hidden_error(self._writes[0])
        if found is not Settlement.OPEN:
            self._set_all(found is Settlement.APPLIED, rows)

    def _set_all(self, applied: bool, rows) -> None:
        for index, row in enumerate(rows):
            self._outcomes[index] = WriteOutcome(applied, row)


def _hidden_error(write: Write) -> WriteUnsettledError:
    return WriteUnsettledError(
        f"{write.table}/{write.key}: cannot tell whether write {write.write_id} was"
        " applied, because the row was deleted or its history is too short"
    )
