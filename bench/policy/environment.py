"""The simulated environment of a run: versions, rating service and workload.

All random numbers come from numpy's PCG64 generator, seeded with the seed of the run
and a number for their purpose, so that all policies get the same requests.
"""

import heapq
from dataclasses import dataclass, field

import numpy as np

from bench.policy.profiles import NEW, STABLE, Profile, VersionBehaviour
from bench.policy.regimes import (
    FAULTY_ANSWER_SHARE,
    RATING_DRIFT,
    SLOWDOWN_FACTOR,
    Regime,
)
from knapweedhinge.conf.cooperative import Version

# A rating arrives after this delay plus an exponentially distributed one.
MIN_RATING_DELAY_S = 15.0
MEAN_EXTRA_RATING_DELAY_S = 12.0

BAD_RATING = 0.1  # rating of a faulty answer, on a scale from 0 to 1
MAX_FAILURE_TIME_S = 0.5  # within which a failed attempt ends


@dataclass(frozen=True)
class Request:
    """A request of the workload.

    ``uniform_draws`` are four random numbers from 0 to 1, the same for all policies.
    In this order they decide whether a degraded version gives a faulty answer, whether
    an attempt fails and how far the rating is from the mean. The last one decides both
    the noise of the self-check and whether the answer is rated in any case.
    """

    id: str
    arrived_at: float
    organisation: str
    class_index: int
    prompt_tokens: int
    output_tokens: int
    session: str
    node: int
    uniform_draws: tuple[float, ...]


@dataclass(frozen=True)
class Answer:
    """The answer of a version to a request; times are absolute virtual seconds.

    ``cost_micros`` is the price in micros, ``rating`` the true one from 0 to 1, and
    ``degraded`` says that the version had degraded by the time of the dispatch.
    """

    version: str
    failed: bool
    first_at: float
    done_at: float
    output_tokens: int
    cost_micros: float
    rating: float
    degraded: bool


def workload(
    profile: Profile, seed: int, rate: float, length_s: float
) -> list[Request]:
    """Return the requests of a run by arrival, ``rate`` a second on average."""
    rng = np.random.Generator(np.random.PCG64((seed, 1)))
    requests = []
    sessions: list[tuple[str, int, str]] = []
    now = 0.0
    while True:
        now += rng.exponential(1.0 / rate)
        if now >= length_s:
            return requests
        number = len(requests)
        class_index = int(rng.random() >= profile.shares[0])
        session, organisation = "", _organisation(rng)
        if rng.random() < profile.session_share:
            known = sessions and rng.random() > 1.0 / profile.session_length
            if known:
                recent = sessions[-20:]
                session, class_index, organisation = recent[rng.integers(len(recent))]
            else:
                session = f"s{number}"
                sessions.append((session, class_index, organisation))
        prompt = profile.prompt_tokens[class_index] * rng.lognormal(0.0, 0.6)
        output = profile.output_tokens[class_index] * rng.lognormal(0.0, 0.4)
        requests.append(
            Request(
                id=f"q{number}",
                arrived_at=now,
                organisation=organisation,
                class_index=class_index,
                prompt_tokens=max(1, int(prompt)),
                output_tokens=max(1, int(output)),
                session=session,
                node=int(rng.integers(3)),
                uniform_draws=tuple(rng.random(4)),
            )
        )


def _organisation(rng: np.random.Generator) -> str:
    large = rng.random() < 0.5
    return "org-0" if large else f"org-{rng.integers(1, 10)}"


@dataclass
class VersionPool:
    """The replicas of a version, modelled as one queue with many slots."""

    behaviour: VersionBehaviour
    version: Version
    free_at: list[float] = field(default_factory=list)

    def __post_init__(self):
        """Mark every slot as free."""
        self.free_at = [0.0] * self.behaviour.slots

    def wait_s(self, now: float) -> float:
        """Return the seconds that a request arriving now would wait for a slot."""
        return max(0.0, self.free_at[0] - now)

    def outstanding(self, now: float) -> int:
        """Return the number of slots that are busy at ``now``."""
        return sum(slot_free_at > now for slot_free_at in self.free_at)

    def serve(self, now: float, first_s: float, total_s: float) -> tuple[float, float]:
        """Occupy a slot and return the times of the first and the last token."""
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + total_s)
        return start + first_s, start + total_s


