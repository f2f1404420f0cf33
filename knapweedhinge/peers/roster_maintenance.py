"""Joining and leaving the roster, and care for rows nobody else removes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from loguru import logger

from knapweedhinge.core.exceptions import PlatformError
from knapweedhinge.peers.assignments import owners
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.roster import AUDIT_INTERVAL_S, RESCAN_INTERVAL_S, Roster
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.views import MembershipView

FIRST_JOIN_RETRY_S = 0.2
MAX_JOIN_RETRY_S = 5.0
LEAVE_TIMEOUT_S = 2.0
MIN_HEARD_FRACTION = 0.5
MAX_SWEEP_CANDIDATES = 4


@dataclass(frozen=True)
class JoinResult:
    """Our record, newer than any earlier process of the VM, and the others'."""

    me: Member
    others: tuple[Member, ...]


class RosterMaintenance:
    """One node's dealings with the roster."""

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
        self._scan_at = 0.0
        self._audit_at = 0.0
        self._tasks = Tasks()

    async def join(self, me: Member, now: float) -> JoinResult:
        """Write our row and learn of the others; tries until it succeeds."""
        self._audit_at = now + AUDIT_INTERVAL_S * (0.5 + self._rng.random())
        self._scan_at = now + RESCAN_INTERVAL_S * (0.5 + self._rng.random())
        max_delay_s = FIRST_JOIN_RETRY_S
        while True:
            try:
                return await self._join(me)
            except PlatformError as exc:
                logger.warning("can't join the roster yet: {}", exc)
            await asyncio.sleep(max_delay_s * (0.5 + self._rng.random() / 2))
            max_delay_s = min(2 * max_delay_s, MAX_JOIN_RETRY_S)

    async def leave(self, me: Member) -> None:
        """Delete our row; if that fails, another node will."""
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._roster.delete(me)
        except (PlatformError, TimeoutError) as exc:
            logger.warning("roster row not deleted on leaving: {}", exc)

    def tick(self, view: MembershipView, ended: tuple[Member, ...], now: float) -> None:
        """Begin what is due: a scan when cut off, a sweep, an audit."""
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
            if _is_owner(view.me, "", view.reachable(now)):
                self._start(self._audit(view))

    async def stop(self) -> None:
        """End what was begun."""
        await self._tasks.stop()

    async def _join(self, me: Member) -> JoinResult:
        rows = await self._roster.rows()
        earlier = [row for row in rows if row.vm == me.vm]
        newest = max((row.incarnation for row in earlier), default=0)
        if not any(row.incarnation == me.incarnation for row in earlier):
            me = replace(me, incarnation=max(me.incarnation, newest + 1))
            await self._roster.insert(me)
            rows = await self._roster.rows()
        for row in earlier:
            if row.incarnation < me.incarnation:
                await self._roster.delete(row)
        return JoinResult(me, tuple(row for row in rows if row.vm != me.vm))

    def _sweep_one(
        self, view: MembershipView, ended: tuple[Member, ...], now: float
    ) -> None:
        """Delete one row of ours; looks at a few, since each costs a ranking."""
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
        rows = await self._roster.rows()
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
            logger.info("roster work put off: {}", exc)
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
