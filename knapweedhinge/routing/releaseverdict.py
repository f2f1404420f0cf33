"""Decide whether a new release is worse than the previous one, from answer statistics.

The comparison finds a release that fails some calls or is several times slower, even
while the old release is itself slowed by high load, lost failure domains or endpoints
that have just returned. Times are compared only between calls whose endpoint had about
the same amount of work. The interval between response pieces (streamed chunks) is
compared as well as the time to the first piece: network and queueing delays can hide a
slow engine in the first piece, but not in the following ones.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import exp, log, sqrt
from operator import attrgetter

import msgspec

MIN_GOOD_ANSWERS = 8  # good answers required before a release can be judged good
MIN_FAILURES = 3  # fewer failures than this are attributed to chance
FAILURE_SHARE_MARGIN = 0.05  # tolerated failure share above that of the old release
# Weight, in answers, of the failure share over all routes when the share of a single
# route is estimated.
ROUTE_PRIOR_ANSWERS = 4.0
MIN_NEW_TIMES = 4  # measured times of the new release required for a comparison
MIN_OLD_TIMES = 4  # measured times of the old release required for each kind of call
# A release is slow if the lower confidence bound of its slowdown exceeds these factors.
# The time to the first piece has a wider limit since some calls wait for others; the
# interval between pieces depends on the engine alone.
SLOW_FIRST_PIECE_FACTOR = 2.0
SLOW_INTERVAL_FACTOR = 1.4
# A release is as fast as the old one only if the upper confidence bound of its slowdown
# is below these factors. A release several times slower than the old one exceeds them.
FAST_FIRST_PIECE_FACTOR = 3.0
FAST_INTERVAL_FACTOR = 2.0
# Lower bound of the standard deviation of log times, for small samples: that of times
# that differ by a factor of 1.5.
MIN_LOG_DEVIATION = 0.4
# One-sided 99% quantile; strict because the test is repeated on every answer and route.
FAILURE_Z = 2.33
# One-sided 95% quantile; sufficient because the slowdown factors above already exclude
# small differences.
SLOWDOWN_Z = 1.64
MIN_TIME_S = 0.001  # shorter times are raised to this before taking the logarithm
MIN_PIECES = 5  # answers with fewer pieces yield no piece interval
# Work queued at the endpoint, in seconds, that separates the load bands. Times above
# the last bound depend more on the prompts of other calls than on the release and are
# not compared: piece intervals of a single release ranged from 26 to 400 ms there.
LOAD_BAND_BOUNDS_S = (0.05, 0.3)


class LogTimes(msgspec.Struct, frozen=True, array_like=True):
    """Count, sum and sum of squares of the natural logarithms of times in seconds."""

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    def plus(self, other: "LogTimes") -> "LogTimes":
        """Return the statistics of both samples together."""
        return LogTimes(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
        )

    @property
    def mean(self) -> float:
        """Return the mean logarithm; raise ZeroDivisionError if there are no times."""
        return self.total / self.count

    @property
    def squared_deviations(self) -> float:
        """Return the sum of squared deviations from the mean logarithm."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares - self.total * self.total / self.count)


class AnswerStats(msgspec.Struct, frozen=True, array_like=True):
    """Statistics of the answers of one release to calls of one kind.

    ``bad`` counts failures and ``silent`` counts calls without an answer within their
    time limit. ``first_piece_times`` holds the times to the first piece of good
    answers. ``piece_intervals`` holds the mean piece interval of each answer, including
    answers that were abandoned before their end.
    """

    answers: int = 0
    bad: int = 0
    silent: int = 0
    first_piece_times: LogTimes = LogTimes()
    piece_intervals: LogTimes = LogTimes()

    def plus(self, other: "AnswerStats") -> "AnswerStats":
        """Return the statistics of both sets of answers together."""
        return AnswerStats(
            self.answers + other.answers,
            self.bad + other.bad,
            self.silent + other.silent,
            self.first_piece_times.plus(other.first_piece_times),
            self.piece_intervals.plus(other.piece_intervals),
        )


class CallKind(msgspec.Struct, frozen=True, array_like=True):
    """Group of calls whose times are comparable.

    ``route`` is the route's name and ``size`` the model that the node chose, empty if
    it chose none. ``band`` is the load of the endpoint at the start of the call, from
    ``load_band``.
    """

    route: str
    size: str
    band: int


