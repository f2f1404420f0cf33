"""Judge a release by its answers beside those of the release before it.

Load answered: a release that fails part of its calls or is several times slower, beside
an old release that is itself slowed by crowding, lost failure domains or endpoints that
came back. Times are compared only between calls that met about the same work at their
endpoint, and the time from piece to piece counts beside the time to the first one: the
way and a queue hide a slow engine behind the first piece, and not behind the others.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import exp, log, sqrt
from operator import attrgetter

import msgspec

MIN_GOOD = 8  # good answers a release needs before all traffic moves
MIN_BAD = 3  # failures below this are chance
BAD_MARGIN = 0.05  # failures beyond the old release's share that count as bad
ROUTE_PRIOR = 4.0  # answers that all routes' share weighs against a route's own
MIN_SLOW = 4  # times that a comparison needs of the new release
MIN_USUAL = 4  # times that a comparison needs of the old release for each kind
# Times as long as before that a release must surely take to count as slow. The first
# piece of some calls waits for others; pieces come at a pace of the engine's own.
SLOW_FIRST = 2.0
SLOW_PACE = 1.4
# Standard deviation assumed of the logarithms of times where few were seen: that of
# times a factor of 1.5 apart.
LEAST_SPREAD = 0.4
Z_FAILURES = 2.33  # one-sided 99%: each answer is a new look, on each route
Z_TIMES = 1.64  # one-sided 95%, beside factors that are far from chance by themselves
LEAST_S = 0.001  # times below this are taken for it
MIN_PIECES = 5  # an answer of fewer pieces has no pace
# Work at the endpoint, in seconds, that parts calls of unlike crowding. Beyond the last
# one times tell more of the prompts that others have read, and aren't compared: in a
# trace pieces came 26 to 400 ms apart from one release.
BANDS_S = (0.05, 0.3)


class LogTimes(msgspec.Struct, frozen=True, array_like=True):
    """Times by their count, the sum of their natural logarithms and of the squares."""

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    def plus(self, other: "LogTimes") -> "LogTimes":
        """Return the sums of both."""
        return LogTimes(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
        )

    @property
    def mean(self) -> float:
        """Return the mean logarithm; there must be a time."""
        return self.total / self.count

    @property
    def scatter(self) -> float:
        """Return the sum of squared distances from the mean."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares - self.total * self.total / self.count)


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one release to calls of one kind.

    ``bad`` ones were failures, ``silent`` ones didn't come in the time that such calls
    are given. ``firsts`` are times to the first piece of good answers, ``paces`` mean
    times from piece to piece, also of answers that nobody waited for to the end.
    """

    answers: int = 0
    bad: int = 0
    silent: int = 0
    firsts: LogTimes = LogTimes()
    paces: LogTimes = LogTimes()

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both."""
        return Tally(
            self.answers + other.answers,
            self.bad + other.bad,
            self.silent + other.silent,
            self.firsts.plus(other.firsts),
            self.paces.plus(other.paces),
        )


class CallKind(msgspec.Struct, frozen=True, array_like=True):
    """Calls that are compared with each other.

    ``band`` tells how much work their endpoint had, by ``crowding_band``.
    """

    route: str
    size: str
    band: int


