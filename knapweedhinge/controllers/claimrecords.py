"""Table rows of claims, and how an existing claim affects another call."""

import base64
import hashlib
import uuid
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError, OutcomeUnknownError

MAX_RECORDED_BYTES = 64 * 1024  # a longer answer body is left out of the record


class ClaimState(StrEnum):
    """State of a claimed request.

    ``CLAIMED`` means that it may run now, until the claim expires. A ``RELEASED``
    request certainly did not run and may be claimed again, a ``COMPLETED`` one was
    answered, and one in state ``UNKNOWN`` may have run.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True):
    """Value of a claim's row.

    ``fingerprint`` is the digest of the request. ``holder`` is the incarnation of the
    claiming node. ``attempt`` identifies the call that claimed, since a node may claim
    a key again after releasing it. ``expires_at`` is in wall-clock seconds; after it
    the request no longer runs. ``status``, ``content_type`` and ``body``, in Base64,
    are those of the answer; ``body_kept`` is False when it was left out for its size.
    """

    fingerprint: str
    holder: str
    request_id: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    body: str = ""
    attempt: str = ""
    expires_at: float = float("inf")
    body_kept: bool = True

    def ended(self, state: ClaimState) -> "ClaimRecord":
        """Return a copy of the record in a final state."""
        return msgspec.structs.replace(self, state=state)

    def completed(self, status: int, content_type: str, body: bytes) -> "ClaimRecord":
        """Return a copy of the record with an answer.

        A body longer than ``MAX_RECORDED_BYTES`` is left out.
        """
        kept = len(body) <= MAX_RECORDED_BYTES
        return msgspec.structs.replace(
            self,
            state=ClaimState.COMPLETED,
            status=status,
            content_type=content_type,
            body=base64.b64encode(body).decode() if kept else "",
            body_kept=kept,
        )

    def without_body(self) -> "ClaimRecord":
        """Return a copy of the record without the answer's body."""
        if not self.body:
            return self
        return msgspec.structs.replace(self, body="", body_kept=False)


@dataclass(frozen=True)
class Claim:
    """A claim and the version of its row, 0 if there is no row.

    ``certain`` is False when the answer to the write of the claim was lost; ``version``
    is then that of the row it was to replace.
    """

    key: str
    record: ClaimRecord
    version: int
    certain: bool = True


@dataclass(frozen=True)
class Recorded:
    """Recorded answer of an earlier call with the same key."""

    request_id: str
    status: int
    content_type: str
    body: bytes


def keyed_request_id(organisation_id: str, idempotency_key: str, *parts: bytes) -> str:
    """Return the request id that an organisation's calls with the same key share.

    With ``parts``, calls share it only if their parts are equal too.
    """
    return fingerprint(organisation_id.encode(), idempotency_key.encode(), *parts)


def claim_key(organisation_id: str, request_id: str) -> str:
    """Return the key of the table row of a request's claim."""
    return f"{organisation_id}/{request_id}"


def new_write_id() -> str:
    """Return a unique id for one write or attempt.

    The request id doesn't identify a writer, since a client's retries share it.
    """
    return uuid.uuid4().hex


def fingerprint(*parts: bytes) -> str:
    """Return a hexadecimal digest of the parts and their lengths.

    The lengths make the digest change when boundaries between parts are shifted. It
    detects different requests that use the same idempotency key.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def resolve_claim(
    record: ClaimRecord, request_fingerprint: str, now: float
) -> Recorded | None:
    """Return the recorded answer of an existing claim, or None if it was released.

    A released key may be claimed again. ``request_fingerprint`` is that of the new
    request and ``now`` is in wall-clock seconds. Raise CallerError when the key was
    used for a different request, and OutcomeUnknownError when the request still runs,
    ended with an unknown outcome or its answer wasn't kept.
    """
    if record.fingerprint != request_fingerprint:
        raise CallerError(code=ResultCode.IDEMPOTENCY_KEY_REUSED)
    match record.state:
        case ClaimState.RELEASED:
            return None
        case ClaimState.COMPLETED:
            return _recorded(record)
        case ClaimState.CLAIMED if now < record.expires_at:
            raise OutcomeUnknownError(code=ResultCode.IN_PROGRESS)
        case _:
            raise OutcomeUnknownError()


def _recorded(record: ClaimRecord) -> Recorded:
    if not record.body_kept:
        raise OutcomeUnknownError(code=ResultCode.ANSWER_NOT_KEPT)
    body = base64.b64decode(record.body)
    return Recorded(record.request_id, record.status, record.content_type, body)
