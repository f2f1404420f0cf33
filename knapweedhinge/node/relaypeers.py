"""Exchange load, release evidence, quarantines and store changes between relay nodes.

All of it is soft state: a node without messages from peers works with what it
observed itself.
"""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import msgspec
from loguru import logger

from knapweedhinge.conf import KeySettings, NodeSettings
from knapweedhinge.conf.relay import ProcessLimits, RelaySettings
from knapweedhinge.controllers.loadtracker import REPORT_MAX_AGE_S, LoadAggregator
from knapweedhinge.controllers.quarantinetracker import KeyedUpdate, QuarantineUpdate
from knapweedhinge.controllers.release_controller import ReleaseController
from knapweedhinge.core.exceptions import PeerError, PlatformError
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.node.release_reporter import ReleaseReporter
from knapweedhinge.node.trial_coordinator import TrialCoordinator
from knapweedhinge.peers import Entry, Member, MembershipView, Peers
from knapweedhinge.peers.limits import MEBIBYTE, PeerLimits
from knapweedhinge.peers.topics import (
    QUARANTINE,
    STORE_READER_STATUS,
    WORK_SUMS,
)
from knapweedhinge.platform import wire
from knapweedhinge.platform.eras import ABSENT
from knapweedhinge.platform.feeds import Feeds, ReaderStatus
from knapweedhinge.platform.gossip import RowGossip
from knapweedhinge.platform.store import Row, Store
from knapweedhinge.routing.crashes import Crash
from knapweedhinge.routing.fleetsums import Section, Table
from knapweedhinge.routing.nodecapacity import node_capacity
from knapweedhinge.routing.placement import LARGE_FLEET_NODES

REPORT_INTERVAL_S = 0.4  # between reports of load and of running roll-outs
# Between reports with all tables, and between their sums. Most decisions bear views of
# seconds, and the bytes between failure domains cost the operators.
TABLES_INTERVAL_S = 1.2
# Nodes assumed before this node has joined. Limits on the whole fleet are divided by
# the number of nodes, so a large number keeps this node's share small.
ASSUMED_NODES = 10
# Largest number of doublings of the pause between attempts to get the peer key.
# There is no last attempt: the node works alone until the store answers.
MAX_PAUSE_DOUBLINGS = 3
# Nodes that start together join within this time, so that their writes don't queue up
# at the store. They serve calls meanwhile.
JOIN_SPREAD_S = 0.6
READERS_PER_REGION = 3  # one node that reads the store and two on standby
# Roles in the assignment of tasks to nodes.
READER_ROLE = "store-reader"
AGGREGATOR_ROLE = "work-board"
CRASH_RECORD_ROLE = "crash-record"
PEER_KEY_ROLE = "peer-key"
CRASH_RECORDS = 2  # nodes that keep a record of each crash in the store
REPORT_METHOD = "work"  # peer method that sends a load report to the aggregator
MAX_LOGGED_NAMES = 20  # nodes named in a log line about a membership change
# Share of the descriptors for connections with peers, also those without a proof yet.
PEER_FILES_SHARE = 0.4
T = TypeVar("T")


