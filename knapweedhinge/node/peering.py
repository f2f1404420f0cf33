"""Join the node's peers to its state."""

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

STATISTICS_S = 5.0
HEARD_S = 0.25
CUT_ENTRY_VERSION = 1


class Peering:
    """Carry membership and evidence between the peers and the node's state."""

    def __init__(self, ctx: Context, peers: Peers, budget: CallBudget):
        self._ctx = ctx
        self._budget = budget
        self.peers = peers
        peers.changes.subscribe(self._take_members)
        peers.subscribe(STATISTICS).subscribe(self._take_statistics)
        peers.subscribe(CUT).subscribe(self._take_cut)
        peers.subscribe(QUARANTINE).subscribe(self._take_quarantine)
        ctx.quarantine.told.subscribe(self._publish_quarantine)
        ctx.learning.cuts.found.subscribe(self._publish_cut)

    def start(self, tasks: PeriodicTasks) -> None:
        """Tell peers what this node learnt, again and again."""
        tasks.start(self.publish_statistics, STATISTICS_S)
        tasks.start(self.refresh_heard, HEARD_S)

    async def refresh_heard(self) -> None:
        """Take the newest proofs of life over, which come without a change."""
        self._ctx.state.set_membership(self.peers.membership)

    async def publish_statistics(self) -> None:
        """Spread this node's evidence; each version replaces the one before."""
        now = self._ctx.clock()
        payload = self._ctx.learning.encoded_delta(now)
        version = self.peers.next_version()
        self.peers.publish(STATISTICS, self.peers.me.vm, version, payload)

    def _take_members(self, view: MembershipView) -> None:
        self._ctx.state.set_membership(view)
        self._ctx.state.set_addresses(tuple(_address(one) for one in view.active))
        self._ctx.learning.set_members(tuple(one.vm for one in view.active))
        self._budget.set_members(len(view.active), self._ctx.clock())

    def _take_statistics(self, entry: Entry) -> None:
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

    def _take_cut(self, entry: Entry) -> None:
        try:
            cut = msgspec.msgpack.decode(entry.payload, type=CutVersion)
        except MsgspecError as exc:
            logger.bind(vm=entry.vm).warning(f"malformed cut: {exc}")
            return
        self._ctx.learning.cuts.apply_cut(cut)

    def _publish_quarantine(self, told: KeyedUpdate) -> None:
        payload = msgspec.msgpack.encode(told.update)
        key = f"{self.peers.me.vm}/{told.key}"
        self.peers.publish(QUARANTINE, key, self.peers.next_version(), payload)

    def _take_quarantine(self, entry: Entry) -> None:
        if entry.vm == self.peers.me.vm:
            return
        try:
            update = msgspec.msgpack.decode(entry.payload, type=QuarantineUpdate)
        except MsgspecError as exc:
            logger.bind(vm=entry.vm).warning(f"malformed quarantine news: {exc}")
            return
        self._ctx.quarantine.merge(update, self._ctx.clock())


def _address(member: Member) -> Address:
    return Address(
        member.vm,
        member.ip,
        member.http_port,
        member.failure_domain,
        member.region,
    )
