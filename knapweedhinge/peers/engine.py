"""The moving parts of a node's peers, put together and kept going."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random

from loguru import logger

from knapweedhinge.conf.node import NodeSettings
from knapweedhinge.peers.accounting import Accounting
from knapweedhinge.peers.assignments import Assignments
from knapweedhinge.peers.beacons import Beacons
from knapweedhinge.peers.dissemination import Dissemination
from knapweedhinge.peers.entries import Entry
from knapweedhinge.peers.failure_detector import Detector
from knapweedhinge.peers.gossip import Gossip
from knapweedhinge.peers.handshake import Doorkeeper
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.links import Links
from knapweedhinge.peers.members import Member, own_member
from knapweedhinge.peers.membership import Membership
from knapweedhinge.peers.membership_sync import Convergence
from knapweedhinge.peers.roster import GRACE_S, Roster, RosterTable
from knapweedhinge.peers.roster_maintenance import Attendance
from knapweedhinge.peers.runtime import rpc_loop
from knapweedhinge.peers.serving import Serving
from knapweedhinge.peers.sessions import SessionClient, SessionServer
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.topology import Neighbours, neighbours, rings
from knapweedhinge.peers.views import MembershipView

TICK_S = 0.1
SLOW_TICK_S = 1.0
REFRESH_S = 0.02
LEAVE_FLUSH_S = 1.0
MS_PER_S = 1_000


class Engine:
    """Runs membership and dissemination; calls back on entries and changes."""

    def __init__(
        self,
        cfg: NodeSettings,
        roster: RosterTable,
        *,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: Random,
        on_entry: Callable[[Entry], None],
        on_change: Callable[[MembershipView], None],
    ):
        self.clock = clock
        self.accounting = Accounting()
        self.roster = Roster(roster)
        self.assignments = Assignments()
        self.neighbours = Neighbours((), ())
        self.running = False
        self._cfg = cfg
        self._wall = wall
        self._rng = rng
        self._on_entry = on_entry
        self._on_change = on_change
        self._beacons = Beacons()
        self._started = clock()
        self._stack = AsyncExitStack()
        self._tasks = Tasks()
        self._refresh_due = False
        self._slow_at = 0.0
        self._build_state()
        self._build_traffic()

    def _build_state(self) -> None:
        me = self._own_member(self._cfg.listen.peer_port)
        self.membership = Membership(me, self._cfg.peers)
        self.dissemination = Dissemination(me.vm, me.incarnation, me.region)
        self.serving = Serving(self.membership)
        self._convergence = Convergence(
            self.membership,
            self.dissemination,
            clock=self.clock,
            on_changed=self._schedule_refresh,
        )

    def _build_traffic(self) -> None:
        clock, rng = self.clock, self._rng
        self.links = Links(self._cfg, self._doorkeeper(), clock=clock, rng=rng)
        self.links.on_up = self._link_up
        self.links.on_down = self._link_down
        self.client = SessionClient(self.accounting, clock, self.serving.heard)
        self.detector = Detector(
            self._cfg.peers,
            self.links,
            self.client,
            clock=clock,
            rng=rng,
            on_suspect=lambda vm: self._convergence.suspect(vm, clock()),
            on_pause=self._woke,
            heard_at=self.membership.heard_at,
        )
        self.gossip = Gossip(
            self.dissemination,
            self.links,
            self.client,
            self.accounting,
            clock=clock,
            rng=rng,
            on_accepted=self._accepted,
        )
        self.serving.detector = self.detector
        self.serving.gossip = self.gossip
        self._attendance = Attendance(
            self.roster,
            rng=rng,
            adopt=lambda found: self._convergence.adopt(found, clock()),
            forget=lambda member: self._convergence.forget(member, clock()),
        )

    def _doorkeeper(self) -> Doorkeeper:
        return Doorkeeper(
            self._cfg.keys.peer_keys,
            lambda: self.membership.me,
            lambda link: SessionServer(
                link, self.serving, self.accounting, self._tasks, self.clock
            ),
            self.accounting,
            self.clock,
        )

    async def start(self) -> None:
        """Listen, join the roster and begin to probe and push.

        Tries again until the platform took the row; cancel it to give up.
        """
        await self._stack.enter_async_context(rpc_loop())
        try:
            port = await self.links.serve()
            me = self._own_member(port)
            joined = await self._attendance.join(me, self.clock())
        except BaseException:
            await self.stop()
            raise
        now = self.clock()
        self.membership.become(joined.me)
        self.dissemination.incarnation = joined.me.incarnation
        self.links.admit()
        self.running = True
        self._convergence.adopt(joined.others, now)
        self._convergence.introduce(now)
        self._refresh()
        self._tasks.spawn(self._run())

    async def leave(self) -> None:
        """Tell everybody that this node leaves, and delete its roster row.

        The node goes on serving; others stop giving it new work.
        """
        if not self.running or not self.membership.me.active:
            return
        self._convergence.leave(self.clock())
        await self.gossip.flush(LEAVE_FLUSH_S)
        await self._attendance.leave(self.membership.me)

    async def stop(self) -> None:
        """Leave if that was not done, and close everything."""
        await self.leave()
        self.running = False
        for part in (self._tasks, self.detector, self.gossip, self._attendance):
            await part.stop()
        await self.links.close()
        await self._stack.aclose()

    def next_version(self) -> int:
        """Return a version above all this VM's processes gave out before."""
        elapsed_ms = int((self.clock() - self._started) * MS_PER_S)
        return self.membership.me.incarnation + elapsed_ms

    def _own_member(self, peer_port: int) -> Member:
        return own_member(self._cfg, round(self._wall() * MS_PER_S), peer_port)

    async def _run(self) -> None:
        while True:
            try:
                self._tick(self.clock())
            except Exception:
                logger.exception("a tick of the peers failed")
            await asyncio.sleep(TICK_S)

    def _tick(self, now: float) -> None:
        self.detector.observe(now)
        self._convergence.tick(now)
        if self.membership.me.active:
            self._speak(now)
            self.detector.tick(self.membership.fleet(), now)
        self.gossip.tick(now)
        if now >= self._slow_at:
            self._slow_at = now + SLOW_TICK_S
            self._slow_tick(now)

    def _slow_tick(self, now: float) -> None:
        peers = self.gossip.peers
        self.links.close_idle(frozenset(peers), now)
        self.detector.watch(tuple(peers), now)
        if self.membership.me.active:
            ended = self.membership.ended(now, GRACE_S)
            self._attendance.tick(self.membership.view(), ended, now)

    def _speak(self, now: float) -> None:
        version = self.next_version()
        for beacon in self._beacons.due(now):
            self._convergence.speak(beacon, version, now)

    def _accepted(self, entries: tuple[Entry, ...]) -> None:
        self._convergence.take(entries, self.clock())
        for entry in entries:
            self._on_entry(entry)

    def _woke(self, now: float) -> None:
        self.membership.woke(now)
        for member in self.neighbours.all:
            self.gossip.repair(member.vm)

    def _link_up(self, link: Link) -> None:
        self.membership.hear(link.member.vm, self.clock())
        if any(link.member.vm == member.vm for member in self.neighbours.all):
            self.gossip.repair(link.member.vm)

    def _link_down(self, link: Link) -> None:
        if self.running:
            self.detector.hurry(link.member.vm)

    def _schedule_refresh(self) -> None:
        if not self.running:
            return
        self.gossip.kick()
        if not self._refresh_due:
            self._refresh_due = True
            asyncio.get_running_loop().call_later(REFRESH_S, self._refresh)

    def _refresh(self) -> None:
        self._refresh_due = False
        if not self.running:
            return
        view = self.membership.view()
        self.assignments.update(view.active)
        self._beacons.update(view.me, view.fleet)
        count = rings(self._cfg.peers.fanout)
        self.neighbours = neighbours(view.me, view.active, count)
        self.gossip.link(self.neighbours.all)
        self.detector.watch(tuple(self.gossip.peers), self.clock())
        self._on_change(view)
