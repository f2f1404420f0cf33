"""Serve the calls that wait for an endpoint at this node in the order of their need."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from knapweedhinge.routing.placement import NoPlacement, Placement

OrderKey = tuple[float, ...]
# Calls for which endpoints are looked through when one may have come free. More would
# cost a node that many calls flood the time to serve any.
MOST_TRIED = 8


@dataclass(slots=True, eq=False)
class _Waiter:
    order: Callable[[], OrderKey]
    attempt: Callable[[], Placement | NoPlacement]
    placed: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    result: Placement | NoPlacement | None = None


class WaitingCalls:
    """The calls of each service that wait for an endpoint.

    A waiting call whose turn it is, but for which no endpoint is free, doesn't keep
    back the next one: it may have tried the endpoint that is free.
    """

    def __init__(self):
        self._waiters: dict[str, list[_Waiter]] = {}
        # Services of which a call was placed that doesn't count as work there yet.
        self._placing: set[str] = set()

    def count(self, service: str) -> int:
        """Return how many calls wait for an endpoint of the service."""
        return len(self._waiters.get(service, ()))

    async def place(
        self,
        service: str,
        order: Callable[[], OrderKey],
        attempt: Callable[[], Placement | NoPlacement],
        max_wait_s: float,
        check_s: float,
    ) -> Placement | NoPlacement:
        """Return the endpoint found by ``attempt``, or why none came free in time.

        ``attempt`` is called in the order of the least ``order`` whenever an endpoint
        may have come free, at the latest every ``check_s`` seconds.
        """
        loop = asyncio.get_running_loop()
        waiter = _Waiter(order, attempt)
        self._waiters.setdefault(service, []).append(waiter)
        end_at = loop.time() + max_wait_s
        try:
            while True:
                self.wake(service)
                if not waiter.placed.done() and service not in self._placing:
                    # Others may be before it for whom nothing is free.
                    self._try(service, waiter)
                left_s = end_at - loop.time()
                is_final = (
                    isinstance(waiter.result, NoPlacement) and waiter.result.is_final
                )
                if waiter.placed.done() or left_s <= 0 or is_final:
                    return waiter.result or waiter.attempt()
                await asyncio.wait((waiter.placed,), timeout=min(check_s, left_s))
                if waiter.placed.done():
                    return waiter.result
        finally:
            self._leave(service, waiter)
            if waiter.placed.done():
                loop.call_soon(self._counted, service)
            else:
                loop.call_soon(self.wake, service)

    def wake(self, service: str) -> None:
        """Place the first waiting call for which an endpoint is free.

        The next one is placed when that call counts as work at its endpoint, since it
        might take the same place.
        """
        if service in self._placing:
            return
        for waiter in sorted(self._waiters.get(service, ()), key=_order)[:MOST_TRIED]:
            if self._try(service, waiter):
                return

    def _try(self, service: str, waiter: _Waiter) -> bool:
        """Place a waiting call if an endpoint is free; return whether one was."""
        waiter.result = waiter.attempt()
        if not isinstance(waiter.result, Placement):
            return False
        self._leave(service, waiter)
        self._placing.add(service)
        waiter.placed.set_result(None)
        return True

    def _leave(self, service: str, waiter: _Waiter) -> None:
        waiters = self._waiters.get(service, [])
        if waiter in waiters:
            waiters.remove(waiter)
            if not waiters:
                del self._waiters[service]

    def _counted(self, service: str) -> None:
        self._placing.discard(service)
        self.wake(service)


def _order(waiter: _Waiter) -> OrderKey:
    return waiter.order()
