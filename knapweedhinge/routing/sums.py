"""Keys and sums of the statistics tables."""

import msgspec

from knapweedhinge.routing.evidence import Sums

ALL_BINS = -1  # prompt bin of statistics over prompts of every length


class EvidenceKey(msgspec.Struct, frozen=True, array_like=True):
    """Key of a statistic; ``plan`` is the id of a version or of a cascade."""

    class_id: str
    plan: str
    prompt_bin: int = ALL_BINS


class QualitySums(Sums):
    """Counts and sums of ratings in [0, 1], and counts of checked answers."""

    ratings: float = 0
    rating_sum: float = 0.0
    rating_square_sum: float = 0.0
    bad: float = 0
    checked: float = 0
    passed: float = 0


class ServiceSums(Sums):
    """Counts and sums of answers.

    Latency sums are of logarithms of the seconds beyond the expected wait.
    """

    answers: float = 0
    failures: float = 0
    slow: float = 0
    first_log_sum: float = 0.0
    first_log_square_sum: float = 0.0
    total_log_sum: float = 0.0
    total_log_square_sum: float = 0.0
    output_tokens: float = 0
    cost_micros: float = 0.0
