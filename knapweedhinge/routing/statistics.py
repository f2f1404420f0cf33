"""Statistics of each plan: quality, latency, cost and checks, weighted by age.

There are two tables with different half-lives, since ratings are few and change slowly
while latencies are many and change within seconds. The weight of a bucket halves with
every half-life of its age. Ratings are weighted with several half-lives; the longest
one is used unless a shorter one shows that the plan has become worse.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from knapweedhinge.routing.ageing import (
    AgedSums,
    Latency,
    Sample,
    aged_service,
    declined,
)
from knapweedhinge.routing.evidence import BucketTable, Row
from knapweedhinge.routing.history import (
    QUALITY_HALF_LIVES_S,
    FoldedRow,
    QualityHistory,
)
from knapweedhinge.routing.records import (
    AnswerRecord,
    Outcome,
    RatingRecord,
    prompt_bin,
)
from knapweedhinge.routing.sums import ALL_BINS, EvidenceKey, QualitySums, ServiceSums

QUALITY_BUCKET_S = 112.5  # width of a bucket of ratings and checks
LATENCY_HALF_LIFE_S = 60.0  # age at which latencies have half of their weight
LATENCY_BUCKET_S = 15.0  # width of a bucket of latencies
QUALITY_BUCKETS_KEPT = 16  # buckets kept; their ratings are folded before they expire
LATENCY_BUCKETS_KEPT = 8  # buckets kept; older latencies are dropped
MIN_LATENCY_S = 0.05  # shorter latencies are raised to this before taking logarithms


@dataclass(frozen=True)
class PlanEvidence:
    """Aged statistics of one plan for one class and prompt bin.

    Rates are shares of answers or ratings in [0, 1]. ``first_token`` and ``total`` are
    latencies beyond the expected wait. ``output_tokens`` and ``cost_micros`` are means
    per answer. None stands for a value without evidence.
    """

    rating: Sample = field(default_factory=Sample)
    check_pass: Sample = field(default_factory=Sample)
    answers: float = 0.0
    failure_rate: float = 0.0
    slow_rate: float = 0.0
    bad_rate: float = 0.0
    first_token: Latency | None = None
    total: Latency | None = None
    output_tokens: float | None = None
    cost_micros: float | None = None


NO_EVIDENCE = PlanEvidence()


@dataclass(frozen=True)
class StatisticsView:
    """Aged statistics of every key at the time ``now``."""

    now: float = 0.0
    evidence: Mapping[EvidenceKey, PlanEvidence] = field(default_factory=dict)

    def of(self, class_id: str, plan: str, prompt_bin: int = ALL_BINS) -> PlanEvidence:
        """Return the statistics of a plan, empty ones if there is no evidence."""
        key = EvidenceKey(class_id, plan, prompt_bin)
        return self.evidence.get(key, NO_EVIDENCE)


class StatisticsDelta(msgspec.Struct, array_like=True):
    """Message to peers with rows of one incarnation; merging it is idempotent."""

    quality: tuple[Row[EvidenceKey, QualitySums], ...] = ()
    service: tuple[Row[EvidenceKey, ServiceSums], ...] = ()


class StatisticsSeed(msgspec.Struct, array_like=True):
    """Message with a peer's folded ratings, for a node that starts."""

    quality: tuple[FoldedRow, ...] = ()


