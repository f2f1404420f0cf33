"""Claims make requests with an idempotency key run at most once.

A claim is a table row under the organisation and the request id, which is derived from
the idempotency key. It is written before the first byte of the request is sent. Only
the node that wrote it sends the request, and not again once the request may have run.
The claim of a request that certainly did not run is marked as released; only then may
another node claim the key.
"""

import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from knapweedhinge.backing.types import Row
from knapweedhinge.controllers.claimrecords import (
    MAX_RECORDED_BYTES,
    Claim,
    ClaimRecord,
    ClaimState,
    Recorded,
    claim_key,
    fingerprint,
    keyed_request_id,
    new_write_id,
    resolve_claim,
)
from knapweedhinge.controllers.pendingoutcomes import PendingOutcomes
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.detached import DetachedTasks
from knapweedhinge.core.exceptions import (
    OutcomeUnknownError,
    PlatformError,
    RefusedError,
    RowConflictError,
)

CLAIMS_TABLE = "claims"
MAX_LIFETIME_S = 3_600.0  # longest time a claimed request may run
CLOCK_MARGIN_S = 5.0  # allowed difference between the wall clocks of nodes


class Tables(Protocol):
    """Methods of the table service that claims use.

    They raise PlatformError when the service fails.
    """

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it doesn't exist."""

    async def insert(self, table: str, key: str, value: dict, write_id: str) -> Row:
        """Insert a row; raise RowConflictError if it exists."""

    async def update(
        self, table: str, key: str, value: dict, expected_version: int, write_id: str
    ) -> Row:
        """Replace a row; raise RowConflictError if its version isn't the expected."""


