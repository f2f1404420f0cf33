"""The roster: a table of the joined nodes in the platform's table service.

There is one row per process, written when it joins and deleted when it leaves. A node
that restarts deletes the rows of its earlier processes itself. The row of a VM that
died is deleted after a grace period by the rendezvous owner of its name, but only while
that owner hears at least half of the members: a node that is cut off deletes nothing.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import msgspec

from knapweedhinge.peers.members import Member, member_fields

TABLE = "roster"
PAGE_ROWS = 500  # per scan request
# Rows that a joining node reads. Gossip with the nodes found brings all others, so that
# the load of the table service doesn't grow with the square of the fleet.
MAX_CONTACTS = 32
FIRST_AUDIT_S = 4.0  # mean, from joining to the first audit
DELETE_GRACE_S = 60.0  # from a member's death or leaving to the deletion of its row
AUDIT_INTERVAL_S = 600.0  # mean; each interval is randomised
RESCAN_INTERVAL_S = 10.0  # mean; between scans by a node that is cut off


class RosterRow(Protocol):
    """A row as the table service returns it."""

    key: str
    value: Any


class RosterTable(Protocol):
    """The operations of the table service that the roster needs."""

    async def insert(
        self, table: str, key: str, value: Mapping, write_id: str
    ) -> object:
        """Insert a row; raises RowConflictError if the key exists.

        ``write_id`` identifies the write, so that repeating it does no harm.
        """

    async def delete(
        self, table: str, key: str, expected_version: int | None, write_id: str
    ) -> object:
        """Delete a row, of any version if ``expected_version`` is None.

        Deleting an absent row succeeds.
        """

    async def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> Sequence[RosterRow]:
        """Return up to ``limit`` rows in key order, beginning after key ``after``."""


def row_key(member: Member) -> str:
    """Return the key of the row of a process: its VM and incarnation."""
    return f"{member.vm}/{member.incarnation}"


class Roster:
    """Access of one node to the roster table, with counts of reads and writes."""

    def __init__(self, table: RosterTable):
        self._table = table
        self.reads = 0
        self.writes = 0

    async def members(self) -> tuple[Member, ...]:
        """Return the newest record of each VM that has a row."""
        found: dict[str, Member] = {}
        for member in await self.rows():
            held = found.get(member.vm)
            if held is None or held.version < member.version:
                found[member.vm] = member
        return tuple(found.values())

    async def rows(self) -> tuple[Member, ...]:
        """Return the record of each row; malformed ones are skipped."""
        members, after = [], ""
        while True:
            self.reads += 1
            page = await self._table.scan(TABLE, "", after, PAGE_ROWS)
            members += [m for row in page if (m := _member(row)) is not None]
            if len(page) < PAGE_ROWS:
                return tuple(members)
            after = page[-1].key

    async def contacts(self, vm: str) -> tuple[Member, ...]:
        """Return the rows of a VM, and of some others to get the whole fleet from.

        These follow the VM in the order of keys, so that each node reads other ones.
        After the last row the first ones follow.
        """
        found = await self._page(f"{vm}/")
        if len(found) < MAX_CONTACTS:
            found += await self._page("")
        return tuple({row_key(member): member for member in found}.values())

    async def _page(self, after: str) -> list[Member]:
        self.reads += 1
        page = await self._table.scan(TABLE, "", after, MAX_CONTACTS)
        return [member for row in page if (member := _member(row)) is not None]

    async def insert(self, member: Member) -> None:
        """Insert the row of a process that joins."""
        self.writes += 1
        key = row_key(member)
        value = member_fields(member)
        await self._table.insert(TABLE, key, value, f"{key}/join")

    async def delete(self, member: Member) -> None:
        """Delete the row of a process that ended."""
        self.writes += 1
        key = row_key(member)
        await self._table.delete(TABLE, key, None, f"{key}/end")


def _member(row: RosterRow) -> Member | None:
    try:
        return msgspec.convert(row.value, Member)
    except msgspec.ValidationError:
        return None
