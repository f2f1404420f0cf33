"""Compare two samples of times by the shares above quantiles of one of them.

Decides whether the answers of a new release are slower than those of the old one, for
load of the same kind. The mean of logarithms hides a release that is slow in a part of
its answers, and one whose answers on idle endpoints are as slow as those of the old
release on loaded ones; the shares above several quantiles show both.

The test is sequential: it may be repeated after each answer. For a threshold with
``j`` of ``n`` reference times above it, the share of the whole population above it is
distributed as Beta(j + 1, n - j), whatever the distribution of the times. The number of
new times above it is then beta-binomial, and the ratio of any other likelihood to that
is a martingale with mean one: it exceeds 1/alpha ever with probability at most alpha
(Ville). Few reference times need no special case. Products over kinds of calls, and
means over quantiles, alternatives and routes, are martingales as well.

Times are counted in bins, so that samples of several nodes can be added.
"""

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from math import exp, fsum, lgamma, log, log1p

Bins = Mapping[int, int]  # number of times by bin

MIN_TIME_S = 0.001  # shorter times count as this
BINS_PER_FACTOR = 2  # bins for each factor of ``BIN_FACTOR``
BIN_FACTOR = 1.4
LAST_BIN = 63  # holds all longer times, from 40 s; bounds the size of a message
QUANTILES = (0.25, 0.5, 0.75, 0.9, 0.97)
# Shares of the answers that are slow, beyond those above the threshold anyway.
SLOW_SHARES = (0.2, 0.45, 0.8)


def time_bin(seconds: float) -> int:
    """Return the bin of a time, from 0 to ``LAST_BIN``."""
    factor = max(seconds, MIN_TIME_S) / MIN_TIME_S
    return min(LAST_BIN, int(log(factor) / log(BIN_FACTOR) * BINS_PER_FACTOR))


def add_bins(first: Bins, second: Bins) -> Bins:
    """Return the counts of both samples together."""
    if not first or not second:
        return first or second
    counts = dict(first)
    for number, count in second.items():
        counts[number] = counts.get(number, 0) + count
    return counts


def bins_since(bins: Bins, earlier: Bins) -> Bins:
    """Return the counts that were added after ``earlier``."""
    added = {number: count - earlier.get(number, 0) for number, count in bins.items()}
    return {number: count for number, count in added.items() if count > 0}


def log_ratios(new: Bins, old: Bins, tolerated_bins: int) -> tuple[float, ...]:
    """Return log likelihood ratios of new times, for being longer to being as long.

    There is one for each quantile and alternative. New times count as longer only from
    ``tolerated_bins`` above the threshold. Ratios of several kinds of calls are added.
    """
    old_count, new_count = sum(old.values()), sum(new.values())
    ratios = []
    for quantile in QUANTILES:
        threshold, old_above = _threshold(old, (1.0 - quantile) * old_count)
        least = threshold + tolerated_bins + 1
        above = sum(count for number, count in new.items() if number >= least)
        ratios += _ratios_at(above, new_count - above, old_above, old_count)
    return tuple(ratios)


def log_evidence(ratios: Iterable[Sequence[float]]) -> float:
    """Return the log evidence of the ``log_ratios`` of several kinds, 0 for none."""
    sums = [fsum(column) for column in zip(*ratios, strict=True)]
    return log_mean_exp(sums) if sums else 0.0


def log_mean_exp(values: Iterable[float]) -> float:
    """Return the logarithm of the mean of numbers that are given as logarithms."""
    logs = list(values)
    top = max(logs)
    return top + log(fsum(exp(value - top) for value in logs) / len(logs))


def _threshold(old: Bins, most_above: float) -> tuple[int, int]:
    """Return the lowest bin with at most so many times above it, and their number."""
    above = 0
    for number in sorted(old, reverse=True):
        found = number, above
        above += old[number]
        if above > most_above:
            break
    return found


@lru_cache(maxsize=4096)
def _ratios_at(
    above: int, below: int, old_above: int, old_count: int
) -> tuple[float, ...]:
    """Return the log ratios for each alternative at one threshold."""
    usual = (old_above + 1.0) / (old_count + 1.0)
    a, b = old_above + 1, old_count - old_above
    expected = _log_beta(a + above, b + below) - _log_beta(a, b)
    shares = (usual + slow_share * (1.0 - usual) for slow_share in SLOW_SHARES)
    return tuple(
        above * log(share) + below * log1p(-share) - expected for share in shares
    )


def _log_beta(a: float, b: float) -> float:
    return lgamma(a) + lgamma(b) - lgamma(a + b)
