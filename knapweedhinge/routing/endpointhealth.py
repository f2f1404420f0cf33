"""Passive health checks: rate endpoints by how calls ended there.

An endpoint may pass its own health check and yet fail, or never answer, a part of its
calls, or become several times slower. An endpoint that fails repeatedly, or that cannot
be connected to, is paused with exponential backoff, like an open circuit breaker.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import exp

# Seconds in which the weight of an outcome falls to about a third (1/e).
OUTCOME_DECAY_S = 4.0
# Seconds of the first pause; a crashed endpoint needs at least about that to restart.
FIRST_PAUSE_S = 0.4
# Longest pause in seconds, after which calls show whether the endpoint works again.
MAX_PAUSE_S = 3.0
# Consecutive failures after which an endpoint is paused.
FAILURES_TO_PAUSE = 3
# Weight of the newest latency in the moving average.
SLOWNESS_WEIGHT = 0.2
# Highest multiple of the typical latency that is averaged, so that one call that hung
# does not dominate.
MAX_SLOWNESS = 20.0
# Seconds lost by a call that fails and has to be retried.
FAILED_CALL_DELAY_S = 2.0
# Multiple of the typical latency above which slowness counts.
TOLERATED_SLOWNESS = 1.6


@dataclass(frozen=True, slots=True)
class Health:
    """The outcomes of this node's calls to one endpoint.

    ``failed`` and ``ended`` are decaying counts of calls as of ``at``, ``in_row`` the
    number of consecutive failures. The endpoint asked for no calls until
    ``wait_until``. ``slowness`` is a moving average of the times to the
    first piece of an answer, as multiples of the typical time of such calls. Times are
    seconds on the node's monotonic clock.
    """

    failed: float = 0.0
    ended: float = 0.0
    at: float = 0.0
    in_row: int = 0
    paused_until: float = float("-inf")
    wait_until: float = float("-inf")
    slowness: float = 1.0

    def decayed(self, now: float) -> "Health":
        """Return the health with its counts decayed until ``now``."""
        factor = exp(-max(0.0, now - self.at) / OUTCOME_DECAY_S)
        return Health(
            self.failed * factor,
            self.ended * factor,
            now,
            self.in_row,
            self.paused_until,
            self.wait_until,
            self.slowness,
        )


HEALTHY = Health()


def answered(health: Health, ratio: float | None, now: float) -> Health:
    """Return the health after a good answer.

    ``ratio`` is the time to its first piece as a multiple of the typical one, None if
    unknown.
    """
    current = health.decayed(now)
    slowness = current.slowness
    if ratio is not None:
        slowness += SLOWNESS_WEIGHT * (min(ratio, MAX_SLOWNESS) - slowness)
    return replace(current, ended=current.ended + 1, in_row=0, slowness=slowness)


def failed(health: Health, now: float, *, unreachable: bool = False) -> Health:
    """Return the health after a failed call.

    The endpoint is paused after several failures in a row, and at once if it was
    ``unreachable``. The pause doubles with each further failure, up to ``MAX_PAUSE_S``.
    """
    current = health.decayed(now)
    in_row = current.in_row + 1
    paused_until = current.paused_until
    if unreachable or in_row >= FAILURES_TO_PAUSE:
        doublings = in_row - 1 if unreachable else in_row - FAILURES_TO_PAUSE
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(doublings, 8))
        paused_until = max(paused_until, now + pause_s)
    return replace(
        current,
        failed=current.failed + 1,
        ended=current.ended + 1,
        in_row=in_row,
        paused_until=paused_until,
    )


def failure_share(failed: float, ended: float) -> float:
    """Return the share of failed calls, drawn towards none while few ended."""
    return failed / (ended + 1.0)


def penalty_s(
    health: Health,
    now: float,
    typical_first_piece_s: float,
    fleet_failure_share: float = 0.0,
) -> float:
    """Return the delay in seconds to expect from the endpoint's failures and slowness.

    ``typical_first_piece_s`` is the typical time to the first piece of such calls'
    answers, ``fleet_failure_share`` the share of failed calls over all nodes.
    """
    current = health.decayed(now)
    failure_rate = max(
        failure_share(current.failed, current.ended), fleet_failure_share
    )
    excess_slowness = max(0.0, current.slowness - TOLERATED_SLOWNESS)
    return failure_rate * FAILED_CALL_DELAY_S + excess_slowness * typical_first_piece_s


def is_paused(health: Health, now: float) -> bool:
    """Return whether no calls may be sent to the endpoint at present."""
    return now < max(health.paused_until, health.wait_until)


Healths = Mapping[str, Health]
