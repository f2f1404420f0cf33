"""Client of the platform's list of VMs, which is updated with a delay."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import aiohttp

from knapweedhinge.backing.breaker import Breaker
from knapweedhinge.backing.channel import Channel, ChannelState, expect_status
from knapweedhinge.backing.types import Vm
from knapweedhinge.conf.node import PlatformSettings


@dataclass(frozen=True)
class _Vms:
    vms: tuple[Vm, ...]


class VmListClient:
    """Read the platform's list of live and leaving VMs."""

    def __init__(
        self,
        cfg: PlatformSettings,
        session: aiohttp.ClientSession,
        breaker: Breaker,
        clock: Callable[[], float],
        *,
        rng: Random | None = None,
    ):
        self._channel = Channel("vms", cfg, session, breaker, clock, rng or Random())

    async def list(self) -> tuple[Vm, ...]:
        """Return all VMs in the list, which may lag behind their actual state."""
        answer = await self._channel.read("/v1/vms")
        return expect_status(answer, 200).decode(_Vms).vms

    def state(self, now: float) -> ChannelState:
        """Return the counters and the breaker state, for the state dump."""
        return self._channel.state(now)
