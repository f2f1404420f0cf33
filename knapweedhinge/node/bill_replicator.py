"""Copy bills between peers, and forward requests to the owner of their reserved key.

Bills are kept in memory before they are written to the object store; the copies on
peers let a bill survive the failure of the node that wrote it. Reserved keys are
idempotency keys that a node hands out in advance.
"""

from collections.abc import Callable

import msgspec

from knapweedhinge.controllers.billcopies import (
    CopyReply,
    CopyRequest,
    HeldBills,
    Owner,
)
from knapweedhinge.controllers.billflush import Objects
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.filters import Answer, Context, Request, build_chain
from knapweedhinge.filters.forward import FORWARD_METHOD, forward, serve_forwarded
from knapweedhinge.node.wiring import Identity
from knapweedhinge.peers import Member, MemberState, Peers

BILL_COPY = "bill-copy"  # peer method, and role in the assignment of copies to nodes
COPY_TIMEOUT_S = 0.2  # of a call that sends copies to a peer
AVOID_HOLDER_S = 5.0  # time for which ``avoid`` keeps a peer from being chosen
JOB_INTERVAL_S = 0.5  # between rounds of the flush and reservation jobs
FLEET_FLUSHES_PER_S = 60.0  # bound on bill flushes by all nodes together
CLOSE_INTERVAL_S = 30.0  # between searches for expired ranges of reserved keys


class CopyHolders:
    """Choose the peer that holds copies of this node's bills, and send them there.

    A peer in another failure domain of the same region is preferred, then one in
    another failure domain of any region, then any peer.
    """

    def __init__(self, peers: Peers, clock: Callable[[], float]):
        self._peers = peers
        self._clock = clock
        self._avoided_until: dict[str, float] = {}

    def holder(self) -> str | None:
        """Return the VM that should hold this node's copies, None without a peer."""
        me, now = self._peers.me, self._clock()
        self._avoided_until = {
            vm: until for vm, until in self._avoided_until.items() if until > now
        }
        for region in (me.region, None):
            candidates = self._candidates(me, region)
            for member in candidates:
                if member.failure_domain != me.failure_domain:
                    return member.vm
        return candidates[0].vm if candidates else None

    def avoid(self, vm: str) -> None:
        """Choose another holder than this VM for ``AVOID_HOLDER_S`` seconds."""
        self._avoided_until[vm] = self._clock() + AVOID_HOLDER_S

    async def send(self, vm: str, request: CopyRequest) -> CopyReply:
        """Send copies of bills to a peer and return its reply.

        Raise PeerError if the call fails, MsgspecError if the reply is malformed.
        """
        data = msgspec.msgpack.encode(request)
        answer = await self._peers.call(vm, BILL_COPY, data, COPY_TIMEOUT_S)
        return msgspec.msgpack.decode(answer, type=CopyReply)

    def _candidates(self, me: Member, region: str | None) -> list[Member]:
        """Return the possible holders in order of preference.

        These are one of each failure domain, then further members of the same domains.
        More owners are requested than needed, because this node itself and the
        avoided ones may be among them.
        """
        found = self._peers.assignments.owners(
            BILL_COPY,
            me.vm,
            len(self._avoided_until) + 4,
            distinct_failure_domains=True,
            region=region,
        )
        return [
            member
            for member in found
            if member.vm != me.vm and member.vm not in self._avoided_until
        ]


class BillReplicator:
    """Hold copies of peers' bills, and copy and store this node's own.

    Also connects reserved idempotency keys to the peers: a request under a key that
    another node reserved is forwarded there.
    """

    def __init__(
        self, ctx: Context, identity: Identity, peers: Peers, objects: Objects
    ):
        self._ctx = ctx
        self._peers = peers
        self._objects = objects
        self._flushed_at = float("-inf")
        self.held_copies = HeldBills(identity.incarnation)
        ctx.bills.copy_to(CopyHolders(peers, ctx.clock))
        self._chain = build_chain(ctx)
        ctx.reserved.forward = self._forward
        peers.handle(BILL_COPY, self._receive_copies)
        peers.handle(FORWARD_METHOD, self._run_forwarded)

    def start(self, tasks: PeriodicTasks) -> None:
        """Start the periodic jobs on bills and reserved keys."""
        tasks.start(self.flush_bills, JOB_INTERVAL_S)
        tasks.start(self.flush_orphans, JOB_INTERVAL_S)
        tasks.start(self._ctx.reserved.reserve, JOB_INTERVAL_S)
        tasks.start(self._ctx.reserved.close_old, CLOSE_INTERVAL_S)

    async def flush_bills(self) -> None:
        """Store this node's bills and refresh their copies.

        The interval between flushes grows with the number of nodes, so that all nodes
        together stay below ``FLEET_FLUSHES_PER_S``.
        """
        now = self._ctx.clock()
        interval_s = len(self._peers.membership.active) / FLEET_FLUSHES_PER_S
        if now - self._flushed_at >= interval_s:
            self._flushed_at = now
            await self._ctx.bills.flush()
        self._ctx.bills.refresh_copies()

    async def flush_orphans(self) -> None:
        """Store the held bills whose owner is dead, was restarted or sends no more."""
        members = self._peers.membership.members.values()
        live_owners = frozenset(
            Owner(member.vm, member.incarnation)
            for member in members
            if member.state is not MemberState.DEAD
        )
        await self.held_copies.flush_orphans(
            live_owners, self._objects, self._ctx.clock()
        )

    async def _forward(self, req: Request, vm: str) -> Answer:
        return await forward(req, vm, self._peers, self._ctx.clock())

    async def _run_forwarded(self, caller: Member, payload: bytes) -> bytes:
        return await serve_forwarded(payload, self._chain, self._ctx)

    async def _receive_copies(self, caller: Member, payload: bytes) -> bytes:
        request = msgspec.msgpack.decode(payload, type=CopyRequest)
        owner = Owner(caller.vm, caller.incarnation)
        reply = self.held_copies.take(owner, request, self._ctx.clock())
        return msgspec.msgpack.encode(reply)
