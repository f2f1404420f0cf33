"""Failure detection: when to probe, and when a failed probe is an accusation.

A node doubts itself first. After a pause of its own loop every probe begun before is
void; after failures that could be its own it waits longer; and where enough helpers
were asked, silence from all of them accuses the asker's network, not the member.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from knapweedhinge.conf.node import PeerSettings

MAX_SCORE = 4
MIN_HELPERS_FOR_LOCAL_FAULT = 3
PROBE_JITTER = 0.2


@dataclass(frozen=True)
class ProbeOutcome:
    """What became of one direct probe and the indirect ones after it.

    ``helpers_answered`` of the ``helpers_asked`` helpers replied at all,
    ``helpers_reaching`` of them reached
    the member.
    """

    vm: str
    started: float
    answered_directly: bool
    helpers_asked: int = 0
    helpers_answered: int = 0
    helpers_reaching: int = 0


class LocalHealth:
    """How far a node may trust its own clock and network."""

    def __init__(self, cfg: PeerSettings, now: float):
        self._pause_s = 2 * cfg.probe_timeout_s
        self._last_tick_at = now
        self._resumed_at = now
        self.score = 0

    def detect_pause(self, now: float) -> bool:
        """Note that the loop runs; returns whether it had paused before."""
        paused = now - self._last_tick_at > self._pause_s
        self._last_tick_at = now
        if paused:
            self._resumed_at = now
            self.record_failure()
        return paused

    def record_success(self) -> None:
        """Note a success."""
        self.score = max(0, self.score - 1)

    def record_failure(self) -> None:
        """Note a failure that may be our own."""
        self.score = min(MAX_SCORE, self.score + 1)

    def ran_throughout(self, outcome: ProbeOutcome) -> bool:
        """Return whether the loop ran all through a probe."""
        return outcome.started > self._resumed_at

    def scale_timeout_s(self, timeout_s: float) -> float:
        """Return a timeout lengthened by our own doubt."""
        return timeout_s * (1 + self.score)


def indicates_failure(outcome: ProbeOutcome, health: LocalHealth) -> bool:
    """Return whether an outcome makes its member a suspect."""
    if outcome.answered_directly or outcome.helpers_reaching:
        health.record_success()
        return False
    if not health.ran_throughout(outcome):
        return False
    if (
        outcome.helpers_asked >= MIN_HELPERS_FOR_LOCAL_FAULT
        and outcome.helpers_answered == 0
    ):
        health.record_failure()
        return False
    return True


class ProbeSchedule:
    """When each neighbour is probed next.

    A neighbour that sent anything lately proved its life and is left alone until
    ``probe_s`` after that.
    """

    def __init__(self, cfg: PeerSettings, rng: Random):
        self._interval_s = cfg.probe_s
        self._rng = rng
        self._next: dict[str, float] = {}
        self._probe_soon: set[str] = set()

    def set_neighbours(self, vms: tuple[str, ...], now: float) -> None:
        """Set the neighbours; a new one is first probed within ``probe_s``."""
        first = {vm: now + self._rng.random() * self._interval_s for vm in vms}
        self._next = {vm: self._next.get(vm, first[vm]) for vm in vms}

    def due(self, last_heard_at: Callable[[str], float], now: float) -> tuple[str, ...]:
        """Return the neighbours to probe now and set their next times."""
        return tuple(vm for vm in self._next if self._is_due(vm, last_heard_at, now))

    def probe_soon(self, vm: str) -> None:
        """Probe a neighbour at the next opportunity, whatever it sent."""
        self._probe_soon.add(vm)

    def _is_due(self, vm: str, last_heard_at: Callable, now: float) -> bool:
        if vm in self._probe_soon:
            self._probe_soon.discard(vm)
            self._next[vm] = now + self._interval_s * self._jitter()
            return True
        if self._next[vm] > now:
            return False
        quiet_until = last_heard_at(vm) + self._interval_s
        if quiet_until > now:
            self._next[vm] = quiet_until
            return False
        self._next[vm] = now + self._interval_s * self._jitter()
        return True

    def _jitter(self) -> float:
        return 1 + PROBE_JITTER * (2 * self._rng.random() - 1)
