"""Pass rows on to peers, so that a node the store turns away learns of them too."""

import zlib

import msgspec
from loguru import logger

from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import Entry, Peers
from knapweedhinge.peers.topics import ROW_CHANGES
from knapweedhinge.platform.feeds import Feeds, RowNews
from knapweedhinge.platform.store import Row

# Values from this size on are compressed: a catalog of many routes to a tenth.
COMPRESS_FROM = 1024
# Compressed values above this are not passed on; peers read them from the store.
MAX_VALUE_BYTES = 128 * 1024
MAX_ROW_BYTES = 4 * 1024 * 1024  # what a compressed value may become


class _RowBody(msgspec.Struct, frozen=True, array_like=True):
    table: str
    key: str
    version: int
    value: bytes | None
    lapsed: bool = False
    compressed: bool = False


class RowGossip:
    """Publish what the feeds saw change, and feed them what peers saw."""

    def __init__(self, feeds: Feeds, peers: Peers):
        self._feeds = feeds
        self._peers = peers
        feeds.news.subscribe(self._publish)
        peers.subscribe(ROW_CHANGES).subscribe(self._take)

    def _publish(self, news: RowNews) -> None:
        row = news.row
        body = pack(news)
        if body is None:
            logger.bind(table=news.table, key=row.key, version=row.version).info(
                "row too large to pass on"
            )
            return
        key = f"{news.table}/{row.key}"
        try:
            self._peers.publish(ROW_CHANGES, key, row.version, body)
        except PeerError as exc:
            logger.bind(table=news.table, key=row.key).warning(
                f"row not passed on: {exc}"
            )

    def _take(self, entry: Entry) -> None:
        if entry.vm == self._peers.me.vm:
            return
        try:
            news = unpack(entry.payload)
        except (msgspec.MsgspecError, zlib.error, ValueError) as exc:
            logger.bind(vm=entry.vm).warning(f"malformed row news: {exc}")
            return
        self._feeds.take(news, tell=False)


def pack(news: RowNews) -> bytes | None:
    """Return news as peers pass them on, None if they are too large."""
    row, value = news.row, news.row.value
    compressed = value is not None and len(value) >= COMPRESS_FROM
    if compressed:
        value = zlib.compress(value, 1)
    if value is not None and len(value) > MAX_VALUE_BYTES:
        return None
    body = _RowBody(news.table, row.key, row.version, value, news.lapsed, compressed)
    return msgspec.msgpack.encode(body)


def unpack(payload: bytes) -> RowNews:
    """Return news from a peer; raise MsgspecError, zlib.error or ValueError."""
    body = msgspec.msgpack.decode(payload, type=_RowBody)
    value = body.value
    if body.compressed and value is not None:
        inflater = zlib.decompressobj()
        value = inflater.decompress(value, MAX_ROW_BYTES)
        if inflater.unconsumed_tail:
            raise ValueError("the row is too long")
    row = Row(body.key, body.version, value)
    return RowNews(body.table, row, body.lapsed)
