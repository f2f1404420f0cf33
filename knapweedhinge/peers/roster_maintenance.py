"""Joining and leaving the roster, and deletion of the rows of dead nodes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from loguru import logger

from knapweedhinge.core.exceptions import PlatformError, RowConflictError
from knapweedhinge.peers.assignments import owners
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.roster import (
    AUDIT_INTERVAL_S,
    FIRST_AUDIT_S,
    RESCAN_INTERVAL_S,
    Roster,
)
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.views import MembershipView

FIRST_JOIN_RETRY_S = 0.2  # backoff, doubled after each failure
MAX_JOIN_RETRY_S = 5.0
LEAVE_TIMEOUT_S = 2.0
MIN_HEARD_FRACTION = 0.5  # of the members; below it a node deletes no rows
RESTORE_DELAY_S = 2.0  # mean time from a return of the table to its audit
MAX_RESTORED_ROWS = 200  # written again in one audit
MAX_SWEEP_CANDIDATES = 4  # ended members looked at per tick


@dataclass(frozen=True)
class JoinResult:
    """The result of joining: this node's final record and those of some other VMs.

    The incarnation of ``me`` is above that of every earlier process of the VM.
    """

    me: Member
    others: tuple[Member, ...]


class RosterMaintenance:
    """Keeps one node's roster row, and deletes stale rows that it owns.

    ``apply_roster_records`` gets the records found in the table, ``forget`` each
    member whose row was deleted.
    """

    def __init__(
        self,
        roster: Roster,
        *,
        rng: Random,
        apply_roster_records: Callable[[tuple[Member, ...]], None],
        forget: Callable[[Member], None],
    ):
        self._roster = roster
        self._rng = rng
        self._apply_roster_records = apply_roster_records
        self._forget = forget
        self._busy = False
        self._restore = False  # write rows again that the table lacks
        self._scan_at = 0.0
        self._audit_at = 0.0
        self._tasks = Tasks()

    async def join(self, me: Member, now: float) -> JoinResult:
        """Write the row of this node and read some others; retries until it succeeds.

        The first audit follows soon: nodes that join at once may have read rows of each
        other in such an order that some stay unknown to the rest.
        """
        self._audit_at = now + FIRST_AUDIT_S * (0.5 + self._rng.random())
        self._scan_at = now + RESCAN_INTERVAL_S * (0.5 + self._rng.random())
        max_delay_s = FIRST_JOIN_RETRY_S
        while True:
            try:
                return await self._join(me)
            except PlatformError as exc:
                logger.warning("can't join the roster, will retry: {}", exc)
            await asyncio.sleep(max_delay_s * (0.5 + self._rng.random() / 2))
            max_delay_s = min(2 * max_delay_s, MAX_JOIN_RETRY_S)

    async def leave(self, me: Member) -> None:
        """Delete the row of this node; if that fails, another node will delete it."""
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._roster.delete(me)
        except (PlatformError, TimeoutError) as exc:
            logger.warning("could not delete the roster row on leaving: {}", exc)

    def tick(self, view: MembershipView, ended: tuple[Member, ...], now: float) -> None:
        """Start the task that is due, if none is running.

        A node that is cut off scans the roster for other nodes. Otherwise the row of
        an ended member is deleted, or the whole table is audited.
        """
        if self._busy:
            return
        if view.heard_fraction(now) < MIN_HEARD_FRACTION:
            if now >= self._scan_at:
                self._scan_at = now + RESCAN_INTERVAL_S * (0.5 + self._rng.random())
                self._start(self._scan())
            return
        if ended:
            self._sweep_one(view, ended, now)
        elif now >= self._audit_at:
            self._audit_at = now + AUDIT_INTERVAL_S * (0.5 + self._rng.random())
            # The audit belongs to the owner of the empty key.
            if _is_owner(view.me, "", view.reachable(now)):
                self._start(self._audit(view))

    def table_returned(self, now: float) -> None:
        """Audit the table soon, and write the rows of active members that it lost.

        It came back from a copy. Only one node does this, the owner of audits.
        """
        self._restore = True
        self._audit_at = now + RESTORE_DELAY_S * (0.5 + self._rng.random())

    async def stop(self) -> None:
        """Cancel the running task."""
        await self._tasks.stop()

    async def _join(self, me: Member) -> JoinResult:
        """Insert this node's row before reading, so that later nodes find it."""
        try:
            await self._roster.insert(me)
        except RowConflictError:
            # Written by an earlier attempt whose answer was lost, or by an earlier
            # process; the rows read next tell which.
            logger.bind(vm=me.vm).info("a roster row of this incarnation exists")
        rows = await self._roster.contacts(me.vm)
        earlier = [row for row in rows if row.vm == me.vm and row != me]
        newest = max((row.incarnation for row in earlier), default=0)
        if newest >= me.incarnation:
            superseded, me = me, replace(me, incarnation=newest + 1)
            await self._roster.insert(me)
            if superseded.incarnation != newest:
                earlier.append(superseded)
        for row in earlier:
            await self._roster.delete(row)
        return JoinResult(me, tuple(row for row in rows if row.vm != me.vm))

    def _sweep_one(
        self, view: MembershipView, ended: tuple[Member, ...], now: float
    ) -> None:
        """Delete the row of one ended member that this node owns.

        Only a few members are looked at per call, as each costs one hash per member of
        the fleet.
        """
        reachable = view.reachable(now)
        candidates = self._rng.sample(ended, min(MAX_SWEEP_CANDIDATES, len(ended)))
        owned = (
            member for member in candidates if _is_owner(view.me, member.vm, reachable)
        )
        found = next(owned, None)
        if found is not None:
            self._start(self._sweep(found))

    async def _scan(self) -> None:
        self._apply_roster_records(await self._roster.members())

    async def _sweep(self, member: Member) -> None:
        await self._roster.delete(member)
        self._forget(member)

    async def _audit(self, view: MembershipView) -> None:
        """Delete stale rows of the table and apply those of VMs that are not known."""
        restore, self._restore = self._restore, False
        rows = await self._roster.rows()
        if restore:
            stored = {(row.vm, row.incarnation) for row in rows}
            lost = [m for m in view.active if (m.vm, m.incarnation) not in stored]
            for member in lost[:MAX_RESTORED_ROWS]:
                await self._roster.insert(member)
            logger.bind(rows=len(rows), lost=len(lost)).info("roster audited")
        stale = (row for row in rows if _is_stale(row, view))
        for row in stale:
            await self._roster.delete(row)
        self._apply_roster_records(
            tuple(row for row in rows if row.vm not in view.members)
        )

    def _start(self, work) -> None:
        self._busy = True
        self._tasks.spawn(self._run(work))

    async def _run(self, work) -> None:
        try:
            await work
        except PlatformError as exc:
            logger.info("roster maintenance postponed: {}", exc)
        finally:
            self._busy = False


def _is_owner(me: Member, key: str, reachable: tuple[Member, ...]) -> bool:
    first = owners(reachable, "roster", key, 1)
    return bool(first) and first[0].vm == me.vm


def _is_stale(row: Member, view: MembershipView) -> bool:
    held = view.members.get(row.vm)
    if held is None:
        return False
    superseded = row.incarnation < held.incarnation
    return superseded or (row.vm in view.fleet.forgotten)
