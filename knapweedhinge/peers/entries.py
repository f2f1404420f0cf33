"""Versioned gossip entries and the store that merges them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

from knapweedhinge.peers.limits import PeerLimits
from knapweedhinge.peers.topics import TopicPolicy, policy_of

BUCKETS = 64  # anti-entropy hash buckets per topic
MAX_TOPICS = 64  # entries of further topics are not stored
MAX_KEY_CHARS = 256  # of a key, and of the name of a VM
MAX_VERSION = (1 << 63) - 1
ENTRY_OVERHEAD_BYTES = 640  # in memory, of the objects around an entry's content


@dataclass(frozen=True)
class Entry:
    """One versioned value of a topic.

    ``vm`` and ``incarnation`` identify the process that published it. ``published_at``
    is the time of publication in seconds of the local clock; entries travel with their
    age, so the clocks of two nodes are never compared. ``hops`` is the number of times
    that the entry was sent from one node to the next on its way here.
    """

    topic: str
    key: str
    version: int
    vm: str
    incarnation: int
    payload: bytes
    published_at: float
    hops: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the approximate size in memory."""
        return self.size_bytes + ENTRY_OVERHEAD_BYTES

    def replaces(self, other: "Entry | None") -> bool:
        """Return whether this entry replaces another one of the same key."""
        if other is None:
            return True
        return (self.version, self.payload) > (other.version, other.payload)

    @property
    def size_bytes(self) -> int:
        """Return the approximate size in memory and on the wire.

        A fixed number stands for the version and the other small fields.
        """
        return len(self.key) + len(self.vm) + len(self.payload) + 24


def bucket_of(key: str) -> int:
    """Return the index of the anti-entropy bucket that contains a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS


def _fingerprint(entry: Entry) -> int:
    seed = entry.version & 0xFFFF_FFFF_FFFF_FFFF
    payload = xxhash.xxh3_64_intdigest(entry.payload, seed=seed)
    return xxhash.xxh3_64_intdigest(entry.key.encode(), seed=payload)


class Stamp(NamedTuple):
    """Version and content hash, to compare two entries without their payloads."""

    version: int
    fingerprint: int


class _Topic:
    """The entries of one topic with the XOR of their hashes per bucket."""

    def __init__(self, policy: TopicPolicy):
        self.policy = policy
        self.entries: dict[str, Entry] = {}
        self.buckets = [0] * BUCKETS
        self.held_bytes = 0

    def put(self, entry: Entry) -> None:
        self.remove(entry.key)
        self.entries[entry.key] = entry
        self.buckets[bucket_of(entry.key)] ^= _fingerprint(entry)
        self.held_bytes += entry.held_bytes

    def remove(self, key: str) -> None:
        old = self.entries.pop(key, None)
        if old is not None:
            self.buckets[bucket_of(key)] ^= _fingerprint(old)
            self.held_bytes -= old.held_bytes


class EntryStore:
    """All entries a node holds, merged idempotently and bounded per topic.

    Merging is commutative and associative: the greater version wins, and of equal
    versions the greater payload, whatever the order of arrival. A topic with too many
    entries drops the one that was stored longest ago. If all topics together hold more
    than ``max_bytes``, the one that holds most drops its own. ``evicted`` counts both.
    """

    def __init__(self, max_bytes: int = PeerLimits.max_held_bytes):
        self._max_bytes = max_bytes
        self._topics: dict[str, _Topic] = {}
        self.evicted = 0

    def merge(self, entry: Entry, now: float) -> bool:
        """Merge an entry and return whether it was newer and within the limits."""
        topic = self._topic(entry.topic)
        if topic is None or not _within_bounds(entry, topic.policy, now):
            return False
        if not entry.replaces(topic.entries.get(entry.key)):
            return False
        topic.put(entry)
        self._evict(topic)
        return entry.key in topic.entries

    def get(self, topic: str, key: str) -> Entry | None:
        """Return the entry of a key, or None."""
        found = self._topics.get(topic)
        return found.entries.get(key) if found else None

    def entries(self, topic: str) -> tuple[Entry, ...]:
        """Return all entries of a topic."""
        found = self._topics.get(topic)
        return tuple(found.entries.values()) if found else ()

    def topics(self) -> tuple[str, ...]:
        """Return the names of the topics held."""
        return tuple(self._topics)

    def remove(self, topic: str, key: str) -> None:
        """Drop an entry locally; other nodes keep it."""
        if topic in self._topics:
            self._topics[topic].remove(key)

    def expire(self, now: float) -> int:
        """Drop expired entries and return how many were dropped."""
        dropped = 0
        for topic in self._topics.values():
            for key in _expired(topic, now):
                topic.remove(key)
                dropped += 1
        return dropped

    def buckets(self, topic: str) -> tuple[int, ...]:
        """Return one hash over the entries of each bucket of a topic."""
        found = self._topics.get(topic)
        return tuple(found.buckets) if found else (0,) * BUCKETS

    def stamps(self, topic: str, buckets: Iterable[int]) -> dict[str, "Stamp"]:
        """Return the stamp of each key that falls into the given buckets of a topic."""
        wanted = frozenset(buckets)
        found = self._topics.get(topic)
        if not found:
            return {}
        return {
            key: Stamp(entry.version, _fingerprint(entry))
            for key, entry in found.entries.items()
            if bucket_of(key) in wanted
        }

    def size_bytes(self) -> int:
        """Return the approximate size of all entries in memory."""
        return sum(
            entry.size_bytes
            for topic in self._topics.values()
            for entry in topic.entries.values()
        )

    def _topic(self, name: str) -> _Topic | None:
        found = self._topics.get(name)
        if found is None:
            if len(self._topics) >= MAX_TOPICS:
                return None
            found = self._topics[name] = _Topic(policy_of(name))
        return found

    def _evict(self, topic: _Topic) -> None:
        while len(topic.entries) > topic.policy.max_entries:
            self._drop_first(topic)
        while sum(held.held_bytes for held in self._topics.values()) > self._max_bytes:
            self._drop_first(max(self._topics.values(), key=_held_bytes))

    def _drop_first(self, topic: _Topic) -> None:
        topic.remove(next(iter(topic.entries)))
        self.evicted += 1


def _held_bytes(topic: _Topic) -> int:
    return topic.held_bytes


def _within_bounds(entry: Entry, policy: TopicPolicy, now: float) -> bool:
    if not 0 <= entry.version <= MAX_VERSION:
        return False
    if len(entry.key) > MAX_KEY_CHARS or len(entry.vm) > MAX_KEY_CHARS:
        return False
    if len(entry.payload) > policy.max_payload_bytes:
        return False
    return policy.expiry_s is None or now - entry.published_at <= policy.expiry_s


def _expired(topic: _Topic, now: float) -> list[str]:
    expiry_s = topic.policy.expiry_s
    if expiry_s is None:
        return []
    return [
        key
        for key, entry in topic.entries.items()
        if now - entry.published_at > expiry_s
    ]
