"""Choose the plan of one request: the version, or cascade of two, that answers it.

The first of these that applies is used: the version named in the request; the version
the session is bound to; a version under roll-out; a plan under exploration, run to
collect ratings of it; the cheapest eligible plan; the best remaining plan, with the
targets that it may miss listed in the decision.
"""

from knapweedhinge.conf.cooperative import ClassOfWork, RollOut
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.allowed import AllowedSet, ExcludedVersion
from knapweedhinge.routing.cascade import Plan
from knapweedhinge.routing.evaluation import plan_table, unmet_targets
from knapweedhinge.routing.evidence import unit_hash
from knapweedhinge.routing.exposure import exposed_share, in_share
from knapweedhinge.routing.plans import (
    Candidate,
    Choice,
    Explanation,
    PlanDecision,
    PlanRequest,
    PlanTable,
    RoutingSnapshot,
    Verdict,
)
from knapweedhinge.routing.records import prompt_bin

# Ratings of a plan in a prompt bin below which its answers ask for a rating.
RATINGS_WANTED = 60.0
# Verdicts under which a request that runs on a named or pinned version counts as an
# exploration, if another plan is eligible.
UNPROVEN_VERDICTS = (Verdict.QUALITY_UNPROVEN, Verdict.QUALITY_BELOW_TARGET)


def decide_plan(
    req: PlanRequest, snapshot: RoutingSnapshot, now: float
) -> PlanDecision:
    """Return the plan of a request, or a refusal with its result code.

    ``now`` is recorded as the time of the decision.
    """
    return _Decision(req, snapshot, now).decide()


