"""Clients of all the platform's services, which share one connection pool."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import aiohttp

from knapweedhinge.backing.breaker import Breaker
from knapweedhinge.backing.budget import BudgetState, CallBudget
from knapweedhinge.backing.channel import ChannelState
from knapweedhinge.backing.objects import ObjectClient
from knapweedhinge.backing.ratings import RatingClient
from knapweedhinge.backing.tables import TableClient
from knapweedhinge.backing.vms import VmListClient
from knapweedhinge.backing.weights import WeightClient
from knapweedhinge.conf.node import PlatformSettings

MAX_CONNECTIONS = 16  # size of the connection pool


@dataclass(frozen=True)
class PlatformState:
    """State of the clients for the state dump."""

    url: str
    services: tuple[ChannelState, ...]
    budget: BudgetState


@dataclass(frozen=True)
class Platform:
    """Clients of the platform's services.

    ``breaker`` is the circuit breaker of the table service, on which the node depends
    most. Each other service has its own breaker, so that an outage of one doesn't
    stop calls to the rest.
    """

    cfg: PlatformSettings
    tables: TableClient
    objects: ObjectClient
    vms: VmListClient
    weights: WeightClient
    ratings: RatingClient
    breaker: Breaker
    budget: CallBudget
    session: aiohttp.ClientSession

    def state(self, now: float) -> PlatformState:
        """Return the state of all clients; ``now`` comes from the clients' clock."""
        clients = (self.tables, self.objects, self.vms, self.weights, self.ratings)
        return PlatformState(
            url=self.cfg.url,
            services=tuple(client.state(now) for client in clients),
            budget=self.budget.state(now),
        )

    async def close(self) -> None:
        """Close the connection pool."""
        await self.session.close()


async def connect(
    cfg: PlatformSettings,
    *,
    clock: Callable[[], float] = time.monotonic,
    rng: Random | None = None,
) -> Platform:
    """Return clients of the platform, without connecting to it yet.

    It is a coroutine because the connection pool needs a running event loop. ``clock``
    returns the current time in seconds; ``rng`` supplies the jitter.
    """
    rng = rng or Random()
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    session = aiohttp.ClientSession(connector=connector)
    budget = CallBudget(clock())
    breaker = Breaker(cfg, rng)
    shared = {"rng": rng, "budget": budget}
    return Platform(
        cfg=cfg,
        tables=TableClient(cfg, session, breaker, clock, **shared),
        objects=ObjectClient(cfg, session, Breaker(cfg, rng), clock, **shared),
        vms=VmListClient(cfg, session, Breaker(cfg, rng), clock, rng=rng),
        weights=WeightClient(cfg, session, Breaker(cfg, rng), clock, rng=rng),
        ratings=RatingClient(cfg, session, Breaker(cfg, rng), clock, rng=rng),
        breaker=breaker,
        budget=budget,
        session=session,
    )
