"""Client of the rating service, which rates a sample of the answers with a delay."""

from collections.abc import Callable
from random import Random

import aiohttp
import msgspec

from knapweedhinge.backing.breaker import Breaker
from knapweedhinge.backing.channel import Channel, ChannelState, expect_status
from knapweedhinge.backing.types import RatingPage
from knapweedhinge.conf.node import PlatformSettings


class RatingClient:
    """Submit answers for rating and fetch the ratings."""

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
            "ratings", cfg, session, breaker, clock, rng or Random()
        )

    async def submit(self, request_id: str, version: str, class_id: str) -> None:
        """Ask the service to rate the answer to a request.

        Submitting a request id twice has no further effect, so failed calls are
        retried.
        """
        body = {"request_id": request_id, "version": version, "class_id": class_id}
        data = msgspec.json.encode(body)
        expect_status(await self._channel.repeat("POST", "/v1/ratings", data=data), 202)

    async def fetch(self, after: str) -> RatingPage:
        """Return a page of ratings after the cursor; an empty cursor is the start."""
        answer = await self._channel.read("/v1/ratings", params={"after": after})
        return expect_status(answer, 200).decode(RatingPage)

    def state(self, now: float) -> ChannelState:
        """Return the counters and the breaker state, for the state dump."""
        return self._channel.state(now)
