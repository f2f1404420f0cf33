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
# Highest limit of any rate.
MAX_RATE = 0.8
# Margin below the accepted mean rating, on the scale from 0 to 1.
QUALITY_MARGIN = 0.05
# Lowest limit of the mean of 1 - rating; the highest is as far below 1.
MIN_BADNESS = 0.05
# Standard deviations added to an observed rate to allow for chance.
RATE_BOUND_Z = 2.6
# Rate assumed without observations, and the number of observations it counts as.
PRIOR_RATE = 0.01
PRIOR_SIZE = 100.0


@dataclass(frozen=True)
class Baseline:
    """The highest values that a healthy version may show.

    ``failure``, ``slow`` and ``bad`` are rates of answers; an answer is bad if it is
    rated below ``bad_rating``. ``badness`` is the mean of 1 - rating.
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
    version's quality if that is below the target.
    """
    evidence = statistics.of(work_class.id, stable, ALL_BINS)
    quality = quality_bound(evidence.rating, evidence.rating, prior_quality, confidence)
    accepted = min(work_class.quality_target, quality.lower) - QUALITY_MARGIN
    badness = max(MIN_BADNESS, min(1.0 - MIN_BADNESS, 1.0 - accepted))
    answers = evidence.answers
    ratings = evidence.rating.size
    return Baseline(
        failure=_upper(evidence.failure_rate, answers, FAILURE_MARGIN),
        slow=_upper(evidence.slow_rate, answers, SLOW_MARGIN),
        bad=_upper(evidence.bad_rate, ratings, BAD_MARGIN),
        bad_rating=bad_rating(work_class),
        badness=badness,
    )


def _upper(rate: float, size: float, margin: float) -> float:
    """Return the limit of a rate, given the stable version's over ``size`` answers."""
    observed = rate * size + PRIOR_RATE * PRIOR_SIZE
    size += PRIOR_SIZE
    rate = observed / size
    spread = math.sqrt(max(rate * (1 - rate), 1 / size) / size)
    return min(MAX_RATE, rate + RATE_BOUND_Z * spread + margin)
