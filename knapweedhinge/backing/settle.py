"""Settle writes whose response was lost: infer their outcome from the current row.

Every write carries a unique id, and a row lists the ids of its latest writes, so that
reading the row back usually shows whether the write took effect.
"""

from enum import StrEnum

from knapweedhinge.backing.types import Row, Write


class Settlement(StrEnum):
    """Outcome of a write, as far as the current row shows it.

    APPLIED: the write took effect. REFUSED: its condition failed. OPEN: the row shows
    no effect and the write may still take effect, so it is sent again. An update or
    delete of an expected version takes effect at most once even so; a write without a
    condition may do so twice, and so may an insert whose row was deleted in between.
    ABSENT: the row to delete doesn't exist, whoever deleted it. HIDDEN: unknown,
    because the row was deleted or later writes pushed this one out of the history
    that the row keeps.
    """

    APPLIED = "applied"
    REFUSED = "refused"
    OPEN = "open"
    ABSENT = "absent"
    HIDDEN = "hidden"


def settle(write: Write, row: Row | None) -> Settlement:
    """Return the outcome of a write, inferred from its row (None if it is absent)."""
    if row is None:
        return _settle_absent(write)
    if write.write_id in (row.write_id, row.insert_id, *row.recent):
        return Settlement.APPLIED
    if write.expected_version is None:
        return Settlement.OPEN
    if write.expected_version == 0:
        return Settlement.REFUSED
    return _settle_versioned(write.expected_version, row)


def settle_atomic(writes: tuple[Write, ...], rows: tuple[Row | None, ...]):
    """Return the common outcome of the writes of an atomic batch from their rows.

    All of them take effect or none, so one row that shows it decides for all.
    """
    found = {settle(write, row) for write, row in zip(writes, rows, strict=True)}
    if Settlement.APPLIED in found or found == {Settlement.ABSENT}:
        return Settlement.APPLIED
    if Settlement.REFUSED in found:
        return Settlement.REFUSED
    if Settlement.HIDDEN in found:
        return Settlement.HIDDEN
    return Settlement.OPEN


def _settle_absent(write: Write) -> Settlement:
    if write.value is None:
        return Settlement.ABSENT
    if write.expected_version:
        return Settlement.HIDDEN
    return Settlement.OPEN


def _settle_versioned(expected_version: int, row: Row) -> Settlement:
    # Writes since version expected_version + 1, the only one this write can have made.
    later_writes = row.version - expected_version - 1
    if later_writes < 0:
        return Settlement.OPEN
    if later_writes > len(row.recent):
        return Settlement.HIDDEN
    return Settlement.REFUSED
