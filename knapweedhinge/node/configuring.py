"""Spread the configuration among nodes, so that few of them read the platform."""

import msgspec
from loguru import logger

from knapweedhinge.conf import NodeSettings
from knapweedhinge.controllers.configuration_controller import (
    ConfigurationController,
    hear_packed,
    pack_revision,
)
from knapweedhinge.controllers.configuration_records import Revision
from knapweedhinge.controllers.configuration_state import Stamped
from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.peers import Entry, Peers
from knapweedhinge.peers.topics import CONFIGURATION, CONFIRMED_REVISION

READER_ROLE = "configuration-reader"
NEWEST = "newest"
MAX_PUSHED_REVISIONS = 16
TICK_S = 0.25
MS_PER_S = 1_000


class _AsOf(msgspec.Struct, array_like=True, frozen=True):
    """A reader's stamp: all accepted ``age_s`` before its birth is in ``revision``."""

    revision: int
    age_s: float


class Configuring:
    """Poll where this node is a reader or in doubt; push and take pushes else."""

    def __init__(
        self, cfg: NodeSettings, controller: ConfigurationController, peers: Peers
    ):
        self._cfg = cfg
        self._controller = controller
        self._peers = peers
        self._published = 0
        peers.subscribe(CONFIGURATION).subscribe(self._take_revisions)
        peers.subscribe(CONFIRMED_REVISION).subscribe(self._take_stamp)

    def start(self, tasks: PeriodicTasks) -> None:
        """Begin to poll and to take note of the process's own pauses."""
        tasks.start(self.poll, self._cfg.platform.poll_s)
        tasks.start(self.tick, TICK_S)

    async def tick(self) -> None:
        """Take note that the process runs."""
        self._controller.tick()

    async def poll(self) -> None:
        """Read the platform if this node should, and tell the others."""
        reads = self._is_reader()
        if not reads and not self._in_doubt(self._controller.now()):
            return
        await self._controller.poll()
        if reads:
            self._publish_stamp()
            await self.publish_newest()

    async def publish_newest(self) -> None:
        """Push the newest revisions to the peers, unless that was done."""
        head = self._controller.state.revision
        if head <= self._published:
            return
        after = max(self._published, head - MAX_PUSHED_REVISIONS)
        revisions = await self._controller.store.read_after(after)
        self._publish(revisions)

    def _publish(self, revisions: tuple[Revision, ...]) -> None:
        if not revisions:
            return
        newest = revisions[-1].number
        payload = msgspec.json.encode([pack_revision(one) for one in revisions])
        self._peers.publish(CONFIGURATION, NEWEST, newest, payload)
        self._published = newest

    def _publish_stamp(self) -> None:
        state = self._controller.state
        now = self._controller.now()
        stamp = _AsOf(state.revision, now - state.as_of)
        payload = msgspec.msgpack.encode(stamp)
        version = int(now * MS_PER_S)
        self._peers.publish(CONFIRMED_REVISION, self._peers.me.vm, version, payload)

    def _take_revisions(self, entry: Entry) -> None:
        if entry.vm == self._peers.me.vm:
            return
        try:
            hear_packed(self._controller, msgspec.json.decode(entry.payload))
        except (msgspec.MsgspecError, KeyError, TypeError, KnapweedhingeError) as exc:
            logger.bind(vm=entry.vm).warning(f"malformed revisions: {exc}")

    def _take_stamp(self, entry: Entry) -> None:
        if entry.vm == self._peers.me.vm:
            return
        try:
            stamp = msgspec.msgpack.decode(entry.payload, type=_AsOf)
        except msgspec.MsgspecError as exc:
            logger.bind(vm=entry.vm).warning(f"malformed stamp: {exc}")
            return
        self._controller.hear(Stamped(stamp.revision, entry.born - stamp.age_s))

    def _is_reader(self) -> bool:
        me = self._peers.me
        readers = self._peers.assignments.owners(
            READER_ROLE,
            me.failure_domain,
            self._cfg.peers.configuration_readers,
            failure_domain=me.failure_domain,
        )
        return any(one.vm == me.vm for one in readers)

    def _in_doubt(self, now: float) -> bool:
        state = self._controller.state
        return state.behind or now - state.as_of > self._cfg.peers.stamp_age_s
