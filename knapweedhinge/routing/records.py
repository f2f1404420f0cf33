"""Records of finished attempts and of ratings."""

from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.conf.cooperative import ClassOfWork

BAD_RATING_SHARE_OF_TARGET = 0.5  # answers rated below this share of the target are bad
PROMPT_BIN_BOUNDS_TOKENS = (512, 4096)  # bounds between the prompt bins, in tokens
# Prompt tokens assumed in each bin when the cost of a plan is predicted.
TYPICAL_PROMPT_TOKENS = (256, 1500, 8000)


class Outcome(StrEnum):
    """Result of an attempt; FAILED only if the version is to blame."""

    COMPLETED = "completed"
    FAILED = "failed"


@dataclass(frozen=True)
class AnswerRecord:
    """Finished attempt; times are in seconds since its dispatch.

    ``check_passed`` is None if the plan has no check. ``slow`` is set if the answer
    exceeded a latency limit of its class. ``expected_wait_s`` is the queueing delay
    that the balancer expected at dispatch, zero if unknown. ``cost_micros`` is in
    millionths of the currency unit, like the configured prices. Failures caused by the
    endpoint or its failure domain are not recorded.
    """

    class_id: str
    plan: str
    prompt_tokens: int
    outcome: Outcome
    first_token_s: float = 0.0
    total_s: float = 0.0
    output_tokens: int = 0
    cost_micros: float = 0.0
    check_passed: bool | None = None
    slow: bool = False
    expected_wait_s: float = 0.0


@dataclass(frozen=True)
class RatingRecord:
    """Rating in [0, 1] of an earlier answer.

    ``bad`` is set if the rating is below the ``bad_rating`` of the class.
    """

    class_id: str
    plan: str
    prompt_tokens: int
    rating: float
    bad: bool = False


def is_slow(work_class: ClassOfWork, first_token_s: float, total_s: float) -> bool:
    """Return whether an answer exceeded a latency limit of its class, in seconds."""
    return first_token_s > work_class.first_token_s or total_s > work_class.deadline_s


def bad_rating(work_class: ClassOfWork) -> float:
    """Return the rating in [0, 1] below which an answer of the class counts as bad."""
    return BAD_RATING_SHARE_OF_TARGET * work_class.quality_target


def prompt_bin(prompt_tokens: int) -> int:
    """Return the bin, from 0, of a prompt of this number of tokens."""
    return sum(prompt_tokens >= bound for bound in PROMPT_BIN_BOUNDS_TOKENS)
