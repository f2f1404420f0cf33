"""Client of the platform's transactional table service."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import aiohttp
import msgspec

from knapweedhinge.backing.breaker import Breaker
from knapweedhinge.backing.budget import CallBudget
from knapweedhinge.backing.channel import (
    BreakerOpenError,
    Channel,
    ChannelState,
    LostAnswerError,
    expect_status,
)
from knapweedhinge.backing.pending import PendingBatch
from knapweedhinge.backing.types import Row, Write, WriteOutcome
from knapweedhinge.conf.node import PlatformSettings
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import (
    PlatformError,
    PlatformUnavailableError,
    RowConflictError,
    WriteUnsettledError,
)

MAX_SCAN_ROWS = 1_000  # rows that one scan may return
READ_PATH = "/v1/tables/read"


@dataclass(frozen=True)
class _Rows:
    rows: tuple[Row | None, ...]


@dataclass(frozen=True)
class _Outcomes:
    outcomes: tuple[WriteOutcome, ...]


class TableClient:
    """Read and write rows of the table service.

    A write whose response was lost is settled: the client reads the row back to find
    out whether the write took effect. If the row doesn't tell, the write raises
    WriteUnsettledError instead of reporting a guess.
    """

    def __init__(
        self,
        cfg: PlatformSettings,
        session: aiohttp.ClientSession,
        breaker: Breaker,
        clock: Callable[[], float],
        *,
        rng: Random | None = None,
        budget: CallBudget | None = None,
    ):
        self._channel = Channel("tables", cfg, session, breaker, clock, rng or Random())
        self._reads = budget.reads if budget else None
        self._writes = budget.writes if budget else None

    async def get(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it is absent."""
        (row,) = await self.get_many(((table, key),))
        return row

    async def get_many(
        self, keys: tuple[tuple[str, str], ...]
    ) -> tuple[Row | None, ...]:
        """Return the row of each (table, key) pair, all read at one point in time."""
        answer = await self._channel.read(
            READ_PATH, bucket=self._reads, data=_encode_keys(keys)
        )
        return _check_length(expect_status(answer, 200).decode(_Rows).rows, keys)

    async def scan(
        self, table: str, prefix: str, after: str = "", limit: int = MAX_SCAN_ROWS
    ) -> tuple[Row, ...]:
        """Return rows whose key starts with ``prefix`` and sorts after ``after``.

        Rows are ordered by the bytes of their keys; at most ``limit`` are returned.
        """
        params = {"table": table, "prefix": prefix, "after": after, "limit": str(limit)}
        answer = await self._channel.read(
            "/v1/tables/scan", bucket=self._reads, params=params
        )
        rows = expect_status(answer, 200).decode(_Rows).rows
        return tuple(row for row in rows if row is not None)

    async def insert(self, table: str, key: str, value: dict, write_id: str) -> Row:
        """Insert a row and return it.

        Raises RowConflictError if the key exists; its ``row`` is the existing row.
        """
        return await self._write_one(Write(table, key, value, 0, write_id))

    async def update(
        self, table: str, key: str, value: dict, expected_version: int, write_id: str
    ) -> Row:
        """Replace the row and return the new one.

        Raises RowConflictError if the row is absent or has another version than
        ``expected_version``; the error's ``row`` is the current row or None.
        """
        return await self._write_one(
            Write(table, key, value, expected_version, write_id)
        )

    async def delete(
        self, table: str, key: str, expected_version: int | None, write_id: str
    ) -> None:
        """Delete the row; a row that is already absent counts as deleted.

        Raises RowConflictError if ``expected_version`` is not None and the row has
        another version; the error's ``row`` is the current row.
        """
        (outcome,) = await self.batch(
            (Write(table, key, None, expected_version, write_id),)
        )
        if not outcome.applied and outcome.row is not None:
            raise row_conflict_error(outcome.row)

    async def batch(
        self, writes: tuple[Write, ...], atomic: bool = False
    ) -> tuple[WriteOutcome, ...]:
        """Send writes in one call and return the outcome of each, in order.

        With ``atomic`` either all writes take effect or none. Makes at most
        2 * ``attempts`` calls, since each attempt may have to read the rows back after
        the write. Each call waits for the rate limit and then for the response, each
        time up to the timeout. After a cancellation the outcome is unknown.

        Raises WriteUnsettledError if the outcome can't be determined, and
        PlatformUnavailableError or PlatformError PLATFORM_RATE_LIMITED or
        PLATFORM_PROTOCOL if no write took effect.
        """
        if not writes:
            return ()
        batch = PendingBatch(writes, atomic)
        for attempt in range(1, self._channel.cfg.attempts + 1):
            await self._attempt(batch, last=attempt == self._channel.cfg.attempts)
            if batch.done:
                return batch.outcomes
            await self._channel.pause(attempt)
        raise self._unsettled_error(writes)

    def state(self, now: float) -> ChannelState:
        """Return the counters and the breaker state, for the state dump."""
        return self._channel.state(now)

    async def _attempt(self, batch: PendingBatch, last: bool) -> None:
        try:
            batch.record_outcomes(await self._send(batch.writes, batch.atomic))
        except LostAnswerError:
            batch.maybe_applied = True
            await self._read_back(batch)
        except PlatformError as exc:
            if batch.maybe_applied:
                return
            retry = isinstance(exc, PlatformUnavailableError) and not last
            if not retry or isinstance(exc, BreakerOpenError):
                raise

    async def _send(self, writes: tuple[Write, ...], atomic: bool):
        data = msgspec.json.encode({"writes": writes, "atomic": atomic})
        answer = await self._channel.call(
            "POST", "/v1/tables/write", bucket=self._writes, data=data
        )
        expect_status(answer, 200)
        try:
            return _check_length(answer.decode(_Outcomes).outcomes, writes)
        except PlatformError as exc:
            raise LostAnswerError(exc.message) from exc

    async def _read_back(self, batch: PendingBatch) -> None:
        keys = tuple((write.table, write.key) for write in batch.writes)
        try:
            batch.record_rows(await self._get_once(keys))
        except WriteUnsettledError:
            self._channel.unsettled += 1
            raise
        except PlatformError:
            return
        if batch.done:
            self._channel.settled += 1

    async def _get_once(self, keys: tuple[tuple[str, str], ...]):
        answer = await self._channel.call(
            "POST", READ_PATH, bucket=self._reads, data=_encode_keys(keys)
        )
        return _check_length(expect_status(answer, 200).decode(_Rows).rows, keys)

    async def _write_one(self, write: Write) -> Row:
        (outcome,) = await self.batch((write,))
        if not outcome.applied:
            raise row_conflict_error(outcome.row)
        if outcome.row is None:
            raise self._unsettled_error((write,))
        return outcome.row

    def _unsettled_error(self, writes: tuple[Write, ...]) -> WriteUnsettledError:
        self._channel.unsettled += 1
        write = writes[0]
        return WriteUnsettledError(
            f"{write.table}/{write.key}: cannot tell whether write {write.write_id}"
            " was applied"
        )


def row_conflict_error(row: Row | None) -> RowConflictError:
    """Return the error for a failed write condition; ``row`` is the current row."""
    found = "absent" if row is None else f"version {row.version} by {row.write_id}"
    exc = RowConflictError(f"write condition failed: the row is {found}")
    exc.row = row
    return exc


def _encode_keys(keys: tuple[tuple[str, str], ...]) -> bytes:
    pairs = [{"table": table, "key": key} for table, key in keys]
    return msgspec.json.encode({"keys": pairs})


def _check_length(found: tuple, asked: tuple) -> tuple:
    if len(found) == len(asked):
        return found
    raise PlatformError(
        f"response has {len(found)} entries for {len(asked)} requested",
        code=ResultCode.PLATFORM_PROTOCOL,
    )
