"""Plans of one version or a cascade of two, and the check of a cascade's first answer.

In a cascade the cheap version answers first; if its answer fails the check, the better
version answers instead. The client receives nothing before the check, so its first
token comes after the whole cheap answer, or, where the check fails, with the better
version's first token. The cost includes both answers.
"""

from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.routing.statistics import Latency, PlanEvidence

CASCADE_SEPARATOR = ">"  # in the id of a cascade, between the ids of its versions
# Share of requests beyond the 95th percentile.
TAIL_SHARE = 0.05


class CheckVerdict(StrEnum):
    """The result of checking a cheap answer: passed, or the rule it breaks."""

    PASSED = "passed"
    FINISH_REASON = "finish-reason"
    TOO_SHORT = "too-short"
    TOO_LONG = "too-long"
    LOW_SCORE = "low-score"


@dataclass(frozen=True)
class CheckRule:
    """The conditions for delivering a cheap answer to the client.

    An answer may have from ``min_tokens`` to ``max_tokens`` output tokens, inclusive.
    ``min_score`` applies to answers of engines that report a score of their own answer
    in [0, 1].
    """

    finish_reasons: tuple[str, ...] = ("stop",)
    min_tokens: int = 1
    max_tokens: int = 1_000_000
    min_score: float = 0.5


@dataclass(frozen=True)
class CheapAnswer:
    """The properties of a cheap answer that the check depends on.

    ``score`` is None if the engine reports none.
    """

    finish_reason: str
    output_tokens: int
    score: float | None = None


def check_answer(rule: CheckRule, answer: CheapAnswer) -> CheckVerdict:
    """Return whether a cheap answer may be delivered, or the first rule it breaks."""
    if answer.finish_reason not in rule.finish_reasons:
        return CheckVerdict.FINISH_REASON
    if answer.output_tokens < rule.min_tokens:
        return CheckVerdict.TOO_SHORT
    if answer.output_tokens > rule.max_tokens:
        return CheckVerdict.TOO_LONG
    if answer.score is not None and answer.score < rule.min_score:
        return CheckVerdict.LOW_SCORE
    return CheckVerdict.PASSED


@dataclass(frozen=True)
class Plan:
    """One version, or a cascade of two; ``better`` is empty for a single version."""

    cheap: str
    better: str = ""

    @property
    def id(self) -> str:
        """Return the id under which measurements of the plan are kept."""
        if not self.better:
            return self.cheap
        return f"{self.cheap}{CASCADE_SEPARATOR}{self.better}"

    @property
    def versions(self) -> tuple[str, ...]:
        """Return the versions the plan may use, in order."""
        return (self.cheap, self.better) if self.better else (self.cheap,)

    @property
    def is_cascade(self) -> bool:
        """Return whether the plan has a second step."""
        return bool(self.better)


@dataclass(frozen=True)
class PlanLatency:
    """Predicted 95th percentiles of a plan's latency in seconds, None if unknown."""

    first_token_s: float | None
    total_s: float | None


def single_latency(evidence: PlanEvidence, wait_s: float) -> PlanLatency:
    """Return the 95th percentiles of a version's latency if it queues for ``wait_s``.

    The latencies in ``evidence`` don't include the wait that was expected when the
    request was dispatched, so ``wait_s`` is added to them.
    """
    return PlanLatency(
        _with_wait(evidence.first_token, wait_s),
        _with_wait(evidence.total, wait_s),
    )


def cascade_latency(
    cheap: PlanLatency, better: PlanLatency, pass_rate: float
) -> PlanLatency:
    """Return the 95th percentiles of a cascade's latency from those of its steps.

    The second step does not affect the percentile as long as at most one answer in
    twenty fails the check. Otherwise the percentiles of both steps are added up.
    """
    if cheap.total_s is None:
        return PlanLatency(None, None)
    if 1.0 - pass_rate <= TAIL_SHARE:
        return PlanLatency(cheap.total_s, cheap.total_s)
    if better.first_token_s is None or better.total_s is None:
        return PlanLatency(None, None)
    return PlanLatency(
        cheap.total_s + better.first_token_s, cheap.total_s + better.total_s
    )


def _with_wait(latency: Latency | None, wait_s: float) -> float | None:
    if latency is None:
        return wait_s if wait_s > 0 else None
    return wait_s + latency.p95_s
