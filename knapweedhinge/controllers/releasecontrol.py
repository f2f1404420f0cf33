"""Take roll-outs from stage to stage, on one node of the deployment at a time.

Two nodes that both think it is their turn do no harm: each stage is written on the
condition that the one before it still stands.
"""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from knapweedhinge.controllers.fleet import FleetTracker
from knapweedhinge.controllers.releasebook import ReleaseBook
from knapweedhinge.core.exceptions import PlatformError
from knapweedhinge.routing.releases import FINAL, Release, Stage, next_stage


class StageRecords(Protocol):
    """Where stages are recorded for all nodes and for operators."""

    def store_now(self, now: float) -> float:
        """Return the store's clock at ``now``, in seconds."""

    async def record(self, release: Release, stage: Stage, began_at: float) -> None:
        """Write a stage unless another one was written meanwhile."""


class ReleaseControl:
    """Look at the roll-outs again and again; ``is_owner`` tells whose turn it is."""

    def __init__(
        self,
        fleet: FleetTracker,
        book: ReleaseBook,
        records: StageRecords,
        is_owner: Callable[[str], bool],
    ):
        self._fleet = fleet
        self._book = book
        self._records = records
        self._is_owner = is_owner
        # When this node first saw all traffic move to a release, on the store's clock.
        self._moved_at: dict[Release, float] = {}

    def running(self) -> list[Release]:
        """Return the roll-outs that are not at their end."""
        view = self._fleet.view
        releases = (view.release(service) for service in view.orders)
        return [one for one in releases if one and one.stage not in FINAL]

    async def step(self, now: float) -> None:
        """Take each roll-out of this node's one stage on, if it is due."""
        self._forget_ended()
        for release in self.running():
            if self._is_owner(release.service):
                await self._step(release, now)

    def _forget_ended(self) -> None:
        """Keep what was seen of one roll-out from the judgement of the next one."""
        view = self._fleet.view
        for release in map(view.release, view.orders):
            if release is not None and release.stage is Stage.ROLLED_BACK:
                self._book.forget(release.service, release.version)
        running = set(self.running())
        self._moved_at = {k: v for k, v in self._moved_at.items() if k in running}

    async def _step(self, release: Release, now: float) -> None:
        staged = self._fleet.view.stages.get(release.service)
        store_now = self._records.store_now(now)
        if staged is None or staged.version != release.version:
            await self._record(release, Stage.TRIAL, store_now, "ordered")
            return
        verdict = self._book.verdict(release)
        in_use = self._book.old_in_use(release)
        moved_s = self._moved_s(release, store_now)
        stage = next_stage(release, verdict, in_use, moved_s, store_now)
        if stage is not None:
            await self._record(release, stage, release.began_at, verdict.reason)

    def _moved_s(self, release: Release, store_now: float) -> float:
        """Return for how long all traffic has gone to a release, as far as we saw."""
        if release.stage is not Stage.MOVING:
            return 0.0
        return store_now - self._moved_at.setdefault(release, store_now)

    async def _record(
        self, release: Release, stage: Stage, began_at: float, reason: str
    ) -> None:
        log = logger.bind(
            service=release.service,
            version=release.version,
            before=str(release.stage),
            stage=str(stage),
            reason=reason,
            old_in_use=self._book.old_in_use(release),
        )
        try:
            await self._records.record(release, stage, began_at)
        except PlatformError as exc:
            log.warning(f"roll-out stage not recorded yet: {exc}")
            return
        log.info("roll-out stage recorded")
