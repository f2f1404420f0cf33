"""Tell an endpoint whose address another one got from one that refused a call.

Both refuse with the same status. The first may get no calls until its address is its
own again; the second is sound, and the refused call alone is at fault.
"""

import asyncio

from loguru import logger

from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.http1 import Pool, PoolSettings
from knapweedhinge.platform.headers import encode_identity_check, names_other_endpoint
from knapweedhinge.routing.load import EndpointView

CHECK_TIMEOUT_S = 1.0
# Least time between two checks of a sound endpoint, however many calls it refuses.
CHECK_INTERVAL_S = 1.0
FIRST_PAUSE_S = 1.0  # of an endpoint whose address another one has; doubled each time
MAX_PAUSE_S = 8.0


class IdentityChecker:
    """Ask endpoints that refused a call as not meant for them who they are.

    An endpoint whose address is another's is paused and asked again until it answers
    itself, or its record is gone or changed. Those that can't be asked stay in use.
    """

    def __init__(self, ctx: RelayContext):
        self._ctx = ctx
        # When the last check of each endpoint began, by id and incarnation.
        self._checked_at: dict[tuple[str, str], float] = {}
        self._running: set[tuple[str, str]] = set()

    def is_due(self, endpoint: EndpointView, now: float) -> bool:
        """Return whether an endpoint that refused a call is to be checked now."""
        oldest = now - CHECK_INTERVAL_S
        self._checked_at = {
            process: at for process, at in self._checked_at.items() if at > oldest
        }
        process = endpoint.id, endpoint.incarnation
        return process not in self._running and process not in self._checked_at

    async def check(self, endpoint: EndpointView) -> None:
        """Ask an endpoint who it is; keep it paused for as long as another answers."""
        process = endpoint.id, endpoint.incarnation
        self._checked_at[process] = self._ctx.clock()
        self._running.add(process)
        log = logger.bind(endpoint=endpoint.id)
        pause_s = FIRST_PAUSE_S
        try:
            while self._is_known(endpoint) and await self._is_replaced(endpoint):
                log.bind(pause_s=pause_s).warning(
                    "another endpoint answers at its address"
                )
                # Calls are to wait for the next check's result, too.
                self._ctx.health.asked_to_wait(
                    endpoint.id, pause_s + CHECK_TIMEOUT_S, self._ctx.clock()
                )
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
        finally:
            self._running.discard(process)

    def _is_known(self, endpoint: EndpointView) -> bool:
        known = self._ctx.fleet.view.endpoints.by_id.get(endpoint.id)
        return known is not None and (known.incarnation, known.url) == (
            endpoint.incarnation,
            endpoint.url,
        )

    async def _is_replaced(self, endpoint: EndpointView) -> bool:
        """Ask on a connection of its own; one that is open shows nothing new."""
        catalog = self._ctx.fleet.view.catalog
        service = catalog.services.get(endpoint.service) if catalog else None
        if service is None:
            return False
        ip, _, port = endpoint.url.removeprefix("http://").rpartition(":")
        pool = Pool(PoolSettings(), ip, int(port), max_open=1)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                channel = await pool.acquire(self._ctx.clock())
                channel.send(
                    encode_identity_check(service.health_path, endpoint),
                    lambda headers: True,
                )
                head = await channel.head()
        except (KnapweedhingeError, OSError, TimeoutError) as exc:
            logger.bind(endpoint=endpoint.id).info(f"identity not checked: {exc!r}")
            return False
        finally:
            pool.close_all()
        return names_other_endpoint(head, endpoint.id)