class RelayPeers:
    """Join the relay's peers, publish its reports and apply those of the others.

    ``members`` holds the active nodes. It is empty until this node has joined.
    """

    def __init__(
        self,
        ctx: RelayContext,
        store: Store,
        feeds: Feeds,
        release_controller: ReleaseController,
        trials: TrialCoordinator,
    ):
        self.members: tuple[Member, ...] = ()
        self._ctx = ctx
        self._store = store
        self._feeds = feeds
        self._release_controller = release_controller
        self._trials = trials
        self._release_reporter = ReleaseReporter(ctx.releases)
        self._peers: Peers | None = None
        self._joining: asyncio.Task | None = None
        self._gossip: RowGossip | None = None
        self._key_row: Row | None = None
        self._aggregator = LoadAggregator()
        self._sent_report = b""
        self._sent_at = float("-inf")
        self._tables_sent_at = float("-inf")
        ctx.fleet.nodes = ASSUMED_NODES
        ctx.budget.set_nodes(ASSUMED_NODES)
        ctx.loads.tables.add_section(Section.RETRIES, ctx.budget.own_table)
        ctx.loads.tables.add_section(Section.FAILURES, self._own_failures)

    def load(self, rows: Iterable[Row]) -> None:
        """Take the peers' shared key from the store's rows for nodes, if it's there."""
        for row in rows:
            if row.key == wire.PEERS_KEY:
                self._key_row = row

    async def join(self) -> None:
        """Get the peers' shared key from the store, then join the peers.

        Waits a random time first. Retries without end until the store provides the key,
        or until :meth:`leave` is called.
        """
        self._joining = asyncio.current_task()
        await asyncio.sleep(JOIN_SPREAD_S * self._ctx.rng.random())
        cfg, key = self._ctx.settings, await self._shared_key()
        node = NodeSettings(
            listen=cfg.listen,
            platform=cfg.platform,
            keys=KeySettings((key,), (key,)),
            peers=cfg.peers,
        )
        peers = Peers(
            node,
            self._store,
            clock=self._ctx.clock,
            rng=self._ctx.rng,
            capacity=own_capacity(cfg),
            limits=_limits(cfg.process),
            on_closed=lambda reason: self._ctx.metrics.count("peers_closed", reason),
        )
        peers.changes.subscribe(self._receive_members)
        peers.subscribe(QUARANTINE).subscribe(self._receive_quarantine)
        peers.subscribe(WORK_SUMS).subscribe(self._receive_sums)
        peers.subscribe(STORE_READER_STATUS).subscribe(self._receive_reader_status)
        peers.handle(REPORT_METHOD, self._receive_report)
        await peers.start()
        self._peers = peers
        self._gossip = RowGossip(self._feeds, peers)
        self._trials.attach(peers)
        self._release_reporter.attach(peers)
        for keyed in self._ctx.quarantine.known_updates():
            self._publish_quarantine(keyed)
        self._ctx.quarantine.updates_for_peers.subscribe(self._publish_quarantine)
        self._receive_members(peers.membership)
        logger.bind(members=len(self.members)).info("joined peers")

    async def store_returned(self) -> None:
        """Write again what the store may have lost of the peers' key and roster.

        One node does so for each; none waits for it. Raise PlatformError if the key
        can't be written.
        """
        if self._peers is None or self._key_row is None:
            return
        self._peers.table_returned()
        owners = self._peers.assignments.owners(PEER_KEY_ROLE, wire.PEERS_KEY, 1)
        if owners and owners[0].vm == self._vm:
            stored = await self._store.compare_and_set(
                wire.NODES_TABLE, wire.PEERS_KEY, self._key_row.value, ABSENT
            )
            if stored.value != self._key_row.value:
                logger.error("the store has another peer key than this node")

    async def leave(self) -> None:
        """Announce to the peers that this node accepts no more calls.

        If it hasn't joined them yet, it no longer does.
        """
        if self._peers is not None:
            await self._peers.leave()
        elif self._joining is not None:
            self._joining.cancel()

    async def stop(self) -> None:
        """Leave the peers, unless that was done, and close their connections."""
        if self._peers is not None:
            await self._peers.stop()

    def reader_rank(self) -> int | None:
        """Return this node's rank among the store readers of its region.

        Rank 0 reads, the others take over if it fails. None if it is no reader, and
        before it has joined.
        """
        if self._peers is None:
            return None
        region = self._ctx.settings.listen.region
        readers = self._peers.assignments.owners(
            READER_ROLE, region, READERS_PER_REGION, region=region, strong=True
        )
        return next(
            (rank for rank, reader in enumerate(readers) if reader.vm == self._vm), None
        )

    def owns_release(self, service: str) -> bool:
        """Return whether this node advances the roll-out stages of a service."""
        if self._peers is None:
            return True
        owner = self._trials.owner(service)
        return owner is not None and owner.vm == self._vm

    def keeps_crash(self, crash_id: str) -> bool:
        """Return whether this node keeps a crash's record in the store.

        Two nodes do, in different failure domains, since the store may turn one of them
        away. A node without peers keeps all records.
        """
        if self._peers is None:
            return True
        keepers = self._peers.assignments.owners(
            CRASH_RECORD_ROLE, crash_id, CRASH_RECORDS, distinct_failure_domains=True
        )
        return not keepers or self._vm in {keeper.vm for keeper in keepers}

    async def report(self) -> None:
        """Send peers this node's reader status, its load and its part in roll-outs."""
        if self._peers is None:
            return
        now = self._ctx.clock()
        reader_status = self._feeds.reader_status(now)
        if reader_status is not None:
            self._publish(
                STORE_READER_STATUS, self._vm, msgspec.msgpack.encode(reader_status)
            )
        await self._report_load(now)
        await self._trials.report()
        for release in self._release_controller.running():
            owner = self._trials.owner(release.service)
            if owner is not None:
                await self._release_reporter.report(release.service, owner)

    @property
    def _vm(self) -> str:
        return self._ctx.settings.listen.vm

    async def _shared_key(self) -> str:
        """Return the key that authenticates nodes to each other.

        The first node creates it in the store; all others read that one.
        """
        attempt = 0
        while True:
            try:
                if self._key_row is None:
                    proposed = secrets.token_hex(16).encode()
                    self._key_row = await self._store.compare_and_set(
                        wire.NODES_TABLE, wire.PEERS_KEY, proposed, ABSENT
                    )
                return self._key_row.value.decode()
            except PlatformError as exc:
                logger.bind(code=exc.code.number).info(
                    f"peer key not available yet: {exc}"
                )
                await self._store.back_off(min(attempt, MAX_PAUSE_DOUBLINGS))
                attempt += 1

    def _publish(self, topic: str, key: str, payload: bytes) -> None:
        self._peers.publish(topic, key, self._peers.next_version(), payload)

    async def _report_load(self, now: float) -> None:
        """Send this node's load to its region's aggregator, or publish the sums.

        The aggregator is the node that adds up the loads of all nodes of the region. An
        unchanged report is sent again before the aggregator would let it expire.
        """
        region = self._ctx.settings.listen.region
        owners = self._peers.assignments.owners(
            AGGREGATOR_ROLE, region, 1, region=region, strong=True
        )
        if not owners:
            return
        # The reports are not exactly an interval apart.
        complete = (
            now - self._tables_sent_at > TABLES_INTERVAL_S - REPORT_INTERVAL_S / 2
        )
        if complete:
            self._tables_sent_at = now
        load_report = self._ctx.loads.report(now, complete=complete)
        if owners[0].vm == self._vm:
            self._aggregator.take(self._vm, load_report, now)
            sums = self._aggregator.sums(now, complete=complete)
            self._publish(WORK_SUMS, region, sums)
        elif (
            load_report != self._sent_report
            or now - self._sent_at > REPORT_MAX_AGE_S / 2
        ):
            self._sent_report, self._sent_at = load_report, now
            await self._send_report(owners[0].vm, load_report)

    async def _send_report(self, vm: str, load_report: bytes) -> None:
        try:
            await self._peers.call(vm, REPORT_METHOD, load_report, REPORT_INTERVAL_S)
        except PeerError as exc:
            self._sent_report = b""
            logger.bind(peer=vm, code=exc.code.number).debug(
                f"load report not sent: {exc}"
            )

    async def _receive_report(self, caller: Member, payload: bytes) -> bytes:
        try:
            self._aggregator.take(caller.vm, payload, self._ctx.clock())
        except msgspec.MsgspecError as exc:
            raise PeerError(f"malformed load report from {caller.vm}") from exc
        return b""

    def _publish_quarantine(self, keyed: KeyedUpdate) -> None:
        payload = msgspec.msgpack.encode(keyed.update)
        self._publish(QUARANTINE, f"{self._vm}/{keyed.key}", payload)

    def _receive_members(self, view: MembershipView) -> None:
        active = view.active
        before, after = {m.vm for m in self.members}, {m.vm for m in active}
        left = before - after
        if active != self.members:
            logger.bind(**change_fields(len(after), after - before, left)).info(
                "members changed"
            )
        for vm in left:
            self._ctx.releases.drop_peer(vm)
        self.members = active
        self._ctx.fleet.nodes = max(1, len(active))
        self._ctx.budget.set_nodes(self._ctx.fleet.nodes)

    def _receive_sums(self, entry: Entry) -> None:
        if entry.key == self._ctx.settings.listen.region:
            now, ctx = self._ctx.clock(), self._ctx
            _apply_entry(entry, lambda data: ctx.loads.take_sums(data, now))
            table = ctx.loads.tables.table(Section.RETRIES, now, ctx.fleet.nodes)
            ctx.budget.lend(table, now)
            failures = ctx.loads.tables.table(Section.FAILURES, now, ctx.fleet.nodes)
            ctx.health.take_fleet(failures, ctx.fleet.view.endpoints.by_id, now)

    def _own_failures(self, now: float) -> Table:
        """Return the failed calls that this node saw, none in a small fleet.

        Each node of a small fleet calls each endpoint often enough.
        """
        if self._ctx.fleet.nodes < LARGE_FLEET_NODES:
            return {}
        return self._ctx.health.own_table(now)

    def _receive_reader_status(self, entry: Entry) -> None:
        reader_status = (
            _decode_entry(entry, ReaderStatus) if entry.vm != self._vm else None
        )
        if reader_status is not None:
            self._feeds.handle_reader_status(reader_status, self._ctx.clock())

    def _receive_quarantine(self, entry: Entry) -> None:
        # Entries of this VM too: they may be from its process before a restart.
        update = _decode_entry(entry, QuarantineUpdate)
        if update is None:
            return
        own = entry.vm == self._vm
        self._ctx.quarantine.merge(update, entry.published_at, own=own)
        for crash in update.entries.crashes:
            self._pause_crashed(crash, entry.published_at)

    def _pause_crashed(self, crash: Crash, at: float) -> None:
        """Send no calls to an endpoint that a peer saw crash, unless it is back."""
        known = self._ctx.fleet.view.endpoints.by_id.get(crash.endpoint_id)
        if known is not None and known.incarnation == crash.incarnation:
            self._ctx.health.crashed(known.id, at, self._ctx.clock())


