import pytest

from knapweedhinge.routing.prefix import (
    BLOCK_BYTES,
    BLOCK_TOKENS,
    MAX_HOLDERS,
    MAX_PROMPT_BLOCKS,
    CacheChange,
    CacheEvent,
    PrefixIndex,
    prompt_blocks,
)

BLOCKS = (1, 2, 3, 4)
STORED, EVICTED, CLEARED = CacheChange


def event(sequence, change, blocks=(), incarnation="i1"):
    return CacheEvent("e", incarnation, sequence, change, blocks)


@pytest.mark.parametrize(
    ("events", "tokens", "stale"),
    [
        ([event(1, STORED, BLOCKS)], 4 * BLOCK_TOKENS, False),
        ([event(1, STORED, BLOCKS), event(2, EVICTED, (3,))], 2 * BLOCK_TOKENS, False),
        ([event(1, STORED, BLOCKS), event(3, STORED, (9,))], 2 * BLOCK_TOKENS, True),
        (
            [event(1, STORED, BLOCKS), event(3, CLEARED), event(4, STORED, BLOCKS)],
            4 * BLOCK_TOKENS,
            False,
        ),
        ([event(2, STORED, BLOCKS), event(1, EVICTED, BLOCKS)], 256, False),
        ([event(1, STORED, BLOCKS), event(1, STORED, BLOCKS)], 256, False),
        ([event(1, STORED, BLOCKS), event(1, STORED, (9,), "i2")], 0, False),
        (
            [event(1, STORED, BLOCKS), event(1, CLEARED, (), "i2"), event(2, STORED)],
            0,
            False,
        ),
        ([event(1, STORED, (2, 3, 4))], 0, False),
    ],
    ids=[
        "stored",
        "evicted",
        "gap",
        "cleared after a gap",
        "overtaken",
        "repeated",
        "restarted",
        "late from before the restart",
        "no leading block",
    ],
)
def test_index_follows_cache_events(events, tokens, stale):
    prefix_index = PrefixIndex()
    for cache_event in events:
        prefix_index.apply(cache_event)
    assert (prefix_index.cached_tokens("e", BLOCKS), prefix_index.is_stale("e")) == (
        tokens,
        stale,
    )


def test_holders_of_the_longest_prefix_are_found_and_forgotten():
    prefix_index = PrefixIndex()
    prefix_index.dispatched("short", BLOCKS[:2])
    prefix_index.dispatched("long", BLOCKS)
    assert prefix_index.holders((*BLOCKS, 5)) == ("long",)
    prefix_index.forget("long")
    assert prefix_index.holders((*BLOCKS, 5)) == ("short",)
    assert prefix_index.holders((7, 8)) == ()


def test_memory_is_bounded_and_leading_blocks_stay_longest():
    prefix_index = PrefixIndex(max_blocks=3)
    prefix_index.dispatched("e", BLOCKS)
    assert prefix_index.block_count() == 3
    assert prefix_index.cached_tokens("e", BLOCKS) == 3 * BLOCK_TOKENS
    for index in range(MAX_HOLDERS + 3):
        prefix_index.dispatched(f"x{index}", BLOCKS[:1])
    assert len(prefix_index.holders(BLOCKS[:1])) == MAX_HOLDERS


def test_blocks_chain_by_version_and_prefix():
    prompt = bytes(range(256)) * 3
    blocks = prompt_blocks("v1", prompt)
    assert len(blocks) == 3
    assert blocks[:2] == prompt_blocks("v1", prompt[: 2 * BLOCK_BYTES + 5])
    assert len(set(blocks)) == 3
    assert blocks != prompt_blocks("v2", prompt)
    assert len(prompt_blocks("v1", b"x" * BLOCK_BYTES * 100)) == MAX_PROMPT_BLOCKS
