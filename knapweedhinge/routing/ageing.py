"""Exponential weights by age, and sample statistics from weighted sums."""

import math
from dataclasses import dataclass

from knapweedhinge.routing.evidence import BucketTable, Sums
from knapweedhinge.routing.sums import EvidenceKey, ServiceSums

P95_Z = 1.645  # 95% quantile of the standard normal distribution
MIN_RECENT_RATINGS = 8.0  # effective sample size needed to detect a decline
DECLINE_Z = 2.33  # standard errors between means that show a decline, one-sided 99%


@dataclass(frozen=True)
class Sample:
    """Mean and variance of a weighted sample; ``size`` is the effective sample size."""

    size: float = 0.0
    mean: float = 0.0
    variance: float = 0.0


@dataclass(frozen=True)
class Latency:
    """Median and 95th percentile of a latency, assuming a log-normal distribution.

    ``size`` is the effective sample size.
    """

    size: float
    p50_s: float
    p95_s: float


@dataclass(frozen=True)
class AgedSums:
    """Sums of the same observations with their weights and with the squared weights.

    The effective sample size is computed from both.
    """

    sums: Sums
    squared_weights: Sums

    def add(self, sums: Sums, weight: float) -> None:
        """Add the sums of a bucket with the given weight."""
        self.sums.add(sums, weight)
        self.squared_weights.add(sums, weight * weight)

    def ratings(self) -> Sample:
        """Return the mean, variance and effective size of the ratings."""
        return self.sample("ratings", "rating_sum", "rating_square_sum")

    def sample(self, count: str, total: str, squares: str) -> Sample:
        """Return the sample of one observed quantity.

        ``count``, ``total`` and ``squares`` are the names of the fields with the
        number, the sum and the sum of squares of its observations.
        """
        weight = getattr(self.sums, count)
        if weight <= 0:
            return Sample()
        mean = getattr(self.sums, total) / weight
        variance = max(0.0, getattr(self.sums, squares) / weight - mean * mean)
        size = weight * weight / getattr(self.squared_weights, count)
        return Sample(size, mean, variance)

    def latency(self, total: str, squares: str) -> Latency | None:
        """Return a latency, or None without answers.

        ``total`` and ``squares`` are the names of the fields with the sum of its
        logarithms and the sum of their squares.
        """
        logs = self.sample("answers", total, squares)
        if logs.size <= 0:
            return None
        deviation = math.sqrt(logs.variance)
        p95_s = math.exp(logs.mean + P95_Z * deviation)
        return Latency(logs.size, math.exp(logs.mean), p95_s)


def aged_service(
    table: BucketTable, key: EvidenceKey, half_life_s: float, now: float
) -> AgedSums:
    """Return the service sums of a key at ``now``, weighted with a half-life.

    Of the sums with squared weights only ``answers`` is computed.
    """
    aged = AgedSums(ServiceSums(), ServiceSums())
    for bucket, sums in table.totals(key).items():
        weight = weight_of(table, bucket, half_life_s, now)
        aged.sums.add(sums, weight)
        aged.squared_weights.answers += weight * weight * sums.answers
    return aged


def weight_of(table: BucketTable, bucket: int, half_life_s: float, now: float) -> float:
    """Return the weight of a bucket at ``now``, from its age and the half-life."""
    age_s = max(0, table.bucket(now) - bucket) * table.width_s
    return 0.5 ** (age_s / half_life_s)


def declined(long_term: Sample, recent: Sample) -> bool:
    """Return whether recent ratings are significantly worse than the long-term ones."""
    if recent.size < MIN_RECENT_RATINGS or recent.mean >= long_term.mean:
        return False
    variance = max(long_term.variance, recent.variance)
    error = math.sqrt(variance / recent.size + variance / long_term.size)
    return long_term.mean - recent.mean > DECLINE_Z * error
