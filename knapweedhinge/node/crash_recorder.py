"""Keep the evidence of crashes in the platform's store, so that it outlives the nodes.

Two nodes keep a record of each crash; a node whose calls it cut off keeps one too if it
alone might know of them. A node reads all records before it takes calls.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from knapweedhinge.controllers.crashrecords import (
    CrashRecord,
    CrashRecords,
    RecordChange,
    record_key,
    record_of,
)
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError, RowConflictError
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.platform import wire
from knapweedhinge.platform.eras import ABSENT
from knapweedhinge.platform.store import EraChangedError, Put, Row, Store
from knapweedhinge.routing.crashes import Crash

SCAN_INTERVAL_S = 5.0  # between two looks at all records, for those to trim or delete
# Writes a second by all nodes together, should all have noticed a crash. The smallest
# store takes four times that.
MAX_WRITES_PER_S = 100
MAX_ROWS_PER_WRITE = 16  # of at most 64 KiB each; the store takes 1 MB at once
# Seconds after which a node records the crashes of its own calls although others are
# to do so: they may not have heard of them.
OWN_RECORD_DELAY_S = 1.0
MAX_PAUSE_DOUBLINGS = 3  # of the pause after a failed write


class CrashRecorder:
    """Write the records that this node keeps, and read those of all nodes.

    ``keeps`` returns whether this node is one of the two that keep a crash's record.
    """

    def __init__(self, ctx: RelayContext, store: Store, keeps: Callable[[str], bool]):
        self._ctx = ctx
        self._quarantine = ctx.quarantine
        self._clock = ctx.clock
        self._vm = ctx.settings.listen.vm
        self._store = store
        self._keeps = keeps
        self._records = CrashRecords(ABSENT)
        # Crashes with new evidence that is not recorded yet, and since when.
        self._changed: dict[str, float] = {}
        self._rows_of_others: dict[str, CrashRecord] = {}  # as read, by row key
        self._woken = asyncio.Event()
        ctx.quarantine.evidence_added.subscribe(self._note_evidence)
        store.eras.changes.subscribe(self._note_era)

    def load(self, rows: Iterable[Row], now: float) -> None:
        """Take the records of all nodes from their rows of the store."""
        loaded = 0
        for row in rows:
            record = _decoded(row)
            if record is None:
                continue
            loaded += 1
            if record.writer == self._vm:
                self._records.note(record.crash.id, record.crash, row.version, now)
            else:
                self._rows_of_others[row.key] = record
            self._quarantine.restore(
                record.crash, self._ctx.limits, now, record.answers
            )
        self._changed.clear()
        if loaded:
            logger.bind(records=loaded).info("crash records read")

    async def run(self) -> None:
        """Write records when they change, without end."""
        failures, scanned_at = 0, self._clock()
        while True:
            wait_s = OWN_RECORD_DELAY_S if self._changed else SCAN_INTERVAL_S
            try:
                async with asyncio.timeout(wait_s):
                    await self._woken.wait()
            except TimeoutError:
                pass
            self._woken.clear()
            # All nodes may have noticed the same crashes.
            longest_delay_s = self._ctx.fleet.nodes / MAX_WRITES_PER_S
            await asyncio.sleep(self._ctx.rng.uniform(0, longest_delay_s))
            now = self._clock()
            scan = now - scanned_at >= SCAN_INTERVAL_S
            try:
                await self.write_due(now, scan=scan)
                failures = 0
                scanned_at = now if scan else scanned_at
            except PlatformError as exc:
                logger.bind(code=exc.code.number).info(f"crash not recorded: {exc}")
                await self._store.back_off(min(failures, MAX_PAUSE_DOUBLINGS))
                failures += 1
                self._woken.set()

    async def write_due(self, now: float, *, scan: bool) -> None:
        """Write the records that are due; with ``scan`` look at those of all crashes.

        Raise PlatformError if the store fails; what was not written stays due.
        """
        if scan:
            self._quarantine.trim_own_crashes(self._ctx.limits, now)
        open_crashes = self._quarantine.open_crashes(self._ctx.limits, now)
        looked_at = tuple(open_crashes) if scan else tuple(self._changed)
        wanted = [crash_id for crash_id in looked_at if self._is_kept(crash_id, now)]
        wanted += self._records.unknown_ids
        if scan:
            wanted += [i for i in self._records.crash_ids if i not in open_crashes]
        changes = self._records.due(dict.fromkeys(wanted), open_crashes, now)
        for start in range(0, len(changes), MAX_ROWS_PER_WRITE):
            await self._write(changes[start : start + MAX_ROWS_PER_WRITE], now)
        for crash_id in looked_at:
            waits = self._is_own(crash_id) and crash_id in open_crashes
            if crash_id in self._records or not waits:
                self._changed.pop(crash_id, None)
        if scan:
            await self._delete_expired(now)

    def _is_kept(self, crash_id: str, now: float) -> bool:
        if self._keeps(crash_id) or crash_id in self._records:
            return True
        since = self._changed.get(crash_id, now)
        return self._is_own(crash_id) and now - since >= OWN_RECORD_DELAY_S

    def _is_own(self, crash_id: str) -> bool:
        return crash_id in self._quarantine.own_crash_ids

    def _note_era(self, eras: tuple[int, int]) -> None:
        """Bring this node's records up to date after a return of the store."""
        self._records.forget_stored(self._clock())
        if unknown := self._records.unknown_ids:
            logger.bind(records=len(unknown)).info("crash records to be written again")
            self._woken.set()

    def _note_evidence(self, crash_id: str) -> None:
        self._changed.setdefault(crash_id, self._clock())
        if self._keeps(crash_id) or crash_id in self._records:
            self._woken.set()

    async def _write(self, changes: tuple[RecordChange, ...], now: float) -> None:
        puts = tuple(
            Put(
                wire.NODES_TABLE,
                wire.CRASH_PREFIX + record_key(change.crash_id, self._vm),
                change.crash and self._encoded(change.crash),
                change.version,
            )
            for change in changes
        )
        try:
            version = (await self._store.write(puts)).version
        except RowConflictError as exc:
            # A write without an answer took effect after all. Its version is known now.
            stored = {row.key: row for row in exc.rows}
            for change, put in zip(changes, puts, strict=True):
                row = stored.get(put.key)
                record = row and _decoded(row)
                self._records.note(
                    change.crash_id,
                    record and record.crash,
                    row.version if row else ABSENT,
                    now,
                )
            raise
        except EraChangedError:
            self._note_unknown(changes, now)
            raise
        except PlatformError as exc:
            if exc.code is not ResultCode.PLATFORM_PROTOCOL:
                raise
            logger.bind(crashes=[change.crash_id for change in changes]).warning(
                f"crash records refused by the store: {exc}"
            )
            version = ABSENT
        if version != ABSENT and version.is_of_era_before(self._store.eras.newest):
            self._note_unknown(changes, now)  # the store returned since it answered
            return
        for change in changes:
            deleted = change.crash is None
            self._records.note(
                change.crash_id, change.crash, ABSENT if deleted else version, now
            )

    def _note_unknown(self, changes: tuple[RecordChange, ...], now: float) -> None:
        for change in changes:
            self._records.note(change.crash_id, None, None, now)

    def _encoded(self, crash: Crash) -> bytes:
        answers = self._quarantine.last_answers(crash)
        return msgspec.msgpack.encode(record_of(crash, self._vm, answers))

    async def _delete_expired(self, now: float) -> None:
        """Delete the records that nodes left behind and that count no more."""
        expired = [
            key
            for key, record in self._rows_of_others.items()
            if self._quarantine.is_expired(record.at, self._ctx.limits, now)
        ]
        puts = [
            Put(wire.NODES_TABLE, key, None)
            for key in expired
            if self._keeps(self._rows_of_others[key].crash.id)
        ]
        for start in range(0, len(puts), MAX_ROWS_PER_WRITE):
            await self._store.write(tuple(puts[start : start + MAX_ROWS_PER_WRITE]))
        for key in expired:
            del self._rows_of_others[key]


def _decoded(row: Row) -> CrashRecord | None:
    """Return the record in a row, None for a deleted or, with a log line, a bad one."""
    if row.value is None or not row.key.startswith(wire.CRASH_PREFIX):
        return None
    try:
        return msgspec.msgpack.decode(row.value, type=CrashRecord)
    except msgspec.MsgspecError as exc:
        logger.bind(key=row.key).warning(f"malformed crash record: {exc}")
        return None
