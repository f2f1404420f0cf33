"""Client of the platform's weight store, which limits the rate of calls."""

from collections.abc import Callable
from random import Random

import aiohttp

from knapweedhinge.backing.breaker import Breaker
from knapweedhinge.backing.channel import Channel, ChannelState, expect_status
from knapweedhinge.backing.types import Weights
from knapweedhinge.conf.node import PlatformSettings


class WeightClient:
    """Look up the stored weights of model versions."""

    def __init__(
        self,
        cfg: PlatformSettings,
        session: aiohttp.ClientSession,
        breaker: Breaker,
        clock: Callable[[], float],
        *,
        rng: Random | None = None,
    ):
        self._channel = Channel(
            "weights", cfg, session, breaker, clock, rng or Random()
        )

    async def find(self, version: str) -> Weights | None:
        """Return the weights of a version, or None if none are stored.

        Raises PlatformError PLATFORM_RATE_LIMITED with ``retry_after_s`` if the store
        limits the rate; the call is not retried then.
        """
        answer = await self._channel.read("/v1/weights", params={"version": version})
        if expect_status(answer, 200, 404).status == 404:
            return None
        return answer.decode(Weights)

    def state(self, now: float) -> ChannelState:
        """Return the counters and the breaker state, for the state dump."""
        return self._channel.state(now)
