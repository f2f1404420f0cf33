"""Determine the limits of failures, latency and quality of a healthy version."""

import math
from dataclasses import dataclass

from knapweedhinge.conf.cooperative import ClassOfWork
from knapweedhinge.routing.estimates import quality_bound
from knapweedhinge.routing.records import bad_rating
from knapweedhinge.routing.statistics import ALL_BINS, StatisticsView

# Margins added to the stable version's rates of failed, slow and badly rated answers.
FAILURE_MARGIN = 0.04
SLOW_MARGIN = 0.2
BAD_MARGIN = 0.04
# Upper bound of the limits of these rates.
MAX_RATE = 0.8
# Margin by which the mean rating may be below the target, or below the stable version's
# lower quality bound, on the scale from 0 to 1.
QUALITY_MARGIN = 0.05
# The limit of the mean of 1 - rating is at least this and at most 1 minus this.
MIN_BADNESS = 0.05
# Standard deviations added to an observed rate to allow for chance.
RATE_BOUND_Z = 2.6
# Rate assumed without observations, and the number of observations it counts as.
PRIOR_RATE = 0.01
PRIOR_SIZE = 100.0


@dataclass(frozen=True)
class Baseline:
    """The limits that a healthy version stays within, all from 0 to 1.

    ``failure`` is the highest share of answers that fail, ``slow`` that of slow ones
    among the others, and ``bad`` that of ratings below ``bad_rating``. ``badness`` is
    the highest mean of 1 - rating.
    """

    failure: float
    slow: float
    bad: float
    bad_rating: float
    badness: float


def baseline_of(
    statistics: StatisticsView,
    work_class: ClassOfWork,
    stable: str,
    prior_quality: float,
    confidence: float,
) -> Baseline:
    """Return the limits for a version under roll-out, given its stable version.

    The limits of failures and slow answers follow the present rates of the stable
    version, so that a fault that affects both versions does not stop the new one. The
    limit of quality is the target of the class, or the lower bound of the stable
    version's quality if that is below the target, less ``QUALITY_MARGIN``.

    ``stable`` is the id of the stable version and ``prior_quality`` its expected rating
    before any was received. ``confidence`` is that of the lower bound, one-sided.
    """
    evidence = statistics.of(work_class.id, stable, ALL_BINS)
    quality = quality_bound(evidence.rating, evidence.rating, prior_quality, confidence)
    min_mean_rating = min(work_class.quality_target, quality.lower) - QUALITY_MARGIN
    badness = max(MIN_BADNESS, min(1.0 - MIN_BADNESS, 1.0 - min_mean_rating))
    answers = evidence.answers
    ratings = evidence.rating.size
    return Baseline(
        failure=_rate_bound(evidence.failure_rate, answers, FAILURE_MARGIN),
        slow=_rate_bound(evidence.slow_rate, answers, SLOW_MARGIN),
        bad=_rate_bound(evidence.bad_rate, ratings, BAD_MARGIN),
        bad_rating=bad_rating(work_class),
        badness=badness,
    )


def _rate_bound(rate: float, size: float, margin: float) -> float:
    """Return the limit of a rate, from the stable version's ``rate`` and its margin.

    ``size`` is the number of answers or ratings that the rate was observed over.
    """
    observed = rate * size + PRIOR_RATE * PRIOR_SIZE
    size += PRIOR_SIZE
    rate = observed / size
    spread = math.sqrt(max(rate * (1 - rate), 1 / size) / size)
    return min(MAX_RATE, rate + RATE_BOUND_Z * spread + margin)