class ClaimStore:
    """Claim requests and record their outcomes in the table service.

    Outcomes that can't be written at once are kept and written by ``settle``.
    ``wall`` returns wall-clock time in seconds. ``detached`` runs claimed requests as
    tasks of their own, so that they complete even when the client disconnects.
    """

    def __init__(
        self, incarnation: str, tables: Tables, wall: Callable[[], float] = time.time
    ):
        self._incarnation = incarnation
        self._tables = tables
        self._wall = wall
        self._pending = PendingOutcomes()
        # Open claims of this process and outcomes not yet written, by row key.
        self._known: dict[str, ClaimRecord] = {}
        self.detached = DetachedTasks()

    @property
    def pending(self) -> int:
        """The number of outcomes not yet written."""
        return len(self._pending)

    @property
    def dropped(self) -> int:
        """The number of outcomes dropped because too many were pending."""
        return self._pending.dropped

    @property
    def bodies_dropped(self) -> int:
        """The number of outcomes kept without their answer, to bound memory."""
        return self._pending.bodies_dropped

    async def find(self, organisation_id: str, request_id: str) -> ClaimRecord | None:
        """Return the claim record of an organisation's request, or None.

        An expired claim without an outcome is returned with an unknown outcome. Raise
        PlatformError when the table service doesn't answer.
        """
        return await self.find_key(claim_key(organisation_id, request_id))

    async def find_key(self, key: str) -> ClaimRecord | None:
        """Return the claim record with a row key, like ``find``."""
        record = self._known.get(key) or await self._read(key)
        if record is None or record.state is not ClaimState.CLAIMED:
            return record
        expired = self._wall() >= record.expires_at
        return record.ended(ClaimState.UNKNOWN) if expired else record

    async def take(
        self,
        key: str,
        request_fingerprint: str,
        request_id: str,
        lifetime_s: float = MAX_LIFETIME_S,
    ) -> Claim | Recorded:
        """Claim a request, or return the recorded outcome of an earlier call.

        The request won't run longer than ``lifetime_s`` seconds. Raise RefusedError
        when it isn't certain that the claim was written; this call has then not run.
        Raise CallerError when the key was used for a different request, and
        OutcomeUnknownError when an earlier call still runs, ended with an unknown
        outcome or its answer wasn't kept.
        """
        known = self._known.get(key)
        if known is not None:
            return resolve_claim(known, request_fingerprint, self._wall())
        record = self._new_record(request_fingerprint, request_id, lifetime_s)
        return await self._write_claim(Claim(key, record, 0))

    def take_local(
        self, key: str, request_fingerprint: str, request_id: str, lifetime_s: float
    ) -> Claim:
        """Claim a key whose request only this process may run, without writing a row.

        Its outcome is recorded like that of any claim.
        """
        record = self._new_record(request_fingerprint, request_id, lifetime_s)
        self._known[key] = record
        return Claim(key, record, 0)

    def knows(self, key: str) -> bool:
        """Return whether a key's claim is open or its outcome not yet written."""
        return key in self._known

    async def complete(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the outcome of a claimed request."""
        await self._finish(claim, claim.record.completed(status, content_type, body))

    async def release(self, claim: Claim) -> None:
        """Release a claim whose request certainly did not run."""
        if claim.version:
            await self._finish(claim, claim.record.ended(ClaimState.RELEASED))
        else:
            self._known.pop(claim.key, None)

    async def mark_unknown(self, claim: Claim) -> None:
        """Record that it is unknown whether the claimed request ran."""
        await self._finish(claim, claim.record.ended(ClaimState.UNKNOWN))

    async def settle(self) -> int:
        """Write pending outcomes and return how many are left.

        Stop at the first one that the table service doesn't accept.
        """
        for claim in self._pending.snapshot():
            if not await self._write_outcome(claim):
                break
        return len(self._pending)

    def _new_record(
        self, request_fingerprint: str, request_id: str, lifetime_s: float
    ) -> ClaimRecord:
        lifetime_s = min(lifetime_s, MAX_LIFETIME_S) + CLOCK_MARGIN_S
        return ClaimRecord(
            request_fingerprint,
            self._incarnation,
            request_id,
            attempt=new_write_id(),
            expires_at=self._wall() + lifetime_s,
        )

    async def _write_claim(self, claim: Claim) -> Claim | Recorded:
        """Insert the claim's row, or replace the row of a released claim."""
        try:
            row = await self._put(claim)
        except RowConflictError as exc:
            return await self._resolve_conflict(claim, exc.row)
        except PlatformError as exc:
            if exc.run_state is not RunState.NOT_RUN:
                self._release_uncertain(claim)
            raise RefusedError(code=ResultCode.CLAIM_UNAVAILABLE) from exc
        except BaseException:
            self._release_uncertain(claim)
            raise
        return self._taken(claim, row)

    async def _resolve_conflict(
        self, claim: Claim, row: Row | None
    ) -> Claim | Recorded:
        """Return the outcome in a conflicting row, or replace the row if released."""
        if row is None or claim.version:
            raise OutcomeUnknownError(code=ResultCode.IN_PROGRESS)
        recorded = resolve_claim(_record(row), claim.record.fingerprint, self._wall())
        if recorded is not None:
            return recorded
        return await self._write_claim(Claim(claim.key, claim.record, row.version))

    def _taken(self, claim: Claim, row: Row) -> Claim:
        """Return the claim with the version of its row.

        Raise OutcomeUnknownError when the row holds the claim of another attempt.
        """
        if _record(row).attempt != claim.record.attempt:
            raise OutcomeUnknownError(code=ResultCode.IN_PROGRESS)
        self._known[claim.key] = claim.record
        return Claim(claim.key, claim.record, row.version)

    def _release_uncertain(self, claim: Claim) -> None:
        """Queue the release of a claim that may or may not have been written."""
        released = claim.record.ended(ClaimState.RELEASED)
        self._pending.add(Claim(claim.key, released, claim.version, certain=False))

    async def _finish(self, claim: Claim, record: ClaimRecord) -> None:
        self._known.pop(claim.key, None)
        kept = self._pending.add(Claim(claim.key, record, claim.version))
        if kept is None:
            return
        if record.state is not ClaimState.RELEASED:
            self._known[claim.key] = kept.record
        await self._write_outcome(kept)

    async def _write_outcome(self, claim: Claim) -> bool:
        """Write a pending outcome; return False if the table service fails."""
        try:
            if claim.certain:
                await self._put(claim)
            else:
                await self._withdraw(claim)
        except RowConflictError:
            pass
        except PlatformError:
            return False
        self._pending.discard(claim)
        known = self._known.get(claim.key)
        if known is not None and known.attempt == claim.record.attempt:
            del self._known[claim.key]
        return True

    async def _withdraw(self, claim: Claim) -> None:
        """Release a claim whose write had an unknown outcome, and block that write.

        The write may still take effect later; a released row in its place makes it
        fail. A row written by another node is left alone, since it blocks the late
        write too.
        """
        row = await self._tables.get(CLAIMS_TABLE, claim.key)
        version = row.version if row else 0
        own = row is not None and _record(row).attempt == claim.record.attempt
        if own and _record(row).state is not ClaimState.CLAIMED:
            return
        if own or version == claim.version:
            await self._put(Claim(claim.key, claim.record, version))

    async def _put(self, claim: Claim) -> Row:
        """Replace the claim's row, or insert it if the claim's version is 0."""
        value, write_id = msgspec.to_builtins(claim.record), new_write_id()
        if not claim.version:
            return await self._tables.insert(CLAIMS_TABLE, claim.key, value, write_id)
        return await self._tables.update(
            CLAIMS_TABLE, claim.key, value, claim.version, write_id
        )

    async def _read(self, key: str) -> ClaimRecord | None:
        row = await self._tables.get(CLAIMS_TABLE, key)
        return _record(row) if row else None


def _record(row: Row) -> ClaimRecord:
    return msgspec.convert(row.value, ClaimRecord)


__all__ = [
    "CLAIMS_TABLE",
    "MAX_RECORDED_BYTES",
    "Claim",
    "ClaimStore",
    "ClaimRecord",
    "ClaimState",
    "Recorded",
    "Tables",
    "claim_key",
    "fingerprint",
    "resolve_claim",
    "keyed_request_id",
]
