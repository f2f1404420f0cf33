"""Decide whether a failed attempt is retried, and limit retries to a share of traffic.

A request that isn't idempotent is retried only if no byte of it was sent, or if the
endpoint reported that it did not run it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Protocol

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.core.codes import CodeClass, ResultCode, RunState

# Attempts of one request, the first included.
MAX_ATTEMPTS = 4
# Jittered exponential backoff, in seconds.
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0
# Charges to the retry budget. A retry costs less if no byte of the failed attempt was
# sent, since it then caused no work at an endpoint.
RETRY_COST = 1.0
UNSENT_RETRY_COST = 0.1
# Retries in the budget of an organisation before any traffic, and most it can hold.
INITIAL_RETRIES = 5.0
MAX_BALANCE = 50.0
# Organisations with a budget of their own; the least recently active is dropped first.
MAX_ORGANISATIONS = 4096


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that ended without a complete answer.

    ``request_bytes_sent`` counts bytes sent to the endpoint, ``answer_bytes_sent``
    those already forwarded to the client; of both it only matters whether they are
    zero. ``refused`` tells that the endpoint received the request and reported that it
    did not run it.
    """

    code: ResultCode
    run_state: RunState
    request_bytes_sent: int = 0
    answer_bytes_sent: int = 0
    refused: bool = False


@dataclass(frozen=True, slots=True)
class RetryRequest:
    """The properties of a request that the decision on a retry depends on.

    ``organisation`` is the key of the budget to charge, which may also be a service.
    ``deadline`` is in seconds, on the clock that ``decide_retry()`` gets its ``now``
    from; ``expected_s`` is the expected duration of an attempt. ``resumable`` tells
    that another endpoint can continue a stream after what the client already received.
    ``most_runs`` bounds the attempts that ran or may have run, among them
    ``dropped_runs`` whose answers were dropped to ask a larger model.
    """

    organisation: str
    idempotent: bool
    deadline: float
    attempts: tuple[Attempt, ...]
    resumable: bool = False
    expected_s: float = 0.0
    most_runs: int = MAX_ATTEMPTS
    dropped_runs: int = 0


