"""Signed tokens that callers send back, verified without any stored state."""

import base64
import hashlib
import hmac

import msgspec

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError

SIGNATURE_BYTES = 12  # length of the truncated keyed BLAKE2b digest


class SessionClaims(msgspec.Struct, frozen=True, array_like=True):
    """Pin a session to a version, chosen at a revision of the configuration."""

    organisation: str
    session: str
    version: str
    revision: int


class AttemptClaims(msgspec.Struct, frozen=True, array_like=True):
    """Identify the attempt behind a stream, so that a caller can resume it."""

    request_id: str
    organisation: str
    class_id: str
    endpoint: str
    version: str
    attempt: int


class TokenSigner:
    """Sign claims with the first key and verify tokens with all of them.

    Several keys allow rotation: tokens signed with an older key stay valid.
    """

    def __init__(self, keys: tuple[str, ...]):
        self._keys = tuple(key.encode() for key in keys)

    def sign(self, claims: msgspec.Struct) -> str:
        """Return the token for ``claims``: URL-safe payload, dot, signature."""
        payload = _to_text(msgspec.msgpack.encode(claims))
        return f"{payload}.{_signature(self._keys[0], claims, payload)}"

    def verify(self, token: str, kind: type, code: ResultCode):
        """Return the claims of a token, which must be those of the class ``kind``.

        Raise ``CallerError`` with ``code`` if the token is malformed or its signature
        matches no key.
        """
        payload, _, signature = token.partition(".")
        try:
            claims = msgspec.msgpack.decode(_to_bytes(payload), type=kind)
        except (ValueError, msgspec.MsgspecError) as exc:
            raise CallerError(code=code) from exc
        expected = [_signature(key, claims, payload) for key in self._keys]
        matches = [hmac.compare_digest(candidate, signature) for candidate in expected]
        if not any(matches):
            raise CallerError(code=code)
        return claims


def _signature(key: bytes, claims: msgspec.Struct, payload: str) -> str:
    """Return the signature of a payload, which also depends on the class of the claims.

    A token with claims of one class is thus invalid as a token of another. BLAKE2b
    takes at most 64 bytes of the key and 16 of the class name.
    """
    kind = type(claims).__name__.encode()
    digest = hashlib.blake2b(
        payload.encode(), key=key[:64], digest_size=SIGNATURE_BYTES, person=kind[:16]
    )
    return _to_text(digest.digest())


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _to_bytes(text: str) -> bytes:
    padded = text.encode("ascii") + b"=" * (-len(text) % 4)
    return base64.b64decode(padded, altchars=b"-_", validate=True)
