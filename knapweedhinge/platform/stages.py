"""Write the stages of roll-outs to the store, for nodes and for operators."""

from collections.abc import Iterable

from knapweedhinge.controllers.fleet import ReleaseStaged
from knapweedhinge.core.exceptions import RowConflictError
from knapweedhinge.platform import wire
from knapweedhinge.platform.eras import ABSENT
from knapweedhinge.platform.feeds import Feeds, RowChange
from knapweedhinge.platform.store import Put, Row, Rows, Store
from knapweedhinge.routing.releases import Release, Stage


class StageRecorder:
    """Writer of the two rows of each roll-out.

    One holds the stage for the nodes, the other the state that operators read.
    """

    def __init__(self, store: Store, feeds: Feeds):
        self._store = store
        self._feeds = feeds

    def to_store_clock(self, now: float) -> float:
        """Convert ``now`` of the local clock into the store's clock, in seconds."""
        return now + self._store.clock_offset_s

    def lost(self, services: Iterable[str], now: float) -> tuple[ReleaseStaged, ...]:
        """Return the stages that the store lost when it returned from a copy."""
        return self._feeds.lost_stages(services, now)

    async def record(self, release: Release, stage: Stage, began_at: float) -> None:
        """Write a roll-out's stage; ``began_at`` is in seconds on the store's clock.

        If another node has written a stage meanwhile, adopt its row instead. Raise
        PlatformError if the store fails.
        """
        key = wire.STAGE_PREFIX + release.service
        previous = self._feeds.mirror.row(wire.STATUS_TABLE, key)
        body = wire.StageBody(release.version, str(stage), began_at)
        status = wire.RolloutStatusBody(wire.OPERATOR_STATES[stage], release.version)
        value = wire.encode(body)
        status_key = wire.ROLLOUT_PREFIX + release.service
        puts = (
            Put(
                wire.STATUS_TABLE,
                key,
                value,
                ABSENT
                if previous is None or previous.value is None
                else previous.version,
            ),
            Put(wire.STATUS_TABLE, status_key, wire.encode(status)),
        )
        try:
            written: Rows = await self._store.write(puts)
        except RowConflictError as exc:
            for row in exc.rows:
                change = RowChange(wire.STATUS_TABLE, row, is_new=True)
                self._feeds.apply(change, publish=True)
            return
        row = Row(key, written.version, value)
        change = RowChange(wire.STATUS_TABLE, row, is_new=True)
        self._feeds.apply(change, publish=True)
