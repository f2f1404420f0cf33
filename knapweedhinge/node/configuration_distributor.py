"""Distribute the configuration among nodes, so that few of them poll the platform."""

import msgspec
from loguru import logger

from knapweedhinge.conf import NodeSettings
from knapweedhinge.controllers.configuration_controller import (
    ConfigurationController,
    handle_packed_revisions,
    pack_revision,
)
from knapweedhinge.controllers.configuration_records import Revision
from knapweedhinge.controllers.configuration_state import RevisionConfirmed
from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.peers import Entry, Peers
from knapweedhinge.peers.topics import CONFIGURATION, CONFIRMED_REVISION

READER_ROLE = "configuration-reader"
NEWEST_KEY = "newest"  # key of the one gossip entry that carries the newest revisions
MAX_PUSHED_REVISIONS = 16  # revisions in one gossip entry
# Interval of the timer whose gaps reveal that the process was paused.
PAUSE_CHECK_INTERVAL_S = 0.25
MS_PER_S = 1_000


class _ConfirmationStamp(msgspec.Struct, array_like=True, frozen=True):
    """State how recently a reader confirmed the configuration with the platform.

    ``revision`` contains every change accepted up to ``age_s`` seconds before the
    stamp was published.
    """

    revision: int
    age_s: float


class ConfigurationDistributor:
    """Poll the platform on a few nodes and gossip what they read to the others.

    The nodes assigned as readers of their failure domain poll at every interval and
    publish new revisions and confirmation stamps. Any other node applies what it
    receives, and polls only while its own configuration is stale.
    """

    def __init__(
        self, cfg: NodeSettings, controller: ConfigurationController, peers: Peers
    ):
        self._cfg = cfg
        self._controller = controller
        self._peers = peers
        self._published_revision = 0
        peers.subscribe(CONFIGURATION).subscribe(self._receive_revisions)
        peers.subscribe(CONFIRMED_REVISION).subscribe(self._receive_stamp)

    def start(self, tasks: PeriodicTasks) -> None:
        """Start polling, and the timer that detects pauses of the process."""
        tasks.start(self.poll, self._cfg.platform.poll_s)
        tasks.start(self.tick, PAUSE_CHECK_INTERVAL_S)

    async def tick(self) -> None:
        """Record a timer tick; a long gap between ticks reveals a paused process."""
        self._controller.tick()

    async def poll(self) -> None:
        """Poll the platform if this node is a reader or its configuration is stale.

        A reader then publishes the new revisions and a confirmation stamp.
        """
        is_reader = self._is_reader()
        if not is_reader and not self._is_stale(self._controller.now()):
            return
        await self._controller.poll()
        if is_reader:
            self._publish_stamp()
            await self.publish_newest()

    async def publish_newest(self) -> None:
        """Publish to the peers the revisions that this node hasn't published yet.

        Of these, at most the newest ``MAX_PUSHED_REVISIONS`` are sent.
        """
        current = self._controller.state.revision
        if current <= self._published_revision:
            return
        after = max(self._published_revision, current - MAX_PUSHED_REVISIONS)
        revisions = await self._controller.store.read_after(after)
        self._publish(revisions)

    def _publish(self, revisions: tuple[Revision, ...]) -> None:
        if not revisions:
            return
        newest = revisions[-1].number
        payload = msgspec.json.encode(
            [pack_revision(revision) for revision in revisions]
        )
        self._peers.publish(CONFIGURATION, NEWEST_KEY, newest, payload)
        self._published_revision = newest

    def _publish_stamp(self) -> None:
        state = self._controller.state
        now = self._controller.now()
        stamp = _ConfirmationStamp(state.revision, now - state.as_of)
        payload = msgspec.msgpack.encode(stamp)
        version = int(now * MS_PER_S)
        self._peers.publish(CONFIRMED_REVISION, self._peers.me.vm, version, payload)

    def _receive_revisions(self, entry: Entry) -> None:
        if entry.vm == self._peers.me.vm:
            return
        try:
            handle_packed_revisions(
                self._controller, msgspec.json.decode(entry.payload)
            )
        except (msgspec.MsgspecError, KeyError, TypeError, KnapweedhingeError) as exc:
            logger.bind(vm=entry.vm).warning(f"malformed revisions: {exc}")

    def _receive_stamp(self, entry: Entry) -> None:
        if entry.vm == self._peers.me.vm:
            return
        try:
            stamp = msgspec.msgpack.decode(entry.payload, type=_ConfirmationStamp)
        except msgspec.MsgspecError as exc:
            logger.bind(vm=entry.vm).warning(f"malformed confirmation stamp: {exc}")
            return
        self._controller.handle_event(
            RevisionConfirmed(stamp.revision, entry.published_at - stamp.age_s)
        )

    def _is_reader(self) -> bool:
        me = self._peers.me
        readers = self._peers.assignments.owners(
            READER_ROLE,
            me.failure_domain,
            self._cfg.peers.configuration_readers,
            failure_domain=me.failure_domain,
        )
        return any(reader.vm == me.vm for reader in readers)

    def _is_stale(self, now: float) -> bool:
        """Return whether the configuration may be outdated.

        That is, whether a newer revision is known to exist, or the last confirmation is
        older than ``stamp_age_s`` seconds.
        """
        state = self._controller.state
        return state.behind or now - state.as_of > self._cfg.peers.stamp_age_s
