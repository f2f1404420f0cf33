"""Wires the parts of the peer layer together and runs them."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random

from loguru import logger

from knapweedhinge.conf.node import NodeSettings
from knapweedhinge.peers.assignments import Assignments
from knapweedhinge.peers.beacons import BeaconSchedule
from knapweedhinge.peers.dissemination import Dissemination
from knapweedhinge.peers.entries import Entry
from knapweedhinge.peers.failure_detector import FailureDetector
from knapweedhinge.peers.gossip import Gossip
from knapweedhinge.peers.handshake import Authenticator
from knapweedhinge.peers.limits import PeerLimits
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.links import LinkPool
from knapweedhinge.peers.members import Member, own_member
from knapweedhinge.peers.membership import Membership
from knapweedhinge.peers.membership_sync import MembershipSync
from knapweedhinge.peers.request_handlers import RequestHandlers
from knapweedhinge.peers.roster import DELETE_GRACE_S, Roster, RosterTable
from knapweedhinge.peers.roster_maintenance import RosterMaintenance
from knapweedhinge.peers.runtime import rpc_loop
from knapweedhinge.peers.sessions import SessionClient, SessionServer
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.topology import Neighbours, neighbours, ring_count
from knapweedhinge.peers.traffic import TrafficCounters
from knapweedhinge.peers.views import MembershipView

TICK_INTERVAL_S = 0.1
SLOW_TICK_INTERVAL_S = 1.0  # for idle links, the neighbours to probe and the roster
REFRESH_DELAY_S = 0.02  # membership changes within it update the neighbours once
LEAVE_FLUSH_TIMEOUT_S = 1.0  # to push the leaving record to the neighbours
MS_PER_S = 1_000


class Engine:
    """Runs membership, failure detection and gossip of one node.

    ``on_entry`` gets each new entry from a peer, ``on_change`` the view after each
    change of the membership. ``clock`` is monotonic, ``wall`` is Unix time; both in
    seconds. ``on_closed`` gets the reason for each connection that held too much.
    """

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
        capacity: int = 0,
        limits: PeerLimits | None = None,
        on_closed: Callable[[str], None] = lambda reason: None,
    ):
        self.clock = clock
        self._limits = limits or PeerLimits()
        self._on_closed = on_closed
        self.counters = TrafficCounters()
        self.roster = Roster(roster)
        self.assignments = Assignments()
        self.neighbours = Neighbours((), ())
        self.running = False
        self._cfg = cfg
        self._capacity = capacity
        self._wall = wall
        self._rng = rng
        self._on_entry = on_entry
        self._on_change = on_change
        self._beacons = BeaconSchedule()
        self._started = clock()
        self._last_version = 0
        self._stack = AsyncExitStack()
        self._tasks = Tasks()
        self._refresh_due = False
        self._slow_tick_at = 0.0
        self._build_state()
        self._build_networking()

    def _build_state(self) -> None:
        me = self._own_member(self._cfg.listen.peer_port)
        self.membership = Membership(me, self._cfg.peers)
        self.dissemination = Dissemination(
            me.vm, me.incarnation, me.region, self._limits
        )
        self.request_handlers = RequestHandlers(self.membership)
        self._membership_sync = MembershipSync(
            self.membership,
            self.dissemination,
            clock=self.clock,
            on_changed=self._schedule_refresh,
        )

    def _build_networking(self) -> None:
        clock, rng = self.clock, self._rng
        self.links = LinkPool(
            self._cfg,
            self._make_authenticator(),
            clock=clock,
            rng=rng,
            limits=self._limits,
            on_closed=self._on_closed,
        )
        self.links.on_up = self._on_link_up
        self.links.on_down = self._on_link_down
        self.client = SessionClient(
            self.counters, clock, self.request_handlers.record_contact
        )
        self.detector = FailureDetector(
            self._cfg.peers,
            self.links,
            self.client,
            clock=clock,
            rng=rng,
            on_suspect=lambda vm: self._membership_sync.suspect(vm, clock()),
            on_pause=self._resume_from_pause,
            last_heard_at=self.membership.last_heard_at,
        )
        self.gossip = Gossip(
            self.dissemination,
            self.links,
            self.client,
            self.counters,
            clock=clock,
            rng=rng,
            on_accepted=self._apply_accepted,
        )
        self.request_handlers.detector = self.detector
        self.request_handlers.gossip = self.gossip
        self._roster_maintenance = RosterMaintenance(
            self.roster,
            rng=rng,
            apply_roster_records=lambda found: (
                self._membership_sync.apply_roster_records(found, clock())
            ),
            forget=lambda member: self._membership_sync.forget(member, clock()),
        )

    def _make_authenticator(self) -> Authenticator:
        return Authenticator(
            self._cfg.keys.peer_keys,
            lambda: self.membership.me,
            lambda link: SessionServer(
                link, self.request_handlers, self.counters, self._tasks, self.clock
            ),
            self.counters,
            self.clock,
        )

    async def start(self) -> None:
        """Listen, join the roster and start probing and gossip.

        Retries until the platform has stored the roster row; cancel it to give up.
        """
        await self._stack.enter_async_context(rpc_loop())
        me = None
        try:
            port = await self.links.serve()
            me = self._own_member(port)
            joined = await self._roster_maintenance.join(me, self.clock())
        except BaseException:
            if me is not None:  # its row may be written already
                await self._roster_maintenance.leave(me)
            await self.stop()
            raise
        now = self.clock()
        self.membership.set_own_record(joined.me)
        self.dissemination.incarnation = joined.me.incarnation
        self.links.accept_peers()
        self.running = True
        self._membership_sync.apply_roster_records(joined.others, now)
        self._membership_sync.publish_own_record(now)
        self._refresh()
        self._tasks.spawn(self._run())

    async def leave(self) -> None:
        """Announce that this node leaves, and delete its roster row.

        The node continues to serve; others stop sending it new work.
        """
        if not self.running or not self.membership.me.active:
            return
        self._membership_sync.leave(self.clock())
        await self.gossip.flush(LEAVE_FLUSH_TIMEOUT_S)
        await self._roster_maintenance.leave(self.membership.me)

    def table_returned(self) -> None:
        """Note that the roster's table came back from a copy that may lack rows."""
        self._roster_maintenance.table_returned(self.clock())

    async def stop(self) -> None:
        """Leave the fleet, if not done yet, then stop all tasks and close all links."""
        await self.leave()
        self.running = False
        for part in (self._tasks, self.detector, self.gossip, self._roster_maintenance):
            await part.stop()
        await self.links.close()
        await self._stack.aclose()

    def next_version(self) -> int:
        """Return a version above those this VM published, also in earlier processes.

        It is the incarnation plus the age of the process in ms, or one more than the
        last. It may not be above those of earlier processes if the VM's clock was set
        back.
        """
        elapsed_ms = int((self.clock() - self._started) * MS_PER_S)
        version = self.membership.me.incarnation + elapsed_ms
        self._last_version = max(version, self._last_version + 1)
        return self._last_version

    def _own_member(self, peer_port: int) -> Member:
        incarnation = round(self._wall() * MS_PER_S)
        return own_member(self._cfg, incarnation, peer_port, self._capacity)

    async def _run(self) -> None:
        while True:
            try:
                self._tick(self.clock())
            except Exception:
                logger.exception("a tick of the peers failed")
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self, now: float) -> None:
        self.detector.detect_pause(now)
        self._membership_sync.tick(now)
        if self.membership.me.active:
            self._publish_due_beacons(now)
            self.detector.tick(self.membership.fleet(), now)
        self.gossip.tick(now)
        if now >= self._slow_tick_at:
            self._slow_tick_at = now + SLOW_TICK_INTERVAL_S
            self._slow_tick(now)

    def _slow_tick(self, now: float) -> None:
        peers = self.gossip.peers
        self.links.close_idle(frozenset(peers), now)
        self.detector.set_neighbours(tuple(peers), now)
        if self.membership.me.active:
            ended = self.membership.ended(now, DELETE_GRACE_S)
            self._roster_maintenance.tick(self.membership.view(), ended, now)

    def _publish_due_beacons(self, now: float) -> None:
        version = self.next_version()
        for beacon in self._beacons.due(now):
            self._membership_sync.publish_beacon(beacon, version, now)

    def _apply_accepted(self, entries: tuple[Entry, ...]) -> None:
        self._membership_sync.apply_entries(entries, self.clock())
        for entry in entries:
            self._on_entry(entry)

    def _resume_from_pause(self, now: float) -> None:
        self.membership.restart_suspicion_timers(now)
        for member in self.neighbours.all:
            self.gossip.repair(member.vm)

    def _on_link_up(self, link: Link) -> None:
        self.membership.record_contact(link.member.vm, self.clock())
        if any(link.member.vm == member.vm for member in self.neighbours.all):
            self.gossip.repair(link.member.vm)

    def _on_link_down(self, link: Link) -> None:
        if self.running:
            self.detector.probe_soon(link.member.vm)

    def _schedule_refresh(self) -> None:
        if not self.running:
            return
        self.gossip.schedule_urgent_push()
        if not self._refresh_due:
            self._refresh_due = True
            asyncio.get_running_loop().call_later(REFRESH_DELAY_S, self._refresh)

    def _refresh(self) -> None:
        self._refresh_due = False
        if not self.running:
            return
        view = self.membership.view()
        self.assignments.update(view.active)
        self._beacons.update(view.me, view.fleet)
        count = ring_count(self._cfg.peers.fanout)
        self.neighbours = neighbours(view.me, view.active, count)
        self.gossip.set_neighbours(self.neighbours.all)
        self.detector.set_neighbours(tuple(self.gossip.peers), self.clock())
        self._on_change(view)