def _limits(process: ProcessLimits) -> PeerLimits:
    return PeerLimits(
        max_held_bytes=int(process.peer_memory_share * process.memory_mb * MEBIBYTE),
        max_links=int(PEER_FILES_SHARE * process.files),
    )


def own_capacity(settings: RelaySettings) -> int:
    """Return what this machine can bear, 0 if it is unknown or not to be weighed."""
    process = settings.process
    if not process.weighed:
        return 0
    return node_capacity(process.cpu_share * process.cores, process.link_mbps)


def change_fields(count: int, joined: set[str], left: set[str]) -> dict[str, Any]:
    """Return the log fields of a membership change: the number of members, and names.

    All names at each change would make log lines as long as the fleet is large.
    """
    return {
        "members": count,
        "joined": sorted(joined)[:MAX_LOGGED_NAMES],
        "left": sorted(left)[:MAX_LOGGED_NAMES],
    }


def _decode_entry(entry: Entry, kind: type[T]) -> T | None:
    """Return an entry's decoded payload; log a malformed one and return None."""
    return _apply_entry(entry, lambda data: msgspec.msgpack.decode(data, type=kind))


def _apply_entry(entry: Entry, handle: Callable[[bytes], Any]) -> Any:
    """Call ``handle`` with an entry's payload; log a malformed one, return None."""
    try:
        return handle(entry.payload)
    except msgspec.MsgspecError as exc:
        logger.bind(vm=entry.vm, topic=entry.topic).warning(f"malformed entry: {exc}")
        return None
