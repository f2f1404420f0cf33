"""Gossip over links: pushes of new entries, and anti-entropy repair.

The answer to a push returns the entries queued for the sender, so one call serves both
directions: a node pushes to its neighbours, and the peers that have it as a neighbour
(its callers) get their entries in the answers.
"""

import asyncio
from collections.abc import Callable
from random import Random

from loguru import logger

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import wire
from knapweedhinge.peers.dissemination import Dissemination, in_batches
from knapweedhinge.peers.entries import BUCKETS, Entry, Stamp
from knapweedhinge.peers.link import Link
from knapweedhinge.peers.links import LinkPool
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.sessions import SessionClient
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.traffic import RefusalReason, TrafficCounters

URGENT_BATCH_DELAY_S = 0.01  # urgent entries wait this long to be batched
BATCH_INTERVAL_S = 0.3  # between pushes of entries that are not urgent
EXCHANGE_TIMEOUT_S = 2.0  # to get a link, and again to get the answer to a message
REPAIR_INTERVAL_S = 10.0  # mean; each interval is randomised
# Pause before a further repair. The neighbours change often while a fleet starts; what
# pushes bring meanwhile needn't be compared and sent again.
REPAIR_PAUSE_S = 0.5
EXPIRE_INTERVAL_S = 5.0  # between searches for expired entries and callers
CALLER_EXPIRY_S = 3.0  # a caller silent for longer gets no more entries
MAX_RETURN_BYTES = 64 * 1024  # of entries in the answer to a push


