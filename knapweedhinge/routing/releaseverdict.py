"""Decide whether a new release is worse than the previous one, from answer statistics.

The comparison finds a release that fails some calls or is several times slower, even
while the old release is itself slowed by high load, lost failure domains or endpoints
that have just returned. Times are compared only between calls whose endpoint had about
the same amount of work. The interval between response pieces (streamed chunks) is
compared as well as the time to the first piece: network and queueing delays can hide a
slow engine in the first piece, but not in the following ones.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain
from math import exp, log, sqrt
from operator import attrgetter
from typing import NamedTuple

import msgspec

from knapweedhinge.routing.logtimes import LogTimes
from knapweedhinge.routing.timequantiles import (
    log_evidence,
    log_mean_exp,
    log_ratios,
    time_bin,
)

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
# A release is slow as well if its times lie above quantiles of those of the old one,
# with this probability of a false alarm over the whole roll-out.
SLOWER_ALPHA = 0.008
# Later points in time, at most, from which times are compared once more.
LATER_STARTS = 4
# Odds for longer times at which a release is doubtful, on single routes and since later
# points in time. Over the whole roll-out and all routes it is so from even odds.
DOUBTFUL_ODDS = 2.0
# Bins by which times must exceed a quantile, about the factors 1.2 and 2. Caches of a
# new release are cold, which delays the first piece.
TOLERATED_INTERVAL_BINS = 1
TOLERATED_FIRST_PIECE_BINS = 5
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

    def since(self, earlier: "AnswerStats") -> "AnswerStats":
        """Return the statistics of the answers that were added after ``earlier``."""
        return AnswerStats(
            max(0, self.answers - earlier.answers),
            max(0, self.bad - earlier.bad),
            max(0, self.silent - earlier.silent),
            self.first_piece_times.since(earlier.first_piece_times),
            self.piece_intervals.since(earlier.piece_intervals),
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
FIRST_PIECE_TIMES = attrgetter("first_piece_times")
PIECE_INTERVALS = attrgetter("piece_intervals")
TimePairs = list[tuple[LogTimes, LogTimes]]  # of the new and the old release


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of comparing a release with the previous one.

    A release is neither ``bad`` nor ``good`` while there are too few answers.
    ``reason`` explains the result in one line. ``as_fast`` says that its times are
    sufficient to rule out that it is several times slower. ``doubtful`` says that they
    rather look longer than those of the old release.
    """

    bad: bool
    good: bool
    reason: str
    as_fast: bool = False
    doubtful: bool = False


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
    return LogTimes(1, value, value * value, {time_bin(seconds): 1})


def mean_piece_interval_s(pieces: int, between_s: float) -> float | None:
    """Return the mean interval between pieces in seconds, None for too few pieces.

    ``between_s`` is the time from the first piece to the last.
    """
    return between_s / (pieces - 1) if pieces >= MIN_PIECES else None


def compare_releases(
    new: StatsByKind,
    old: StatsByKind,
    *,
    moved: bool = False,
    later: Sequence[StatsByKind] = (),
) -> Verdict:
    """Compare a new release with the old one, over all routes and on each route.

    Set ``moved`` once the new release receives all traffic. Missing answers are then
    ignored: its load is higher than any that the old release had during the trial.
    ``later`` holds the answers of the new release since at most ``LATER_STARTS`` later
    points in time, so that a release is detected that turns slow after good answers.
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
    overall, *since = (_log_odds_of_slower(part, old) for part in (new, *later))
    evidence = _joined_log_odds([overall, *since])
    if evidence > -log(SLOWER_ALPHA):
        reason = f"longer times than before, log odds {evidence:.1f}"
        return Verdict(True, False, reason)
    total = _sum(new.values())
    good = total.answers - total.bad - total.silent
    doubtful = overall.all_routes > 0.0 or any(
        max(odds) > log(DOUBTFUL_ODDS) for odds in (overall, *since)
    )
    as_fast = not doubtful and _is_as_fast(new, old)
    reason = f"{good} of {total.answers} good" + (", as fast" if as_fast else "")
    reason += ", rather slower" if doubtful else ""
    return Verdict(False, good >= MIN_GOOD_ANSWERS, reason, as_fast, doubtful)


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
    for name, measure, limit in (
        ("to the first piece", FIRST_PIECE_TIMES, SLOW_FIRST_PIECE_FACTOR),
        ("between pieces", PIECE_INTERVALS, SLOW_INTERVAL_FACTOR),
    ):
        bounds = _slowdown_bounds(_comparable_times(new, old, measure))
        if bounds is not None and bounds[0] > limit:
            return f"at least {bounds[0]:.1f} times as long {name}"
    return ""


class _LogOdds(NamedTuple):
    """Log odds for longer times over all routes, and their mean of single routes."""

    all_routes: float
    by_route: float


def _joined_log_odds(by_start: Sequence[_LogOdds]) -> float:
    """Return the log odds over all starts; half of the weight is on the first one.

    Starts that are still to come count as even odds, so that weights are fixed from the
    beginning.
    """
    first, *later = (log_mean_exp(odds) for odds in by_start)
    to_come = [0.0] * (LATER_STARTS - len(later))
    return log_mean_exp([first, log_mean_exp([*later, *to_come])])


def _log_odds_of_slower(new: StatsByKind, old: StatsByKind) -> _LogOdds:
    """Return the log odds for longer times, even odds for too few of them."""
    measure, _, tolerated_bins = _deciding_times(old)
    ratios: dict[str, list[tuple[float, ...]]] = {}
    count = 0
    for kind, stats in new.items():
        new_bins = measure(stats).bins
        old_bins = measure(old.get(kind, AnswerStats())).bins
        if new_bins and old_bins and not is_overloaded(kind):
            count += sum(new_bins.values())
            found = log_ratios(new_bins, old_bins, tolerated_bins)
            ratios.setdefault(kind.route, []).append(found)
    if count < MIN_NEW_TIMES:
        return _LogOdds(0.0, 0.0)
    return _LogOdds(
        log_evidence(chain.from_iterable(ratios.values())),
        log_mean_exp(log_evidence(found) for found in ratios.values()),
    )


def _is_as_fast(new: StatsByKind, old: StatsByKind) -> bool:
    """Return whether the times rule out that the new release is much slower."""
    measure, limit, _ = _deciding_times(old)
    bounds = _slowdown_bounds(_comparable_times(new, old, measure))
    return bounds is not None and bounds[1] < limit


def _deciding_times(
    old: StatsByKind,
) -> tuple[Callable[[AnswerStats], LogTimes], float, int]:
    """Return the times that show whether a release is fast, and what is tolerated.

    For calls with a streamed answer the intervals decide, see the module's docstring.
    The latter are the limit of the slowdown, and of the bins above a quantile.
    """
    if any(stats.piece_intervals.count for stats in old.values()):
        return PIECE_INTERVALS, FAST_INTERVAL_FACTOR, TOLERATED_INTERVAL_BINS
    return FIRST_PIECE_TIMES, FAST_FIRST_PIECE_FACTOR, TOLERATED_FIRST_PIECE_BINS


def _comparable_times(
    new: StatsByKind, old: StatsByKind, measure: Callable[[AnswerStats], LogTimes]
) -> TimePairs:
    """Return the new and the old times of each kind that can be compared."""
    return [
        (measure(stats), measure(old.get(kind, AnswerStats())))
        for kind, stats in new.items()
        if not is_overloaded(kind)
    ]


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
