"""Copy of the store's followed tables in a node, across returns of the store.

After a return from a copy the store holds rows that are older than what a node has
seen, until operators, endpoints and nodes have written theirs again. A row that was
seen before the return stays in force as long as the store's row is older by what
its writer says.
"""

from dataclasses import dataclass, replace

import msgspec

from knapweedhinge.platform import wire
from knapweedhinge.platform.eras import Version
from knapweedhinge.platform.store import Row
from knapweedhinge.routing.releases import FINAL_STAGES

# Time after a return until rows of operators that differ from those before it are
# taken as they are. Operators write again what was lost; a row that they had deleted
# can't show by being absent, and one that they write anew before the first read of the
# era can't be told from the copy's. Shorter than an evacuation may take.
OPERATOR_GRACE_S = 4.0


@dataclass(frozen=True, slots=True)
class Held:
    """What is held of one key.

    ``current`` is the newest row. ``is_new`` says that it was written in its era, so
    that it isn't only part of the copy that the store returned from. ``earlier`` is the
    row that was in force before the era, None if it no longer matters. ``since`` is
    when the era's row was first held, in seconds on the node's clock.
    """

    current: Row
    is_new: bool = False
    earlier: Row | None = None
    since: float = 0.0


class Mirror:
    """The newest known version of each row of the followed tables."""

    def __init__(self):
        self._held: dict[tuple[str, str], Held] = {}
        self._newest_versions: dict[str, Version] = {}
        self._read_versions: dict[str, Version] = {}  # of the tables read as a whole

    def apply(self, table: str, row: Row, *, is_new: bool, now: float) -> bool:
        """Store a row; return whether that changes the row in force.

        False if the held row is as new or newer, or for deleting a row never seen.
        """
        held = self._held.get((table, row.key))
        read = self._read_versions.get(table)
        if held is None and read is not None and row.version.is_of_era_before(read):
            # The store lacked the row when the table was last read.
            absent = Row(row.key, read, None)
            held = self._held[table, row.key] = Held(absent, False, row, now)
            return in_force(table, held, now) is row and row.value is not None
        if held is None:
            self._held[table, row.key] = Held(row, is_new, since=now)
            self._note_newest(table, row)
            return row.value is not None
        before = in_force(table, held, now)
        changed = merge(held, row, before, is_new=is_new, now=now)
        if changed is held:
            return False
        self._held[table, row.key] = changed
        after = in_force(table, changed, now)
        same_era = row.version.is_of_era_of(held.current.version)
        if after is before or (not same_era and _same(after, before)):
            return False  # peers hold what is in force already
        self._note_newest(table, row)
        return True

    def newest_version(self, table: str) -> Version:
        """Return the version of the newest row of a table that peers are to have.

        Rows that a return of the store left as they were aren't sent to them.
        """
        return self._newest_versions.get(table, Version())

    def deletions_for(self, table: str, keys: set[str], version: Version) -> list[Row]:
        """Return deletions for the held rows that a read of the whole table lacks.

        ``keys`` are the keys read, ``version`` is the table's version at that time;
        newer rows stay.
        """
        self._read_versions[table] = version
        return [
            Row(key, version, None)
            for (name, key), held in self._held.items()
            if name == table
            and key not in keys
            and held.current.value is not None
            and held.current.version <= version
        ]

    def row(self, table: str, key: str) -> Row | None:
        """Return the row in the store as far as it is known, None if it never was."""
        held = self._held.get((table, key))
        return held.current if held else None

    def lost(self, table: str, key: str, now: float) -> Row | None:
        """Return the row in force if the store has an older one, else None."""
        held = self._held.get((table, key))
        if held is None:
            return None
        found = in_force(table, held, now)
        return None if found is held.current else found

    def count_lost(self, table: str, now: float) -> int:
        """Return how many rows in force the store has only in an older state."""
        keys = [key for name, key in self._held if name == table]
        return sum(self.lost(table, key, now) is not None for key in keys)

    def settle(self, now: float) -> list[tuple[str, Row]]:
        """Take the store's rows whose grace after a return is over; return them."""
        settled = []
        for (table, key), held in list(self._held.items()):
            if held.earlier is None or table == wire.STATUS_TABLE:
                continue
            before = in_force(table, held, held.since)
            if in_force(table, held, now) is before:
                continue
            self._held[table, key] = replace(held, earlier=None)
            settled.append((table, held.current))
        return settled

    def drop_after(self, newest: Version) -> None:
        """Forget the rows of eras after ``newest``, which the store has refuted."""
        for name, held in list(self._held.items()):
            if newest.is_of_era_before(held.current.version):
                del self._held[name]
        for versions in (self._newest_versions, self._read_versions):
            for table, version in list(versions.items()):
                if newest.is_of_era_before(version):
                    del versions[table]

    def _note_newest(self, table: str, row: Row) -> None:
        self._newest_versions[table] = max(self.newest_version(table), row.version)


