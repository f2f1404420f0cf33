"""Probing of neighbours, directly and through other members.

Follows SWIM: a neighbour that doesn't answer a direct probe is probed by a few other
members before it is suspected.
"""

import asyncio
from collections.abc import Callable
from random import Random

from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers.links import LinkPool
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.probing import (
    LocalHealth,
    ProbeOutcome,
    ProbeSchedule,
    indicates_failure,
)
from knapweedhinge.peers.sessions import SessionClient
from knapweedhinge.peers.tasks import Tasks
from knapweedhinge.peers.views import Fleet


class FailureDetector:
    """Probes neighbours and reports those that neither it nor its helpers can reach.

    ``on_suspect`` gets the VM of such a neighbour, ``on_pause`` the time at which a
    pause of this process was noticed. ``last_heard_at`` returns the time of the last
    message from a VM.
    """

    def __init__(
        self,
        cfg: PeerSettings,
        links: LinkPool,
        client: SessionClient,
        *,
        clock: Callable[[], float],
        rng: Random,
        on_suspect: Callable[[str], None],
        on_pause: Callable[[float], None],
        last_heard_at: Callable[[str], float],
    ):
        self._cfg = cfg
        self._links = links
        self._client = client
        self._clock = clock
        self._rng = rng
        self._on_suspect = on_suspect
        self._on_pause = on_pause
        self._last_heard_at = last_heard_at
        self._schedule = ProbeSchedule(cfg, rng)
        self._probing: set[str] = set()
        self._tasks = Tasks()
        self.health = LocalHealth(cfg, clock())

    def set_neighbours(self, vms: tuple[str, ...], now: float) -> None:
        """Replace the set of neighbours to probe."""
        self._schedule.set_neighbours(vms, now)

    def tick(self, fleet: Fleet, now: float) -> None:
        """Start the probes that are due, at most one per neighbour at a time."""
        for vm in self._schedule.due(self._last_heard_at, now):
            member = fleet.members.get(vm)
            if member is not None and vm not in self._probing:
                self._probing.add(vm)
                self._tasks.spawn(self._probe(member, fleet))

    def detect_pause(self, now: float) -> None:
        """Report a pause of this process; call it before any timeout is evaluated."""
        if self.health.detect_pause(now):
            self._on_pause(now)

    def probe_soon(self, vm: str) -> None:
        """Probe a neighbour at the next tick, as its connection broke."""
        self._schedule.probe_soon(vm)

    async def is_reachable(self, member: Member, timeout_s: float) -> bool:
        """Return whether a member answers a probe within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                link = await self._links.get_or_dial(member, timeout_s, force=True)
                await self._client.probe(link, timeout_s)
        except (PeerError, TimeoutError):
            return False
        return True

    async def stop(self) -> None:
        """Cancel all running probes."""
        await self._tasks.stop()

    async def _probe(self, member: Member, fleet: Fleet) -> None:
        try:
            outcome = await self._probe_outcome(member, fleet)
        finally:
            self._probing.discard(member.vm)
        self.detect_pause(self._clock())
        if indicates_failure(outcome, self.health):
            self._on_suspect(member.vm)

    async def _probe_outcome(self, member: Member, fleet: Fleet) -> ProbeOutcome:
        started = self._clock()
        timeout_s = self.health.scale_timeout_s(self._cfg.probe_timeout_s)
        if await self.is_reachable(member, timeout_s):
            return ProbeOutcome(member.vm, started, True)
        helpers = self._helpers(member, fleet)
        requests = (
            self._ask_helper(helper, member.vm, timeout_s) for helper in helpers
        )
        answers = [a for a in await asyncio.gather(*requests) if a is not None]
        return ProbeOutcome(
            member.vm, started, False, len(helpers), len(answers), sum(answers)
        )

    def _helpers(self, member: Member, fleet: Fleet) -> list[Member]:
        """Return up to ``fanout`` random members of this or the member's region."""
        candidates = [
            other
            for other in fleet.active
            if other.vm not in (member.vm, self._links.vm)
            and other.region in (member.region, self._links.region)
        ]
        return self._rng.sample(candidates, min(self._cfg.fanout, len(candidates)))

    async def _ask_helper(
        self, helper: Member, vm: str, timeout_s: float
    ) -> bool | None:
        try:
            # One timeout to get the link, and two for the call, see probe_indirectly.
            async with asyncio.timeout(3 * timeout_s):
                link = await self._links.get_or_dial(helper, timeout_s, force=True)
                return await self._client.probe_indirectly(link, vm, timeout_s)
        except (PeerError, TimeoutError):
            return None