StatsByKind = Mapping[CallKind, AnswerStats]
TimePairs = list[tuple[LogTimes, LogTimes]]  # of the new and the old release


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of comparing a release with the previous one.

    A release is neither ``bad`` nor ``good`` while there are too few answers.
    ``reason`` explains the result in one line. ``as_fast`` says that its times are
    sufficient to rule out that it is several times slower.
    """

    bad: bool
    good: bool
    reason: str
    as_fast: bool = False


def load_band(work_s: float) -> int:
    """Return the load band of an endpoint with ``work_s`` seconds of work, from 0."""
    return sum(work_s >= bound for bound in LOAD_BAND_BOUNDS_S)


def is_overloaded(kind: CallKind) -> bool:
    """Return whether slow or missing answers are due to load, not to the release."""
    return kind.band >= len(LOAD_BAND_BOUNDS_S)


def log_times(seconds: float | None) -> LogTimes:
    """Return the statistics of a single time, empty for None."""
    if seconds is None:
        return LogTimes()
    value = log(max(seconds, MIN_TIME_S))
    return LogTimes(1, value, value * value)


def mean_piece_interval_s(pieces: int, between_s: float) -> float | None:
    """Return the mean interval between pieces in seconds, None for too few pieces.

    ``between_s`` is the time from the first piece to the last.
    """
    return between_s / (pieces - 1) if pieces >= MIN_PIECES else None


def compare_releases(
    new: StatsByKind, old: StatsByKind, *, moved: bool = False
) -> Verdict:
    """Compare a new release with the old one, over all routes and on each route.

    Set ``moved`` once the new release receives all traffic. Missing answers are then
    ignored: its load is higher than any that the old release had during the trial.
    """
    routes = sorted({kind.route for kind in new})
    for route in (None, *routes):
        selected = {
            kind: stats for kind, stats in new.items() if route in (None, kind.route)
        }
        reason = (
            _describe_excess(selected, old, "failed", attrgetter("bad"))
            or (
                not moved
                and _describe_excess(selected, old, "silent", attrgetter("silent"))
            )
            or _describe_slowdown(selected, old)
        )
        if reason:
            return Verdict(True, False, f"{route or 'all routes'}: {reason}")
    total = _sum(new.values())
    good = total.answers - total.bad - total.silent
    as_fast = _is_as_fast(new, old)
    reason = f"{good} of {total.answers} good" + (", as fast" if as_fast else "")
    return Verdict(False, good >= MIN_GOOD_ANSWERS, reason, as_fast)


def _describe_excess(
    new: StatsByKind, old: StatsByKind, what: str, count: Callable[[AnswerStats], int]
) -> str:
    """Describe a count above what the old release leads to expect, or return "".

    ``count`` selects the counter and ``what`` names it in the description. The
    expectation is computed for each route since failure shares differ between routes.
    The threshold is the score test, of which Wilson's interval is the inverse.
    """
    overall, old_by_route = _sum(old.values()), _by_route(old)
    prior = ROUTE_PRIOR_ANSWERS * count(overall) / max(1, overall.answers)
    expected = variance = 0.0
    for route, stats in _by_route(new).items():
        old_route = old_by_route.get(route, AnswerStats())
        expected_share = (count(old_route) + prior) / (
            old_route.answers + ROUTE_PRIOR_ANSWERS
        )
        limit = min(1.0, expected_share + FAILURE_SHARE_MARGIN)
        expected += stats.answers * limit
        variance += stats.answers * limit * (1.0 - limit)
    total = _sum(new.values())
    found = count(total)
    if found < MIN_FAILURES or found <= expected + FAILURE_Z * sqrt(variance):
        return ""
    return f"{found} of {total.answers} {what}, at most {expected:.1f} expected"


def _describe_slowdown(new: StatsByKind, old: StatsByKind) -> str:
    """Describe a slowdown beyond the limits, or return ""."""
    first_piece_times, piece_intervals = _comparable_times(new, old)
    for name, pairs, limit in (
        ("to the first piece", first_piece_times, SLOW_FIRST_PIECE_FACTOR),
        ("between pieces", piece_intervals, SLOW_INTERVAL_FACTOR),
    ):
        bounds = _slowdown_bounds(pairs)
        if bounds is not None and bounds[0] > limit:
            return f"at least {bounds[0]:.1f} times as long {name}"
    return ""


def _is_as_fast(new: StatsByKind, old: StatsByKind) -> bool:
    """Return whether the times rule out that the new release is much slower.

    For calls with a streamed answer the intervals decide, see the module's docstring.
    """
    first_piece_times, piece_intervals = _comparable_times(new, old)
    if any(stats.piece_intervals.count for stats in old.values()):
        bounds, limit = _slowdown_bounds(piece_intervals), FAST_INTERVAL_FACTOR
    else:
        bounds, limit = _slowdown_bounds(first_piece_times), FAST_FIRST_PIECE_FACTOR
    return bounds is not None and bounds[1] < limit


def _comparable_times(
    new: StatsByKind, old: StatsByKind
) -> tuple[TimePairs, TimePairs]:
    """Return the new and old times to the first piece, and between pieces, by kind."""
    comparable = [
        (stats, old.get(kind, AnswerStats()))
        for kind, stats in new.items()
        if not is_overloaded(kind)
    ]
    return (
        [
            (stats.first_piece_times, olds.first_piece_times)
            for stats, olds in comparable
        ],
        [(stats.piece_intervals, olds.piece_intervals) for stats, olds in comparable],
    )


def _slowdown_bounds(pairs: TimePairs) -> tuple[float, float] | None:
    """Return confidence bounds of the slowdown factor, None for too few times.

    Each pair holds the new and the old times of one kind of call. Kinds are weighted by
    their number of new times; the variance is assumed to be equal in all kinds.
    """
    comparable = [
        (new, old) for new, old in pairs if new.count and old.count >= MIN_OLD_TIMES
    ]
    count = sum(new.count for new, _ in comparable)
    if count < MIN_NEW_TIMES:
        return None
    mean_difference = (
        sum(new.count * (new.mean - old.mean) for new, old in comparable) / count
    )
    degrees_of_freedom = sum(new.count + old.count - 2 for new, old in comparable)
    squared_deviations = sum(
        new.squared_deviations + old.squared_deviations for new, old in comparable
    )
    variance = max(
        MIN_LOG_DEVIATION * MIN_LOG_DEVIATION, squared_deviations / degrees_of_freedom
    )
    inverse = sum(new.count + new.count**2 / old.count for new, old in comparable)
    margin = SLOWDOWN_Z * sqrt(variance * inverse) / count
    return exp(mean_difference - margin), exp(mean_difference + margin)


def _sum(all_stats: Iterable[AnswerStats]) -> AnswerStats:
    total = AnswerStats()
    for stats in all_stats:
        total = total.plus(stats)
    return total


def _by_route(stats_by_kind: StatsByKind) -> dict[str, AnswerStats]:
    routes: dict[str, AnswerStats] = {}
    for kind, stats in stats_by_kind.items():
        routes[kind.route] = routes.get(kind.route, AnswerStats()).plus(stats)
    return routes
