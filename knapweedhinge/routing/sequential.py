"""Sequential tests (e-processes) that detect a bad version after every observation.

Each observation is a badness x in [0, 1] (failed, slow, or 1 - rating) whose mean is at
most b for a healthy version. The expectation of the factors 1 + f (x - b) / b, with f
in (0, 1), is then at most one. Their product therefore exceeds 1/alpha at any time with
probability at most alpha, no matter how often it is checked. A product is started at
each time bucket with evidence, and all products are averaged with weights that sum to
one over the first ``ROLL_OUT_STARTS`` of them. This keeps the bound and detects
versions that turn bad late. Logarithms of products are sums and merge like any other
evidence. Two values of f are averaged because the size of the fault is unknown. Sealed
buckets are folded into one value for each test, so the cost of a check doesn't grow
with the time that a version has been watched.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from knapweedhinge.routing.evidence import Row, Sums

ROLL_OUT_ALPHA = 0.008  # bound of the false alarm probability during a roll-out
ROLL_OUT_STARTS = 720  # buckets over which the weights of a roll-out sum to one
STEADY_ALPHA = 1e-4  # bound of the false alarm probability outside roll-outs
STEADY_STARTS = 259_200  # buckets over which the weights outside roll-outs sum to one
MAX_VALUE = 1e100  # upper limit of a test's value, to avoid overflow
MAX_LOG_GROWTH = 200.0  # upper limit of the log growth in a bucket, to avoid overflow


class Stream(StrEnum):
    """Observed quantity of a test; ``BAD`` is the rate of ratings far below target."""

    FAILURE = "failure"
    SLOW = "slow"
    BAD = "bad"
    QUALITY = "quality"


@dataclass(frozen=True)
class _Test:
    """Parameters of one test.

    ``fractions`` are its two values of f, ``alpha_share`` its part of the false alarm
    probability, and ``fields`` the fields of ``WatchSums`` for each value of f.
    """

    fractions: tuple[float, float]
    alpha_share: float
    fields: tuple[str, str]


TESTS = {
    Stream.FAILURE: _Test((0.2, 0.45), 0.25, ("failure_0", "failure_1")),
    Stream.SLOW: _Test((0.2, 0.45), 0.1, ("slow_0", "slow_1")),
    Stream.BAD: _Test((0.2, 0.45), 0.4, ("bad_0", "bad_1")),
    Stream.QUALITY: _Test((0.3, 0.7), 0.25, ("quality_0", "quality_1")),
}

ALL_FIELDS = tuple(name for test in TESTS.values() for name in test.fields)


class WatchKey(msgspec.Struct, frozen=True, array_like=True):
    """Watched version and the id of its roll-out, empty outside roll-outs."""

    version: str
    roll_out: str = ""


class WatchSums(Sums):
    """Log products for each stream and fraction, and the counts of observations."""

    answers: float = 0
    failures: float = 0
    ratings: float = 0
    failure_0: float = 0.0
    failure_1: float = 0.0
    slow_0: float = 0.0
    slow_1: float = 0.0
    bad_0: float = 0.0
    bad_1: float = 0.0
    quality_0: float = 0.0
    quality_1: float = 0.0


WatchRow = Row[WatchKey, WatchSums]


@dataclass
class FoldedEvidence:
    """Folded sealed buckets of one key.

    ``starts`` is the number of buckets folded so far, and ``values`` holds the weighted
    sum of products by field name of ``WatchSums``.
    """

    last_bucket: int = -1
    starts: int = 0
    answers: float = 0.0
    ratings: float = 0.0
    values: dict[str, float] = field(default_factory=dict)

    def extended(
        self, key: WatchKey, sums: WatchSums, names: tuple[str, ...]
    ) -> "FoldedEvidence":
        """Return the evidence extended by a bucket, for the fields in ``names``."""
        weight = _start_weight(key, self.starts)
        values = {
            name: _grow_capped(self.values.get(name, 0.0) + weight, getattr(sums, name))
            for name in names
        }
        return FoldedEvidence(
            last_bucket=self.last_bucket,
            starts=self.starts + 1,
            answers=self.answers + sums.answers,
            ratings=self.ratings + sums.ratings,
            values=values,
        )


def record_badness(
    sums: WatchSums, stream: Stream, badness: float, bound: float
) -> None:
    """Set the log factors of a single observation in ``sums``.

    ``badness`` is in [0, 1]; its mean for a healthy version is at most ``bound``.
    """
    test = TESTS[stream]
    excess = (badness - bound) / bound
    for name, fraction in zip(test.fields, test.fractions, strict=True):
        setattr(sums, name, math.log1p(fraction * excess))


def _start_weight(key: WatchKey, ordinal: int) -> float:
    """Return the weight of the product started at the bucket ``ordinal``, from 0.

    In a roll-out half of the total weight favours early buckets and half is even.
    """
    if not key.roll_out:
        return 1.0 / STEADY_STARTS
    early = 0.5 / ((ordinal + 1) * (ordinal + 2))
    return early + 0.5 / ROLL_OUT_STARTS


def _grow_capped(value: float, log_growth: float) -> float:
    return min(MAX_VALUE, value * math.exp(min(MAX_LOG_GROWTH, log_growth)))


def log_mean(values: dict[str, float], names: tuple[str, ...]) -> float:
    """Return the logarithm of the mean of the named values, minus infinity for 0."""
    total = sum(values.get(name, 0.0) for name in names)
    return math.log(total / len(names)) if total > 0 else -math.inf


def log_limit(key: WatchKey, stream: Stream) -> float:
    """Return the logarithm of the value at which a test reports a bad version."""
    alpha = ROLL_OUT_ALPHA if key.roll_out else STEADY_ALPHA
    return -math.log(alpha * TESTS[stream].alpha_share)
