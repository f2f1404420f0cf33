"""Evaluation of every plan of a class of work against the targets of the class.

A plan runs a single version, or a cascade: a cheap version and, if a check of its
answer fails, a better one. The resulting table depends only on the class, the prompt
bin and the allowed versions, so all requests of a snapshot that share them use the same
table.
"""

import math
from collections.abc import Mapping

from knapweedhinge.conf.cooperative import ClassOfWork, Version
from knapweedhinge.routing.allowed import AllowedSet
from knapweedhinge.routing.cascade import (
    Plan,
    PlanLatency,
    cascade_latency,
    single_latency,
)
from knapweedhinge.routing.estimates import QualityBound, pooled_rate, quality_bound
from knapweedhinge.routing.plans import (
    Candidate,
    PlanTable,
    RoutingSnapshot,
    Target,
    Verdict,
)
from knapweedhinge.routing.records import TYPICAL_PROMPT_TOKENS
from knapweedhinge.routing.statistics import PlanEvidence

# Margin of expected quality above the target from which on ``best_effort`` prefers the
# cheapest plan to the best one.
BEST_EFFORT_QUALITY_MARGIN = 0.05
MAX_CASCADE_VERSIONS = 4  # versions considered for each of the two steps of a cascade
DEFAULT_PASS_RATE = 0.7  # assumed share of passed checks without evidence
TOKENS_PER_PRICE = 1000  # prices are for this number of tokens


def plan_table(
    snapshot: RoutingSnapshot,
    work_class: ClassOfWork,
    allowed: AllowedSet,
    prompt_bin: int,
    with_cascades: bool,
) -> PlanTable:
    """Return the plan table of a class, cached in the snapshot.

    ``prompt_bin`` is the bin of the prompt's length, as returned by
    ``records.prompt_bin``.
    """
    key = (work_class.id, prompt_bin, with_cascades, allowed.group)
    table = snapshot.tables.get(key)
    if table is None:
        evaluation = _Evaluation(snapshot, work_class, prompt_bin)
        table = evaluation.table(allowed.versions, with_cascades)
        snapshot.tables[key] = table
    return table


class _Evaluation:
    """Evaluation of the plans of one class and prompt bin."""

    def __init__(
        self, snapshot: RoutingSnapshot, work_class: ClassOfWork, prompt_bin: int
    ):
        self.snapshot = snapshot
        self.work_class = work_class
        self.prompt_bin = prompt_bin
        self.confidence = snapshot.cfg.limits.quality_confidence
        self.under_roll_out = frozenset(
            roll_out.version
            for roll_out in snapshot.cfg.roll_outs
            if roll_out.state == "running"
        )

    def table(self, versions: tuple[Version, ...], with_cascades: bool) -> PlanTable:
        singles = {version.id: self._single(version) for version in versions}
        candidates = list(singles.values())
        if with_cascades:
            candidates += self._cascades(versions, singles)
        candidates.sort(
            key=lambda candidate: (candidate.cost_micros, candidate.plan.id)
        )
        ordered = tuple(candidates)
        eligible = tuple(
            candidate for candidate in ordered if candidate.verdict is Verdict.ELIGIBLE
        )
        return PlanTable(
            candidates=ordered,
            eligible=eligible,
            explorable=self._explorable(ordered, eligible),
            best_effort=best_effort(ordered, self.work_class),
            singles=singles,
        )

    def _single(self, version: Version) -> Candidate:
        evidence = self._evidence(version.id)
        wait_s = self.snapshot.waits_s.get(version.id, 0.0)
        return self._candidate(
            Plan(version.id),
            self._quality(version.id, version.prior_quality),
            self._cost(version, evidence),
            single_latency(evidence, wait_s),
        )

    def _cascades(
        self, versions: tuple[Version, ...], singles: Mapping[str, Candidate]
    ) -> list[Candidate]:
        usable = [
            version
            for version in versions
            if singles[version.id].verdict
            not in (Verdict.UNDER_ROLL_OUT, Verdict.NO_ENDPOINT)
        ]
        by_cost = sorted(usable, key=lambda version: singles[version.id].cost_micros)
        by_quality = sorted(
            usable, key=lambda version: singles[version.id].quality.mean, reverse=True
        )
        return [
            self._cascade(singles[cheap.id], singles[better.id])
            for cheap in by_cost[:MAX_CASCADE_VERSIONS]
            for better in by_quality[:MAX_CASCADE_VERSIONS]
            if _may_cascade(singles[cheap.id], singles[better.id])
        ]

    def _cascade(self, cheap: Candidate, better: Candidate) -> Candidate:
        plan = Plan(cheap.plan.cheap, better.plan.cheap)
        checks = self._evidence(cheap.plan.id).check_pass
        own_checks = self._evidence(plan.id).check_pass
        pass_rate = pooled_rate(own_checks, pooled_rate(checks, DEFAULT_PASS_RATE))
        cost = cheap.cost_micros + (1 - pass_rate) * better.cost_micros
        prior = pass_rate * cheap.quality.mean + (1 - pass_rate) * better.quality.mean
        latency = cascade_latency(cheap.latency, better.latency, pass_rate)
        return self._candidate(plan, self._quality(plan.id, prior), cost, latency)

    def _candidate(
        self, plan: Plan, quality: QualityBound, cost: float, latency: PlanLatency
    ) -> Candidate:
        verdict = self._verdict(plan, quality, cost, latency)
        return Candidate(plan, quality, cost, latency, verdict)

    def _verdict(
        self, plan: Plan, quality: QualityBound, cost: float, latency: PlanLatency
    ) -> Verdict:
        work_class = self.work_class
        if any(
            math.isinf(self.snapshot.waits_s.get(version, 0.0))
            for version in plan.versions
        ):
            return Verdict.NO_ENDPOINT
        if 0 < work_class.cost_limit_micros < cost:
            return Verdict.OVER_COST_LIMIT
        if not self.under_roll_out.isdisjoint(plan.versions):
            return Verdict.UNDER_ROLL_OUT
        if not meets_latency(latency, work_class):
            return Verdict.TOO_SLOW
        if quality.upper < work_class.quality_target:
            return Verdict.QUALITY_BELOW_TARGET
        if quality.lower < work_class.quality_target:
            return Verdict.QUALITY_UNPROVEN
        return Verdict.ELIGIBLE

    def _evidence(self, plan_id: str) -> PlanEvidence:
        statistics = self.snapshot.statistics
        evidence = statistics.of(self.work_class.id, plan_id, self.prompt_bin)
        if evidence.answers > 0:
            return evidence
        return statistics.of(self.work_class.id, plan_id)

    def _quality(self, plan_id: str, prior_mean: float) -> QualityBound:
        statistics = self.snapshot.statistics
        whole = statistics.of(self.work_class.id, plan_id).rating
        own = statistics.of(self.work_class.id, plan_id, self.prompt_bin).rating
        return quality_bound(whole, own, prior_mean, self.confidence)

    def _cost(self, version: Version, evidence: PlanEvidence) -> float:
        prompt_tokens = TYPICAL_PROMPT_TOKENS[self.prompt_bin]
        output_tokens = evidence.output_tokens or self.work_class.expected_output_tokens
        prompt = prompt_tokens * version.input_micros_per_1k
        output = output_tokens * version.output_micros_per_1k
        return (prompt + output) / TOKENS_PER_PRICE

    def _explorable(
        self, ordered: tuple[Candidate, ...], eligible: tuple[Candidate, ...]
    ) -> Candidate | None:
        """Return the unproven plan most worth exploring, None if there is none.

        It must cost less than the cheapest eligible plan. The saving is weighted by how
        far the plan's upper quality bound exceeds the target.
        """
        eligible_cost = eligible[0].cost_micros if eligible else math.inf
        unproven = [
            candidate
            for candidate in ordered
            if candidate.verdict is Verdict.QUALITY_UNPROVEN
            and candidate.cost_micros < eligible_cost
        ]
        if not unproven:
            return None
        # Without an eligible plan, savings are counted from a cost that is above that
        # of every unproven plan.
        reference_cost = eligible_cost if eligible else 2 * unproven[-1].cost_micros + 1

        def expected_saving(candidate: Candidate) -> float:
            saving = reference_cost - candidate.cost_micros
            return saving * (candidate.quality.upper - self.work_class.quality_target)

        return max(unproven, key=expected_saving)


