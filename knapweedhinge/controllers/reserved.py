"""Idempotency keys reserved in advance, whose requests need no claim row beforehand.

A node reserves a range of keys with one row and hands them out to clients. While the
range is open, only that process runs requests with its keys. It remembers the used keys
in memory, so that nothing has to be written before a request is sent. A range is closed
when its owner runs no more requests with its keys and has recorded the outcome of each
that ran. If a key has no record then, no request with it ran, and any node may claim it
like a key that the client made.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from knapweedhinge.backing.types import Row
from knapweedhinge.controllers.claims import (
    Claim,
    ClaimStore,
    Recorded,
    Tables,
    resolve_claim,
)
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    OutcomeUnknownError,
    PeerError,
    PlatformError,
    RefusedError,
    RowConflictError,
)
from knapweedhinge.core.tokens import TokenSigner

RANGES_TABLE = "reserved_ranges"
PREFIX = "reserved-"  # start of each reserved key
RANGE_KEYS = 10_000  # keys in one range
MIN_KEYS_LEFT = 5_000  # below this many keys another range is reserved
RANGE_LIFETIME_S = 3_600.0  # after this a range is closed, used up or not
NONCE_CHARS = 8  # hexadecimal characters of the nonce that identifies a range


class ReservedKey(msgspec.Struct, frozen=True, array_like=True):
    """Signed content of a reserved key.

    ``vm`` and ``incarnation`` identify the process that reserved it, ``nonce`` its
    range and ``index`` its place in the range.
    """

    vm: str
    incarnation: str
    nonce: str
    index: int

    @property
    def row_key(self) -> str:
        """The key of the table row of its range."""
        return range_key(self.incarnation, self.nonce)


class RangeRecord(msgspec.Struct, frozen=True):
    """Value of the table row of a range: its owner's VM and its number of keys."""

    vm: str
    count: int
    closed: bool = False


@dataclass(eq=False)
class _Range:
    """A range of this process.

    ``reserved_at`` is in wall-clock seconds. ``used`` holds the row keys of the claims
    made with its keys. ``dropped_before`` counts the outcomes that were dropped before
    the range was reserved.
    """

    nonce: str
    row: Row
    reserved_at: float
    dropped_before: int
    next_index: int = 0
    closing: bool = False
    used: set[str] = field(default_factory=set)

    @property
    def left(self) -> int:
        return 0 if self.closing else RANGE_KEYS - self.next_index