class _Decision:
    """Make one decision and keep what its explanation refers to."""

    def __init__(self, req: PlanRequest, snapshot: RoutingSnapshot, now: float):
        self.req = req
        self.snapshot = snapshot
        self.now = now
        self.allowed: AllowedSet = snapshot.index.allowed(
            req.organisation, req.class_id
        )
        self.work_class: ClassOfWork | None = snapshot.index.work_class(req.class_id)
        self.prompt_bin = prompt_bin(req.prompt_tokens)
        self.table: PlanTable | None = None
        self.moved_from: ExcludedVersion | None = None

    def decide(self) -> PlanDecision:
        if self.work_class is None:
            return self._refuse(ResultCode.CLASS_UNKNOWN)
        if not self.allowed.versions:
            return self._refuse(self.allowed.refusal)
        self.table = plan_table(
            self.snapshot,
            self.work_class,
            self.allowed,
            self.prompt_bin,
            with_cascades=not self.req.session,
        )
        return (
            self._named_decision() or self._pinned_decision() or self._free_decision()
        )

    def _named_decision(self) -> PlanDecision | None:
        version = self.req.named
        if not version:
            return None
        exclusion = self.allowed.exclusion(version)
        if exclusion is not None:
            return self._refuse(exclusion.code)
        return self._fixed_decision(version, Choice.NAMED)

    def _pinned_decision(self) -> PlanDecision | None:
        version = self.req.pinned
        if not version:
            return None
        self.moved_from = self.allowed.exclusion(version)
        if self.moved_from is not None:
            return None
        return self._fixed_decision(version, Choice.PINNED)

    def _fixed_decision(self, version: str, choice: Choice) -> PlanDecision:
        candidate = self.table.singles[version]
        if candidate.verdict is Verdict.NO_ENDPOINT:
            return self._refuse(ResultCode.NO_ENDPOINT)
        if candidate.verdict is Verdict.OVER_COST_LIMIT:
            return self._refuse(ResultCode.COST_LIMIT)
        roll_out = self._roll_out_of(version)
        if roll_out is not None:
            return self._fixed_roll_out_decision(candidate, choice, roll_out)
        explores = bool(self.table.eligible) and candidate.verdict in UNPROVEN_VERDICTS
        return self._accept(candidate, choice, explores=explores)

    def _fixed_roll_out_decision(
        self, candidate: Candidate, choice: Choice, roll_out: RollOut
    ) -> PlanDecision:
        """Return the decision on a named or pinned version that is under roll-out.

        A session stays on its version. A request that names the version is refused
        unless it is within the voted exposure.
        """
        if choice is Choice.NAMED and not self._includes_request(roll_out):
            return self._refuse(ResultCode.NO_PLAN)
        return self._accept(candidate, choice, roll_out=roll_out.id)

    def _free_decision(self) -> PlanDecision:
        default = self._default_candidate()
        roll_out_decision = self._roll_out_decision(default)
        if roll_out_decision is not None:
            return roll_out_decision
        exploration = self._exploration_decision()
        if exploration is not None:
            return exploration
        if default is None:
            return self._refuse(self._refusal_code())
        if default.verdict is Verdict.ELIGIBLE:
            return self._accept(default, Choice.CHEAPEST_ELIGIBLE)
        return self._accept(default, Choice.BEST_EFFORT)

    def _default_candidate(self) -> Candidate | None:
        """Return the plan used outside roll-outs and exploration, if there is one.

        It is the cheapest eligible one within the deadline, else the best effort.
        """
        in_time = (
            candidate
            for candidate in self.table.eligible
            if self._meets_deadline(candidate)
        )
        return next(in_time, self.table.best_effort)

    def _roll_out_decision(self, default: Candidate | None) -> PlanDecision | None:
        for roll_out in self.snapshot.cfg.roll_outs:
            candidate = self.table.singles.get(roll_out.version)
            if candidate is None or candidate.verdict is not Verdict.UNDER_ROLL_OUT:
                continue
            if not _replaces(candidate, roll_out, default):
                continue
            if self._includes_request(roll_out) and self._queue_is_short(candidate):
                return self._accept(candidate, Choice.ROLL_OUT, roll_out=roll_out.id)
        return None

    def _includes_request(self, roll_out: RollOut) -> bool:
        """Return whether the request is in the exposed share of an open roll-out."""
        if roll_out.id not in self.req.allowance.open_roll_outs:
            return False
        share = exposed_share(roll_out, self.work_class)
        return in_share(roll_out.id, self.req.unit, share)

    def _queue_is_short(self, candidate: Candidate) -> bool:
        """Return whether the queueing delay alone is within the first-token target."""
        wait_s = self.snapshot.waits_s.get(candidate.plan.cheap, 0.0)
        return wait_s <= self.work_class.first_token_s

    def _exploration_decision(self) -> PlanDecision | None:
        candidate = self.table.explorable
        if candidate is None or not self.req.allowance.may_explore:
            return None
        draw = unit_hash("explore", candidate.plan.id, self.req.unit)
        if draw >= self.snapshot.cfg.limits.exploration_share:
            return None
        if not self._meets_deadline(candidate):
            return None
        return self._accept(candidate, Choice.EXPLORATION, explores=True)

    def _roll_out_of(self, version: str) -> RollOut | None:
        """Return the running roll-out of the version, if there is one."""
        running = (
            roll_out
            for roll_out in self.snapshot.cfg.roll_outs
            if roll_out.state == "running"
        )
        return next(
            (roll_out for roll_out in running if roll_out.version == version), None
        )

    def _meets_deadline(self, candidate: Candidate) -> bool:
        """Return whether the plan is expected to end before the request's deadline.

        An unknown latency counts as in time.
        """
        deadline_s = self.req.deadline_s
        total_s = candidate.latency.total_s
        return deadline_s is None or total_s is None or total_s <= deadline_s

    def _refusal_code(self) -> ResultCode:
        verdicts = {candidate.verdict for candidate in self.table.candidates}
        if Verdict.OVER_COST_LIMIT in verdicts:
            return ResultCode.COST_LIMIT
        if Verdict.NO_ENDPOINT in verdicts:
            return ResultCode.NO_ENDPOINT
        return ResultCode.NO_PLAN

    def _accept(
        self,
        candidate: Candidate,
        choice: Choice,
        roll_out: str = "",
        explores: bool = False,
    ) -> PlanDecision:
        plan: Plan = candidate.plan
        return PlanDecision(
            explanation=self._explanation(choice),
            plan=plan,
            check=self.snapshot.check if plan.is_cascade else None,
            unmet=unmet_targets(candidate, self.work_class),
            roll_out=roll_out,
            explores=explores,
            wants_rating=bool(roll_out) or explores or _lacks_ratings(candidate),
        )

    def _refuse(self, code: ResultCode) -> PlanDecision:
        return PlanDecision(explanation=self._explanation(Choice.REFUSED), refusal=code)

    def _explanation(self, choice: Choice) -> Explanation:
        return Explanation(
            revision=self.snapshot.cfg.revision,
            decided_at=self.now,
            work_class=self.work_class,
            prompt_bin=self.prompt_bin,
            allowed=self.allowed,
            table=self.table,
            choice=choice,
            moved_from=self.moved_from,
        )


def _replaces(
    candidate: Candidate, roll_out: RollOut, default: Candidate | None
) -> bool:
    """Return whether a version under roll-out may answer instead of the default plan.

    It may replace a plan that uses its stable version, and any plan that costs at
    least as much as itself. It may also answer if there is no default plan.
    """
    if default is None or roll_out.stable in default.plan.versions:
        return True
    return candidate.cost_micros <= default.cost_micros


def _lacks_ratings(candidate: Candidate) -> bool:
    """Return whether too few ratings of the plan are known in this prompt bin."""
    return candidate.quality.ratings < RATINGS_WANTED
