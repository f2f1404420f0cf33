"""Lend unused parts of the fleet's retry budget to nodes that have used up theirs.

Designed for hundreds of nodes with a few calls a second each, while part of the
endpoints fail: the fleet keeps a third of its budget, yet nodes whose calls happen to
meet the failing endpoints refuse to repeat them. What the fleet has left is known with
a delay, so it is lent slowly, and not at all while retries grow towards the limit.
"""

from dataclasses import dataclass, replace

# Time in seconds in which the fleet's unused budget would be lent as a whole. Longer
# than the sums are old, so that a node's retries count before more is lent.
LENDING_S = 2.0
# Age of the sums when they arrive: a report, its sums and their way to the nodes.
SUMS_DELAY_S = 1.0
# Weight of the newest sums in the growth of retries, which is noisy.
GROWTH_WEIGHT = 0.3
# Most that nodes may hoard together, as a share of the fleet's limit. Part of what the
# nodes' own shares leave free.
MAX_HOARD_SHARE = 0.08


@dataclass(frozen=True, slots=True)
class FleetRetries:
    """The first sends and retries of a service in one window, over all nodes.

    ``limit`` is how many retries the nodes may use together, ``nodes`` their number.
    ``at`` is the time of the sums in seconds on the node's monotonic clock.
    """

    first_sends: float
    retries: float
    limit: float
    nodes: int
    at: float


@dataclass(frozen=True, slots=True)
class Credit:
    """What a node may retry beyond its own share, as of the sums ``last``.

    ``growth`` is how fast the fleet's retries in a window grow, a second.
    """

    retries: float = 0.0
    last: FleetRetries | None = None
    growth: float = 0.0

    def spent(self, cost: float) -> "Credit":
        """Return the credit after a retry."""
        return replace(self, retries=self.retries - cost)


def credit_after(credit: Credit, sums: FleetRetries) -> Credit:
    """Return a node's credit after it received new sums.

    It is lost if the fleet's retries are about to reach the limit, or if the last sums
    are too old to tell.
    """
    last = credit.last
    if last is None or not 0.0 < sums.at - last.at <= LENDING_S:
        return Credit(0.0, sums)
    elapsed_s = sums.at - last.at
    newest = (sums.retries - last.retries) / elapsed_s
    growth = credit.growth + GROWTH_WEIGHT * (newest - credit.growth)
    expected = sums.retries + max(0.0, growth) * (SUMS_DELAY_S + LENDING_S)
    spare = max(0.0, sums.limit - expected)
    if not spare:
        return Credit(0.0, sums, growth)
    lent = spare / max(1, sums.nodes) * elapsed_s / LENDING_S
    most = MAX_HOARD_SHARE * sums.limit / max(1, sums.nodes)
    # Less than one retry is of no use to a node.
    return Credit(min(max(1.0, most), credit.retries + lent), sums, growth)