class World:
    """The true behaviour of all versions during one run, hidden from policies.

    In a regime where the new version degrades, it does so at ``degrades_at``. With
    ``fails_visibly``, its faulty answers are failures, otherwise badly rated answers.
    """

    def __init__(self, profile: Profile, regime: Regime, seed: int, length_s: float):
        rng = np.random.Generator(np.random.PCG64((seed, 2)))
        self.profile = profile
        self.regime = regime
        self.length_s = length_s
        self.degrades_at = float(rng.uniform(0.2, 0.6)) * length_s
        self.fails_visibly = seed % 2 == 1
        self.pools = {
            behaviour.version: VersionPool(
                behaviour, profile.cfg.version(behaviour.version)
            )
            for behaviour in profile.behaviours
        }

    def answer(self, request: Request, version: str, now: float) -> Answer:
        """Return the answer of a version to a request that is dispatched now."""
        pool = self.pools[version]
        behaviour = pool.behaviour
        degraded = self._is_degraded(version, now)
        faulty = degraded and request.uniform_draws[0] < FAULTY_ANSWER_SHARE
        failed = request.uniform_draws[1] < behaviour.failure_rate
        failed = failed or (faulty and self.fails_visibly)
        slowdown = self._slowdown(version, now)
        tokens = max(1, int(request.output_tokens * behaviour.output_factor))
        # 2e-5 is the prefill time of a prompt token in seconds.
        first_s = (behaviour.first_s + request.prompt_tokens * 2e-5) * slowdown
        total_s = first_s + tokens * behaviour.token_s * slowdown
        if failed:
            first_s = total_s = min(MAX_FAILURE_TIME_S, total_s)
        first_at, done_at = pool.serve(now, first_s, total_s)
        rating = BAD_RATING if faulty else self.rating(request, version, now)
        return Answer(
            version=version,
            failed=failed,
            first_at=first_at,
            done_at=done_at,
            output_tokens=0 if failed else tokens,
            cost_micros=0.0 if failed else self.cost(request, version),
            rating=rating,
            degraded=degraded,
        )

    def cost(self, request: Request, version: str) -> float:
        """Return the price of a request on a version, in micros."""
        pool = self.pools[version]
        tokens = max(1, int(request.output_tokens * pool.behaviour.output_factor))
        prompt = request.prompt_tokens * pool.version.input_micros_per_1k
        return (prompt + tokens * pool.version.output_micros_per_1k) / 1000

    def quality(self, version: str, class_index: int, now: float) -> float:
        """Return the true mean rating of a version, without its faulty answers."""
        mean = self.pools[version].behaviour.quality[class_index]
        if self.regime.stable_drifts and version == STABLE:
            mean -= RATING_DRIFT * now / self.length_s
        return mean

    def rating(self, request: Request, version: str, now: float) -> float:
        """Return the rating of an answer that isn't faulty.

        The same request is rated low or high relative to the mean on every version, as
        a hard or an easy request would be.
        """
        mean = self.quality(version, request.class_index, now)
        half_width = min(mean, 1.0 - mean, 0.25)
        return mean + (request.uniform_draws[2] * 2.0 - 1.0) * half_width

    def check_score(self, request: Request, answer: Answer) -> float:
        """Return the score of a self-check: the rating with noise, and 0.15 lower."""
        noise = (request.uniform_draws[3] - 0.5) * 0.2
        return min(1.0, max(0.0, answer.rating + noise - 0.15))

    def capacity(self) -> float:
        """Return the requests a second that versions of sufficient quality can serve.

        The new version of the rollout doesn't count. Quality is sufficient if it meets
        the target of the first class.
        """
        total = 0.0
        for behaviour in self.profile.behaviours:
            if behaviour.version == NEW:
                continue
            # Output lengths are lognormal; their mean is 1.08 times their median.
            busy_s = sum(
                share * (behaviour.first_s + output * 1.08 * behaviour.token_s)
                for share, output in zip(
                    self.profile.shares, self.profile.output_tokens, strict=True
                )
                if behaviour.quality[0] >= self.profile.cfg.classes[0].quality_target
            )
            total += behaviour.slots / busy_s if busy_s else 0.0
        return total

    def _is_degraded(self, version: str, now: float) -> bool:
        degrades = self.regime.new_version_degrades and version == NEW
        return degrades and now >= self.degrades_at

    def _slowdown(self, version: str, now: float) -> float:
        slow = self.regime.stable_slow and version == STABLE
        middle = self.length_s / 3 <= now < 2 * self.length_s / 3
        return SLOWDOWN_FACTOR if slow and middle else 1.0


class RatingService:
    """Simulated rating service that answers with delay and loses some ratings."""

    def __init__(self, regime: Regime, seed: int):
        self.rng = np.random.Generator(np.random.PCG64((seed, 3)))
        self.lost_share = regime.ratings_lost

    def delay_s(self) -> float | None:
        """Return the delay of a rating in seconds, None if it is lost."""
        if self.rng.random() < self.lost_share:
            return None
        return MIN_RATING_DELAY_S + float(
            self.rng.exponential(MEAN_EXTRA_RATING_DELAY_S)
        )