class ReservedKeys:
    """Reserve keys, hand them out to clients and claim them for requests.

    ``forward`` forwards a request to the VM that owns its key; it raises PeerError
    when the request certainly did not arrive there.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        tokens: TokenSigner,
        tables: Tables,
        claims: ClaimStore,
        wall: Callable[[], float] = time.time,
    ):
        self._vm = vm
        self._incarnation = incarnation
        self._tokens = tokens
        self._tables = tables
        self._claims = claims
        self._wall = wall
        self._ranges: dict[str, _Range] = {}
        self.forward = _without_peers

    @property
    def left(self) -> int:
        """The number of keys that can still be handed out."""
        return sum(key_range.left for key_range in self._ranges.values())

    def hand_out(self, count: int) -> tuple[str, ...]:
        """Return up to ``count`` keys, each of which is handed out only once."""
        keys = []
        for key_range in self._ranges.values():
            while key_range.left and len(keys) < count:
                keys.append(self._sign(key_range))
        return tuple(keys)

    def parse(self, text: str) -> ReservedKey | None:
        """Return the content of a reserved key, or None for a key the client made.

        Raise CallerError for a key with the reserved prefix and an invalid signature.
        """
        if not text.startswith(PREFIX):
            return None
        token = text.removeprefix(PREFIX)
        return self._tokens.verify(token, ReservedKey, ResultCode.INVALID_HEADER)

    def owns(self, key: ReservedKey) -> bool:
        """Return whether this process reserved the key."""
        return key.incarnation == self._incarnation

    async def take(
        self,
        key: ReservedKey,
        row_key: str,
        request_fingerprint: str,
        request_id: str,
        lifetime_s: float,
    ) -> Claim | Recorded:
        """Claim a key of this process, or return the outcome it had.

        As for ``ClaimStore.take``, the request won't run longer than ``lifetime_s``
        seconds. Raise RefusedError when the key's range is being closed, CallerError
        when the key was used for a different request, and OutcomeUnknownError when its
        request still runs, may have run with an unknown outcome or its answer wasn't
        kept.
        """
        found = self._ranges.get(key.nonce)
        if found is None:
            return await self._claims.take(
                row_key, request_fingerprint, request_id, lifetime_s
            )
        if row_key in found.used:
            return await self.replay(row_key, request_fingerprint)
        if found.closing:
            raise RefusedError(code=ResultCode.CLAIM_UNAVAILABLE)
        found.used.add(row_key)
        return self._claims.take_local(
            row_key, request_fingerprint, request_id, lifetime_s
        )

    def release(self, key: ReservedKey, row_key: str) -> None:
        """Make a key of this process usable again.

        Only for a key whose request certainly did not run.
        """
        found = self._ranges.get(key.nonce)
        if found is not None:
            found.used.discard(row_key)

    async def replay(self, row_key: str, request_fingerprint: str) -> Recorded:
        """Return the recorded outcome of a key whose request may have run.

        Raise OutcomeUnknownError when there is none, the request still runs, its answer
        wasn't kept or the table service doesn't answer. Raise CallerError when the key
        was used for a different request.
        """
        try:
            record = await self._claims.find_key(row_key)
        except PlatformError as exc:
            raise OutcomeUnknownError() from exc
        recorded = (
            resolve_claim(record, request_fingerprint, self._wall()) if record else None
        )
        if recorded is None:
            raise OutcomeUnknownError()
        return recorded

    async def is_closed(self, key: ReservedKey) -> bool:
        """Return whether the key's range is closed; a closed range never reopens.

        False also when the table service doesn't answer.
        """
        try:
            row = await self._tables.get(RANGES_TABLE, key.row_key)
        except PlatformError:
            return False
        return row is not None and msgspec.convert(row.value, RangeRecord).closed

    async def reserve(self) -> None:
        """Reserve another range when fewer than ``MIN_KEYS_LEFT`` keys are left.

        Raise PlatformError when the table service fails.
        """
        if self.left >= MIN_KEYS_LEFT:
            return
        nonce = uuid.uuid4().hex[:NONCE_CHARS]
        value = msgspec.to_builtins(RangeRecord(self._vm, RANGE_KEYS))
        key = range_key(self._incarnation, nonce)
        row = await self._tables.insert(RANGES_TABLE, key, value, uuid.uuid4().hex)
        dropped = self._claims.dropped
        self._ranges[nonce] = _Range(nonce, row, self._wall(), dropped)

    async def close_old(self) -> None:
        """Close the ranges whose lifetime is over."""
        for key_range in tuple(self._ranges.values()):
            if self._wall() - key_range.reserved_at >= RANGE_LIFETIME_S:
                await self._close(key_range)

    async def close_all(self) -> None:
        """Close all ranges when the process shuts down."""
        for key_range in tuple(self._ranges.values()):
            await self._close(key_range)

    async def _close(self, key_range: _Range) -> None:
        """Close a range if the outcome of each used key is recorded.

        Otherwise it stays open. It is never closed when outcomes were dropped since it
        was reserved, because the request of a key without a record may then have run.
        """
        key_range.closing = True
        unrecorded = any(self._claims.knows(key) for key in key_range.used)
        if unrecorded or self._claims.dropped != key_range.dropped_before:
            return
        value = msgspec.to_builtins(RangeRecord(self._vm, RANGE_KEYS, closed=True))
        row = key_range.row
        try:
            await self._tables.update(
                RANGES_TABLE, row.key, value, row.version, uuid.uuid4().hex
            )
        except RowConflictError:
            pass
        except PlatformError:
            return
        self._ranges.pop(key_range.nonce, None)

    def _sign(self, key_range: _Range) -> str:
        key = ReservedKey(
            self._vm, self._incarnation, key_range.nonce, key_range.next_index
        )
        key_range.next_index += 1
        return PREFIX + self._tokens.sign(key)


def range_key(incarnation: str, nonce: str) -> str:
    """Return the key of the table row of a range."""
    return f"{incarnation}/{nonce}"


async def _without_peers(req, vm: str):
    raise PeerError(f"no peer {vm} is known yet", run_state=RunState.NOT_RUN)
