"""Leases in the table service: at most one node holds a named lease at any moment.

Each node measures durations on its own monotonic clock, so clocks needn't be
synchronised; ``margin_s`` of the settings covers their drift.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from knapweedhinge.backing import Row, TableClient
from knapweedhinge.conf import LeaseSettings
from knapweedhinge.core.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    RowConflictError,
)

TABLE = "leases"
NO_HOLDER = ""  # holder in the row of a released lease
RENEWALS_PER_TERM = 3
MAX_STEPS = 3  # reads and writes in one pass, to bound retries after conflicts


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Row of a lease as last read.

    ``holder`` is the incarnation of a node, empty after a release. ``fencing`` is the
    fencing number, which grows by one with each new holder. ``version`` is 0 when the
    row doesn't exist.
    """

    holder: str = NO_HOLDER
    vm: str = ""
    fencing: int = 0
    version: int = 0


class LeaseStep(Enum):
    """Next action of a node for a lease."""

    NOTHING = "nothing"
    READ = "read"
    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class Lease:
    """Immutable state of a lease as one node sees it.

    ``holder`` and ``vm`` identify this node. ``row`` is None while the state of the
    stored row is unknown. ``seen_at`` is when this node first saw the current version
    of the row. ``fencing`` is 0 while this node doesn't hold the lease, which it holds
    until ``valid_until`` and should renew from ``renew_at`` on. ``handover_s`` is how
    many seconds work begun under the lease may go on after its end; a successor waits
    that long. It is 0 where fencing numbers are checked. Times are in seconds on the
    monotonic clock.
    """

    name: str
    holder: str
    vm: str
    handover_s: float = 0.0
    row: LeaseRow | None = None
    seen_at: float = float("-inf")
    fencing: int = 0
    valid_until: float = float("-inf")
    renew_at: float = float("-inf")

    def holds(self, fencing: int, now: float, stop_s: float = 0.0) -> bool:
        """Return whether the lease is held under a fencing number.

        With ``stop_s``, it must still be valid for more than that many seconds.
        """
        if fencing == 0 or fencing != self.fencing:
            return False
        return now < self.valid_until - stop_s

    def is_held(self, now: float) -> bool:
        """Return whether this node holds the lease now."""
        return self.holds(self.fencing, now)

    def next_step(self, wanted: bool, now: float, cfg: LeaseSettings) -> LeaseStep:
        """Return the next action; ``wanted`` is whether this node should hold it."""
        if self.row is None:
            needed = wanted or self.fencing > 0
            return LeaseStep.READ if needed else LeaseStep.NOTHING
        if self.row.holder == self.holder:
            if not wanted:
                return LeaseStep.RELEASE
            return LeaseStep.RENEW if now >= self.renew_at else LeaseStep.NOTHING
        if not wanted:
            return LeaseStep.NOTHING
        return LeaseStep.ACQUIRE if self._is_free(now, cfg) else LeaseStep.READ

    def row_after(self, step: LeaseStep) -> LeaseRow:
        """Return the row that replaces the current one in a writing step."""
        version = self.row.version + 1
        if step is LeaseStep.RELEASE:
            return LeaseRow(NO_HOLDER, "", self.row.fencing, version)
        fencing = self.row.fencing + (step is LeaseStep.ACQUIRE)
        return LeaseRow(self.holder, self.vm, fencing, version)

    def seen(self, row: LeaseRow, now: float) -> "Lease":
        """Return the lease after a call returned the row; ``now`` is when it did."""
        known = self.row is not None and self.row.version == row.version
        lease = self if known else replace(self, row=row, seen_at=now)
        return lease if row.holder == self.holder else lease.given_up()

    def written(
        self, row: LeaseRow, sent_at: float, now: float, cfg: LeaseSettings
    ) -> "Lease":
        """Return the lease after a write that took effect.

        The term counts from when the write was sent: others may have seen the row
        any time after that.
        """
        lease = self.seen(row, now)
        if row.holder != self.holder:
            return lease
        return replace(
            lease,
            fencing=row.fencing,
            valid_until=sent_at + cfg.term_s,
            renew_at=sent_at + cfg.term_s / RENEWALS_PER_TERM,
        )

    def unsettled(self) -> "Lease":
        """Return the lease after a write whose outcome is unknown.

        The write may have taken effect or still may. A held lease ends when it would
        have ended without the write.
        """
        return replace(self, row=None)

    def given_up(self) -> "Lease":
        """Return the lease after this node stopped holding it."""
        ended = float("-inf")
        return replace(self, fencing=0, valid_until=ended, renew_at=ended)

    def _is_free(self, now: float, cfg: LeaseSettings) -> bool:
        if self.row.holder == NO_HOLDER:
            return True
        wait_s = cfg.term_s + cfg.margin_s + self.handover_s
        return now >= self.seen_at + wait_s


