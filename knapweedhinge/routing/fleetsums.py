"""Add up what the nodes of a region report, in tables of counts with bounded size.

Designed for fleets of several hundred nodes that each see a few calls a second: what a
decision needs about an organisation, an endpoint or a failure domain comes from sums
over all of them. A table has one row for each key. All tables are added up in the same
way, so an aggregator also sums sections that its own release doesn't know.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache

import xxhash

# Rows of a table, without the one for the rest: bounds a message whatever the fleet's
# size and the number of organisations.
MAX_ROWS = 64
MAX_COLUMNS = 8
NO_COLUMNS = (0,) * MAX_COLUMNS
# Largest value of a column in the report of one node, and in the sums. Larger ones come
# from a faulty node.
MAX_REPORTED = 1 << 32
MAX_SUM = 1 << 44
# Key of the row that sums up all keys beyond ``MAX_ROWS``.
REST = 0
# Keys that are remembered; nodes ask for the same ones with each call.
KNOWN_KEYS = 8192

Row = tuple[int, ...]
Table = Mapping[int, Row]


class Section(IntEnum):
    """The tables that nodes exchange; the number identifies a table and its columns.

    A table whose columns change their meaning gets a new number, so that nodes of two
    releases never mix them.
    """

    DEMAND = 1
    ENGINE_ROOM = 2
    ENGINE_SPEED = 3
    DOMAIN_LOAD = 4
    RETRIES = 5
    FAILURES = 6
    CHOKED = 7


# Small sections that are exchanged with each report of work; the others less often.
FREQUENT = frozenset({Section.RETRIES})


@dataclass(frozen=True, slots=True)
class FleetTable:
    """A table of sums as one node sees it.

    ``rows`` holds the sums over ``nodes`` nodes by key, ``age_s`` the seconds since the
    sums were received. ``own`` is this node's present part, which is not among
    ``rows``. ``rows`` is empty if no recent sums are known: then ``scale`` says by how
    much to multiply ``own`` to estimate the fleet's.
    """

    rows: Table
    own: Table
    age_s: float
    nodes: int
    scale: float = 1.0

    @property
    def is_estimate(self) -> bool:
        """Return whether no recent sums are known."""
        return self.scale != 1.0 or not self.rows

    def row(self, key: int, width: int) -> tuple[float, ...]:
        """Return the sums of a key with this node's part, zeros if it has none."""
        others = self.rows.get(key, ())
        own = self.own.get(key)
        if not own:
            return (*others, *NO_COLUMNS)[:width]
        return tuple(
            (others[i] if i < len(others) else 0)
            + self.scale * (own[i] if i < len(own) else 0)
            for i in range(width)
        )


@lru_cache(KNOWN_KEYS)
def row_key(*names: str) -> int:
    """Return the 32-bit key that stands for names in tables; it is never ``REST``."""
    return xxhash.xxh32_intdigest("\0".join(names).encode()) or 1


def checked_table(raw: Mapping[int, Iterable[int]], largest: int) -> Table:
    """Return a decoded table; raise ValueError if it can't be one.

    Rows must have at most ``MAX_COLUMNS`` columns, and values from 0 to ``largest``.
    """
    if len(raw) > MAX_ROWS + 1:
        raise ValueError(f"{len(raw)} rows, {MAX_ROWS + 1} allowed")
    table: dict[int, Row] = {}
    for key, values in raw.items():
        row = tuple(values)
        if len(row) > MAX_COLUMNS:
            raise ValueError(f"{len(row)} columns, {MAX_COLUMNS} allowed")
        if row and (min(row) < 0 or max(row) > largest):
            raise ValueError(f"a value of row {key} is out of range")
        table[key] = row
    return table


def add_tables(tables: Iterable[Table]) -> Table:
    """Return the sums by key; the order of the tables doesn't matter."""
    sums: dict[int, list[int]] = {}
    for table in tables:
        for key, row in table.items():
            total = sums.setdefault(key, [])
            total.extend([0] * (len(row) - len(total)))
            for i, value in enumerate(row):
                total[i] += value
    return {key: tuple(row) for key, row in sums.items()}


def bounded_table(table: Table, max_rows: int = MAX_ROWS) -> Table:
    """Return the table with the rows of the greatest first column; the rest is summed.

    Nodes that bound the same table keep the same rows.
    """
    if len(table) - (REST in table) <= max_rows:
        return table
    ranked = sorted(
        (key for key in table if key != REST),
        key=lambda key: (-(table[key][0] if table[key] else 0), key),
    )
    kept = {key: table[key] for key in ranked[:max_rows]}
    rest = [{REST: table[key]} for key in (*ranked[max_rows:], REST) if key in table]
    return {**kept, **add_tables(rest)}


def without(sums: Table, own: Table) -> Table:
    """Return the sums less this node's part in them, never below zero."""
    others: dict[int, Row] = {}
    for key, row in sums.items():
        mine = own.get(key)
        if not mine:
            if any(row):
                others[key] = row
            continue
        rest = tuple(
            max(0, value - (mine[i] if i < len(mine) else 0))
            for i, value in enumerate(row)
        )
        if any(rest):
            others[key] = rest
    return others
