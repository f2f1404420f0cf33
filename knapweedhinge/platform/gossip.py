"""Exchange changed rows with peers.

Nodes that don't read the store, or that it doesn't answer, learn of changes this way.
"""

import zlib

import msgspec
from loguru import logger

from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import Entry, Peers
from knapweedhinge.peers.topics import ROW_CHANGES
from knapweedhinge.platform.eras import Version
from knapweedhinge.platform.feeds import Feeds, RowChange
from knapweedhinge.platform.store import Row

# Values of this size and above are compressed; a catalog with many routes shrinks to a
# tenth.
COMPRESS_MIN_BYTES = 1024
# Values that are larger than this after compression are not sent; peers read them from
# the store.
MAX_VALUE_BYTES = 128 * 1024
MAX_DECOMPRESSED_BYTES = 4 * 1024 * 1024  # of a received value


class _RowBody(msgspec.Struct, frozen=True, array_like=True):
    table: str
    key: str
    version: int
    value: bytes | None
    lapsed: bool = False
    compressed: bool = False
    era: int = 0
    is_new: bool = False


class RowGossip:
    """Send the changes of the feeds to peers, and apply those received from peers."""

    def __init__(self, feeds: Feeds, peers: Peers):
        self._feeds = feeds
        self._peers = peers
        feeds.outgoing.subscribe(self._publish)
        peers.subscribe(ROW_CHANGES).subscribe(self._apply_received)

    def _publish(self, change: RowChange) -> None:
        row = change.row
        body = pack(change)
        if body is None:
            logger.bind(table=change.table, key=row.key, version=row.version).info(
                "row too large to pass on"
            )
            return
        # Peers keep the entry with the highest number, which goes back with the store.
        era = f"{row.version.era}:" if row.version.era else ""
        key = f"{era}{change.table}/{row.key}"
        try:
            self._peers.publish(ROW_CHANGES, key, row.version.number, body)
        except PeerError as exc:
            logger.bind(table=change.table, key=row.key).warning(
                f"row not sent to peers: {exc}"
            )

    def _apply_received(self, entry: Entry) -> None:
        if entry.vm == self._peers.me.vm:
            return
        try:
            change = unpack(entry.payload)
        except (msgspec.MsgspecError, zlib.error, ValueError) as exc:
            logger.bind(vm=entry.vm).warning(f"malformed row from a peer: {exc}")
            return
        self._feeds.apply(change, publish=False)


def pack(change: RowChange) -> bytes | None:
    """Encode a changed row for peers; return None if it is too large."""
    row, value = change.row, change.row.value
    compressed = value is not None and len(value) >= COMPRESS_MIN_BYTES
    if compressed:
        value = zlib.compress(value, 1)
    if value is not None and len(value) > MAX_VALUE_BYTES:
        return None
    body = _RowBody(
        change.table,
        row.key,
        row.version.number,
        value,
        change.lapsed,
        compressed,
        row.version.era,
        change.is_new,
    )
    return msgspec.msgpack.encode(body)


def unpack(payload: bytes) -> RowChange:
    """Decode a row from a peer; raise MsgspecError, zlib.error or ValueError."""
    body = msgspec.msgpack.decode(payload, type=_RowBody)
    value = body.value
    if body.compressed and value is not None:
        inflater = zlib.decompressobj()
        value = inflater.decompress(value, MAX_DECOMPRESSED_BYTES)
        if inflater.unconsumed_tail:
            raise ValueError("the decompressed row is too long")
    row = Row(body.key, Version(body.era, body.version), value)
    return RowChange(body.table, row, body.lapsed, body.is_new)
