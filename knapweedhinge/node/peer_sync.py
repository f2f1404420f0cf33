"""Synchronise membership, statistics, cuts and quarantines between node and peers."""

import msgspec
from loguru import logger
from msgspec import MsgspecError

from knapweedhinge.backing import CallBudget
from knapweedhinge.controllers.addresses import Address
from knapweedhinge.controllers.quarantinetracker import KeyedUpdate, QuarantineUpdate
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.filters import Context
from knapweedhinge.peers import Entry, Member, MembershipView, Peers
from knapweedhinge.peers.topics import CUT, QUARANTINE, STATISTICS
from knapweedhinge.routing.detector import CutVersion

STATISTICS_INTERVAL_S = 5.0  # between publications of this node's statistics
MEMBERSHIP_INTERVAL_S = 0.25  # between copies of heartbeat times into the node's state
CUT_ENTRY_VERSION = 1  # a cut never changes, so its gossip entry has one version


class PeerSync:
    """Apply what peers publish to the node's state, and publish its own evidence.

    Evidence is statistics of calls and ratings, cuts and quarantined requests. A cut
    excludes a version under roll-out from new work because statistical tests of its
    answers and ratings found it bad.
    """

    def __init__(self, ctx: Context, peers: Peers, budget: CallBudget):
        self._ctx = ctx
        self._budget = budget
        self.peers = peers
        peers.changes.subscribe(self._receive_members)
        peers.subscribe(STATISTICS).subscribe(self._receive_statistics)
        peers.subscribe(CUT).subscribe(self._receive_cut)
        peers.subscribe(QUARANTINE).subscribe(self._receive_quarantine)
        ctx.quarantine.updates_for_peers.subscribe(self._publish_quarantine)
        ctx.learning.cuts.cuts_made.subscribe(self._publish_cut)

    def start(self, tasks: PeriodicTasks) -> None:
        """Start the periodic publication of statistics and the membership refresh."""
        tasks.start(self.publish_statistics, STATISTICS_INTERVAL_S)
        tasks.start(self.refresh_heard, MEMBERSHIP_INTERVAL_S)

    async def refresh_heard(self) -> None:
        """Copy the newest heartbeat times into the node's state.

        They arrive without a change event.
        """
        self._ctx.state.set_membership(self.peers.membership)

    async def publish_statistics(self) -> None:
        """Publish this node's statistics; each publication replaces the previous."""
        now = self._ctx.clock()
        payload = self._ctx.learning.encoded_delta(now)
        version = self.peers.next_version()
        self.peers.publish(STATISTICS, self.peers.me.vm, version, payload)

    def _receive_members(self, view: MembershipView) -> None:
        self._ctx.state.set_membership(view)
        self._ctx.state.set_addresses(tuple(_address(member) for member in view.active))
        self._ctx.learning.set_members(tuple(member.vm for member in view.active))
        self._budget.set_members(len(view.active), self._ctx.clock())

    def _receive_statistics(self, entry: Entry) -> None:
        if entry.key == self.peers.me.vm:
            return
        try:
            self._ctx.learning.merge(entry.payload, self._ctx.clock())
        except MsgspecError as exc:
            logger.bind(vm=entry.key).warning(f"malformed statistics: {exc}")

    def _publish_cut(self, cut: CutVersion) -> None:
        logger.bind(version=cut.version).warning(f"version cut: {cut.stream}")
        payload = msgspec.msgpack.encode(cut)
        self.peers.publish(CUT, cut.version, CUT_ENTRY_VERSION, payload)

    def _receive_cut(self, entry: Entry) -> None:
        try:
            cut = msgspec.msgpack.decode(entry.payload, type=CutVersion)
        except MsgspecError as exc:
            logger.bind(vm=entry.vm).warning(f"malformed cut: {exc}")
            return
        self._ctx.learning.cuts.apply_cut(cut)

    def _publish_quarantine(self, keyed: KeyedUpdate) -> None:
        payload = msgspec.msgpack.encode(keyed.update)
        key = f"{self.peers.me.vm}/{keyed.key}"
        self.peers.publish(QUARANTINE, key, self.peers.next_version(), payload)

    def _receive_quarantine(self, entry: Entry) -> None:
        # Entries of this VM too: they may be from its process before a restart.
        try:
            update = msgspec.msgpack.decode(entry.payload, type=QuarantineUpdate)
        except MsgspecError as exc:
            logger.bind(vm=entry.vm).warning(f"malformed quarantine update: {exc}")
            return
        own = entry.vm == self.peers.me.vm
        self._ctx.quarantine.merge(update, entry.published_at, own=own)


def _address(member: Member) -> Address:
    return Address(
        member.vm,
        member.ip,
        member.http_port,
        member.failure_domain,
        member.region,
    )
