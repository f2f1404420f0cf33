"""Decide whether the answer of a small model is dropped and a larger one is asked."""

from typing import TYPE_CHECKING

from knapweedhinge.controllers.escalationtracker import EscalationTracker
from knapweedhinge.filters.relay.evidence import AttemptExpectation
from knapweedhinge.filters.relay.placing import expected_queueing_delay_s
from knapweedhinge.routing.escalation import (
    Reason,
    added_work_s,
    decide_escalation,
    gain_in_calm,
)
from knapweedhinge.routing.placement import engine_work, relative_cost
from knapweedhinge.routing.sizing import (
    MIN_KEPT_CONFIDENCE,
    SizeRequest,
    larger_size,
)

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.attempt import RelayAttempt
    from knapweedhinge.filters.relay.run import CallExecution

# Share of the answers of low confidence after which a model in the middle is tried.
TRIAL_SHARE = 0.03


def larger_model(execution: "CallExecution", attempt: "RelayAttempt") -> str | None:
    """Return the larger model to ask instead; None to keep this answer.

    The answer has begun, and nothing of it has gone to the caller.
    """
    if not execution.chosen_model or execution.last_event_number is not None:
        return None
    tracker = execution.ctx.escalation
    if tracker is None:
        return _unweighed_model(execution, attempt)
    _learn(execution, attempt, tracker)
    return _weighed_model(execution, attempt, tracker)


def escalate(execution: "CallExecution", attempt: "RelayAttempt", larger: str) -> None:
    """Drop the answer and set the larger model for the next attempt."""
    ctx, confidence = execution.ctx, attempt.head.confidence
    attempt.superseded(f"confidence {confidence}, asking {larger}")
    execution.dropped_runs += 1
    execution.first_confidence = confidence
    ctx.budget.spend(execution.req.service, 1.0, ctx.clock())
    ctx.metrics.count("escalations", execution.req.route.name)
    execution.chosen_model = larger


def _unweighed_model(execution: "CallExecution", attempt: "RelayAttempt") -> str | None:
    request = SizeRequest(
        **_own_fields(execution), queueing_delay_s=expected_queueing_delay_s(execution)
    )
    return larger_size(request, execution.chosen_model, attempt.head.confidence)


def _learn(
    execution: "CallExecution", attempt: "RelayAttempt", tracker: EscalationTracker
) -> None:
    """Learn from an answer how long calls wait, and how good second answers are."""
    req, now = execution.req, execution.ctx.clock()
    expected, confidence = attempt.expectation, attempt.head.confidence
    waited_s = _waited_s(execution, expected, now)
    tracker.waited(req.service, expected.found_work_s, waited_s)
    first, execution.first_confidence = execution.first_confidence, None
    if first is not None and confidence is not None:
        model = execution.chosen_model
        tracker.answered(req.route.name, model, first, confidence, now)


def _waited_s(
    execution: "CallExecution", expected: AttemptExpectation, now: float
) -> float:
    """Return how long the answer was late by other calls' work, in seconds.

    The whole prompt is taken for prefill, since parts that are expected in an engine's
    KV cache may have left it.
    """
    speed = execution.ctx.speeds.of(execution.service, execution.chosen_model)
    prefill_s = speed.seconds(execution.req.call.prompt_tokens)
    return max(0.0, now - expected.started_at - prefill_s)


def _weighed_model(
    execution: "CallExecution", attempt: "RelayAttempt", tracker: EscalationTracker
) -> str | None:
    """Return the model that is worth asking, and record why."""
    ctx, req, size = execution.ctx, execution.req, execution.chosen_model
    cfg, confidence = ctx.settings.escalation, attempt.head.confidence
    if confidence is None or confidence >= MIN_KEPT_CONFIDENCE:
        return None
    if size == req.route.sizes[-1]:
        return None
    request = _weighed_request(execution, attempt, tracker)
    largest = request.sizes[-1]
    if size == request.sizes[0] and request.runs_left:
        gain = gain_in_calm(request, largest, confidence, cfg)
        tracker.doubted(req.service, gain, added_work_s(request, largest))
    decision = decide_escalation(request, size, confidence, cfg)
    ctx.metrics.count("second_asks", decision.reason.value)
    execution.trace.second_ask = {
        "reason": decision.reason.value,
        "gain": round(decision.gain, 2),
        "loss": round(decision.loss, 2),
        "wait_ms": round(request.expected_wait_s * 1000),
    }
    if decision.reason is Reason.TRIAL:
        ctx.metrics.count("middle_models_tried", req.route.name)
    return decision.model


def _weighed_request(
    execution: "CallExecution", attempt: "RelayAttempt", tracker: EscalationTracker
) -> SizeRequest:
    ctx, req, now = execution.ctx, execution.req, execution.ctx.clock()
    own, size = _own_fields(execution), execution.chosen_model
    service = execution.service
    costs = service.engine.costs if service and service.engine else {}
    larger = req.route.sizes[req.route.sizes.index(size) + 1 :]
    expected = attempt.expectation
    return SizeRequest(
        **own,
        queueing_delay_s=expected_queueing_delay_s(execution),
        wait_per_work=tracker.wait_per_work(req.service),
        seen_wait_s=_waited_s(execution, expected, now),
        work_s={
            model: engine_work(
                own["prefill_s"][model],
                req.call.output_tokens,
                relative_cost(costs, model),
            ).total_s
            for model in larger
        },
        saved_s=expected.decode_s,
        good_chances=tracker.good_chances(
            req.route.name, larger, attempt.head.confidence, now
        ),
        gain_per_work=tracker.gain_per_work(req.service),
        shortest_objective_s=_shortest_objective_s(execution),
        precedence=_precedence(execution),
        time_left_s=req.deadline_at - now,
        tries_middle=ctx.rng.random() < TRIAL_SHARE,
    )


def _own_fields(execution: "CallExecution") -> dict:
    """Return the fields of a request that only this call determines."""
    ctx, req, now = execution.ctx, execution.req, execution.ctx.clock()
    tokens = req.call.prompt_tokens
    return {
        "sizes": req.route.sizes,
        "elapsed_s": now - req.received_at,
        "objective_s": req.route.objective_s,
        "runs_left": execution.runs_left,
        "retry_budget_left": ctx.budget.left(req.service, now),
        "prefill_s": {
            size: ctx.speeds.of(execution.service, size).seconds(tokens)
            for size in req.route.sizes
        },
    }


def _shortest_objective_s(execution: "CallExecution") -> float:
    """Return the shortest latency objective of the service's calls, in seconds."""
    return min(
        route.objective_s
        for route in (*execution.req.view.catalog.routes, execution.req.route)
        if any(target.service == execution.req.service for target in route.targets)
    )


def _precedence(execution: "CallExecution") -> float:
    """Return the weight of the call against those that wait, at most 1.

    It is the part of its organisation's calls that may start, less for calls that are
    less urgent than others of the service.
    """
    ctx, req, share = execution.ctx, execution.req, execution.trace.share
    if ctx.shares is None or share is None:
        return 1.0
    urgency = ctx.shares.urgency(req.view.catalog, req.service, req.rank)
    return share["part"] / (1 + urgency)
