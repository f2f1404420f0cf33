"""Estimate the quality of plans and rates of events from few samples.

Prompts are grouped into bins by their length. The estimate for one bin also uses the
plan's ratings in the other bins, up to a bound, and starts from a prior that is set in
the configuration.
"""

import math
from dataclasses import dataclass
from functools import lru_cache
from statistics import NormalDist

from knapweedhinge.routing.statistics import Sample

# Number of ratings that the prior counts as, and their variance.
PRIOR_RATINGS = 4.0
PRIOR_VARIANCE = 0.04
# Ratings from other prompt bins together count as at most this number of ratings.
MAX_POOLED_RATINGS = 30.0


@dataclass(frozen=True)
class QualityBound:
    """The expected rating of a plan, from 0 to 1, with one-sided confidence bounds.

    ``ratings`` is the effective number of ratings, weighted by age, in the prompt bin
    itself.
    """

    mean: float
    lower: float
    upper: float
    ratings: float


def quality_bound(
    whole: Sample, own: Sample, prior_mean: float, confidence: float
) -> QualityBound:
    """Return the expected rating of a plan in one prompt bin, with its bounds.

    ``whole`` is the sample over all bins, ``own`` the part of it from this bin.
    ``prior_mean`` is the rating assumed without samples, ``confidence`` the confidence
    of each bound.
    """
    prior = Sample(PRIOR_RATINGS, prior_mean, PRIOR_VARIANCE)
    elsewhere = _capped(_without(whole, own), MAX_POOLED_RATINGS)
    sample = _combined(_combined(prior, elsewhere), own)
    margin = _quantile(confidence) * math.sqrt(sample.variance / sample.size)
    return QualityBound(
        mean=sample.mean,
        lower=max(0.0, sample.mean - margin),
        upper=min(1.0, sample.mean + margin),
        ratings=own.size,
    )


def pooled_rate(sample: Sample, prior: float) -> float:
    """Return the rate of an event, in [0, 1], from a sample and an assumed rate.

    ``prior`` is the assumed rate; it counts as ``PRIOR_RATINGS`` observations.
    """
    weight = sample.size + PRIOR_RATINGS
    return (sample.size * sample.mean + PRIOR_RATINGS * prior) / weight


def _combined(first: Sample, second: Sample) -> Sample:
    size = first.size + second.size
    if size <= 0:
        return first
    mean = (first.size * first.mean + second.size * second.mean) / size
    first_spread = first.variance + (first.mean - mean) ** 2
    second_spread = second.variance + (second.mean - mean) ** 2
    variance = (first.size * first_spread + second.size * second_spread) / size
    return Sample(size, mean, variance)


def _without(whole: Sample, part: Sample) -> Sample:
    size = whole.size - part.size
    if size <= 0:
        return Sample()
    mean = (whole.size * whole.mean - part.size * part.mean) / size
    return Sample(size, min(1.0, max(0.0, mean)), whole.variance)


def _capped(sample: Sample, size: float) -> Sample:
    return Sample(min(size, sample.size), sample.mean, sample.variance)


@lru_cache(maxsize=16)
def _quantile(confidence: float) -> float:
    return NormalDist().inv_cdf(confidence)
