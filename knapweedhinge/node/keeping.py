"""What the node's claims, bills and pins need of its peers, and what peers need."""

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

BILL_COPY = "bill-copy"
COPY_TIMEOUT_S = 0.2
AVOID_S = 5.0
TICK_S = 0.5
FLUSHES_PER_S = 60.0
CLOSE_S = 30.0


class CopyHolders:
    """Choose the peer that keeps this node's bills, and send them there.

    It stands in another failure domain of the region if there is one, else in another
    region, else anywhere.
    """

    def __init__(self, peers: Peers, clock: Callable[[], float]):
        self._peers = peers
        self._clock = clock
        self._avoided: dict[str, float] = {}

    def holder(self) -> str | None:
        """Return the VM to keep our copies, or None if there is none."""
        me, now = self._peers.me, self._clock()
        self._avoided = {vm: t for vm, t in self._avoided.items() if t > now}
        for region in (me.region, None):
            ranked = self._ranked(me, region)
            for member in ranked:
                if member.failure_domain != me.failure_domain:
                    return member.vm
        return ranked[0].vm if ranked else None

    def avoid(self, vm: str) -> None:
        """Choose another holder for a while."""
        self._avoided[vm] = self._clock() + AVOID_S

    async def send(self, vm: str, request: CopyRequest) -> CopyReply:
        """Send copies; raise PeerError."""
        data = msgspec.msgpack.encode(request)
        answer = await self._peers.call(vm, BILL_COPY, data, COPY_TIMEOUT_S)
        return msgspec.msgpack.decode(answer, type=CopyReply)

    def _ranked(self, me: Member, region: str | None) -> list[Member]:
        """Return the members to ask: one a failure domain, then the next best."""
        found = self._peers.assignments.owners(
            BILL_COPY,
            me.vm,
            len(self._avoided) + 4,
            distinct_failure_domains=True,
            region=region,
        )
        return [one for one in found if one.vm != me.vm and one.vm not in self._avoided]


class Keeping:
    """Keep copies of peers' bills, and have this node's copied and stored."""

    def __init__(
        self, ctx: Context, identity: Identity, peers: Peers, objects: Objects
    ):
        self._ctx = ctx
        self._peers = peers
        self._objects = objects
        self._flushed_at = float("-inf")
        self.held = HeldBills(identity.incarnation)
        ctx.bills.copy_to(CopyHolders(peers, ctx.clock))
        self._chain = build_chain(ctx)
        ctx.reserved.forward = self._forward
        peers.handle(BILL_COPY, self._take_copies)
        peers.handle(FORWARD_METHOD, self._run_forwarded)

    def start(self, tasks: PeriodicTasks) -> None:
        """Repeat the background work."""
        tasks.start(self.flush_bills, TICK_S)
        tasks.start(self.flush_orphans, TICK_S)
        tasks.start(self._ctx.reserved.reserve, TICK_S)
        tasks.start(self._ctx.reserved.close_old, CLOSE_S)

    async def flush_bills(self) -> None:
        """Store bills, the more seldom the more nodes there are."""
        now = self._ctx.clock()
        interval_s = len(self._peers.membership.active) / FLUSHES_PER_S
        if now - self._flushed_at >= interval_s:
            self._flushed_at = now
            await self._ctx.bills.flush()
        self._ctx.bills.refresh_copies()

    async def flush_orphans(self) -> None:
        """Store the bills of peers that died."""
        members = self._peers.membership.members.values()
        living = frozenset(
            Owner(one.vm, one.incarnation)
            for one in members
            if one.state is not MemberState.DEAD
        )
        await self.held.flush_orphans(living, self._objects, self._ctx.clock())

    async def _forward(self, req: Request, vm: str) -> Answer:
        return await forward(req, vm, self._peers, self._ctx.clock())

    async def _run_forwarded(self, caller: Member, payload: bytes) -> bytes:
        return await serve_forwarded(payload, self._chain, self._ctx)

    async def _take_copies(self, caller: Member, payload: bytes) -> bytes:
        request = msgspec.msgpack.decode(payload, type=CopyRequest)
        owner = Owner(caller.vm, caller.incarnation)
        reply = self.held.take(owner, request, self._ctx.clock())
        return msgspec.msgpack.encode(reply)
