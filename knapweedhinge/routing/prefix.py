"""Track which prompt prefixes each endpoint is expected to have in its KV cache."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

import xxhash

# Tokens that a block of a prompt counts as, and its size as text: four bytes a token
# are assumed.
BLOCK_TOKENS = 64
BLOCK_BYTES = 4 * BLOCK_TOKENS
# Leading blocks of a prompt that are hashed.
MAX_PROMPT_BLOCKS = 64
# Blocks remembered for an endpoint; the least recently used is dropped first.
MAX_BLOCKS_PER_ENDPOINT = 2048
# Endpoints remembered for a block.
MAX_HOLDERS = 8
# Factor on the expected cached tokens of an endpoint with missed cache events.
STALE_FACTOR = 0.5


class CacheChange(StrEnum):
    """What happened to blocks of an endpoint's cache; ``CLEARED`` means all of them."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event of an endpoint's cache.

    ``incarnation`` changes when the endpoint restarts. ``sequence`` grows by one with
    each event of an incarnation, so that a gap shows that events were missed.
    """

    endpoint_id: str
    incarnation: str
    sequence: int
    change: CacheChange
    blocks: tuple[int, ...] = ()


def prompt_blocks(version: str, prompt: bytes) -> tuple[int, ...]:
    """Return chained 64-bit hashes of a prompt's complete blocks of ``BLOCK_BYTES``.

    Prompts to one version that share a prefix share the leading hashes.
    """
    count = min(len(prompt) // BLOCK_BYTES, MAX_PROMPT_BLOCKS)
    seed = xxhash.xxh3_64_intdigest(version.encode())
    blocks = []
    for index in range(count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        seed = xxhash.xxh3_64_intdigest(block, seed=seed)
        blocks.append(seed)
    return tuple(blocks)


def part_blocks(version: str, part_ids: tuple[str, ...]) -> tuple[int, ...]:
    """Return chained 64-bit hashes of a prompt that the client split into named parts.

    Prompts to one version that share leading parts share the leading hashes.
    """
    seed = xxhash.xxh3_64_intdigest(version.encode())
    blocks = []
    for part_id in part_ids:
        seed = xxhash.xxh3_64_intdigest(part_id.encode(), seed=seed)
        blocks.append(seed)
    return tuple(blocks)


class _EndpointCache:
    """Blocks expected in the cache of one endpoint, least recently used first."""

    __slots__ = ("blocks", "incarnation", "next_sequence", "stale")

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.next_sequence: int | None = None
        self.stale = False
        self.blocks: OrderedDict[int, None] = OrderedDict()


class PrefixIndex:
    """An index, of bounded size, of the blocks expected in the endpoints' caches.

    It is built from cache events and from the prompts that this node dispatched. A gap
    in an endpoint's event sequence makes its entries stale until the cache is cleared:
    ``cached_tokens()`` counts them for less, but they are kept, since most blocks are
    still cached.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS_PER_ENDPOINT):
        self._max_blocks = max_blocks
        self._caches: dict[str, _EndpointCache] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._previous_incarnations: dict[str, str] = {}

    def apply(self, event: CacheEvent) -> None:
        """Update the index by a cache event.

        Duplicate events and those that arrive after a later one are ignored, as are
        events of the endpoint's previous incarnation.
        """
        if self._previous_incarnations.get(event.endpoint_id) == event.incarnation:
            return
        cache = self._cache(event.endpoint_id, event.incarnation)
        expected = cache.next_sequence
        if expected is not None and event.sequence < expected:
            return
        if expected is not None and event.sequence > expected:
            cache.stale = True
        cache.next_sequence = event.sequence + 1
        if event.change is CacheChange.STORED:
            self._store(event.endpoint_id, cache, event.blocks)
        elif event.change is CacheChange.EVICTED:
            self._evict(event.endpoint_id, cache, event.blocks)
        else:
            self._evict(event.endpoint_id, cache, tuple(cache.blocks))
            cache.stale = False

    def dispatched(self, endpoint_id: str, blocks: tuple[int, ...]) -> None:
        """Record that a prompt was sent to an endpoint, which will cache its blocks."""
        cache = self._caches.get(endpoint_id)
        if cache is None:
            cache = self._cache(endpoint_id, "")
        self._store(endpoint_id, cache, blocks)

    def forget(self, endpoint_id: str) -> None:
        """Drop all entries of an endpoint that is gone."""
        self._drop_cache(endpoint_id)
        self._previous_incarnations.pop(endpoint_id, None)

    def _drop_cache(self, endpoint_id: str) -> None:
        cache = self._caches.pop(endpoint_id, None)
        if cache is not None:
            self._evict(endpoint_id, cache, tuple(cache.blocks))

    def holders(self, blocks: tuple[int, ...]) -> tuple[str, ...]:
        """Return the endpoints expected to cache the longest prefix of a prompt.

        ``blocks`` are the hashes of the prompt. Return an empty tuple if none caches
        any of it.
        """
        for block in reversed(blocks):
            block_holders = self._holders.get(block)
            if block_holders:
                return tuple(block_holders)
        return ()

    def cached_tokens(self, endpoint_id: str, blocks: tuple[int, ...]) -> int:
        """Return how many leading tokens of a prompt are expected in the cache.

        The number is multiplied by ``STALE_FACTOR`` if events were missed. ``blocks``
        are those of ``prompt_blocks()``, of ``BLOCK_TOKENS`` each.
        """
        count = self.cached_block_count(endpoint_id, blocks)
        factor = STALE_FACTOR if self.is_stale(endpoint_id) else 1.0
        return int(count * BLOCK_TOKENS * factor)

    def cached_block_count(self, endpoint_id: str, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks of a prompt are expected in the cache."""
        cache = self._caches.get(endpoint_id)
        if cache is None:
            return 0
        count = 0
        for block in blocks:
            if block not in cache.blocks:
                break
            count += 1
        return count

    def is_stale(self, endpoint_id: str) -> bool:
        """Return whether events were missed since the endpoint's cache was cleared."""
        cache = self._caches.get(endpoint_id)
        return cache is not None and cache.stale

    def block_count(self) -> int:
        """Return the number of entries, each a pair of an endpoint and a block."""
        return sum(len(cache.blocks) for cache in self._caches.values())

    def _cache(self, endpoint_id: str, incarnation: str) -> _EndpointCache:
        cache = self._caches.get(endpoint_id)
        if cache is not None and not cache.incarnation:
            cache.incarnation = incarnation
        if cache is None or cache.incarnation != incarnation:
            if cache is not None:
                self._previous_incarnations[endpoint_id] = cache.incarnation
            self._drop_cache(endpoint_id)
            cache = self._caches[endpoint_id] = _EndpointCache(incarnation)
        return cache

    def _store(self, endpoint_id, cache, blocks) -> None:
        # The leading block comes last, so that it counts as the most recently used one
        # and is dropped last: later blocks are of no use without it.
        for block in reversed(blocks):
            cache.blocks[block] = None
            cache.blocks.move_to_end(block)
            block_holders = self._holders.setdefault(block, {})
            block_holders[endpoint_id] = None
            if len(block_holders) > MAX_HOLDERS:
                oldest = next(iter(block_holders))
                del block_holders[oldest]
        while len(cache.blocks) > self._max_blocks:
            self._evict(endpoint_id, cache, (next(iter(cache.blocks)),))

    def _evict(self, endpoint_id, cache, blocks) -> None:
        for block in blocks:
            cache.blocks.pop(block, None)
            block_holders = self._holders.get(block)
            if block_holders is None:
                continue
            block_holders.pop(endpoint_id, None)
            if not block_holders:
                del self._holders[block]
