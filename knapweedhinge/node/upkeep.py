"""Run a node's periodic jobs on VMs, endpoint statuses, ratings and claims."""

import asyncio

from knapweedhinge.backing import Platform
from knapweedhinge.controllers.endpoints import StatusFailed, StatusRead, VmsListed
from knapweedhinge.core.exceptions import EndpointError
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.filters import Context
from knapweedhinge.routing.load import EndpointView

MAX_RATINGS_PER_ROUND = 50  # answers submitted for rating in one round
RATINGS_INTERVAL_S = 2.0  # between exchanges of ratings
CLAIM_SETTLE_INTERVAL_S = 0.5  # between writes of pending claim outcomes


class Upkeep:
    """Keep the node's state up to date; each method is one round of one job."""

    def __init__(self, ctx: Context, platform: Platform):
        self._ctx = ctx
        self._state = ctx.state
        self._platform = platform
        self._ratings_cursor = ""

    def start(self, tasks: PeriodicTasks) -> None:
        """Start every periodic job."""
        cfg = self._ctx.settings
        tasks.start(self.poll_vms, cfg.platform.vm_list_s)
        tasks.start(self.watch_endpoints, cfg.endpoints.status_s)
        tasks.start(self.exchange_ratings, RATINGS_INTERVAL_S)
        tasks.start(self._ctx.claims.settle, CLAIM_SETTLE_INTERVAL_S)

    async def poll_vms(self) -> None:
        """Read the platform's list of VMs, which names the endpoints."""
        vms = await self._platform.vms.list()
        self._state.endpoint_events.on_next(VmsListed(vms))

    async def watch_endpoints(self) -> None:
        """Read the status of every known endpoint, concurrently."""
        views = self._state.current.endpoints.index.by_id.values()
        events = await asyncio.gather(*(self._read_status(view) for view in views))
        for event in events:
            self._state.endpoint_events.on_next(event)

    async def exchange_ratings(self) -> None:
        """Submit answers for rating, and fetch the ratings that are ready."""
        ratings, learning = self._platform.ratings, self._ctx.learning
        for answer in learning.rating_queue[:MAX_RATINGS_PER_ROUND]:
            await ratings.submit(answer.request_id, answer.plan, answer.class_id)
            learning.rating_queue.remove(answer)
        page = await ratings.fetch(self._ratings_cursor)
        self._ratings_cursor = page.cursor
        for rating in page.ratings:
            learning.rated(rating, self._ctx.clock())

    async def _read_status(self, view: EndpointView) -> StatusRead | StatusFailed:
        try:
            return StatusRead(await self._ctx.engines.status(view, self._ctx.clock()))
        except EndpointError:
            return StatusFailed(view.id)
