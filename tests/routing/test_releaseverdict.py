"""Comparison of a release with the previous one by their answers."""

from dataclasses import dataclass, replace
from random import Random

import msgspec
import pytest

from knapweedhinge.conf.relay import Promises
from knapweedhinge.routing.releases import (
    Observed,
    Release,
    Stage,
    goes_to_new_version,
    in_trial,
    next_stage,
    trial_share,
)
from knapweedhinge.routing.releaseverdict import (
    MIN_PIECES,
    AnswerStats,
    CallKind,
    LogTimes,
    compare_releases,
    load_band,
    log_times,
    mean_piece_interval_s,
)

IDLE, LIGHT, OVERLOADED = 0, 1, 2  # load bands


def call_kind(route: str = "r", size: str = "", band: int = IDLE) -> CallKind:
    return CallKind(route, size, band)


def times(count: int, seconds: float) -> LogTimes:
    return log_times_of([seconds] * count)


def log_times_of(seconds: list[float]) -> LogTimes:
    total = LogTimes()
    for value in seconds:
        total = total.plus(log_times(value))
    return total


def answer_stats(answers: int, bad: int = 0, first_s: float = 0.5) -> AnswerStats:
    return AnswerStats(answers, bad, first_piece_times=times(answers - bad, first_s))


FAILURE_CASES = [
    # statistics of the new and the old release, whether judged bad, whether good
    ({}, {}, False, False),
    ({call_kind(): answer_stats(2, 2)}, {call_kind(): answer_stats(50)}, False, False),
    ({call_kind(): answer_stats(6, 3)}, {call_kind(): answer_stats(50)}, True, False),
    ({call_kind(): answer_stats(12)}, {call_kind(): answer_stats(50)}, False, True),
    (
        {call_kind(): answer_stats(12, 4)},
        {call_kind(): answer_stats(50, 18)},
        False,
        True,
    ),
    (
        {call_kind(): answer_stats(40), call_kind("q"): answer_stats(5, 4)},
        {},
        True,
        False,
    ),
    # A route on which some answers always fail is compared with the old release's
    # answers on it.
    (
        {call_kind("q"): answer_stats(30), call_kind(): answer_stats(8, 5)},
        {call_kind("q"): answer_stats(300), call_kind(): answer_stats(158, 42)},
        False,
        True,
    ),
    (
        {call_kind("q"): answer_stats(30), call_kind(): answer_stats(14, 9)},
        {call_kind("q"): answer_stats(300), call_kind(): answer_stats(158, 42)},
        True,
        False,
    ),
    # Expected failures on one route don't hide unexpected ones on another.
    (
        {call_kind("q"): answer_stats(9, 9), call_kind(): answer_stats(14, 5)},
        {call_kind("q"): answer_stats(30, 30), call_kind(): answer_stats(150)},
        True,
        False,
    ),
    # Missing answers are detected even where failures are common.
    (
        {call_kind(): AnswerStats(15, bad=4, silent=4)},
        {call_kind(): AnswerStats(86, bad=26, silent=1)},
        True,
        False,
    ),
    (
        {call_kind(): AnswerStats(15, bad=4, silent=1)},
        {call_kind(): AnswerStats(86, bad=26, silent=1)},
        False,
        True,
    ),
    # A route without answers of the old release is compared with the other routes.
    (
        {call_kind(): answer_stats(6, 3)},
        {call_kind("q"): answer_stats(50)},
        True,
        False,
    ),
    # Failures count in every load band.
    (
        {
            call_kind(): answer_stats(3, 2),
            call_kind(band=OVERLOADED): answer_stats(3, 2),
        },
        {},
        True,
        False,
    ),
]

