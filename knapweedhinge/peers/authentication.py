"""Mutual authentication of two nodes with a shared key of the fleet.

A proof is an HMAC over the role of its sender and the greetings of both sides, each
with a nonce, so it can neither be replayed on another connection nor reflected to its
sender. Proofs are made with the first key and verified with any. To rotate keys, append
the new key on all nodes, then move it to the front on all nodes, then remove the old
key.
"""

import hmac
import secrets
from dataclasses import dataclass
from enum import StrEnum
from hashlib import sha256

NONCE_BYTES = 32


class Role(StrEnum):
    """The side of a connection that sends a proof."""

    DIALER = "dialer"
    ACCEPTOR = "acceptor"


@dataclass(frozen=True)
class Greeting:
    """What one side states about itself before any proof.

    ``version`` and ``min_version`` are the newest and oldest protocol versions that it
    supports, ``member`` is its encoded membership record.
    """

    version: int
    min_version: int
    nonce: bytes
    member: bytes


def new_nonce() -> bytes:
    """Return a random nonce for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


def prove(
    keys: tuple[str, ...], role: Role, dialer: Greeting, acceptor: Greeting
) -> bytes:
    """Return the proof of one side, made with its first key."""
    return _mac(keys[0], role, dialer, acceptor)


def verify(
    keys: tuple[str, ...],
    role: Role,
    dialer: Greeting,
    acceptor: Greeting,
    proof: bytes,
) -> bool:
    """Return whether a proof was made with any of the keys.

    Nonces that are equal or of the wrong length are refused.
    """
    if len(dialer.nonce) != NONCE_BYTES or len(acceptor.nonce) != NONCE_BYTES:
        return False
    if dialer.nonce == acceptor.nonce:
        return False
    good = [
        hmac.compare_digest(_mac(key, role, dialer, acceptor), proof) for key in keys
    ]
    return any(good)


def shares_protocol_version(first: Greeting, second: Greeting) -> bool:
    """Return whether the protocol version ranges of two nodes overlap."""
    return first.min_version <= second.version and second.min_version <= first.version


def _mac(key: str, role: Role, dialer: Greeting, acceptor: Greeting) -> bytes:
    mac = hmac.new(key.encode(), b"knapweedhinge peer", sha256)
    for part in (
        role.value.encode(),
        _greeting_bytes(dialer),
        _greeting_bytes(acceptor),
    ):
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()


def _greeting_bytes(greeting: Greeting) -> bytes:
    versions = f"{greeting.version}/{greeting.min_version}/".encode()
    return versions + greeting.nonce + greeting.member
