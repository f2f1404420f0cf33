"""What a node that passes calls on tells its peers, and hears from them.

Everything told is soft: a node that hears nothing goes on with what it knows itself.
"""

import secrets
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from loguru import logger

from knapweedhinge.conf import KeySettings, NodeSettings
from knapweedhinge.controllers.loadbook import STALE_S, LoadBoard
from knapweedhinge.controllers.quarantining import QuarantineNews, Told
from knapweedhinge.controllers.releasecontrol import ReleaseControl
from knapweedhinge.core.exceptions import PeerError, PlatformError
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.peers import Entry, Member, MembershipView, Peers
from knapweedhinge.peers.topics import QUARANTINE, READING, STATISTICS, WORK_SUMS
from knapweedhinge.platform import wire
from knapweedhinge.platform.feeds import Feeds, ReaderStatus
from knapweedhinge.platform.gossip import RowGossip
from knapweedhinge.platform.store import Store

REPORT_S = 0.4  # peers hear of the work sent and how a release on trial does
# Before it has joined, a node takes its share of what all nodes may do for this small.
UNKNOWN_NODES = 10
JOIN_STEPS = 3  # doublings of the pause between tries to join; a node alone tries on
READERS = 3  # a region's node that waits at the store, and two to take over
READER_ROLE = "store-reader"
RELEASE_ROLE = "releases"
BOARD_ROLE = "work-board"
WORK_METHOD = "work"
T = TypeVar("T")