SLOWDOWN_CASES = [
    (
        {call_kind(): answer_stats(8, 0, 4.0)},
        {call_kind(): answer_stats(50)},
        True,
        False,
    ),
    (
        {call_kind(): answer_stats(8, 0, 1.0)},
        {call_kind(): answer_stats(50)},
        False,
        True,
    ),
    (
        {call_kind(): answer_stats(3, 0, 9.0)},
        {call_kind(): answer_stats(50)},
        False,
        False,
    ),
    # Times of another model or another load band are not compared.
    (
        {call_kind("r", "l"): answer_stats(8, 0, 4.0)},
        {call_kind("r", "s"): answer_stats(50)},
        False,
        True,
    ),
    (
        {call_kind(band=LIGHT): answer_stats(8, 0, 4.0)},
        {call_kind(): answer_stats(50)},
        False,
        True,
    ),
    (
        {call_kind(band=LIGHT): answer_stats(8, 0, 4.0)},
        {call_kind(band=LIGHT): answer_stats(9)},
        True,
        False,
    ),
    (
        {call_kind(band=OVERLOADED): answer_stats(8, 0, 4.0)},
        {call_kind(band=OVERLOADED): answer_stats(9)},
        False,
        True,
    ),
    # Several kinds with few answers each are compared together.
    (
        {call_kind(size=size): answer_stats(2, 0, 4.0) for size in "abcde"},
        {call_kind(size=size): answer_stats(5) for size in "abcde"},
        True,
        False,
    ),
    # A single slow route is detected although most calls take another one.
    (
        {call_kind("q"): answer_stats(40), call_kind(): answer_stats(8, 0, 4.0)},
        {call_kind("q"): answer_stats(90), call_kind(): answer_stats(50)},
        True,
        False,
    ),
]


@pytest.mark.parametrize("new,old,bad,good", FAILURE_CASES + SLOWDOWN_CASES)
def test_verdicts(new, old, bad, good):
    verdict = compare_releases(new, old)
    assert (verdict.bad, verdict.good) == (bad, good)


MOVED_CASES = [
    # statistics of the new release, whether bad before and after all traffic moved
    (AnswerStats(55, silent=8), True, False),
    (AnswerStats(55, bad=8), True, True),
    (answer_stats(8, 0, 4.0), True, True),
]


@pytest.mark.parametrize("new,before,after", MOVED_CASES)
def test_missing_answers_are_ignored_after_the_move(new, before, after):
    """The load is then higher than any that the old release had during the trial."""
    old = {call_kind(): answer_stats(300)}
    assert compare_releases({call_kind(): new}, old).bad is before
    assert compare_releases({call_kind(): new}, old, moved=True).bad is after


def lognormal_times(
    rng: Random, median_s: float, count: int, deviation: float = 0.45
) -> list[float]:
    return [median_s * rng.lognormvariate(0.0, deviation) for _ in range(count)]


# A case from a trace of the day ``zone`` (deploy/days/zone.toml): the old release has
# lost a third of its engines and is overloaded while the few sessions of the new one
# find idle engines. Both send the first piece after about the same time, but the piece
# intervals of the new release are 2.5 times as long, 83 to 106 ms. By load band: median
# time to the first piece and median interval in seconds, number of answers.
OVERLOADED_OLD_RELEASE = {
    IDLE: (0.04, 0.035, 40),
    LIGHT: (0.07, 0.045, 100),
    OVERLOADED: (0.3, 0.1, 200),
}


def overloaded_old_release(rng: Random) -> dict[CallKind, AnswerStats]:
    return {
        call_kind(band=band): AnswerStats(
            count,
            first_piece_times=log_times_of(lognormal_times(rng, first, count)),
            piece_intervals=log_times_of(lognormal_times(rng, interval, 30)),
        )
        for band, (first, interval, count) in OVERLOADED_OLD_RELEASE.items()
    }


@pytest.mark.parametrize("seed", range(20))
def test_a_slow_release_is_detected_beside_an_overloaded_one(seed):
    rng = Random(seed)
    new = AnswerStats(
        19,
        first_piece_times=log_times_of(lognormal_times(rng, 0.06, 12)),
        piece_intervals=log_times_of(lognormal_times(rng, 0.09, 6, 0.1)),
    )
    verdict = compare_releases({call_kind(): new}, overloaded_old_release(rng))
    assert verdict.bad, verdict.reason


