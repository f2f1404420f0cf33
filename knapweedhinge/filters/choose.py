"""Choose the plan of a chat request and record how its answer went.

A plan is one version of a model, or a cascade of two.
"""

from dataclasses import replace

from knapweedhinge.conf import ClassOfWork, Organisation, Version
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    CallerError,
    EndpointError,
    KnapweedhingeError,
    RefusedError,
)
from knapweedhinge.filters.bill import price_micros
from knapweedhinge.filters.types import (
    Answer,
    AnyAnswer,
    ChatCall,
    Context,
    Handler,
    Request,
    Step,
    StreamEnd,
)
from knapweedhinge.routing.planchoice import decide_plan
from knapweedhinge.routing.plans import PlanDecision, PlanRequest
from knapweedhinge.routing.records import AnswerRecord, Outcome, is_slow


class ChoosePlan:
    """Set the plan of chat requests; calls to services have none."""

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._learning = ctx.learning
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on with its plan or its version.

        A resumed stream keeps its version, and a request that names a version gets it.
        """
        if not isinstance(req.call, ChatCall):
            return await self._next(req)
        configuration = req.snapshot.configuration
        if req.resumption is not None:
            version = configuration.version(req.resumption.version)
            return await self._next(replace(req, version=version))
        work_class = configuration.class_of_work(req.class_id)
        if work_class is None:
            named = named_version(req, req.organisation, req.call.model)
            return await self._next(replace(req, version=named))
        return await self._run_plan(req, work_class)

    async def _run_plan(self, req: Request, work_class: ClassOfWork) -> AnyAnswer:
        decision = self._decide(req, work_class)
        now = self._ctx.clock()
        self._learning.decided(req.request_id, work_class.id, decision, now)
        version = req.snapshot.configuration.version(decision.plan.cheap)
        try:
            answer = await self._next(replace(req, version=version, decision=decision))
        except KnapweedhingeError as exc:
            self._record_failure(req, decision, exc)
            raise
        if isinstance(answer, Answer):
            total_s = self._ctx.clock() - req.received_at
            self._record_answer(req, decision, answer.steps, total_s, total_s)
            return answer

        async def learn(end: StreamEnd) -> None:
            self._record_answer(
                req, decision, end.steps, end.first_token_s, end.total_s
            )

        return replace(answer, on_end=(*answer.on_end, learn))

    def _decide(self, req: Request, work_class: ClassOfWork) -> PlanDecision:
        now = self._ctx.clock()
        snapshot = self._learning.routing_snapshot(req.snapshot, now)
        plan_request = PlanRequest(
            request_id=req.request_id,
            organisation=req.organisation.id,
            class_id=work_class.id,
            prompt_tokens=req.call.prompt_tokens,
            session=req.session_id,
            pinned=req.pinned_version,
            deadline_s=req.deadline_at - now,
            allowance=self._learning.allowance(work_class, snapshot.cfg, now),
        )
        decision = decide_plan(plan_request, snapshot, now)
        self._ctx.decisions.keep(req.request_id, decision)
        if decision.refusal is not None:
            raise RefusedError(code=decision.refusal)
        return decision

    def _record_failure(
        self, req: Request, decision: PlanDecision, exc: KnapweedhingeError
    ) -> None:
        if not isinstance(exc, EndpointError) or exc.run_state is RunState.NOT_RUN:
            self._learning.not_run(req.request_id)
            return
        record = AnswerRecord(
            req.class_id, decision.plan.id, req.call.prompt_tokens, Outcome.FAILED
        )
        now = self._ctx.clock()
        self._learning.answered(req.request_id, decision, record, now)

    def _record_answer(
        self,
        req: Request,
        decision: PlanDecision,
        steps: tuple[Step, ...],
        first_token_s: float,
        total_s: float,
    ) -> None:
        configuration = req.snapshot.configuration
        costs = [
            price_micros(configuration, step.version, step.usage) for step in steps
        ]
        record = AnswerRecord(
            class_id=req.class_id,
            plan=decision.plan.id,
            prompt_tokens=req.call.prompt_tokens,
            outcome=Outcome.COMPLETED,
            first_token_s=first_token_s,
            total_s=total_s,
            output_tokens=steps[-1].usage.output_tokens,
            cost_micros=sum(costs),
            slow=_is_slow(req, first_token_s, total_s),
            check_passed=len(steps) == 1 if decision.plan.is_cascade else None,
        )
        now = self._ctx.clock()
        self._learning.answered(req.request_id, decision, record, now)


def _is_slow(req: Request, first_token_s: float, total_s: float) -> bool:
    """Return whether an answer missed its class's latency limits.

    The time to the first token counts for streams only.
    """
    work_class = req.snapshot.configuration.class_of_work(req.class_id)
    if work_class is None:
        return False
    return is_slow(work_class, first_token_s if req.call.stream else 0.0, total_s)


def may_run(version: Version | None, organisation: Organisation | None) -> bool:
    """Return whether the organisation may use the version, and it isn't withdrawn."""
    if version is None or organisation is None or version.withdrawn:
        return False
    return version.id in organisation.allowed_versions


def named_version(req: Request, organisation: Organisation, version_id: str) -> Version:
    """Return the version that a caller named.

    Raise CallerError if it is unknown or not allowed to the organisation, and
    RefusedError if it is withdrawn.
    """
    version = req.snapshot.configuration.version(version_id)
    if version is None:
        raise CallerError(code=ResultCode.CLASS_UNKNOWN)
    if version_id not in organisation.allowed_versions:
        raise CallerError(code=ResultCode.VERSION_NOT_ALLOWED)
    if version.withdrawn:
        raise RefusedError(code=ResultCode.VERSION_WITHDRAWN)
    return version