def meets_latency(latency: PlanLatency, work_class: ClassOfWork) -> bool:
    """Return whether the predicted latencies are within the limits of the class.

    A missing prediction counts as within the limits.
    """
    first_s = latency.first_token_s
    total_s = latency.total_s
    if first_s is not None and first_s > work_class.first_token_s:
        return False
    return total_s is None or total_s <= work_class.deadline_s


def best_effort(
    candidates: tuple[Candidate, ...], work_class: ClassOfWork
) -> Candidate | None:
    """Return the plan to use when none is proven to meet the targets of the class.

    Plans above the cost limit, under roll-out or without an endpoint are never
    returned. The order of preference is:

    1. the cheapest plan within the latency limits whose expected quality exceeds the
       target by ``BEST_EFFORT_QUALITY_MARGIN``;
    2. the best plan within the latency limits whose expected quality meets the target;
    3. the plan with the shortest time to the first token among those proven to meet the
       quality target or, if there are none, among those expected to meet it;
    4. the plan with the greatest expected quality.
    """
    excluded = (Verdict.OVER_COST_LIMIT, Verdict.NO_ENDPOINT, Verdict.UNDER_ROLL_OUT)
    usable = [
        candidate for candidate in candidates if candidate.verdict not in excluded
    ]
    target = work_class.quality_target
    meets_quality = [
        candidate for candidate in usable if candidate.quality.mean >= target
    ]
    fast = [
        candidate
        for candidate in meets_quality
        if candidate.verdict is not Verdict.TOO_SLOW
    ]
    above_margin = [
        candidate
        for candidate in fast
        if candidate.quality.mean >= target + BEST_EFFORT_QUALITY_MARGIN
    ]
    if above_margin:
        return min(above_margin, key=lambda candidate: candidate.cost_micros)
    if fast:
        return max(fast, key=lambda candidate: candidate.quality.mean)
    proven = [
        candidate for candidate in meets_quality if candidate.quality.lower >= target
    ]
    if meets_quality:
        return min(
            proven or meets_quality,
            key=lambda candidate: candidate.latency.first_token_s or 0.0,
        )
    return max(usable, key=lambda candidate: candidate.quality.mean, default=None)


def unmet_targets(candidate: Candidate, work_class: ClassOfWork) -> tuple[Target, ...]:
    """Return the targets that a candidate isn't proven to meet."""
    unmet = []
    if candidate.quality.lower < work_class.quality_target:
        unmet.append(Target.QUALITY)
    if not meets_latency(candidate.latency, work_class):
        unmet.append(Target.LATENCY)
    return tuple(unmet)


def _may_cascade(cheap: Candidate, better: Candidate) -> bool:
    if cheap.plan == better.plan:
        return False
    return cheap.cost_micros < better.cost_micros
