"""Estimate how fast each engine of a service is, relative to all of them.

Designed for engines of one service that differ in speed by a factor of two and more,
for good or for half a second at a time, before so many nodes that each sees an answer
of one engine twice a minute. Nodes add up how long engines took, and how long such
answers take on average, in two sums that decay at different rates. Sums of nodes add
up to those of the fleet.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp, log

# Time in seconds after which an answer counts half. Recent answers show a slowdown of
# half a second, which the lasting ones outweigh once it is over.
LASTING_HALF_LIFE_S = 6.0
RECENT_HALF_LIFE_S = 0.7
# Weight, in seconds of expected time, of the belief that an engine is as fast as the
# others, and of the lasting speed against recent answers. About the time that five long
# answers take.
PRIOR_WEIGHT_S = 4.0
RECENT_WEIGHT_S = 4.0
# Bounds of a relative speed.
MIN_SPEED = 0.2
MAX_SPEED = 2.0
# Most that one observation may take, as a multiple of what was expected: a stalled
# answer says little about the speed.
MAX_SLOWNESS = 8.0
MS_PER_S = 1_000
COLUMNS = 5
NO_COLUMNS = (0,) * COLUMNS


@dataclass(frozen=True, slots=True)
class SpeedSums:
    """Times of an engine's answers: taken and expected ones, in seconds.

    ``answers`` counts the observations, with the weight of the lasting sums.
    """

    lasting_taken_s: float = 0.0
    lasting_expected_s: float = 0.0
    recent_taken_s: float = 0.0
    recent_expected_s: float = 0.0
    answers: float = 0.0

    def observed(self, taken_s: float, expected_s: float) -> "SpeedSums":
        """Return the sums with one more observation."""
        taken_s = min(taken_s, MAX_SLOWNESS * expected_s)
        return SpeedSums(
            self.lasting_taken_s + taken_s,
            self.lasting_expected_s + expected_s,
            self.recent_taken_s + taken_s,
            self.recent_expected_s + expected_s,
            self.answers + 1.0,
        )

    def aged(self, seconds: float) -> "SpeedSums":
        """Return the sums as they count ``seconds`` later."""
        lasting, recent = weights_after(seconds)
        return SpeedSums(
            self.lasting_taken_s * lasting,
            self.lasting_expected_s * lasting,
            self.recent_taken_s * recent,
            self.recent_expected_s * recent,
            self.answers * lasting,
        )

    def plus(self, other: "SpeedSums") -> "SpeedSums":
        """Return the sums of both."""
        return SpeedSums(
            self.lasting_taken_s + other.lasting_taken_s,
            self.lasting_expected_s + other.lasting_expected_s,
            self.recent_taken_s + other.recent_taken_s,
            self.recent_expected_s + other.recent_expected_s,
            self.answers + other.answers,
        )

    def row(self) -> tuple[int, ...]:
        """Return the columns of the section, in milliseconds; the last one counts."""
        times = (
            self.lasting_taken_s,
            self.lasting_expected_s,
            self.recent_taken_s,
            self.recent_expected_s,
        )
        return (*(round(value * MS_PER_S) for value in times), round(self.answers))


def weights_after(seconds: float) -> tuple[float, float]:
    """Return what lasting and recent sums still weigh ``seconds`` later."""
    passed_s = max(0.0, seconds)
    return (
        exp(-log(2) * passed_s / LASTING_HALF_LIFE_S),
        exp(-log(2) * passed_s / RECENT_HALF_LIFE_S),
    )


def sums_of(
    row: tuple[float, ...], weights: tuple[float, float] = (1.0, 1.0)
) -> SpeedSums:
    """Return the sums in a row of ``COLUMNS`` columns; missing ones count as 0.

    ``weights`` are what its lasting and recent sums still weigh.
    """
    lasting, recent = weights
    columns = (*row, *NO_COLUMNS)
    return SpeedSums(
        columns[0] * lasting / MS_PER_S,
        columns[1] * lasting / MS_PER_S,
        columns[2] * recent / MS_PER_S,
        columns[3] * recent / MS_PER_S,
        columns[4] * lasting,
    )


def mean_slowness(engines: Iterable[SpeedSums]) -> float:
    """Return the time taken by all engines of a service over the expected one.

    Nodes expect times by their own answers. What all are wrong about is no property of
    one engine. The prior keeps the mean from following the answers of a single engine.
    """
    taken_s = expected_s = PRIOR_WEIGHT_S
    for sums in engines:
        taken_s += sums.lasting_taken_s
        expected_s += sums.lasting_expected_s
    return taken_s / expected_s


def relative_speed(sums: SpeedSums, mean: float = 1.0) -> float:
    """Return an engine's speed now, 1 for one as fast as the mean of its service.

    ``sums`` are those of the fleet, aged to the present; ``mean`` is that of
    ``mean_slowness()``. Exactly 1 without observations.
    """
    lasting = (sums.lasting_expected_s + PRIOR_WEIGHT_S) / (
        sums.lasting_taken_s / mean + PRIOR_WEIGHT_S
    )
    recent = (sums.recent_expected_s + RECENT_WEIGHT_S) / (
        sums.recent_taken_s / mean + RECENT_WEIGHT_S / lasting
    )
    return min(MAX_SPEED, max(MIN_SPEED, recent))
