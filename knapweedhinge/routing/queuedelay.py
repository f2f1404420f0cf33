"""Estimate delays in queues from their utilisation.

Designed for endpoints that share their time among the calls there, at loads from calm
to several times what they can serve. All functions are convex in their argument, so
that moving calls to where they lose less ends at the least loss.
"""

from math import exp

# Utilisation above which the expected delay grows linearly, since the queue then grows
# for as long as the load lasts.
MAX_QUEUEING_UTILISATION = 0.9


def calls_waiting(utilisation: float) -> float:
    """Return the mean number of calls in a queue of one server."""
    limit = MAX_QUEUEING_UTILISATION
    below = min(utilisation, limit)
    above = max(0.0, utilisation - limit)
    return below / (1.0 - below) + above / (1.0 - limit) ** 2


def expected_excess_s(mean_s: float, limit_s: float) -> float:
    """Return by how much delays exceed a limit in the mean.

    Delays of a queue are about exponential: many of those with a mean below the limit
    are above it.
    """
    return mean_s * exp(-limit_s / mean_s) if mean_s > 0 else 0.0