def test_a_good_release_is_rarely_taken_for_a_slow_one():
    # The releases are compared after each answer, first during a trial and then during
    # a burst that loads the new release more than the old one ever was.
    misjudged = 0
    for seed in range(200):
        rng = Random(seed)
        old, new = overloaded_old_release(rng), {}
        for n in range(60):
            band = rng.choice([IDLE, IDLE, LIGHT]) if n < 40 else OVERLOADED
            first, interval, _ = OVERLOADED_OLD_RELEASE[band]
            first, interval = (first, interval) if n < 40 else (3 * first, 3 * interval)
            answer = AnswerStats(
                1,
                first_piece_times=log_times_of(lognormal_times(rng, first, 1)),
                piece_intervals=log_times_of(lognormal_times(rng, interval, 1)),
            )
            new[call_kind(band=band)] = new.get(
                call_kind(band=band), AnswerStats()
            ).plus(answer)
            if compare_releases(new, old).bad:
                misjudged += 1
                break
    assert misjudged <= 10


PIECE_INTERVAL_CASES = [
    # pieces, seconds from the first to the last, mean interval in seconds
    (MIN_PIECES - 1, 1.0, None),
    (1, 0.0, None),
    (MIN_PIECES, 1.0, 1.0 / (MIN_PIECES - 1)),
    (101, 5.0, 0.05),
]


@pytest.mark.parametrize("pieces,between_s,expected", PIECE_INTERVAL_CASES)
def test_mean_piece_interval(pieces, between_s, expected):
    assert mean_piece_interval_s(pieces, between_s) == expected


LOAD_BAND_CASES = [(0.0, 0), (0.049, 0), (0.05, 1), (0.3, 2), (60.0, 2)]


@pytest.mark.parametrize("work_s,band", LOAD_BAND_CASES)
def test_load_bands(work_s, band):
    assert load_band(work_s) == band


# A case from a trace of the day ``hasty`` (deploy/days/hasty.toml): median time to the
# first piece and median interval on idle engines in seconds, number of answers.
OLD_ON_IDLE_ENGINES = (0.06, 0.047, 30)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("answers", [3, 4, 8])
def test_a_slow_release_with_few_answers_is_not_taken_to_be_as_fast(answers, seed):
    rng = Random(seed)
    first, interval, count = OLD_ON_IDLE_ENGINES
    old = AnswerStats(
        count,
        first_piece_times=log_times_of(lognormal_times(rng, first, count)),
        piece_intervals=log_times_of(lognormal_times(rng, interval, count)),
    )
    new = AnswerStats(
        answers,
        first_piece_times=log_times_of(lognormal_times(rng, first, answers)),
        piece_intervals=log_times_of(
            lognormal_times(rng, 2.1 * interval, answers, 0.1)
        ),
    )
    assert not compare_releases({call_kind(): new}, {call_kind(): old}).as_fast


def test_most_good_releases_are_as_fast_after_eight_answers():
    as_fast = 0
    for seed in range(100):
        rng = Random(seed)
        first, interval, count = OLD_ON_IDLE_ENGINES
        old, new = (
            AnswerStats(
                n,
                first_piece_times=log_times_of(lognormal_times(rng, first, n)),
                piece_intervals=log_times_of(lognormal_times(rng, interval, n)),
            )
            for n in (count, 8)
        )
        as_fast += compare_releases({call_kind(): new}, {call_kind(): old}).as_fast
    assert as_fast >= 90


AS_FAST_CASES = [
    # the new and the old release, whether the new one is known to be as fast
    (answer_stats(8), answer_stats(50), True),
    (answer_stats(8, first_s=2.0), answer_stats(50), False),
    (answer_stats(3), answer_stats(50), False),
    (answer_stats(8), answer_stats(3), False),
    # Streamed answers are compared by their intervals.
    (
        answer_stats(8),
        msgspec.structs.replace(answer_stats(50), piece_intervals=times(50, 0.1)),
        False,
    ),
]


@pytest.mark.parametrize("new,old,as_fast", AS_FAST_CASES)
def test_a_release_is_as_fast_only_if_its_times_show_it(new, old, as_fast):
    assert compare_releases({call_kind(): new}, {call_kind(): old}).as_fast is as_fast


# Share of all calls, and share of its calls that fail on any release, by route.
ROUTES = {"a": (0.4, 0.0), "b": (0.25, 0.26), "c": (0.3, 0.02), "d": (0.05, 1.0)}


