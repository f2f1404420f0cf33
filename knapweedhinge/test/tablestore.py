"""Tables in memory for the platform's stand-in, with conditional writes."""

from dataclasses import dataclass, replace

from knapweedhinge.backing.types import Row, Write, WriteOutcome

# Kept with a row, so that a client whose answer was lost can find out whether its write
# took effect.
MAX_RECENT_WRITE_IDS = 8


@dataclass
class _Cell:
    """A row with its version and write ids, which outlive its deletion."""

    row: Row | None = None
    version: int = 0
    write_ids: tuple[str, ...] = ()


class TableStore:
    """Rows by table and key; a write may depend on the version of its row."""

    def __init__(self):
        self._cells: dict[tuple[str, str], _Cell] = {}

    def get(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it is absent."""
        cell = self._cells.get((table, key))
        return cell.row if cell else None

    def scan(self, table: str, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows in the order of their keys.

        They are those with a key that starts with ``prefix`` and sorts after ``after``.
        """
        rows = [cell.row for (name, _), cell in self._cells.items() if name == table]
        found = [
            row
            for row in rows
            if row and row.key.startswith(prefix) and row.key > after
        ]
        return sorted(found, key=lambda row: row.key)[:limit]

    def write(self, writes: tuple[Write, ...], atomic: bool) -> list[WriteOutcome]:
        """Apply the writes in order and return their outcomes.

        With ``atomic``, none is applied if the condition of any of them fails.
        """
        if atomic and not all(self._condition_holds(write) for write in writes):
            rows = [self.get(write.table, write.key) for write in writes]
            return [WriteOutcome(False, row) for row in rows]
        return [self._write(write) for write in writes]

    def _condition_holds(self, write: Write) -> bool:
        if write.expected_version is None:
            return True
        row = self.get(write.table, write.key)
        return write.expected_version == (row.version if row else 0)

    def _write(self, write: Write) -> WriteOutcome:
        if not self._condition_holds(write):
            return WriteOutcome(False, self.get(write.table, write.key))
        cell = self._cells.setdefault((write.table, write.key), _Cell())
        cell.version += 1
        cell.row = self._row_after(cell, write)
        cell.write_ids = (write.write_id, *cell.write_ids)[:MAX_RECENT_WRITE_IDS]
        return WriteOutcome(True, cell.row)

    def _row_after(self, cell: _Cell, write: Write) -> Row | None:
        if write.value is None:
            return None
        changed = {
            "value": write.value,
            "version": cell.version,
            "write_id": write.write_id,
            "recent": cell.write_ids,
        }
        if cell.row is not None:
            return replace(cell.row, **changed)
        return Row(write.table, write.key, insert_id=write.write_id, **changed)