class RetryKind(StrEnum):
    """Whether the next attempt starts the answer anew or continues it."""

    REPEAT = "repeat"
    CONTINUE = "continue"


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry at another endpoint after ``delay_s`` seconds.

    The retry budget has been charged.
    """

    kind: RetryKind
    delay_s: float


class StopReason(StrEnum):
    """The rule by which no further attempt is made."""

    NOT_REPEATABLE = "not-repeatable"
    CALLER_AT_FAULT = "caller-at-fault"
    ANSWER_STARTED = "answer-started"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class Stop:
    """Make no further attempt.

    ``run_state`` holds for all attempts together: "not run" means that none ran.
    """

    reason: StopReason
    code: ResultCode
    run_state: RunState


class RetryBudget:
    """The retry budget of each organisation, a share of its own traffic.

    Each first attempt adds the voted share of a retry to the organisation's budget. No
    organisation can use up the budget of another. In total, the retries charged are at
    most that share of all traffic, plus the ``INITIAL_RETRIES`` of each organisation;
    one after an unsent attempt is charged as ``UNSENT_RETRY_COST`` of a retry.
    """

    def __init__(self, limits: VotedLimits):
        self._share = limits.retry_share
        self._balances: OrderedDict[str, float] = OrderedDict()

    def change_limits(self, limits: VotedLimits) -> None:
        """Use the share of newly accepted limits from now on."""
        self._share = limits.retry_share

    def record_first_attempt(self, organisation: str) -> None:
        """Record a first attempt of an organisation, which adds to its budget."""
        balance = self.available(organisation) + self._share
        self._set_balance(organisation, min(balance, MAX_BALANCE))

    def available(self, organisation: str) -> float:
        """Return how many retries the organisation may make at present."""
        return self._balances.get(organisation, self._initial_balance())

    def spend(self, organisation: str, cost: float) -> bool:
        """Charge a retry and return True, or return False if the balance is too low."""
        balance = self.available(organisation)
        if balance < cost:
            return False
        self._set_balance(organisation, balance - cost)
        return True

    def _initial_balance(self) -> float:
        return INITIAL_RETRIES if self._share > 0 else 0.0

    def _set_balance(self, organisation: str, balance: float) -> None:
        self._balances[organisation] = balance
        self._balances.move_to_end(organisation)
        if len(self._balances) > MAX_ORGANISATIONS:
            self._balances.popitem(last=False)


def overall_run_state(attempts: tuple[Attempt, ...], dropped_runs: int = 0) -> RunState:
    """Return "not run" if no attempt ran, and "unknown" if any ran or may have.

    ``dropped_runs`` counts runs whose answers were dropped.
    """
    if not dropped_runs and all(_certainly_not_run(attempt) for attempt in attempts):
        return RunState.NOT_RUN
    return RunState.UNKNOWN


class ChargeableBudget(Protocol):
    """The interface of a retry budget that :func:`decide_retry` needs."""

    def spend(self, organisation: str, cost: float) -> bool:
        """Charge a retry and return True, or return False if the budget is too small.

        ``organisation`` may be any key that has its own budget.
        """


def decide_retry(
    req: RetryRequest, budget: ChargeableBudget, now: float, rng: Random
) -> Retry | Stop:
    """Decide whether to retry after ``req.attempts``, the last of which failed.

    Charge the budget if so. Raise ValueError if ``req.attempts`` is empty.
    """
    if not req.attempts:
        raise ValueError("a retry needs an earlier attempt")
    reason = _stop_reason(req)
    if reason is not None:
        return _stop(req, reason)
    delay_s = backoff_s(len(req.attempts), rng)
    if now + delay_s + req.expected_s >= req.deadline:
        return _stop(req, StopReason.DEADLINE)
    last = req.attempts[-1]
    arrived = last.refused or not _safe_to_repeat(last)
    cost = RETRY_COST if arrived else UNSENT_RETRY_COST
    if not budget.spend(req.organisation, cost):
        return _stop(req, StopReason.BUDGET)
    started = any(attempt.answer_bytes_sent for attempt in req.attempts)
    return Retry(RetryKind.CONTINUE if started else RetryKind.REPEAT, delay_s)


def backoff_s(attempts: int, rng: Random) -> float:
    """Return the seconds to pause after ``attempts`` failures; 0.0 after the first.

    The pause is random, below a bound that doubles with each attempt.
    """
    if attempts <= 1:
        return 0.0
    longest = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, longest)


def _stop_reason(req: RetryRequest) -> StopReason | None:
    last = req.attempts[-1]
    if last.code.code_class is CodeClass.CALLER:
        return StopReason.CALLER_AT_FAULT
    if not req.idempotent and any(
        not _safe_to_repeat(attempt) for attempt in req.attempts
    ):
        return StopReason.NOT_REPEATABLE
    if any(attempt.answer_bytes_sent for attempt in req.attempts) and not req.resumable:
        return StopReason.ANSWER_STARTED
    ran = req.dropped_runs + sum(
        not _certainly_not_run(attempt) for attempt in req.attempts
    )
    if len(req.attempts) >= MAX_ATTEMPTS or ran >= req.most_runs:
        return StopReason.ATTEMPTS
    return None


def _stop(req: RetryRequest, reason: StopReason) -> Stop:
    state = overall_run_state(req.attempts, req.dropped_runs)
    return Stop(reason, _stop_code(req, reason, state), state)


def _stop_code(req: RetryRequest, reason: StopReason, state: RunState) -> ResultCode:
    last = req.attempts[-1].code
    if reason is StopReason.CALLER_AT_FAULT:
        return last
    if state is not RunState.NOT_RUN:
        return _code_if_maybe_run(req, last)
    if reason is StopReason.BUDGET:
        return ResultCode.RETRY_BUDGET_EXHAUSTED
    if reason is StopReason.DEADLINE:
        return ResultCode.DEADLINE_UNMEETABLE
    return last if last.value.run_state is state else ResultCode.ENDPOINT_REFUSED


def _code_if_maybe_run(req: RetryRequest, last: ResultCode) -> ResultCode:
    if not req.idempotent:
        return ResultCode.OUTCOME_UNKNOWN
    if last.value.run_state is RunState.NOT_RUN:
        return ResultCode.ENDPOINT_FAILED
    return last


def _safe_to_repeat(attempt: Attempt) -> bool:
    """Return whether even a request that isn't idempotent may be sent again.

    It may if the endpoint reported that it did not run it, or received nothing.
    """
    if attempt.run_state is not RunState.NOT_RUN:
        return False
    return attempt.refused or attempt.request_bytes_sent == 0


def _certainly_not_run(attempt: Attempt) -> bool:
    return attempt.run_state is RunState.NOT_RUN
