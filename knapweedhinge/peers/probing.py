"""Failure detection: when to probe, and which failed probes count as failures.

A node first rules out that it is itself at fault, as Lifeguard does, an extension of
SWIM. After a pause of its event loop it ignores the probes started before; after
failures that may be its own it lengthens its timeouts; and if enough helpers were asked
and none answered, it blames its own network, not the probed member.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from knapweedhinge.conf.node import PeerSettings

MAX_SCORE = 4  # of LocalHealth; probe timeouts are at most 5 times the configured
# Helpers asked, without any answer, from which a node blames its own network. If fewer
# were asked, the probed member is suspected.
MIN_HELPERS_FOR_LOCAL_FAULT = 3
PROBE_JITTER = 0.2  # probe intervals vary by up to this fraction either way


@dataclass(frozen=True)
class ProbeOutcome:
    """The result of one direct probe and of the indirect ones after it.

    ``helpers_answered`` of the ``helpers_asked`` helpers replied at all, and
    ``helpers_reaching`` of those could reach the member.
    """

    vm: str
    started: float
    answered_directly: bool
    helpers_asked: int = 0
    helpers_answered: int = 0
    helpers_reaching: int = 0


class LocalHealth:
    """Estimates whether this node's own event loop and network are healthy.

    ``score`` is 0 if healthy and grows up to ``MAX_SCORE``.
    """

    def __init__(self, cfg: PeerSettings, now: float):
        self._min_pause_s = 2 * cfg.probe_timeout_s
        self._last_tick_at = now
        self._resumed_at = now
        self.score = 0

    def detect_pause(self, now: float) -> bool:
        """Record that the loop runs; returns whether it had paused before."""
        paused = now - self._last_tick_at > self._min_pause_s
        self._last_tick_at = now
        if paused:
            self._resumed_at = now
            self.record_failure()
        return paused

    def record_success(self) -> None:
        """Lower the score after a successful probe."""
        self.score = max(0, self.score - 1)

    def record_failure(self) -> None:
        """Raise the score after a failure that may be this node's own."""
        self.score = min(MAX_SCORE, self.score + 1)

    def ran_throughout(self, outcome: ProbeOutcome) -> bool:
        """Return whether the loop ran without a pause since the probe started."""
        return outcome.started > self._resumed_at

    def scale_timeout_s(self, timeout_s: float) -> float:
        """Return the timeout in seconds, lengthened in proportion to the score."""
        return timeout_s * (1 + self.score)


def indicates_failure(outcome: ProbeOutcome, health: LocalHealth) -> bool:
    """Return whether the probed member must be suspected.

    Updates the health score according to the outcome.
    """
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
    """Decides when each neighbour is probed next.

    A neighbour that sent any message is known to be alive and is not probed until
    ``probe_s`` after that message.
    """

    def __init__(self, cfg: PeerSettings, rng: Random):
        self._interval_s = cfg.probe_s
        self._rng = rng
        self._next_probe_at: dict[str, float] = {}
        self._probe_soon: set[str] = set()

    def set_neighbours(self, vms: tuple[str, ...], now: float) -> None:
        """Replace the neighbours; a new one is first probed within ``probe_s``."""
        first = {vm: now + self._rng.random() * self._interval_s for vm in vms}
        self._next_probe_at = {vm: self._next_probe_at.get(vm, first[vm]) for vm in vms}

    def due(self, last_heard_at: Callable[[str], float], now: float) -> tuple[str, ...]:
        """Return the neighbours to probe now and schedule their next probes."""
        return tuple(
            vm for vm in self._next_probe_at if self._is_due(vm, last_heard_at, now)
        )

    def probe_soon(self, vm: str) -> None:
        """Probe a neighbour at the next call of ``due``, even if it sent messages."""
        self._probe_soon.add(vm)

    def _is_due(self, vm: str, last_heard_at: Callable, now: float) -> bool:
        if vm in self._probe_soon:
            self._probe_soon.discard(vm)
            self._next_probe_at[vm] = now + self._interval_s * self._jitter()
            return True
        if self._next_probe_at[vm] > now:
            return False
        known_alive_until = last_heard_at(vm) + self._interval_s
        if known_alive_until > now:
            self._next_probe_at[vm] = known_alive_until
            return False
        self._next_probe_at[vm] = now + self._interval_s * self._jitter()
        return True

    def _jitter(self) -> float:
        return 1 + PROBE_JITTER * (2 * self._rng.random() - 1)