Tallies = Mapping[CallKind, Tally]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the evidence says of a release, and why."""

    bad: bool
    good: bool
    reason: str


def crowding_band(work_s: float) -> int:
    """Return the number of the band that some work at an endpoint belongs to."""
    return sum(work_s >= bound for bound in BANDS_S)


def is_crowded(kind: CallKind) -> bool:
    """Return whether times and silence tell more of crowding than of the release."""
    return kind.band >= len(BANDS_S)


def log_times(seconds: float | None) -> LogTimes:
    """Return the sums over one time, or over none."""
    if seconds is None:
        return LogTimes()
    value = log(max(seconds, LEAST_S))
    return LogTimes(1, value, value * value)


def pace_s(pieces: int, between_s: float) -> float | None:
    """Return the seconds from piece to piece, None for too few pieces."""
    return between_s / (pieces - 1) if pieces >= MIN_PIECES else None


def judge(new: Tallies, old: Tallies, *, moved: bool = False) -> Verdict:
    """Compare a release with the one before it, as a whole and by route.

    Once all traffic has ``moved``, the new release bears more than the old one ever
    did while it was watched, and its silence is no measure any more.
    """
    routes = sorted({kind.route for kind in new})
    for route in (None, *routes):
        part = {kind: one for kind, one in new.items() if route in (None, kind.route)}
        reason = (
            _beyond_usual(part, old, "failed", attrgetter("bad"))
            or (not moved and _beyond_usual(part, old, "silent", attrgetter("silent")))
            or _slow(part, old)
        )
        if reason:
            return Verdict(True, False, f"{route or 'all routes'}: {reason}")
    total = _sum(new.values())
    good = total.answers - total.bad - total.silent
    return Verdict(False, good >= MIN_GOOD, f"{good} of {total.answers} good")


def _beyond_usual(
    new: Tallies, old: Tallies, what: str, count: Callable[[Tally], int]
) -> str:
    """Say what is counted beyond what the old release lets expect, over all routes.

    On one route answers always fail in part, on another they never do. This is the
    score test that Wilson's bound inverts.
    """
    overall, before = _sum(old.values()), _by_route(old)
    prior = ROUTE_PRIOR * count(overall) / max(1, overall.answers)
    expected = variance = 0.0
    for route, tally in _by_route(new).items():
        known = before.get(route, Tally())
        usual = (count(known) + prior) / (known.answers + ROUTE_PRIOR)
        most = min(1.0, usual + BAD_MARGIN)
        expected += tally.answers * most
        variance += tally.answers * most * (1.0 - most)
    total = _sum(new.values())
    found = count(total)
    if found < MIN_BAD or found <= expected + Z_FAILURES * sqrt(variance):
        return ""
    return f"{found} of {total.answers} {what}, at most {expected:.1f} expected"


def _slow(new: Tallies, old: Tallies) -> str:
    alike = [
        (one, old.get(kind, Tally()))
        for kind, one in new.items()
        if not is_crowded(kind)
    ]
    firsts = [(one.firsts, before.firsts) for one, before in alike]
    paces = [(one.paces, before.paces) for one, before in alike]
    for name, pairs, most in (
        ("to the first piece", firsts, SLOW_FIRST),
        ("from piece to piece", paces, SLOW_PACE),
    ):
        surely = _slowness(pairs)
        if surely > most:
            return f"surely {surely:.1f} times as long {name}"
    return ""


def _slowness(pairs: Iterable[tuple[LogTimes, LogTimes]]) -> float:
    """Return how many times as long the new times surely are, 1 if too few were seen.

    The kinds are weighed by the new times of each; the spread is taken for the same in
    all of them.
    """
    fit = [(new, old) for new, old in pairs if new.count and old.count >= MIN_USUAL]
    count = sum(new.count for new, _ in fit)
    if count < MIN_SLOW:
        return 1.0
    gap = sum(new.count * (new.mean - old.mean) for new, old in fit) / count
    freedom = sum(new.count + old.count - 2 for new, old in fit)
    scatter = sum(new.scatter + old.scatter for new, old in fit)
    variance = max(LEAST_SPREAD * LEAST_SPREAD, scatter / freedom)
    inverse = sum(new.count + new.count**2 / old.count for new, old in fit)
    return exp(gap - Z_TIMES * sqrt(variance * inverse) / count)


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total


def _by_route(tallies: Tallies) -> dict[str, Tally]:
    routes: dict[str, Tally] = {}
    for kind, tally in tallies.items():
        routes[kind.route] = routes.get(kind.route, Tally()).plus(tally)
    return routes