def merge(held: Held, row: Row, before: Row, *, is_new: bool, now: float) -> Held:
    """Return what is held after a row arrived, ``held`` itself if nothing changes.

    ``before`` is the row in force.
    """
    current = held.current
    if row.version.is_of_era_of(current.version):
        if row.version <= current.version:
            return held
        # What was lost matters no more once the store's row was in force beside it.
        earlier = None if before is current else held.earlier
        return replace(held, current=row, is_new=held.is_new or is_new, earlier=earlier)
    if row.version > current.version:
        return Held(row, is_new, before, now)
    # A late row of an earlier era, which the store may have lost.
    if held.earlier is not None and row.version <= held.earlier.version:
        return held
    return replace(held, earlier=row)


def in_force(table: str, held: Held, now: float) -> Row:
    """Return which row counts: that of the store, or one that it has lost."""
    current, earlier = held.current, held.earlier
    if earlier is None or _same(current, earlier):
        return current
    if table == wire.STATUS_TABLE:
        return current if _stage_goes_on(earlier, held) else earlier
    if (table, current.key) == (wire.OPERATOR_TABLE, wire.CATALOG_KEY):
        return current if _revision(current) >= _revision(earlier) else earlier
    if held.is_new:
        return current
    if table == wire.ENDPOINTS_TABLE:
        return current if _is_newer_endpoint(current, earlier) else earlier
    is_in_copy = current.value is not None and (
        current.version.number >= earlier.version.number
    )
    if is_in_copy or now >= held.since + OPERATOR_GRACE_S:
        return current
    return earlier


def _same(row: Row, other: Row) -> bool:
    return row.value == other.value


def _is_newer_endpoint(current: Row, earlier: Row) -> bool:
    """Return whether an endpoint's row in a copy counts beside the one before.

    A missing row counts: the endpoint is kept for a moment, as after an outage, in
    which it writes again. One that had left stays away until it writes again.
    """
    if current.value is None:
        return True
    if earlier.value is None:
        return current.version.number > earlier.version.number
    return endpoint_order(current) >= endpoint_order(earlier)


def endpoint_order(row: Row) -> tuple[int, int]:
    """Return by what an endpoint orders its own rows: its start, then its count."""
    try:
        body = msgspec.json.decode(row.value, type=wire.EndpointOrderBody)
    except (msgspec.MsgspecError, RecursionError):
        return -1, -1  # unreadable rows are logged where they are applied
    return body.born or 0, body.seq


def _revision(row: Row) -> int:
    """Return the operator's own number of a configuration, -1 if it can't be read."""
    try:
        body = msgspec.json.decode(row.value or b"", type=wire.CatalogOrderBody)
    except (msgspec.MsgspecError, RecursionError):
        return -1  # unreadable rows are logged where they are applied
    return body.version


def _stage_goes_on(earlier: Row, held: Held) -> bool:
    """Return whether a roll-out's row in the store counts beside the one before.

    A stage never goes back, whoever wrote the store's row: a node without memory may
    have begun the roll-out anew. Another version's stage counts if it was written
    after the return.
    """
    current = held.current
    was, now_at = wire.stage_of(earlier.value), wire.stage_of(current.value)
    if was is None:
        return True
    if now_at is None:
        return False
    if was.to != now_at.to:
        return held.is_new or current.version.number > earlier.version.number
    if was.stage in FINAL_STAGES:
        return False
    return wire.stage_rank(now_at) >= wire.stage_rank(was)
