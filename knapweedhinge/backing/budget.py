"""Limit the rate of this node's calls to the platform.

The platform limits the calls of all nodes together; each node gets an equal share.
"""

from dataclasses import dataclass

FLEET_READS_PER_S = 1_000.0  # calls that all nodes together may make
FLEET_WRITES_PER_S = 300.0
BURST_S = 1.0  # a node's burst is its share of this many seconds
MIN_BURST_CALLS = 10.0  # smallest burst of a node, however small its share


@dataclass(frozen=True)
class BudgetState:
    """Rates in calls per second and calls that may be sent now, for the state dump.

    ``reads_left`` and ``writes_left`` are negative while calls wait for their turn.
    ``members`` is the number of nodes that share the rate of the fleet.
    """

    members: int
    reads_per_s: float
    writes_per_s: float
    reads_left: float
    writes_left: float


class TokenBucket:
    """Limit a rate, allowing bursts, by the token bucket algorithm.

    It reads no clock: the caller passes the current time in seconds as ``now``.
    """

    def __init__(self, rate_per_s: float, burst: float, now: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._updated_at = now

    def tokens(self, now: float) -> float:
        """Return the tokens left; negative if reserved tokens are not refilled yet."""
        earned = max(0.0, now - self._updated_at) * self.rate_per_s
        return min(self.burst, self._tokens + earned)

    def reserve(self, now: float, max_wait_s: float) -> float | None:
        """Take one token and return the seconds to wait before using it.

        Return None and take nothing if the wait would exceed ``max_wait_s``.
        """
        tokens = self.tokens(now) - 1
        wait_s = max(0.0, -tokens / self.rate_per_s)
        if wait_s > max_wait_s:
            return None
        self._tokens = tokens
        self._updated_at = max(self._updated_at, now)
        return wait_s

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate and burst from ``now`` on, keeping tokens up to the burst."""
        self._tokens = min(burst, self.tokens(now))
        self._updated_at = max(self._updated_at, now)
        self.rate_per_s = rate_per_s
        self.burst = burst


class CallBudget:
    """Rate limits of this node's reads and writes, a share of those of the fleet.

    ``members`` is the number of nodes that share the rates of the fleet.
    """

    def __init__(self, now: float, members: int = 1):
        self._members = members
        self.reads = _bucket(FLEET_READS_PER_S / members, now)
        self.writes = _bucket(FLEET_WRITES_PER_S / members, now)

    def set_members(self, members: int, now: float) -> None:
        """Divide the rates of the fleet among this many nodes (at least one)."""
        self._members = max(1, members)
        reads = FLEET_READS_PER_S / self._members
        writes = FLEET_WRITES_PER_S / self._members
        self.reads.set_rate(reads, _burst(reads), now)
        self.writes.set_rate(writes, _burst(writes), now)

    def state(self, now: float) -> BudgetState:
        """Return the rates and the calls left, for the state dump."""
        return BudgetState(
            members=self._members,
            reads_per_s=self.reads.rate_per_s,
            writes_per_s=self.writes.rate_per_s,
            reads_left=self.reads.tokens(now),
            writes_left=self.writes.tokens(now),
        )


def _burst(rate_per_s: float) -> float:
    return max(MIN_BURST_CALLS, rate_per_s * BURST_S)


def _bucket(rate_per_s: float, now: float) -> TokenBucket:
    return TokenBucket(rate_per_s, _burst(rate_per_s), now)
