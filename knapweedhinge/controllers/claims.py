"""Claims, by which a request that may not be repeated runs at most once.

A claim is a row under the organisation and its idempotency key, inserted before
the first byte goes out.  Only the claimant dispatches, once; a claim given up before
that is marked released, and only then may another take it.
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
    judge,
    keyed_request_id,
    new_write_id,
)
from knapweedhinge.controllers.endings import PendingOutcomes
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.detached import Detached
from knapweedhinge.core.exceptions import (
    OutcomeUnknownError,
    PlatformError,
    RefusedError,
    RowConflictError,
)

CLAIMS_TABLE = "claims"
MAX_LIFETIME_S = 3_600.0
CLOCK_MARGIN_S = 5.0


class Tables(Protocol):
    """The part of the table service that claims use."""

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row."""

    async def insert(self, table: str, key: str, value: dict, write_id: str) -> Row:
        """Insert a row that must be absent."""

    async def update(
        self, table: str, key: str, value: dict, expected_version: int, write_id: str
    ) -> Row:
        """Replace a row of the expected version."""


class ClaimBook:
    """Take claims and record their outcomes in the table service.

    Outcomes that can't be written at once are kept and written by ``settle``.
    ``wall`` gives seconds of the wall clock. ``detached`` runs claimed requests, so
    that one goes on to its end when its caller leaves.
    """

    def __init__(
        self, incarnation: str, tables: Tables, wall: Callable[[], float] = time.time
    ):
        self._incarnation = incarnation
        self._tables = tables
        self._wall = wall
        self._pending = PendingOutcomes()
        self._known: dict[str, ClaimRecord] = {}
        self.detached = Detached()

    @property
    def pending(self) -> int:
        """Return the number of outcomes not yet written."""
        return len(self._pending)

    @property
    def dropped(self) -> int:
        """Return how many outcomes were lost for want of room."""
        return self._pending.dropped

    @property
    def bodies_dropped(self) -> int:
        """Return how many answers were left out of outcomes for want of room."""
        return self._pending.bodies_dropped

    async def find(self, organisation_id: str, request_id: str) -> ClaimRecord | None:
        """Return the record of a request of the organisation, if there is one.

        A claim whose time is over without an outcome comes back as unknown.
        """
        return await self.find_key(claim_key(organisation_id, request_id))

    async def find_key(self, key: str) -> ClaimRecord | None:
        """Return the record under the key of a row, as ``find`` does."""
        record = self._known.get(key) or await self._read(key)
        if record is None or record.state is not ClaimState.CLAIMED:
            return record
        expired = self._wall() >= record.expires_at
        return record.ended(ClaimState.UNKNOWN) if expired else record

    async def take(
        self,
        key: str,
        wanted: str,
        request_id: str,
        lifetime_s: float = MAX_LIFETIME_S,
    ) -> Claim | Recorded:
        """Return a new claim, or the recorded outcome of an earlier one.

        The request won't run longer than ``lifetime_s``. Raise RefusedError when the
        claim can't be written for certain; this call has then not run.
        """
        known = self._known.get(key)
        if known is not None:
            return judge(known, wanted, self._wall())
        record = self._new_record(wanted, request_id, lifetime_s)
        return await self._write_claim(Claim(key, record, 0))

    def take_local(
        self, key: str, wanted: str, request_id: str, lifetime_s: float
    ) -> Claim:
        """Return a claim that only this process can take, without a row.

        Its outcome is recorded like that of any claim.
        """
        record = self._new_record(wanted, request_id, lifetime_s)
        self._known[key] = record
        return Claim(key, record, 0)

    def knows(self, key: str) -> bool:
        """Return whether a claim is open, or its outcome not yet written."""
        return key in self._known

    async def complete(
        self, claim: Claim, status: int, content_type: str, body: bytes
    ) -> None:
        """Record the outcome of a claimed request."""
        await self._end(claim, claim.record.completed(status, content_type, body))

    async def release(self, claim: Claim) -> None:
        """Give up a claim whose request certainly did not run."""
        if claim.version:
            await self._end(claim, claim.record.ended(ClaimState.RELEASED))
        else:
            self._known.pop(claim.key, None)

    async def lose(self, claim: Claim) -> None:
        """Record that nobody knows whether the claimed request ran."""
        await self._end(claim, claim.record.ended(ClaimState.UNKNOWN))

    async def settle(self) -> int:
        """Write kept outcomes; return how many are left."""
        for claim in self._pending.snapshot():
            if not await self._write_end(claim):
                break
        return len(self._pending)

    def _new_record(
        self, wanted: str, request_id: str, lifetime_s: float
    ) -> ClaimRecord:
        lifetime_s = min(lifetime_s, MAX_LIFETIME_S) + CLOCK_MARGIN_S
        return ClaimRecord(
            wanted,
            self._incarnation,
            request_id,
            attempt=new_write_id(),
            expires_at=self._wall() + lifetime_s,
        )

    async def _write_claim(self, claim: Claim) -> Claim | Recorded:
        """Insert the claim, or take over the row of a released one."""
        try:
            row = await self._put(claim)
        except RowConflictError as exc:
            return await self._meet(claim, exc.row)
        except PlatformError as exc:
            if exc.run_state is not RunState.NOT_RUN:
                self._give_up(claim)
            raise RefusedError(code=ResultCode.CLAIM_UNAVAILABLE) from exc
        except BaseException:
            self._give_up(claim)
            raise
        return self._taken(claim, row)

    async def _meet(self, claim: Claim, row: Row | None) -> Claim | Recorded:
        """Go by the row that stands in the way of a claim."""
        if row is None or claim.version:
            raise OutcomeUnknownError(code=ResultCode.IN_PROGRESS)
        recorded = judge(_record(row), claim.record.fingerprint, self._wall())
        if recorded is not None:
            return recorded
        return await self._write_claim(Claim(claim.key, claim.record, row.version))

    def _taken(self, claim: Claim, row: Row) -> Claim:
        if _record(row).attempt != claim.record.attempt:
            raise OutcomeUnknownError(code=ResultCode.IN_PROGRESS)
        self._known[claim.key] = claim.record
        return Claim(claim.key, claim.record, row.version)

    def _give_up(self, claim: Claim) -> None:
        """Give up a claim that may stand; it is released once the store answers."""
        released = claim.record.ended(ClaimState.RELEASED)
        self._pending.add(Claim(claim.key, released, claim.version, certain=False))

    async def _end(self, claim: Claim, record: ClaimRecord) -> None:
        self._known.pop(claim.key, None)
        kept = self._pending.add(Claim(claim.key, record, claim.version))
        if kept is None:
            return
        if record.state is not ClaimState.RELEASED:
            self._known[claim.key] = kept.record
        await self._write_end(kept)

    async def _write_end(self, claim: Claim) -> bool:
        """Write a kept end; return False while the store doesn't answer."""
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
        """Release a claim that may stand, and keep its late write out.

        The write may still arrive: a released row in its place makes it fail. A row
        that another wrote is left alone, since it keeps the late write out by itself.
        """
        row = await self._tables.get(CLAIMS_TABLE, claim.key)
        version = row.version if row else 0
        own = row is not None and _record(row).attempt == claim.record.attempt
        if own and _record(row).state is not ClaimState.CLAIMED:
            return
        if own or version == claim.version:
            await self._put(Claim(claim.key, claim.record, version))

    async def _put(self, claim: Claim) -> Row:
        """Write a claim's record over the row of its version, 0 for none."""
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
    "ClaimBook",
    "ClaimRecord",
    "ClaimState",
    "Recorded",
    "Tables",
    "claim_key",
    "fingerprint",
    "judge",
    "keyed_request_id",
]
