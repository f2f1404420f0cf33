"""Tests of which node reads the store, and which takes over when it can't."""

import asyncio
import random

import pytest

from knapweedhinge.core.exceptions import PlatformError
from knapweedhinge.platform.eras import Eras, Version
from knapweedhinge.platform.feeds import (
    RANKED_TAKEOVER_S,
    UNRANKED_TAKEOVER_S,
    Feeds,
    ReaderStatus,
    RowChange,
)
from knapweedhinge.platform.store import HistoryGoneError, Row, Rows, Store


def feeds(rank: int | None) -> Feeds:
    rng = random.Random(1)
    store = Store("127.0.0.1", 1, lambda: 0.0, rng)
    return Feeds(store, str, lambda: 0.0, rng, rank=lambda: rank)


READING = ReaderStatus(0, True)
NOT_READING = ReaderStatus(0, False)
CASES = [
    # rank of this node, (status received, time) pairs, now, whether it must read
    (0, [], 0.0, True),
    (1, [], 0.0, True),
    (None, [], 0.0, True),
    (1, [(READING, 0.0)], RANKED_TAKEOVER_S - 0.1, False),
    (1, [(READING, 0.0)], RANKED_TAKEOVER_S + 0.1, True),
    (1, [(READING, 0.0), (NOT_READING, 0.1)], 0.2, True),
    (2, [(READING, 0.0), (NOT_READING, 0.1), (ReaderStatus(1, True), 0.2)], 0.3, False),
    (2, [(READING, 0.0), (NOT_READING, 0.1)], 0.3, True),
    (None, [(READING, 0.0)], UNRANKED_TAKEOVER_S - 0.1, False),
    (None, [(READING, 0.0)], UNRANKED_TAKEOVER_S + 0.1, True),
    (None, [(READING, 0.0), (ReaderStatus(1, True), 1.0)], 1.5, False),
]


@pytest.mark.parametrize("rank,received,now,expected", CASES)
def test_who_must_read(rank, received, now, expected):
    node_feeds = feeds(rank)
    for status, at in received:
        node_feeds.handle_reader_status(status, at)
    assert node_feeds._must_read(now) is expected


def test_a_node_without_rank_has_no_reader_status():
    assert feeds(None).reader_status(0.0) is None


def test_a_reader_reports_a_failing_store_at_once():
    reader = feeds(0)
    reader._polled_at["op"] = 0.0
    reader.apply(RowChange("op", Row("config", Version(0, 5), b"{}")), publish=False)
    reader._read_versions["op"] = Version(0, 5)
    assert reader.reader_status(0.1) == ReaderStatus(0, True, {"op": 5})
    reader._store._note_failure("503")
    assert reader.reader_status(0.1) == ReaderStatus(0, False, {"op": 5})


def test_a_reader_reports_a_late_answer_of_the_store():
    reader = feeds(0)
    reader._polled_at["op"] = 0.0
    assert reader.reader_status(0.8).reads
    assert not reader.reader_status(1.0).reads


POLL_TIMEOUT_S = 2.1  # of a request that a silent store doesn't answer
CONTACT_S = 3.0  # time after the store's return in which all nodes must know its rows


class SilentStore:
    """Store that answers nothing before ``back_at`` and then has a newer row.

    Each answer takes ``answer_s`` seconds.
    """

    def __init__(self, clock, back_at: float, answer_s: float = 0.0):
        self._clock = clock
        self._back_at = back_at
        self._answer_s = answer_s
        self.available = True
        self.eras = Eras()
        self.last_failed_at = float("-inf")

    async def read(self, table: str) -> Rows:
        return self._rows()

    async def changes(self, table: str, since: Version, wait_s: float) -> Rows:
        if self._clock() < self._back_at:
            await asyncio.sleep(POLL_TIMEOUT_S)
            raise PlatformError("no answer")
        await asyncio.sleep(self._answer_s if since < Version(0, 5) else wait_s)
        return self._rows()

    def _rows(self) -> Rows:
        version = Version(0, 5 if self._clock() >= self._back_at else 1)
        return Rows((Row("config", version, b"{}"),), version, self._clock())


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(20))
async def test_a_node_whose_reads_failed_does_not_stay_behind_a_reader_that_reads(seed):
    clock = asyncio.get_running_loop().time
    back_at = clock() + 8.0
    rng = random.Random(seed)
    store = SilentStore(clock, back_at)
    node = Feeds(store, str, clock, rng, rank=lambda: None)
    node.follow("op")
    try:
        await asyncio.sleep(8.3 + rng.uniform(0.0, 1.0))
        while clock() < back_at + CONTACT_S:
            node.handle_reader_status(ReaderStatus(0, True, {"op": 5}), clock())
            await asyncio.sleep(0.1)
        assert node.mirror.newest_version("op") == Version(0, 5)
    finally:
        await node.stop()


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(60))
async def test_a_node_does_not_miss_the_return_of_a_silent_store_by_backing_off(seed):
    clock, rng = asyncio.get_running_loop().time, random.Random(seed)
    back_at = clock() + 8.0 + rng.uniform(0.0, 3.0)
    store = SilentStore(clock, back_at, answer_s=0.4)
    node = Feeds(store, str, clock, rng, rank=lambda: None)
    node.follow("op")
    await asyncio.sleep(back_at + CONTACT_S - clock())
    await node.stop()
    assert node.mirror.newest_version("op") == Version(0, 5)


@pytest.mark.looptime
async def test_peers_get_the_rows_that_a_node_reads_after_the_history_is_gone():
    clock = asyncio.get_running_loop().time
    store = SilentStore(clock, clock() + 1.0)
    node, sent = Feeds(store, str, clock, random.Random(1)), []
    node.outgoing.subscribe(sent.append)
    await node.load("op")

    async def history_gone(table: str, since: Version, wait_s: float) -> Rows:
        del store.changes
        raise HistoryGoneError("compacted")

    store.changes = history_gone
    await asyncio.sleep(1.0)
    node.follow("op")
    await asyncio.sleep(0.1)
    await node.stop()
    assert [(change.table, change.row.version) for change in sent] == [
        ("op", Version(0, 5))
    ]
