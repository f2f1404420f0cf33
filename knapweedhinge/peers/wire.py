"""Gossip messages: the capnp schema and the msgpack records it carries.

``Session.exchange`` carries the tagged union ``Exchange``. Records are encoded as
arrays, and new fields are only added at the end: a decoder skips fields it doesn't
know. A message with an unknown tag is refused with a result code and doesn't break the
connection.
"""

from pathlib import Path
from typing import Annotated

import capnp
import msgspec

from knapweedhinge.peers.entries import BUCKETS, MAX_TOPICS, Entry, Stamp

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).parent / "schema" / "peer.capnp"))

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024
MAX_PAYLOAD_BYTES = MAX_MESSAGE_BYTES - 4 * 1024  # leaves space for the framing
WORD_BYTES = 8
MAX_MESSAGE_WORDS = MAX_MESSAGE_BYTES // WORD_BYTES
MAX_NESTING = 16  # levels of nested structures in a capnp message
# In one message, more than fit into the batches that nodes send. The decoder checks
# such numbers before it makes any object.
MAX_ENTRIES = 16_384


class WireEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry in a message; ``age_ms`` is its age when the message was sent."""

    topic: str
    key: str
    version: int
    vm: str
    incarnation: int
    age_ms: int
    hops: int
    payload: bytes


_MANY = msgspec.Meta(max_length=MAX_ENTRIES)
_BUCKETS = msgspec.Meta(max_length=BUCKETS)
_TOPICS = msgspec.Meta(max_length=2 * MAX_TOPICS)  # another release may have more
Entries = Annotated[tuple[WireEntry, ...], _MANY]


class Push(msgspec.Struct, frozen=True, array_like=True, tag="push"):
    """Entries for the receiver to merge.

    ``neighbour`` means that the sender pushes to this receiver regularly, so that
    entries for the sender can be returned in the answers to its pushes.
    """

    entries: Entries
    neighbour: bool = False


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="accepted"):
    """Answer to a push: how many entries were new, known or refused.

    The counts are those of ``dissemination.ReceiveResult``. ``entries`` are those
    that the answering node had queued for the sender.
    """

    new: int
    known: int
    refused: int
    entries: Entries = ()


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """One hash per topic, to detect whether two nodes hold the same entries."""

    topics: Annotated[dict[str, int], _TOPICS]


class Differing(msgspec.Struct, frozen=True, array_like=True, tag="differing"):
    """Answer to a summary: the bucket hashes of each topic that differs."""

    topics: Annotated[dict[str, Annotated[tuple[int, ...], _BUCKETS]], _TOPICS]


class Stamps(msgspec.Struct, frozen=True, array_like=True, tag="stamps"):
    """The stamps of all keys that the sender holds in some buckets of a topic."""

    topic: str
    buckets: Annotated[tuple[int, ...], _BUCKETS]
    stamps: Annotated[dict[str, Stamp], _MANY]


class Repair(msgspec.Struct, frozen=True, array_like=True, tag="repair"):
    """Answer to stamps: entries that the other node lacks, and keys it should push."""

    entries: Entries
    wanted: Annotated[tuple[str, ...], _MANY]


Exchange = Push | Accepted | Summary | Differing | Stamps | Repair

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Exchange)


def encode(message: Exchange) -> bytes:
    """Encode a message with msgpack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Exchange:
    """Decode a message; raises ``msgspec.DecodeError`` if it is malformed."""
    return _decoder.decode(data)


def to_wire(entry: Entry, now: float) -> WireEntry:
    """Convert an entry to its wire form, with its age at ``now``."""
    age_ms = max(0, round((now - entry.published_at) * 1000))
    return WireEntry(
        entry.topic,
        entry.key,
        entry.version,
        entry.vm,
        entry.incarnation,
        age_ms,
        entry.hops + 1,
        entry.payload,
    )


def from_wire(entry: WireEntry, now: float, delay_s: float) -> Entry:
    """Convert a received entry; ``delay_s`` on the way is added to its age."""
    return Entry(
        entry.topic,
        entry.key,
        entry.version,
        entry.vm,
        entry.incarnation,
        entry.payload,
        now - delay_s - max(0, entry.age_ms) / 1000,
        max(0, entry.hops),
    )
