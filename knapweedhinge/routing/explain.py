"""Turn a decision on a plan into a flat record that explains it.

A decision only refers to its inputs; the record is built on demand, for dumps and for
operators.
"""

import math
from dataclasses import dataclass

from knapweedhinge.routing.plans import Candidate, PlanDecision, Verdict

_UNKNOWN = -1.0


@dataclass(frozen=True)
class CandidateRecord:
    """One candidate plan; latencies are in seconds, -1 if unknown or infinite."""

    plan: str
    verdict: str
    reason: str
    cost_micros: float
    quality_mean: float
    quality_lower: float
    quality_upper: float
    ratings: float
    first_token_s: float
    total_s: float


@dataclass(frozen=True)
class ExclusionRecord:
    """One version that was not a candidate, with the reason."""

    version: str
    reason: str


@dataclass(frozen=True)
class DecisionRecord:
    """Why a request got its plan; all fields can be encoded as JSON.

    ``plan`` is empty for a refused request, ``refusal`` for any other. ``roll_out`` and
    ``moved_from`` are empty if they don't apply. The targets and limits are 0 if the
    class is unknown.
    """

    choice: str
    plan: str
    refusal: str
    class_id: str
    organisation: str
    revision: int
    decided_at: float
    prompt_bin: int
    quality_target: float
    first_token_limit_s: float
    deadline_s: float
    cost_limit_micros: int
    unmet: tuple[str, ...]
    roll_out: str
    explores: bool
    moved_from: str
    candidates: tuple[CandidateRecord, ...]
    excluded: tuple[ExclusionRecord, ...]


def explain(decision: PlanDecision) -> DecisionRecord:
    """Return the record that explains a decision."""
    explanation = decision.explanation
    work_class = explanation.work_class
    moved_from = explanation.moved_from
    candidates = explanation.table.candidates if explanation.table else ()
    chosen = decision.plan.id if decision.plan else ""
    return DecisionRecord(
        choice=explanation.choice.value,
        plan=chosen,
        refusal=decision.refusal.name if decision.refusal else "",
        class_id=explanation.allowed.class_id,
        organisation=explanation.allowed.organisation,
        revision=explanation.revision,
        decided_at=explanation.decided_at,
        prompt_bin=explanation.prompt_bin,
        quality_target=work_class.quality_target if work_class else 0.0,
        first_token_limit_s=work_class.first_token_s if work_class else 0.0,
        deadline_s=work_class.deadline_s if work_class else 0.0,
        cost_limit_micros=work_class.cost_limit_micros if work_class else 0,
        unmet=tuple(target.value for target in decision.unmet),
        roll_out=decision.roll_out,
        explores=decision.explores,
        moved_from=moved_from.version if moved_from else "",
        candidates=tuple(
            _candidate_record(candidate, decision) for candidate in candidates
        ),
        excluded=tuple(
            ExclusionRecord(excluded.version, excluded.reason.value)
            for excluded in explanation.allowed.excluded
        ),
    )


def _candidate_record(candidate: Candidate, decision: PlanDecision) -> CandidateRecord:
    return CandidateRecord(
        plan=candidate.plan.id,
        verdict=candidate.verdict.value,
        reason=_reason(candidate, decision),
        cost_micros=candidate.cost_micros,
        quality_mean=candidate.quality.mean,
        quality_lower=candidate.quality.lower,
        quality_upper=candidate.quality.upper,
        ratings=candidate.quality.ratings,
        first_token_s=_finite(candidate.latency.first_token_s),
        total_s=_finite(candidate.latency.total_s),
    )


def _reason(candidate: Candidate, decision: PlanDecision) -> str:
    work_class = decision.explanation.work_class
    if decision.plan == candidate.plan:
        return f"chosen: {decision.explanation.choice.value}"
    target = work_class.quality_target
    quality = candidate.quality
    texts = {
        Verdict.ELIGIBLE: "meets every target but was not the one chosen",
        Verdict.QUALITY_UNPROVEN: (
            f"lower bound {quality.lower:.3f} is under the target {target:.3f}"
        ),
        Verdict.QUALITY_BELOW_TARGET: (
            f"upper bound {quality.upper:.3f} is under the target {target:.3f}"
        ),
        Verdict.TOO_SLOW: "predicted latency exceeds a limit of the class",
        Verdict.OVER_COST_LIMIT: "expected cost exceeds the voted limit",
        Verdict.NO_ENDPOINT: "a version of the plan has no usable endpoint",
        Verdict.UNDER_ROLL_OUT: (
            "under roll-out, used only for the share of requests that the roll-out "
            "exposes"
        ),
    }
    return texts[candidate.verdict]


def _finite(value: float | None) -> float:
    if value is None or math.isinf(value):
        return _UNKNOWN
    return value