class Gossip:
    """Sends and receives the entries of one node over its links.

    ``on_accepted`` gets the received entries that were new.
    """

    def __init__(
        self,
        dissemination: Dissemination,
        links: LinkPool,
        client: SessionClient,
        counters: TrafficCounters,
        *,
        clock: Callable[[], float],
        rng: Random,
        on_accepted: Callable[[tuple[Entry, ...]], None],
    ):
        self._dissemination = dissemination
        self._links = links
        self._client = client
        self._counters = counters
        self._clock = clock
        self._rng = rng
        self._on_accepted = on_accepted
        self._neighbours: dict[str, Member] = {}
        self._callers: dict[str, tuple[Member, float]] = {}
        self._waiting_callers: set[str] = set()
        self._pushing: set[str] = set()
        self._to_repair: dict[str, None] = {}  # VMs in the order of their turns
        self._repairing = False
        self._batch_push_at = self._repair_at = self._expire_at = 0.0
        self._urgent_push_scheduled = False
        self._tasks = Tasks()

    def set_neighbours(self, neighbours: tuple[Member, ...]) -> None:
        """Replace the neighbours to push to and repair with each new one."""
        before = frozenset(self._neighbours)
        self._neighbours = {member.vm: member for member in neighbours}
        self._update_peers()
        for vm in self._neighbours:
            if vm not in before:
                self.repair(vm)

    @property
    def peers(self) -> dict[str, Member]:
        """Return the neighbours and the callers by VM."""
        callers = {vm: member for vm, (member, _) in self._callers.items()}
        return callers | self._neighbours

    def tick(self, now: float) -> None:
        """Push batched entries, repair with a neighbour and drop what expired.

        Each is done when it is due, by its interval.
        """
        if now >= self._batch_push_at:
            self._batch_push_at = max(now, self._batch_push_at + BATCH_INTERVAL_S)
            self._push_batched()
        if now >= self._repair_at:
            self._repair_at = now + REPAIR_INTERVAL_S * (0.5 + self._rng.random())
            if self._neighbours:
                self.repair(self._rng.choice(sorted(self._neighbours)))
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self._dissemination.store.expire(now)
            self._drop_silent_callers(now)

    def schedule_urgent_push(self) -> None:
        """Schedule a push of urgent entries, after a short delay to batch them."""
        if not self._urgent_push_scheduled:
            self._urgent_push_scheduled = True
            asyncio.get_running_loop().call_later(
                URGENT_BATCH_DELAY_S, self._push_urgent
            )

    async def flush(self, timeout_s: float) -> None:
        """Push one batch to each peer and wait for the pushes, up to the timeout.

        Peers with a push under way are left out.
        """
        pushes = [self._push(vm) for vm in self.peers if vm not in self._pushing]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.gather(*pushes)
        except TimeoutError:
            logger.info("not every neighbour was told in time")

    async def stop(self) -> None:
        """Cancel all pushes and repairs."""
        await self._tasks.stop()

    def serve(
        self, link: Link, message: wire.Exchange, delay_s: float
    ) -> wire.Exchange:
        """Return the answer to a peer's gossip message.

        ``delay_s`` is how long the message waited on its way. Raises PeerError if the
        message is not a request.
        """
        vm, region = link.member.vm, link.member.region
        if isinstance(message, wire.Push):
            if message.neighbour:
                self._record_caller(link.member)
            counts = self._receive(vm, message.entries, delay_s)
            return self._acknowledge(vm, counts)
        if isinstance(message, wire.Summary):
            differing = self._dissemination.differing_buckets(message.topics, region)
            return wire.Differing(differing)
        if isinstance(message, wire.Stamps):
            difference = self._dissemination.compare_stamps(
                message.topic, message.buckets, message.stamps
            )
            return wire.Repair(self._to_wire(difference.newer), difference.wanted)
        raise PeerError(code=ResultCode.PEER_MALFORMED)

    def repair(self, vm: str) -> None:
        """Start an anti-entropy repair with a neighbour, after those still to come."""
        self._to_repair[vm] = None
        if not self._repairing:
            self._repairing = True
            self._tasks.spawn(self._repair_in_turn())

    def _push_urgent(self) -> None:
        self._urgent_push_scheduled = False
        for vm in self.peers:
            self._start_push(vm, urgent_only=True)

    def _push_batched(self) -> None:
        """Push to neighbours, and to callers that didn't fetch their entries.

        A caller usually gets its entries in the answers to its own pushes. It is pushed
        to only if it had entries queued at two batch intervals in a row.
        """
        still_waiting = self._waiting_callers
        self._waiting_callers = {vm for vm in self._callers if self._has_pending(vm)}
        for vm in (*self._neighbours, *(self._waiting_callers & still_waiting)):
            self._start_push(vm, urgent_only=False)

    def _has_pending(self, vm: str) -> bool:
        return self._dissemination.has_pending(vm, urgent_only=False)

    def _start_push(self, vm: str, urgent_only: bool) -> None:
        """Start a push if any entry, or any urgent one, is queued for the peer.

        The batch holds whatever is queued, urgent or not.
        """
        if self._dissemination.has_pending(vm, urgent_only) and vm not in self._pushing:
            self._tasks.spawn(self._push(vm))

    def _record_caller(self, member: Member) -> None:
        if member.vm in self._neighbours:
            return
        is_new = member.vm not in self._callers
        self._callers[member.vm] = (member, self._clock())
        if is_new:
            self._update_peers()

    def _drop_silent_callers(self, now: float) -> None:
        silent = [
            vm
            for vm, (_, called_at) in self._callers.items()
            if now - called_at > CALLER_EXPIRY_S
        ]
        for vm in silent:
            del self._callers[vm]
        if silent:
            self._update_peers()

    def _update_peers(self) -> None:
        for vm in self._neighbours:
            self._callers.pop(vm, None)
        peers = self.peers
        self._dissemination.set_peers({vm: peers[vm].region for vm in peers})

    def _acknowledge(self, vm: str, counts: wire.Accepted) -> wire.Accepted:
        """Return the answer to a push: its counts and entries queued for the peer.

        No entries are added while a push to the peer is under way.
        """
        if vm in self._pushing:
            return counts
        batch = self._dissemination.next_batch(vm, MAX_RETURN_BYTES)
        self._count_pushed(batch)
        return wire.Accepted(
            counts.new, counts.known, counts.refused, self._to_wire(batch)
        )

    def _count_pushed(self, batch: tuple[Entry, ...]) -> None:
        for entry in batch:
            self._counters.count_pushed(entry.topic, entry.size_bytes)

    async def _push(self, vm: str) -> None:
        batch = self._dissemination.next_batch(vm)
        if not batch:
            return
        self._pushing.add(vm)
        try:
            await self._send(vm, batch)
        except PeerError as exc:
            logger.debug("push to {} failed: {}", vm, exc)
            self._dissemination.requeue(vm, batch)
        finally:
            self._pushing.discard(vm)
        if self._dissemination.has_pending(vm, urgent_only=True):
            self.schedule_urgent_push()

    async def _send(self, vm: str, batch: tuple[Entry, ...]) -> None:
        member = self.peers.get(vm)
        if member is None:
            return
        link = await self._links.get_or_dial(member, EXCHANGE_TIMEOUT_S)
        self._count_pushed(batch)
        message = wire.Push(self._to_wire(batch), vm in self._neighbours)
        answer, delay_s = await self._client.exchange(link, message, EXCHANGE_TIMEOUT_S)
        if isinstance(answer, wire.Accepted) and answer.entries:
            self._receive(vm, answer.entries, delay_s)

    def _receive(
        self, vm: str, entries: tuple[wire.WireEntry, ...], delay_s: float
    ) -> wire.Accepted:
        now = self._clock()
        found = tuple(wire.from_wire(entry, now, delay_s) for entry in entries)
        received = self._dissemination.receive(found, vm, now)
        if received.refused:
            self._counters.count_refused(RefusalReason.MALFORMED)
        if received.accepted:
            self._on_accepted(received.accepted)
            self.schedule_urgent_push()
        return wire.Accepted(len(received.accepted), received.known, received.refused)

    async def _repair_in_turn(self) -> None:
        try:
            while self._to_repair:
                vm = next(iter(self._to_repair))
                del self._to_repair[vm]
                if vm not in self._neighbours:
                    continue
                try:
                    await self._repair_differences(vm)
                except PeerError as exc:
                    logger.debug("repair with {} failed: {}", vm, exc)
                await asyncio.sleep(REPAIR_PAUSE_S)
        finally:
            self._repairing = False

    async def _repair_differences(self, vm: str) -> None:
        member = self._neighbours.get(vm)
        if member is None:
            return
        link = await self._links.get_or_dial(member, EXCHANGE_TIMEOUT_S)
        summary = wire.Summary(self._dissemination.summary(member.region))
        answer, _ = await self._client.exchange(link, summary, EXCHANGE_TIMEOUT_S)
        if not isinstance(answer, wire.Differing):
            raise PeerError(code=ResultCode.PEER_MALFORMED)
        for topic, theirs in answer.topics.items():
            await self._repair_topic(link, topic, theirs)

    async def _repair_topic(
        self, link: Link, topic: str, theirs: tuple[int, ...]
    ) -> None:
        store = self._dissemination.store
        ours = store.buckets(topic)
        if len(theirs) != BUCKETS:
            raise PeerError(code=ResultCode.PEER_MALFORMED)
        buckets = tuple(i for i in range(BUCKETS) if ours[i] != theirs[i])
        stamps: dict[str, Stamp] = store.stamps(topic, buckets)
        message = wire.Stamps(topic, buckets, stamps)
        answer, delay_s = await self._client.exchange(link, message, EXCHANGE_TIMEOUT_S)
        if not isinstance(answer, wire.Repair):
            raise PeerError(code=ResultCode.PEER_MALFORMED)
        self._receive(link.member.vm, answer.entries, delay_s)
        found = (store.get(topic, key) for key in answer.wanted)
        wanted = tuple(entry for entry in found if entry is not None)
        for batch in in_batches(wanted):
            push = wire.Push(self._to_wire(batch))
            await self._client.exchange(link, push, EXCHANGE_TIMEOUT_S)

    def _to_wire(self, entries: tuple[Entry, ...]) -> tuple[wire.WireEntry, ...]:
        now = self._clock()
        return tuple(wire.to_wire(entry, now) for entry in entries)
