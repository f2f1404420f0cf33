"""Follow tables of the platform's store and emit their changes as typed events.

Rows come from the store itself or from peers that read it.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import msgspec
from loguru import logger
from reactivex.subject import Subject

from knapweedhinge.controllers.fleet import (
    CatalogSeen,
    DomainIn,
    DomainOut,
    EndpointGone,
    EndpointSeen,
    ReleaseStaged,
    ReleaseWithdrawn,
)
from knapweedhinge.core.exceptions import PlatformError
from knapweedhinge.platform import wire
from knapweedhinge.platform.eras import Version
from knapweedhinge.platform.mirror import Mirror
from knapweedhinge.platform.store import HistoryGoneError, Row, Store
from knapweedhinge.routing.releases import Stage

# A reader is a node that long-polls the store: a request for changes is answered after
# this time at the latest. A reader without an answer for LONG_POLL_GRACE_S more reports
# to its peers that it is not reading, so that a request the store never answers delays
# changes by no more than both together.
LONG_POLL_S = 0.6
LONG_POLL_GRACE_S = 0.3
# Time from the first read in which a node joins its peers and hears a reader. Until
# then it long-polls for itself, in few requests, as all nodes may start at once.
STARTING_S = 2.0
# Pause of such a node after changed records of endpoints: these register in quick
# succession while a fleet starts, and the next request brings what changed meanwhile.
STARTING_PAUSE_S = 0.4
# Silence of a reader after which the node of the next rank reads in its place, and
# silence of all readers after which every node reads. Added to the time that a reader
# may be late, this stays below two seconds, the shortest time the users allow for a
# change to take effect.
RANKED_TAKEOVER_S = 0.9
UNRANKED_TAKEOVER_S = 1.1
# All other nodes receive changes from the reader, along with the newest version of each
# table. A node that lacks that version for this long polls the store itself; passing a
# row on takes less time.
MAX_BEHIND_S = 0.6
# Interval at which nodes other than the reader poll the store in any case. It is longer
# if there are many nodes, so that all of them together make no more requests a second.
IDLE_POLL_INTERVAL_S = 30.0
MAX_IDLE_POLLS_PER_S = 0.5  # of one table, by all nodes
# Whole reads of one table a second, by all nodes that a reader tells of rows of an era
# of which they have none: a reader that started after the return has sent them none.
MAX_ERA_READS_PER_S = 20.0
IDLE_CHECK_INTERVAL_S = 0.2  # how often such a node checks whether it must read
# Tables that the nodes write. A node sends the rows it writes to its peers itself, so
# that nobody long-polls these tables.
NODE_WRITTEN_TABLES = frozenset({wire.STATUS_TABLE})
# Backoff after failed requests. It may grow longer while another node reads.
BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 0.8
MAX_BACKOFF_WITH_READER_S = 3.0
CATALOG_ROW = (wire.OPERATOR_TABLE, wire.CATALOG_KEY)
# A record that disappears within this time after a failed request to the store may have
# expired only because its endpoint could not renew it either.
LAPSE_WINDOW_S = 3.0


@dataclass(frozen=True, slots=True)
class RowChange:
    """A changed row of a table.

    ``lapsed`` marks a row that may be gone only because its owner could not renew it
    while the store was unavailable. ``is_new`` marks one that was written in the era of
    its version, so that it isn't only part of the copy that the store returned from.
    """

    table: str
    row: Row
    lapsed: bool = False
    is_new: bool = False


class ReaderStatus(msgspec.Struct, frozen=True, array_like=True):
    """Message to peers of a region: whether its node of this rank reads the store.

    ``newest_versions`` holds the number of the version of the newest row that it has,
    by table, and ``eras`` the era of that version, where that isn't 0.
    """

    rank: int
    reads: bool
    newest_versions: dict[str, int] = {}
    eras: dict[str, int] = {}

    def versions(self) -> dict[str, Version]:
        """Return the version of the newest row, by table."""
        return {
            table: Version(self.eras.get(table, 0), number)
            for table, number in self.newest_versions.items()
        }


class Feeds:
    """Keep the mirror up to date and emit its changes.

    ``events`` emits typed events, ``outgoing`` the changed rows to send to peers.
    Only one node of a region, the reader, long-polls the store, so that the store's
    load doesn't grow with the number of nodes. The others receive changed rows from
    peers through :meth:`apply`, and :meth:`handle_reader_status` tells them whether
    they lack any.

    ``rank`` returns 0 for the reader, 1 and up for the nodes that take over from it in
    this order, None for all others. ``region_of`` returns the region of a failure
    domain, and ``nodes`` the number of nodes.
    """

    def __init__(
        self,
        store: Store,
        region_of: Callable[[str], str],
        clock: Callable[[], float],
        rng: Random,
        rank: Callable[[], int | None] = lambda: 0,
        nodes: Callable[[], int] = lambda: 1,
    ):
        self.events: Subject = Subject()
        self.outgoing: Subject = Subject()
        self.mirror = Mirror()
        self._store = store
        self._region_of = region_of
        self._clock = clock
        self._rng = rng
        self._rank = rank
        self._nodes = nodes
        self._loaded_at = float("-inf")
        self._reader_seen_at: dict[int, float] = {}
        self._polled_at: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}
        self._behind_since: dict[str, float] = {}
        self._loaded_tables: set[str] = set()
        # Version of each table up to which it was read from the store, without those
        # that must be read as a whole.
        self._read_versions: dict[str, Version] = {}
        # Those that they had, of tables that must be read as a whole.
        self._lost_versions: dict[str, Version] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        store.eras.changes.subscribe(self._note_era)

    async def load(self, table: str) -> None:
        """Read a whole table into the mirror; raise PlatformError if that fails.

        Rows that differ from those of an earlier read are also sent to peers.
        """
        lapsed = self._may_have_lapsed()
        self._requested_at[table] = self._clock()
        found = await self._store.read(table)
        if found.version < self._read_versions.get(table, found.version):
            logger.bind(table=table, version=found.version).info("stale read ignored")
            return
        first = table not in self._loaded_tables
        self._loaded_tables.add(table)
        self._loaded_at = self._clock()
        read_before = self._read_versions.get(table) or self._lost_versions.get(table)
        returned = read_before is not None and read_before.is_of_era_before(
            found.version
        )
        lapsed = lapsed or returned
        self._lost_versions.pop(table, None)
        self._read_versions[table] = found.version
        gone = self.mirror.deletions_for(
            table, {row.key for row in found.rows}, found.version
        )
        changed = 0
        for row in (*found.rows, *gone):
            is_new = row.value is not None and self._store.eras.is_new(row.version)
            change = RowChange(table, row, lapsed, is_new)
            changed += self._apply_read(change, publish=not first)
        if returned:
            logger.bind(
                table=table,
                era=found.version.era,
                rows=len(found.rows),
                absent=len(gone),
                changed=changed,
                kept=self.mirror.count_lost(table, self._clock()),
            ).warning("table read after the store's return")

    def follow(self, table: str) -> None:
        """Start to follow a table; do nothing if it is followed already."""
        if table not in self._tasks:
            self._tasks[table] = asyncio.create_task(self._follow(table))

    async def stop(self) -> None:
        """Stop following all tables."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def apply(self, change: RowChange, *, publish: bool) -> bool:
        """Store a row from the store or a peer and emit its event; ignore an old one.

        Also send the row to peers if ``publish`` is set. Return whether it changed
        anything.
        """
        row = change.row
        if not self._store.eras.heard(row.version.era, self._clock()):
            return False
        is_catalog = (change.table, row.key) == CATALOG_ROW
        held = self.mirror.row(change.table, row.key)
        changed = self.mirror.apply(
            change.table, row, is_new=change.is_new, now=self._clock()
        )
        if not changed and not (is_catalog and held is not None and held != row):
            return False
        # Catalogs are ordered by their own revisions, whatever era they come from.
        event = self._event(change)
        if event is not None:
            self.events.on_next(event)
        if publish and changed:
            self.outgoing.on_next(change)
        return changed

    def settle(self, now: float) -> None:
        """Apply the rows whose grace after a return of the store is over."""
        for table, row in self.mirror.settle(now):
            change = RowChange(table, row, is_new=True)
            event = self._event(change)
            if event is not None:
                self.events.on_next(event)
            self.outgoing.on_next(change)

    def lost_stages(
        self, services: Iterable[str], now: float
    ) -> tuple[ReleaseStaged, ...]:
        """Return the stages in force of which the store has an older one."""
        keys = (wire.STAGE_PREFIX + service for service in services)
        rows = (self.mirror.lost(wire.STATUS_TABLE, key, now) for key in keys)
        events = (_stage_event(row) for row in rows if row is not None)
        return tuple(event for event in events if event is not None)

    def must_reread(self, table: str) -> bool:
        """Return whether a table was last read before the store's latest return."""
        read = self._lost_versions.get(table) or self._read_versions.get(table)
        return read is not None and read.is_of_era_before(self._store.eras.newest)

    def _note_era(self, eras: tuple[int, int]) -> None:
        """Drop what was learnt of an era that the store has refuted."""
        newest = self._store.eras.newest
        self.mirror.drop_after(newest)
        self._read_versions = {
            table: version
            for table, version in self._read_versions.items()
            if not newest.is_of_era_before(version)
        }

    def _apply_read(self, change: RowChange, *, publish: bool) -> bool:
        """Apply a row that was read; an error doesn't keep back the rows after it.

        These wouldn't be read again, since the version read so far covers them.
        """
        try:
            return self.apply(change, publish=publish)
        except Exception as exc:
            row = change.row
            logger.bind(table=change.table, key=row.key, version=row.version).opt(
                exception=exc
            ).error("row not applied")
            return False

    def newest_versions(self) -> dict[str, Version]:
        """Return the version of the newest row held, by followed table."""
        return {
            table: self.mirror.newest_version(table) for table in self._read_versions
        }

    def handle_reader_status(self, reader_status: ReaderStatus, now: float) -> None:
        """Process the reader status of a peer that was received at ``now``."""
        if not reader_status.reads:
            self._reader_seen_at.pop(reader_status.rank, None)
            return
        self._reader_seen_at[reader_status.rank] = now
        for table, version in reader_status.versions().items():
            if not self._store.eras.heard(version.era, now):
                continue
            newest = self.mirror.newest_version(table)
            if version <= newest:
                self._behind_since.pop(table, None)
            elif newest.is_of_era_before(version):
                spread_s = self._nodes() / MAX_ERA_READS_PER_S
                wait_s = self._rng.uniform(0.0, spread_s)
                self._behind_since.setdefault(table, now + wait_s)
            else:
                self._behind_since.setdefault(table, now)

    def reader_status(self, now: float) -> ReaderStatus | None:
        """Return the reader status to send to peers.

        None if this node has no rank, or a node that precedes it in rank (a smaller
        number) reads.
        """
        rank = self._rank()
        if rank is None or not self._must_read(now):
            return None
        polled_at = min(self._polled_at.values(), default=float("-inf"))
        in_time = now - polled_at <= LONG_POLL_S + LONG_POLL_GRACE_S
        newest = self.newest_versions()
        return ReaderStatus(
            rank,
            self._store.available and in_time,
            {table: version.number for table, version in newest.items()},
            {table: version.era for table, version in newest.items() if version.era},
        )

    async def _follow(self, table: str) -> None:
        failures = 0
        while True:
            try:
                if table not in self._read_versions:
                    if self._may_wait_for_reader(table):
                        await self._wait_until_due(table)
                    await self.load(table)
                await self._poll_when_due(table)
                failures = 0
            except HistoryGoneError:
                logger.bind(table=table).info("history gone, reading the whole table")
                self._forget_version(table)
            except PlatformError as exc:
                failures += 1
                logger.bind(table=table, code=exc.code.number).debug(str(exc))
                await self._back_off(table, failures)
            except Exception as exc:
                # An error in a subscriber must not end the following of the table.
                failures += 1
                logger.bind(table=table).opt(exception=exc).error("feed failed")
                await self._back_off(table, failures)

    def _may_wait_for_reader(self, table: str) -> bool:
        """Return whether a reader tells this node what a return of the store changed.

        All nodes would read all tables at once.
        """
        return self.must_reread(table) and not self._must_read(self._clock())

    def _forget_version(self, table: str) -> None:
        version = self._read_versions.pop(table, None)
        if version is not None:
            self._lost_versions[table] = version

    async def _back_off(self, table: str, failures: int) -> None:
        """Wait after a failed request, with exponential backoff and jitter.

        The time that the request took counts: requests that time out are far enough
        apart already. Wait no longer if this node is behind, or if it must read and
        the store is known to have returned from a copy meanwhile: it answers again.
        """
        now, era = self._clock(), self._store.eras.newest
        last_seen_at = max(self._reader_seen_at.values(), default=float("-inf"))
        without_reader = now - last_seen_at > UNRANKED_TAKEOVER_S
        max_backoff_s = MAX_BACKOFF_S if without_reader else MAX_BACKOFF_WITH_READER_S
        backoff_s = min(max_backoff_s, BACKOFF_BASE_S * 2**failures)
        requested_at = self._requested_at.get(table, now)
        backoff_s = max(BACKOFF_BASE_S, backoff_s - (now - requested_at))
        backoff_s *= self._rng.uniform(0.5, 1.0)
        await self._wait_unless_behind(
            table,
            lambda: backoff_s,
            lambda now: (
                era.is_of_era_before(self._store.eras.newest) and self._must_read(now)
            ),
        )

    async def _poll_when_due(self, table: str) -> None:
        """Long-poll once if this node must read, else wait and then poll."""
        if table in NODE_WRITTEN_TABLES or not self._must_read(self._clock()):
            await self._wait_until_due(table)
            await self.poll(table, 0.0)
        else:
            changed = await self.poll(table, self._long_poll_s(self._clock()))
            registering = changed and table == wire.ENDPOINTS_TABLE
            if registering and self._is_starting(self._clock()):
                await asyncio.sleep(STARTING_PAUSE_S)

    async def poll(self, table: str, wait_s: float = LONG_POLL_S) -> bool:
        """Request the changes of a loaded table; return whether there were any.

        The store answers after ``wait_s`` seconds if nothing changes before. Raise
        PlatformError if the request fails.
        """
        lapsed = self._may_have_lapsed()
        self._requested_at[table] = self._clock()
        found = await self._store.changes(table, self._read_versions[table], wait_s)
        if found.version < self._read_versions[table]:
            logger.bind(table=table, version=found.version).info("stale feed ignored")
            return False
        self._read_versions[table] = found.version
        if table not in NODE_WRITTEN_TABLES:
            self._polled_at[table] = self._clock()
        for row in found.rows:
            # Also a deletion: what follows a read of the era was written in it.
            self._apply_read(RowChange(table, row, lapsed, True), publish=True)
        return bool(found.rows)

    def _must_read(self, now: float) -> bool:
        """Return whether this node must read.

        It must if no node before it in rank reads or, if it has no rank, no reader at
        all does.
        """
        rank = self._rank()
        if rank is None:
            last_seen_at = max(self._reader_seen_at.values(), default=float("-inf"))
            return now - last_seen_at > UNRANKED_TAKEOVER_S
        lower_ranks_seen_at = (
            self._reader_seen_at.get(other, float("-inf")) for other in range(rank)
        )
        return all(now - at > RANKED_TAKEOVER_S for at in lower_ranks_seen_at)

    async def _wait_until_due(self, table: str) -> None:
        """Wait for the idle interval, or until this node is behind or must read."""
        jitter, may_read = self._rng.uniform(0.8, 1.2), table not in NODE_WRITTEN_TABLES
        await self._wait_unless_behind(
            table,
            lambda: jitter * self._idle_interval_s(),
            lambda now: may_read and self._must_read(now),
        )

    async def _wait_unless_behind(
        self,
        table: str,
        wait_s: Callable[[], float],
        is_due: Callable[[float], bool],
    ) -> None:
        """Wait, but no longer than until this node is behind the reader or is due.

        The time to wait may change meanwhile, with the number of nodes.
        """
        began = self._clock()
        while (remaining_s := began + wait_s() - self._clock()) > 0:
            await asyncio.sleep(min(IDLE_CHECK_INTERVAL_S, remaining_s))
            now = self._clock()
            if now - self._behind_since.get(table, now) > MAX_BEHIND_S:
                self._behind_since.pop(table, None)
                return
            if is_due(now):
                return

    def _long_poll_s(self, now: float) -> float:
        """Return for how long a request for changes may wait at the store."""
        if not self._is_starting(now):
            return LONG_POLL_S
        return max(LONG_POLL_S, self._loaded_at + STARTING_S - now)

    def _is_starting(self, now: float) -> bool:
        """Return whether this node may not have heard of a reader yet."""
        return self._rank() is None and now < self._loaded_at + STARTING_S

    def _idle_interval_s(self) -> float:
        return max(IDLE_POLL_INTERVAL_S, self._nodes() / MAX_IDLE_POLLS_PER_S)

    def _may_have_lapsed(self) -> bool:
        return self._clock() - self._store.last_failed_at < LAPSE_WINDOW_S

    def _event(self, change: RowChange):
        """Return the event for a changed row, None for an unknown or malformed one."""
        if change.table == wire.ENDPOINTS_TABLE:
            return self._endpoint_event(change)
        if change.table == wire.OPERATOR_TABLE:
            return self._operator_event(change.row)
        if change.table == wire.STATUS_TABLE:
            return _stage_event(change.row)
        return None

    def _endpoint_event(self, change: RowChange):
        row = change.row
        if row.value is None:
            return EndpointGone(row.key, change.lapsed)
        body = wire.decode(row.value, wire.EndpointBody, f"endpoint {row.key}")
        record = body and wire.endpoint_of(row.key, body, self._region_of)
        return EndpointSeen(record) if record else EndpointGone(row.key)

    def _operator_event(self, row: Row):
        if row.key == wire.CATALOG_KEY:
            body = row.value and wire.decode(row.value, wire.CatalogBody, "catalog")
            return CatalogSeen(wire.catalog_of(body)) if body else None
        if row.key.startswith(wire.EVACUATE_PREFIX):
            domain = row.key.removeprefix(wire.EVACUATE_PREFIX)
            return DomainIn(domain) if row.value is None else DomainOut(domain)
        if row.key.startswith(wire.ROLLOUT_PREFIX):
            service = row.key.removeprefix(wire.ROLLOUT_PREFIX)
            if row.value is None:
                return ReleaseWithdrawn(service)
            body = wire.decode(row.value, wire.RolloutBody, f"roll-out of {service}")
            return wire.rollout_order_of(body) if body else None
        return None


def _stage_event(row: Row):
    if not row.key.startswith(wire.STAGE_PREFIX) or row.value is None:
        return None
    service = row.key.removeprefix(wire.STAGE_PREFIX)
    body = wire.decode(row.value, wire.StageBody, f"stage of {service}")
    if body is None or body.stage not in set(Stage):
        return None
    return ReleaseStaged(service, body.to, Stage(body.stage), body.began_at)
