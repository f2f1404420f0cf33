from random import Random

import pytest

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.routing.retry import (
    INITIAL_RETRIES,
    MAX_ATTEMPTS,
    Attempt,
    Retry,
    RetryBudget,
    RetryKind,
    RetryRequest,
    Stop,
    StopReason,
    decide_retry,
)

REFUSED = Attempt(ResultCode.ENDPOINT_REFUSED, RunState.NOT_RUN)
REFUSED_AFTER_BYTES = Attempt(ResultCode.ENDPOINT_REFUSED, RunState.NOT_RUN, 10)
FAILED = Attempt(ResultCode.ENDPOINT_FAILED, RunState.UNKNOWN, 10)
EMPTY = Attempt(ResultCode.ANSWER_EMPTY, RunState.COMPLETED, 10)
STARTED = Attempt(ResultCode.STREAM_BROKEN, RunState.UNKNOWN, 10, 500)
BAD = Attempt(ResultCode.INVALID_FIELD, RunState.NOT_RUN, 10)


def decide(attempts, idempotent=True, deadline=10.0, budget=None, **fields):
    req = RetryRequest("oak", idempotent, deadline, tuple(attempts), **fields)
    budget = budget or RetryBudget(VotedLimits())
    return decide_retry(req, budget, 0.0, Random(1))


@pytest.mark.parametrize(
    ("attempts", "idempotent", "fields", "expected"),
    [
        ([REFUSED], False, {}, RetryKind.REPEAT),
        ([REFUSED_AFTER_BYTES], False, {}, StopReason.NOT_REPEATABLE),
        ([FAILED], False, {}, StopReason.NOT_REPEATABLE),
        ([FAILED, REFUSED], False, {}, StopReason.NOT_REPEATABLE),
        ([EMPTY], False, {}, StopReason.NOT_REPEATABLE),
        ([FAILED], True, {}, RetryKind.REPEAT),
        ([EMPTY], True, {}, RetryKind.REPEAT),
        ([BAD], True, {}, StopReason.CALLER_AT_FAULT),
        ([STARTED], True, {}, StopReason.ANSWER_STARTED),
        ([STARTED], True, {"resumable": True}, RetryKind.CONTINUE),
        ([STARTED, REFUSED], True, {"resumable": True}, RetryKind.CONTINUE),
        ([REFUSED] * MAX_ATTEMPTS, True, {}, StopReason.ATTEMPTS),
        ([FAILED] * 2, True, {"most_runs": 3}, RetryKind.REPEAT),
        ([FAILED] * 2, True, {"most_runs": 3, "dropped_runs": 1}, StopReason.ATTEMPTS),
        ([REFUSED], True, {"most_runs": 2, "dropped_runs": 1}, RetryKind.REPEAT),
        ([FAILED], True, {"deadline": 2.0, "expected_s": 3.0}, StopReason.DEADLINE),
    ],
)
def test_decide_retry(attempts, idempotent, fields, expected):
    answer = decide(attempts, idempotent, **fields)
    found = answer.kind if isinstance(answer, Retry) else answer.reason
    assert found is expected


def test_stop_never_says_not_run_after_a_run_whose_answer_was_dropped():
    answer = decide([REFUSED], deadline=0.0, dropped_runs=1)
    assert answer.run_state is RunState.UNKNOWN
    assert answer.code.value.run_state is not RunState.NOT_RUN


@pytest.mark.parametrize("attempts", [[FAILED], [FAILED, REFUSED], [EMPTY], [STARTED]])
@pytest.mark.parametrize("idempotent", [True, False])
def test_stop_never_says_not_run_after_an_attempt_that_may_have_run(
    attempts, idempotent
):
    for fields in ({"deadline": 0.0}, {"budget": RetryBudget(VotedLimits(0.0))}):
        answer = decide(attempts, idempotent, **fields)
        assert isinstance(answer, Stop)
        assert answer.run_state is RunState.UNKNOWN
        assert answer.code.value.run_state is not RunState.NOT_RUN


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"deadline": 0.0}, ResultCode.DEADLINE_UNMEETABLE),
        ({"budget": RetryBudget(VotedLimits(0.0))}, ResultCode.RETRY_BUDGET_EXHAUSTED),
    ],
)
def test_stop_after_refusals_only_says_not_run(fields, code):
    answer = decide([REFUSED], **fields)
    assert (answer.code, answer.run_state) == (code, RunState.NOT_RUN)


def test_retries_stay_a_share_of_each_organisations_traffic():
    budget = RetryBudget(VotedLimits(retry_share=0.1))
    retries = {"large": 0, "small": 0}
    for _ in range(1000):
        budget.record_first_attempt("large")
        retries["large"] += isinstance(_retry(budget, "large"), Retry)
    for _ in range(100):
        budget.record_first_attempt("small")
        retries["small"] += isinstance(_retry(budget, "small"), Retry)
    assert retries["large"] <= 100 + INITIAL_RETRIES
    assert 10 <= retries["small"] <= 10 + INITIAL_RETRIES


def _retry(budget, organisation):
    req = RetryRequest(organisation, True, 10.0, (FAILED,))
    return decide_retry(req, budget, 0.0, Random(1))


def test_backoff_is_jittered_and_grows():
    answers = [decide([REFUSED] * n).delay_s for n in range(1, MAX_ATTEMPTS)]
    assert answers[0] == 0.0
    assert 0.0 < answers[1] <= 0.04
    assert 0.0 < answers[2] <= 0.08
