"""Gossip queues and anti-entropy: which entries to send to which peer.

Does no I/O; the caller transports the messages. A new entry is queued for every peer
except the one it came from, and removed from the queue of a peer that turns out to
have it. Queues hold only topics and keys, so a newer version replaces an older one in
place and memory is bounded by the store.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import xxhash

from knapweedhinge.peers.entries import BUCKETS, Entry, EntryStore, Stamp
from knapweedhinge.peers.limits import PeerLimits
from knapweedhinge.peers.topics import Scope, policy_of

MAX_HOPS = 32  # an entry that was forwarded this often is not forwarded again
MAX_BATCH_BYTES = 256 * 1024  # of entries in a message; the last one may exceed it
MAX_KEYS_REPAIRED = 4_096  # keys requested from a peer, per topic and repair

Validator = Callable[[Entry], bool]


@dataclass(frozen=True)
class ReceiveResult:
    """The result of merging a batch: new entries, and counts of the others.

    ``known`` entries were not newer than the stored ones, or exceeded the limits of
    their topic; ``refused`` ones failed the validator of their topic.
    """

    accepted: tuple[Entry, ...]
    known: int
    refused: int


@dataclass(frozen=True)
class BucketDifference:
    """How two stores differ in some buckets of a topic.

    ``newer`` are our entries that the peer lacks, ``wanted`` the keys to request.
    """

    newer: tuple[Entry, ...]
    wanted: tuple[str, ...]


class Dissemination:
    """The entries of one node and, per peer, the queue of entries to send to it."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        region: str,
        limits: PeerLimits | None = None,
    ):
        self._vm = vm
        self.incarnation = incarnation
        self._region = region
        self.store = EntryStore((limits or PeerLimits()).max_held_bytes)
        self._validators: dict[str, Validator] = {}
        self._queues: dict[str, dict[tuple[str, str], None]] = {}
        self._region_by_peer: dict[str, str] = {}

    def set_validator(self, topic: str, validator: Validator) -> None:
        """Check every received entry of a topic with ``validator``.

        Entries it refuses are neither stored nor forwarded.
        """
        self._validators[topic] = validator

    def set_peers(self, peers: dict[str, str]) -> None:
        """Set the peers to push to, as a mapping of VM to region."""
        self._region_by_peer = dict(peers)
        self._queues = {vm: self._queues.get(vm, {}) for vm in peers}

    def publish(
        self, topic: str, key: str, version: int, payload: bytes, now: float
    ) -> Entry | None:
        """Store and queue an entry of this node.

        Returns None if it is not newer than the stored one or exceeds the limits of its
        topic.
        """
        entry = Entry(topic, key, version, self._vm, self.incarnation, payload, now)
        if not self.store.merge(entry, now):
            return None
        self._enqueue(entry, None)
        return entry

    def receive(
        self, entries: tuple[Entry, ...], sender: str, now: float
    ) -> ReceiveResult:
        """Merge entries from a peer and queue the new ones for the other peers."""
        accepted, known, refused = [], 0, 0
        for entry in entries:
            if not self._is_valid(entry):
                refused += 1
                continue
            if self.store.merge(entry, now):
                accepted.append(entry)
                self._enqueue(entry, sender)
            else:
                known += 1
            self._dequeue_known(sender, entry)
        return ReceiveResult(tuple(accepted), known, refused)

    def has_pending(self, vm: str, urgent_only: bool) -> bool:
        """Return whether any entry, or any urgent one, is queued for a peer."""
        queue = self._queues.get(vm, {})
        if not urgent_only:
            return bool(queue)
        return any(policy_of(topic).urgent for topic, _ in queue)

    def next_batch(
        self, vm: str, max_bytes: int = MAX_BATCH_BYTES
    ) -> tuple[Entry, ...]:
        """Remove and return the next batch of a peer's queue.

        Entries are added until their sizes reach ``max_bytes``.
        """
        queue = self._queues.get(vm, {})
        batch, size = [], 0
        while queue and size < max_bytes:
            topic, key = next(iter(queue))
            del queue[(topic, key)]
            entry = self.store.get(topic, key)
            if entry is not None:
                batch.append(entry)
                size += entry.size_bytes
        return tuple(batch)

    def requeue(self, vm: str, entries: tuple[Entry, ...]) -> None:
        """Queue the entries of a failed push again.

        If the peer has no queue any more, anti-entropy repairs the loss.
        """
        queue = self._queues.get(vm)
        if queue is None:
            return
        for entry in entries:
            queue.setdefault((entry.topic, entry.key))

    def summary(self, peer_region: str) -> dict[str, int]:
        """Return one hash for each topic that is repaired with peers of this region."""
        return {
            topic: _hash(self.store.buckets(topic))
            for topic in self.store.topics()
            if self._is_repaired(topic, peer_region)
        }

    def differing_buckets(
        self, theirs: dict[str, int], peer_region: str
    ) -> dict[str, tuple[int, ...]]:
        """Return our bucket hashes of each topic whose hash differs from theirs."""
        ours = self.summary(peer_region)
        topics = [t for t in {**ours, **theirs} if self._is_repaired(t, peer_region)]
        empty = _hash((0,) * BUCKETS)
        return {
            topic: self.store.buckets(topic)
            for topic in topics
            if ours.get(topic, empty) != theirs.get(topic, empty)
        }

    def compare_stamps(
        self, topic: str, buckets: tuple[int, ...], theirs: dict[str, Stamp]
    ) -> BucketDifference:
        """Return the entries that a peer lacks and the keys that it has newer.

        Both are limited, the entries to about ``MAX_BATCH_BYTES``; later repairs find
        the rest. Entries of equal version but different payload are sent both ways, and
        merging picks the same one on both sides.
        """
        ours = self.store.stamps(topic, buckets)
        newer, size = [], 0
        for key, stamp in ours.items():
            if _may_lack(theirs.get(key), stamp) and size < MAX_BATCH_BYTES:
                entry = self.store.get(topic, key)
                newer.append(entry)
                size += entry.size_bytes
        wanted = [
            key for key, stamp in theirs.items() if _may_lack(ours.get(key), stamp)
        ]
        return BucketDifference(tuple(newer), tuple(wanted[:MAX_KEYS_REPAIRED]))

    def _is_valid(self, entry: Entry) -> bool:
        validator = self._validators.get(entry.topic)
        return validator is None or validator(entry)

    def _enqueue(self, entry: Entry, sender: str | None) -> None:
        if entry.hops >= MAX_HOPS:
            return
        entry_id = (entry.topic, entry.key)
        for vm, queue in self._queues.items():
            if vm != sender and self._spreads_to(entry.topic, self._region_by_peer[vm]):
                queue.pop(entry_id, None)
                queue[entry_id] = None

    def _dequeue_known(self, sender: str, entry: Entry) -> None:
        queue = self._queues.get(sender)
        if not queue:
            return
        held = self.store.get(entry.topic, entry.key)
        if held is not None and held.version <= entry.version:
            queue.pop((entry.topic, entry.key), None)

    def _spreads_to(self, topic: str, region: str) -> bool:
        return policy_of(topic).scope is Scope.FLEET or region == self._region

    def _is_repaired(self, topic: str, region: str) -> bool:
        return policy_of(topic).repaired and self._spreads_to(topic, region)


def in_batches(entries: Iterable[Entry]) -> Iterator[tuple[Entry, ...]]:
    """Yield the entries in batches of about ``MAX_BATCH_BYTES``."""
    batch, size = [], 0
    for entry in entries:
        batch.append(entry)
        size += entry.size_bytes
        if size >= MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, size = [], 0
    if batch:
        yield tuple(batch)


def _hash(buckets: tuple[int, ...]) -> int:
    data = b"".join(bucket.to_bytes(8, "big") for bucket in buckets)
    return xxhash.xxh3_64_intdigest(data)


def _may_lack(held: Stamp | None, offered: Stamp) -> bool:
    return held is None or (held != offered and held.version <= offered.version)