class RelayPeers:
    """Join the peers, and carry news and evidence between them and the node."""

    def __init__(
        self, ctx: RelayContext, store: Store, feeds: Feeds, control: ReleaseControl
    ):
        self.members: tuple[Member, ...] = ()
        self._ctx = ctx
        self._store = store
        self._feeds = feeds
        self._control = control
        self._peers: Peers | None = None
        self._gossip: RowGossip | None = None
        self._board = LoadBoard()
        self._told_work = b""
        self._told_at = float("-inf")
        ctx.fleet.nodes = UNKNOWN_NODES
        ctx.budget.set_nodes(UNKNOWN_NODES)

    async def join(self) -> None:
        """Share a key through the store, then join; tries until it succeeds."""
        cfg, key = self._ctx.settings, await self._shared_key()
        node = NodeSettings(
            listen=cfg.listen,
            platform=cfg.platform,
            keys=KeySettings((key,), (key,)),
            peers=cfg.peers,
        )
        peers = Peers(node, self._store, clock=self._ctx.clock, rng=self._ctx.rng)
        peers.changes.subscribe(self._take_members)
        peers.subscribe(STATISTICS).subscribe(self._take_releases)
        peers.subscribe(QUARANTINE).subscribe(self._take_quarantine)
        peers.subscribe(WORK_SUMS).subscribe(self._take_sums)
        peers.subscribe(READING).subscribe(self._take_stamp)
        peers.handle(WORK_METHOD, self._take_work)
        await peers.start()
        self._peers = peers
        self._gossip = RowGossip(self._feeds, peers)
        self._ctx.quarantine.told.subscribe(self._tell_quarantine)
        self._take_members(peers.membership)
        logger.bind(members=len(self.members)).info("joined peers")

    async def leave(self) -> None:
        """Tell everybody that this node takes no more calls."""
        if self._peers is not None:
            await self._peers.leave()

    async def stop(self) -> None:
        """Leave if that was not done, and close everything."""
        if self._peers is not None:
            await self._peers.stop()

    def reader_rank(self) -> int | None:
        """Return this node's place among those of its region that read the store."""
        if self._peers is None:
            return 0
        region = self._ctx.settings.listen.region
        found = self._peers.assignments.owners(
            READER_ROLE, region, READERS, region=region
        )
        return next((n for n, one in enumerate(found) if one.vm == self._vm), None)

    def owns_release(self, service: str) -> bool:
        """Return whether this node takes a service's roll-out from stage to stage."""
        if self._peers is None:
            return True
        found = self._peers.assignments.owners(RELEASE_ROLE, service, 1)
        return any(one.vm == self._vm for one in found)

    async def report(self) -> None:
        """Tell peers whether this node reads, its work and its evidence on releases."""
        if self._peers is None:
            return
        now = self._ctx.clock()
        reader_status = self._feeds.reader_status(now)
        if reader_status is not None:
            self._publish(READING, self._vm, msgspec.msgpack.encode(reader_status))
        await self._tell_work(now)
        services = frozenset(one.service for one in self._control.running())
        if services:
            self._publish(STATISTICS, self._vm, self._ctx.releases.report(services))

    @property
    def _vm(self) -> str:
        return self._ctx.settings.listen.vm

    async def _shared_key(self) -> str:
        """Return the key by which nodes know each other; the first one makes it."""
        attempt = 0
        while True:
            try:
                made = secrets.token_hex(16).encode()
                row = await self._store.compare_and_set(
                    wire.SECRETS_TABLE, "peers", made, 0
                )
                return row.value.decode()
            except PlatformError as exc:
                logger.bind(code=exc.code.number).info(f"no peer key yet: {exc}")
                await self._store.back_off(min(attempt, JOIN_STEPS))
                attempt += 1

    def _publish(self, topic: str, key: str, payload: bytes) -> None:
        self._peers.publish(topic, key, self._peers.next_version(), payload)

    async def _tell_work(self, now: float) -> None:
        """Tell the region's board this node's work; the board tells all the sums."""
        region = self._ctx.settings.listen.region
        owners = self._peers.assignments.owners(BOARD_ROLE, region, 1, region=region)
        if not owners:
            return
        work = self._ctx.loads.report()
        if owners[0].vm == self._vm:
            self._board.take(self._vm, work, now)
            self._publish(WORK_SUMS, region, self._board.sums(now))
        elif work != self._told_work or now - self._told_at > STALE_S / 2:
            self._told_work, self._told_at = work, now
            await self._send_work(owners[0].vm, work)

    async def _send_work(self, vm: str, work: bytes) -> None:
        try:
            await self._peers.call(vm, WORK_METHOD, work, REPORT_S)
        except PeerError as exc:
            self._told_work = b""
            logger.bind(peer=vm, code=exc.code.number).debug(f"work not told: {exc}")

    async def _take_work(self, caller: Member, payload: bytes) -> bytes:
        try:
            self._board.take(caller.vm, payload, self._ctx.clock())
        except msgspec.MsgspecError as exc:
            raise PeerError(f"malformed work of {caller.vm}") from exc
        return b""

    def _tell_quarantine(self, told: Told) -> None:
        payload = msgspec.msgpack.encode(told.news)
        self._publish(QUARANTINE, f"{self._vm}/{told.key}", payload)

    def _take_members(self, view: MembershipView) -> None:
        found = view.active
        if found != self.members:
            names = [one.vm for one in found]
            logger.bind(members=names).info("members changed")
        for vm in {one.vm for one in self.members} - {one.vm for one in found}:
            self._ctx.releases.drop_peer(vm)
        self.members = found
        self._ctx.fleet.nodes = max(1, len(found))
        self._ctx.budget.set_nodes(self._ctx.fleet.nodes)

    def _take_releases(self, entry: Entry) -> None:
        if entry.key != self._vm:
            _taken(entry, lambda data: self._ctx.releases.merge(entry.key, data))

    def _take_sums(self, entry: Entry) -> None:
        if entry.key == self._ctx.settings.listen.region:
            now = self._ctx.clock()
            _taken(entry, lambda data: self._ctx.loads.take_sums(data, now))

    def _take_stamp(self, entry: Entry) -> None:
        reader_status = _decoded(entry, ReaderStatus) if entry.vm != self._vm else None
        if reader_status is not None:
            self._feeds.handle_reader_status(reader_status, self._ctx.clock())

    def _take_quarantine(self, entry: Entry) -> None:
        news = _decoded(entry, QuarantineNews) if entry.vm != self._vm else None
        if news is not None:
            self._ctx.quarantine.merge(news, self._ctx.clock())


def _decoded(entry: Entry, kind: type[T]) -> T | None:
    """Return an entry's payload, None with a log line when it is malformed."""
    return _taken(entry, lambda data: msgspec.msgpack.decode(data, type=kind))


def _taken(entry: Entry, take: Callable[[bytes], Any]) -> Any:
    try:
        return take(entry.payload)
    except msgspec.MsgspecError as exc:
        logger.bind(vm=entry.vm, topic=entry.topic).warning(f"malformed entry: {exc}")
        return None
