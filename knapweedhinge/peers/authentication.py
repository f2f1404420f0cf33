"""Mutual proof of two nodes that they hold a key of the fleet.

Each side proves a key over both nonces, both identities and its own role, so that no
proof can be replayed to another connection or reflected. The first key proves, any
key verifies: to rotate, add the new key last on all nodes, then put it first on all,
then drop the old one.
"""

import hmac
import secrets
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256

NONCE_BYTES = 32


class Role(StrEnum):
    """The side of a connection that makes a proof."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"


@dataclass(frozen=True)
class Greeting:
    """What one side said of itself before any proof."""

    version: int
    min_version: int
    nonce: bytes
    member: bytes


def new_nonce() -> bytes:
    """Return fresh random bytes for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


def prove(
    keys: tuple[str, ...], role: Role, dialer: Greeting, acceptor: Greeting
) -> bytes:
    """Return the proof of a side with its first key."""
    return _mac(keys[0], role, dialer, acceptor)


def verify(
    keys: tuple[str, ...],
    role: Role,
    dialer: Greeting,
    acceptor: Greeting,
    proof: bytes,
) -> bool:
    """Return whether the proof was made with any of the keys."""
    if len(dialer.nonce) != NONCE_BYTES or len(acceptor.nonce) != NONCE_BYTES:
        return False
    if dialer.nonce == acceptor.nonce:
        return False
    good = [
        hmac.compare_digest(_mac(key, role, dialer, acceptor), proof) for key in keys
    ]
    return any(good)


def shares_protocol_version(first: Greeting, second: Greeting) -> bool:
    """Return whether two nodes share a protocol version."""
    return first.min_version <= second.version and second.min_version <= first.version


def _mac(key: str, role: Role, dialer: Greeting, acceptor: Greeting) -> bytes:
    mac = hmac.new(key.encode(), b"knapweedhinge peer", sha256)
    for part in (role.value.encode(), _bytes(dialer), _bytes(acceptor)):
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()


def _bytes(greeting: Greeting) -> bytes:
    versions = f"{greeting.version}/{greeting.min_version}/".encode()
    return versions + greeting.nonce + greeting.member