class Statistics:
    """Statistics of a node, from its own answers and ratings and those of its peers."""

    def __init__(self, incarnation: str):
        self.quality = BucketTable(
            incarnation, QualitySums, QUALITY_BUCKET_S, QUALITY_BUCKETS_KEPT
        )
        self.service = BucketTable(
            incarnation, ServiceSums, LATENCY_BUCKET_S, LATENCY_BUCKETS_KEPT
        )
        self._history = QualityHistory(self.quality)

    def record_answer(self, answer: AnswerRecord, now: float) -> None:
        """Add a finished attempt of this node."""
        self._history.fold(now)
        service = _service_sums(answer)
        for key in _keys(answer.class_id, answer.plan, answer.prompt_tokens):
            self.service.add(key, service, now)
            if answer.check_passed is not None:
                checks = QualitySums(checked=1, passed=int(answer.check_passed))
                self.quality.add(key, checks, now)

    def record_rating(self, record: RatingRecord, now: float) -> None:
        """Add a rating received by this node."""
        self._history.fold(now)
        sums = QualitySums(
            ratings=1,
            rating_sum=record.rating,
            rating_square_sum=record.rating * record.rating,
            bad=int(record.bad),
        )
        for key in _keys(record.class_id, record.plan, record.prompt_tokens):
            self.quality.add(key, sums, now)

    def delta(self, now: float) -> StatisticsDelta:
        """Return all unsealed rows of this incarnation, to send to peers."""
        self._history.fold(now)
        return StatisticsDelta(self.quality.own_rows(now), self.service.own_rows(now))

    def changes(self, now: float) -> StatisticsDelta:
        """Return the rows of this incarnation that changed since the previous call."""
        self._history.fold(now)
        return StatisticsDelta(
            self.quality.changed_rows(now), self.service.changed_rows(now)
        )

    def merge(self, delta: StatisticsDelta, now: float) -> int:
        """Merge a peer's delta and return the number of rows that were new."""
        self._history.fold(now)
        new_rows = self.quality.merge(delta.quality, now)
        return new_rows + self.service.merge(delta.service, now)

    def seed(self, now: float) -> StatisticsSeed:
        """Return the folded ratings, for a node that starts."""
        self._history.fold(now)
        return StatisticsSeed(self._history.rows())

    def adopt(self, seed: StatisticsSeed) -> None:
        """Adopt the folded ratings of a peer; repeating it has no effect."""
        self._history.adopt(seed.quality)

    def view(self, now: float) -> StatisticsView:
        """Return the aged statistics at ``now``."""
        self._history.fold(now)
        self.quality.expire(now)
        self.service.expire(now)
        keys = self._history.known_keys() | set(self.service.known_keys())
        return StatisticsView(now, {key: self._evidence(key, now) for key in keys})

    def _evidence(self, key: EvidenceKey, now: float) -> PlanEvidence:
        quality = self._quality(key, now)
        service = aged_service(self.service, key, LATENCY_HALF_LIFE_S, now)
        sums = service.sums
        finished = sums.answers + sums.failures
        return PlanEvidence(
            rating=quality.ratings(),
            check_pass=quality.sample("checked", "passed", "passed"),
            answers=finished,
            failure_rate=sums.failures / finished if finished else 0.0,
            slow_rate=sums.slow / sums.answers if sums.answers else 0.0,
            bad_rate=quality.sample("ratings", "bad", "bad").mean,
            first_token=service.latency("first_log_sum", "first_log_square_sum"),
            total=service.latency("total_log_sum", "total_log_square_sum"),
            output_tokens=sums.output_tokens / sums.answers if sums.answers else None,
            cost_micros=sums.cost_micros / sums.answers if sums.answers else None,
        )

    def _quality(self, key: EvidenceKey, now: float) -> AgedSums:
        """Return the ratings weighted with the half-life that fits the present quality.

        This is the shortest half-life whose ratings are significantly worse than those
        of the longest one, and the longest one if there is none.
        """
        longest = self._history.aged(key, QUALITY_HALF_LIVES_S[0], now)
        for half_life_s in reversed(QUALITY_HALF_LIVES_S[1:]):
            recent = self._history.aged(key, half_life_s, now)
            if declined(longest.ratings(), recent.ratings()):
                return recent
        return longest


def _keys(class_id: str, plan: str, prompt_tokens: int) -> tuple[EvidenceKey, ...]:
    all_lengths = EvidenceKey(class_id, plan)
    return all_lengths, EvidenceKey(class_id, plan, prompt_bin(prompt_tokens))


def _service_sums(answer: AnswerRecord) -> ServiceSums:
    if answer.outcome is Outcome.FAILED:
        return ServiceSums(failures=1)
    wait_s = answer.expected_wait_s
    first_log = math.log(max(MIN_LATENCY_S, answer.first_token_s - wait_s))
    total_log = math.log(max(MIN_LATENCY_S, answer.total_s - wait_s))
    return ServiceSums(
        answers=1,
        slow=int(answer.slow),
        first_log_sum=first_log,
        first_log_square_sum=first_log * first_log,
        total_log_sum=total_log,
        total_log_square_sum=total_log * total_log,
        output_tokens=answer.output_tokens,
        cost_micros=answer.cost_micros,
    )