class LeaseKeeper:
    """Acquire, renew and release one lease in the table service.

    ``writes`` and ``reads`` count the calls to the table service.
    """

    def __init__(
        self,
        lease: Lease,
        tables: TableClient,
        cfg: LeaseSettings,
        clock: Callable[[], float],
    ):
        self.lease = lease
        self.writes = 0
        self.reads = 0
        self._tables = tables
        self._cfg = cfg
        self._clock = clock
        self._lock = asyncio.Lock()

    async def keep(self, wanted: bool) -> None:
        """Take the steps that are due now.

        ``wanted`` is whether this node should hold the lease. Errors of the platform
        aren't raised; during an outage the lease expires.
        """
        async with self._lock:
            await self._keep(wanted)

    async def _keep(self, wanted: bool) -> None:
        """Run steps until none is due, one fails or the same one is due again.

        For example, a read is due again while another node holds the lease.
        """
        previous = None
        for _ in range(MAX_STEPS):
            step = self.lease.next_step(wanted, self._clock(), self._cfg)
            if step in (LeaseStep.NOTHING, previous):
                return
            if not await self._run_step(step):
                return
            previous = step

    async def _run_step(self, step: LeaseStep) -> bool:
        """Read or write the row; return False if the table service fails."""
        try:
            if step is LeaseStep.READ:
                await self._read()
            else:
                await self._write(step)
        except PlatformError:
            return False
        return True

    async def _read(self) -> None:
        self.reads += 1
        row = await self._tables.get(TABLE, self.lease.name)
        self.lease = self.lease.seen(_lease_row(row), self._clock())

    async def _write(self, step: LeaseStep) -> None:
        sent_at = self._clock()
        row_before, new = self.lease.row, self.lease.row_after(step)
        if step is LeaseStep.RELEASE:
            self.lease = self.lease.given_up()
        # The outcome counts as unknown until the answer, also if the task is cancelled.
        self.lease, lease_before = self.lease.unsettled(), self.lease
        try:
            row = await self._put(new, row_before.version)
        except RowConflictError as exc:
            self.lease = lease_before.seen(_lease_row(exc.row), self._clock())
        except PlatformUnavailableError:
            self.lease = lease_before
            raise
        else:
            self.lease = lease_before.written(
                _lease_row(row), sent_at, self._clock(), self._cfg
            )

    async def _put(self, new: LeaseRow, version: int) -> Row:
        self.writes += 1
        name = self.lease.name
        value = {"holder": new.holder, "vm": new.vm, "fencing": new.fencing}
        write_id = f"{name}.{self.lease.holder}.{self.writes}"
        if version == 0:
            return await self._tables.insert(TABLE, name, value, write_id)
        return await self._tables.update(TABLE, name, value, version, write_id)


def _lease_row(row: Row | None) -> LeaseRow:
    if row is None:
        return LeaseRow()
    value = row.value
    return LeaseRow(value["holder"], value["vm"], value["fencing"], row.version)
