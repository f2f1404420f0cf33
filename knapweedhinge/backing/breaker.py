"""Circuit breaker for calls to a service of the platform.

It does no I/O and reads no clock: callers pass the current time in seconds and report
the result of each call.
"""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from knapweedhinge.conf.node import PlatformSettings

MAX_PAUSE_FACTOR = 8  # longest pause before jitter, in units of ``breaker_open_s``
MIN_JITTER_FACTOR = 0.5  # each pause is multiplied by a random factor
MAX_JITTER_FACTOR = 1.5
PROBES_TO_CLOSE = 3  # successful probes in a row


class BreakerPhase(StrEnum):
    """Phase of a circuit breaker.

    CLOSED: all calls pass. OPEN: no call passes. HALF_OPEN: one probe call at a time
    passes, to find out whether the service works again.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(frozen=True)
class Ticket:
    """Permission for one call, to be handed back with the call's result.

    The epoch changes with each phase of the breaker; results of calls that were
    admitted in an earlier epoch are ignored.
    """

    epoch: int


@dataclass(frozen=True)
class BreakerState:
    """State of a breaker for the state dump.

    ``failures`` counts failures in a row; ``opened`` counts how often the breaker
    opened, also after a failed probe, and ``refused`` the calls that it refused, both
    since the node started. ``retry_after_s`` is the time until a probe may pass, 0 if
    the breaker isn't open.
    """

    phase: BreakerPhase
    failures: int
    opened: int
    refused: int
    retry_after_s: float


class Breaker:
    """Refuse calls to a service after ``breaker_failures`` failures in a row.

    After a pause one probe call at a time may pass. ``PROBES_TO_CLOSE`` successful
    probes in a row close the breaker; a failed probe doubles the pause, up to
    ``MAX_PAUSE_FACTOR`` times the setting ``breaker_open_s``. Each pause is then
    multiplied by a random factor so that the nodes don't all probe at the same time.
    """

    def __init__(self, cfg: PlatformSettings, rng: Random):
        self._cfg = cfg
        self._rng = rng
        self._phase = BreakerPhase.CLOSED
        self._epoch = 0
        self._failures = 0
        self._consecutive_reopenings = 0
        self._probing = False
        self._probe_successes = 0
        self._open_until = 0.0
        self._open_count = 0
        self._refused_count = 0

    def admit(self, now: float) -> Ticket | None:
        """Return a ticket if a call may be sent now, else None.

        Each ticket must be handed back by ``succeed``, ``fail`` or ``release``.
        """
        if self._phase is BreakerPhase.OPEN and now >= self._open_until:
            self._enter_half_open()
        if self._phase is BreakerPhase.OPEN or self._probing:
            self._refused_count += 1
            return None
        self._probing = self._phase is BreakerPhase.HALF_OPEN
        return Ticket(self._epoch)

    def succeed(self, ticket: Ticket) -> None:
        """Record that the service responded to the call."""
        if ticket.epoch != self._epoch:
            return
        self._failures = 0
        if self._phase is not BreakerPhase.HALF_OPEN:
            return
        self._probing = False
        self._probe_successes += 1
        if self._probe_successes >= PROBES_TO_CLOSE:
            self._close()

    def fail(self, ticket: Ticket, now: float) -> None:
        """Record that the call failed or timed out."""
        if ticket.epoch != self._epoch:
            return
        self._failures += 1
        if self._phase is BreakerPhase.HALF_OPEN:
            self._consecutive_reopenings += 1
            self._open(now)
        elif self._failures >= self._cfg.breaker_failures:
            self._open(now)

    def release(self, ticket: Ticket) -> None:
        """Hand back the ticket of a cancelled call, which counts neither way."""
        if ticket.epoch == self._epoch:
            self._probing = False

    def retry_after_s(self, now: float) -> float:
        """Return the seconds until a probe may pass, 0 if the breaker isn't open."""
        if self._phase is not BreakerPhase.OPEN:
            return 0.0
        return max(0.0, self._open_until - now)

    def state(self, now: float) -> BreakerState:
        """Return the phase and the counters, for the state dump."""
        return BreakerState(
            phase=self._phase,
            failures=self._failures,
            opened=self._open_count,
            refused=self._refused_count,
            retry_after_s=self.retry_after_s(now),
        )

    def _open(self, now: float) -> None:
        factor = min(MAX_PAUSE_FACTOR, 2**self._consecutive_reopenings)
        jitter = self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        self._open_until = now + self._cfg.breaker_open_s * factor * jitter
        self._phase = BreakerPhase.OPEN
        self._epoch += 1
        self._open_count += 1
        self._probing = False

    def _enter_half_open(self) -> None:
        self._phase = BreakerPhase.HALF_OPEN
        self._epoch += 1
        self._probe_successes = 0

    def _close(self) -> None:
        self._phase = BreakerPhase.CLOSED
        self._epoch += 1
        self._failures = 0
        self._consecutive_reopenings = 0