def test_a_good_release_is_rarely_taken_for_a_failing_one():
    # The releases are compared after each of the 40 answers of a trial; one trial in
    # twenty may be misjudged.
    misjudged = 0
    for seed in range(400):
        rng, old, new = Random(seed), {}, {}
        for stats, count in ((old, 300), (new, 40)):
            for _ in range(count):
                (name,) = rng.choices(
                    list(ROUTES), [share for share, _ in ROUTES.values()]
                )
                answer = AnswerStats(1, bad=int(rng.random() < ROUTES[name][1]))
                stats[call_kind(name)] = stats.get(call_kind(name), AnswerStats()).plus(
                    answer
                )
                if stats is new and compare_releases(new, old).bad:
                    misjudged += 1
                    break
    assert misjudged <= 400 / 20


@dataclass
class RolloutSimulation:
    """Simulation of a roll-out to a plain service, with the decisions under test.

    Calls arrive at random, ``per_s`` a second, at three endpoints of each release. The
    new release fails ``bad_share`` of the calls that find at least two others at their
    endpoint, about 1 in 25 of all calls after the move.
    """

    seed: int
    per_s: float = 16.0
    period_s: float = 24.0
    call_s: float = 0.07
    bad_share: float = 0.4

    def run(self) -> tuple[int, int, Stage]:
        """Return the calls to the new release, to both releases, and the last stage."""
        rng = Random(self.seed)
        release, share = Release("s", "new", self.period_s), trial_share(EXPOSURE)
        stats_by_release = {"new": {}, "old": {}}
        ends = {"new": [[], [], []], "old": [[], [], []]}
        counts, moved_at, now = {"new": 0, "old": 0}, 0.0, 0.0
        while now < self.period_s:
            now += rng.expovariate(self.per_s)
            name = (
                "new"
                if goes_to_new_version(
                    release, in_trial(f"s{rng.random()}", release, share)
                )
                else "old"
            )
            endpoint_ends = rng.choice(ends[name])
            endpoint_ends[:] = [end for end in endpoint_ends if end > now]
            bad = (
                name == "new"
                and len(endpoint_ends) >= 2
                and rng.random() < self.bad_share
            )
            kind = call_kind(band=load_band(self.call_s * len(endpoint_ends)))
            stats = stats_by_release[name].get(kind, AnswerStats())
            answer = AnswerStats(
                1, bad=int(bad), first_piece_times=log_times(self.call_s)
            )
            stats_by_release[name][kind] = stats.plus(answer)
            endpoint_ends.append(now + self.call_s)
            counts[name] += 1
            moved = release.stage is Stage.MOVING
            verdict = compare_releases(
                stats_by_release["new"], stats_by_release["old"], moved=moved
            )
            in_use = sum(end > now for running in ends["old"] for end in running)
            moved_s = now - moved_at if moved else 0.0
            observed = Observed(
                verdict, sum(counts.values()), counts["new"], in_use, moved_s
            )
            stage = next_stage(release, observed, PROMISES, now)
            if stage is Stage.MOVING:
                moved_at = now
            release = replace(release, stage=stage or release.stage)
        return counts["new"], sum(counts.values()), release.stage


# Voted share of calls to the new release, and the number of calls allowed beyond it.
EXPOSURE, SLACK = 0.15, 30
PROMISES = Promises(exposure=EXPOSURE, exposure_allowance=SLACK)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_good_release_is_completed(seed):
    assert RolloutSimulation(seed, bad_share=0.0).run()[2] is Stage.COMPLETE


def test_a_release_that_is_bad_only_under_load_is_taken_back_in_time():
    for seed in (1, 2, 3):
        new, calls, _ = RolloutSimulation(seed).run()
        assert new <= EXPOSURE * calls + SLACK


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_release_that_is_bad_at_any_load_is_taken_back_in_time(seed):
    simulation = RolloutSimulation(seed, call_s=0.9, bad_share=0.5)
    new, calls, stage = simulation.run()
    assert stage is Stage.ROLLED_BACK
    assert new <= EXPOSURE * calls + SLACK
