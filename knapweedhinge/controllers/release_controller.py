"""Advance roll-outs of service releases from stage to stage.

One node of the deployment does this for each service at a time. If two nodes both act
as the owner, no harm results: a stage is written only if the previous one is unchanged.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from loguru import logger

from knapweedhinge.conf.relay import Promises
from knapweedhinge.controllers.fleet import FleetTracker, ReleaseStaged
from knapweedhinge.controllers.release_tracker import ReleaseTracker
from knapweedhinge.core.exceptions import PlatformError
from knapweedhinge.routing.releases import (
    FINAL_STAGES,
    Observed,
    Release,
    Stage,
    next_stage,
)


class StageRecords(Protocol):
    """Shared store in which stages are recorded for all nodes and for operators."""

    def to_store_clock(self, now: float) -> float:
        """Return the store's clock in seconds at the monotonic time ``now``."""

    async def record(self, release: Release, stage: Stage, began_at: float) -> None:
        """Write a stage unless another one was written in the meantime.

        ``began_at`` is the start of the roll-out on the store's clock, in seconds.
        Raises PlatformError if the store can't be reached.
        """

    def lost(self, services: Iterable[str], now: float) -> tuple[ReleaseStaged, ...]:
        """Return the stages that the store lost and that must be written again."""


class ReleaseController:
    """Advance the roll-outs that this node owns, at each call of ``step``.

    ``is_owner(service)`` tells whether this node is the one to advance the roll-outs of
    a service. ``promises`` hold the share of calls that a release may receive in the
    period of its roll-out.
    """

    def __init__(
        self,
        fleet: FleetTracker,
        release_tracker: ReleaseTracker,
        records: StageRecords,
        is_owner: Callable[[str], bool],
        promises: Promises,
    ):
        self._fleet = fleet
        self._release_tracker = release_tracker
        self._records = records
        self._is_owner = is_owner
        self._promises = promises
        # Time on the store's clock, in seconds, at which this node recorded or first
        # saw that all traffic goes to a release.
        self._traffic_moved_at: dict[Release, float] = {}
        # Known answers of a service when this node first saw a roll-out, by service and
        # version.
        self._calls_before: dict[tuple[str, str], int] = {}
        self._doubted: set[Release] = set()  # stages whose doubts were logged

    def running(self) -> list[Release]:
        """Return the roll-outs that are not in a final stage."""
        view = self._fleet.view
        releases = (view.release(service) for service in view.orders)
        return [item for item in releases if item and item.stage not in FINAL_STAGES]

    async def step(self, now: float) -> None:
        """Advance each roll-out that this node owns by one stage, if that is due.

        ``now`` is the node's monotonic clock in seconds.
        """
        self._forget_ended()
        await self._write_lost(now)
        for release in self.running():
            key = release.service, release.version
            if key not in self._calls_before:
                calls = self._release_tracker.calls(release.service)
                self._calls_before[key] = calls.total()
            if self._is_owner(release.service):
                await self._step(release, now)

    async def _write_lost(self, now: float) -> None:
        """Write the stages again that the store lost as it returned from a copy."""
        for staged in self._records.lost(self._fleet.view.stages, now):
            if self._is_owner(staged.service):
                release = Release(
                    staged.service, staged.version, 0.0, staged.stage, staged.began_at
                )
                await self._record(
                    release, staged.stage, staged.began_at, "lost by the store"
                )

    def _forget_ended(self) -> None:
        """Drop data of ended roll-outs, so that it can't affect a later one."""
        view = self._fleet.view
        for release in map(view.release, view.orders):
            if release is not None and release.stage is Stage.ROLLED_BACK:
                self._release_tracker.forget(release.service, release.version)
        running = set(self.running())
        self._traffic_moved_at = {
            item: moved_at
            for item, moved_at in self._traffic_moved_at.items()
            if item in running
        }
        self._doubted &= running
        keys = {(item.service, item.version) for item in running}
        self._release_tracker.keep_starts(keys)
        self._calls_before = {
            key: calls for key, calls in self._calls_before.items() if key in keys
        }

    async def _step(self, release: Release, now: float) -> None:
        staged = self._fleet.view.stages.get(release.service)
        store_now = self._records.to_store_clock(now)
        if staged is None or staged.version != release.version:
            await self._record(release, Stage.TRIAL, store_now, "ordered")
            return
        observed = self._observe(release, store_now)
        stage = next_stage(release, observed, self._promises, store_now)
        if stage is None:
            self._log_doubts(release, observed)
            return
        reason = observed.verdict.reason
        recorded = await self._record(release, stage, release.began_at, reason)
        if recorded and stage is Stage.MOVING:
            self._traffic_moved_at[replace(release, stage=stage)] = store_now

    def _log_doubts(self, release: Release, observed: Observed) -> None:
        if observed.verdict.doubtful and release not in self._doubted:
            self._doubted.add(release)
            logger.bind(
                service=release.service,
                version=release.version,
                stage=str(release.stage),
                reason=observed.verdict.reason,
            ).info("roll-out watched for longer")

    def _observe(self, release: Release, store_now: float) -> Observed:
        tracker = self._release_tracker
        calls = tracker.calls(release.service)
        before = self._calls_before[release.service, release.version]
        return Observed(
            tracker.verdict(release),
            calls=calls.total() - before,
            new_calls=calls[release.version],
            old_in_use=tracker.old_in_use(release),
            moved_s=self._seconds_since_move(release, store_now),
        )

    def _seconds_since_move(self, release: Release, store_now: float) -> float:
        """Return for how many seconds this node has seen all traffic on a release."""
        if release.stage is not Stage.MOVING:
            return 0.0
        return store_now - self._traffic_moved_at.setdefault(release, store_now)

    async def _record(
        self, release: Release, stage: Stage, began_at: float, reason: str
    ) -> bool:
        """Record a stage; return False, and log why, if the store can't be reached."""
        log = logger.bind(
            service=release.service,
            version=release.version,
            before=str(release.stage),
            stage=str(stage),
            reason=reason,
            old_in_use=self._release_tracker.old_in_use(release),
        )
        try:
            await self._records.record(release, stage, began_at)
        except PlatformError as exc:
            log.warning(f"roll-out stage not recorded yet: {exc}")
            return False
        log.info("roll-out stage recorded")
        return True
