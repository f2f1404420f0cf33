"""Membership records of nodes and their encoding."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from knapweedhinge.conf.node import NodeSettings

REFUTATION_BITS = 12  # of Member.version
MAX_REFUTATIONS = (1 << REFUTATION_BITS) - 1
_STATE_BITS = 2  # of Member.version


class MemberState(StrEnum):
    """The state of a member as seen by the fleet.

    A suspect failed its probes but may still refute that; a leaving member announced
    that it takes no new work. Leaving and dead members are said to have ended.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# Of two records with equal incarnation and refutations the higher rank wins.
_STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


@dataclass(frozen=True)
class Member:
    """A membership record of one node.

    ``incarnation`` identifies the process: its start in Unix milliseconds, raised if
    necessary above every earlier process of the VM. ``refutations`` counts how often
    the process refuted a suspicion. Of two records the greater ``version`` wins.
    ``capacity`` is what the machine can bear (``routing.nodecapacity``), 0 if unknown.
    """

    vm: str
    incarnation: int
    ip: str
    peer_port: int
    http_port: int
    failure_domain: str
    region: str
    state: MemberState = MemberState.ALIVE
    refutations: int = 0
    capacity: int = 0

    @property
    def version(self) -> int:
        """Return the ordering key: incarnation, then refutations, then state."""
        lower = (self.refutations << _STATE_BITS) | _STATE_RANK[self.state]
        return (self.incarnation << (REFUTATION_BITS + _STATE_BITS)) | lower

    @property
    def active(self) -> bool:
        """Return whether the member may own keys: it is alive or only suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


def own_member(
    cfg: NodeSettings, incarnation: int, peer_port: int, capacity: int = 0
) -> Member:
    """Return the record that a node publishes about itself."""
    listen = cfg.listen
    return Member(
        vm=listen.vm,
        incarnation=incarnation,
        ip=listen.ip,
        peer_port=peer_port,
        http_port=listen.port,
        failure_domain=listen.failure_domain,
        region=listen.region,
        capacity=capacity,
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Member)


def encode_member(member: Member) -> bytes:
    """Encode a record with msgpack; decoders skip fields they don't know."""
    return _encoder.encode(member_fields(member))


def member_fields(member: Member) -> dict[str, Any]:
    """Return the fields of a record to be stored or sent, without unknown ones."""
    fields = msgspec.to_builtins(member)
    if not member.capacity:
        fields.pop("capacity", None)  # decoded records hold it only if it was sent
    return fields


def decode_member(payload: bytes) -> Member:
    """Decode a record; raises ``msgspec.DecodeError`` if it is malformed."""
    member = _decoder.decode(payload)
    if not 0 <= member.refutations <= MAX_REFUTATIONS:
        raise msgspec.ValidationError("refutations out of range")
    # With 48 bits for the incarnation, the version stays below entries.MAX_VERSION.
    if not 0 <= member.incarnation < 1 << 48:
        raise msgspec.ValidationError("incarnation out of range")
    if member.capacity < 0:
        raise msgspec.ValidationError("capacity out of range")
    if not 0 < member.peer_port < 1 << 16 or not member.vm:
        raise msgspec.ValidationError("member without a VM name or a valid peer port")
    return member
