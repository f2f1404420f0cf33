"""Event simulation of one run of one policy, in virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.policy.environment import Answer, RatingService, Request, World, workload
from bench.policy.policies import (
    BASELINES,
    BaselinePolicy,
    FixedPlanPolicy,
    PolicyChoice,
    RouterPolicy,
)
from bench.policy.profiles import BEST, NEW, STABLE, Profile
from bench.policy.regimes import Regime
from knapweedhinge.routing import (
    CheapAnswer,
    CheckRule,
    CheckVerdict,
    check_answer,
)

ROUTER = "knapweedhinge"
POLICIES = (ROUTER, *BASELINES)
MAX_ATTEMPTS = 3
OVERDUE_CHECK_INTERVAL_S = 10.0  # between checks for overdue ratings


@dataclass
class Served:
    """The final result of one request, over all its attempts.

    ``cost_micros`` is the cost of all attempts; the other values are those of the
    delivered answer, with times in seconds from the arrival. ``exposed`` says that the
    plan contains the new version. ``wasted_tokens`` are those of a cheap answer that
    failed its check.
    """

    request: Request
    version: str = ""
    cost_micros: float = 0.0
    rating: float = 0.0
    first_s: float = 0.0
    total_s: float = 0.0
    failed: bool = False
    exposed: bool = False
    from_degraded_version: bool = False
    wasted_tokens: int = 0


@dataclass
class RunResult:
    """The results of one run.

    ``turned_answers`` counts the answers of a version after it has degraded,
    ``max_unrated`` is the highest number of unrated answers of the new version and
    ``worst_share`` the highest share of requests exposed to it, from the 100th request
    on. ``cut`` says whether the new version was cut, ``cut_healthy`` whether it was cut
    while it had not degraded.
    """

    served: list[Served] = field(default_factory=list)
    turned_answers: int = 0
    cut: bool = False
    cut_healthy: bool = False
    max_unrated: int = 0
    worst_share: float = 0.0


class Simulation:
    """One run: an event queue of requests, answers and ratings."""

    def __init__(
        self,
        profile: Profile,
        regime: Regime,
        policy: str | tuple[str, str],
        seed: int,
        length_s: float,
    ):
        """Prepare a run of a named policy, or of one fixed plan for each class."""
        self.world = World(profile, regime, seed, length_s)
        rate = regime.load * self.world.capacity()
        self.requests = workload(profile, seed, rate, length_s)
        self.router_policy = (
            RouterPolicy(self.world, seed) if policy == ROUTER else None
        )
        if isinstance(policy, tuple):
            self.policy = FixedPlanPolicy(policy)
        else:
            choose = BASELINES.get(policy)
            self.policy = self.router_policy or BaselinePolicy(self.world, seed, choose)
        self.ratings = RatingService(regime, seed)
        self.pins: dict[str, str] = {}
        self.events: list[tuple[float, int, Callable]] = []
        self.sequence = 0
        self.rating_handlers: dict[str, Callable] = {}
        self.result = RunResult()
        self.exposed = 0
        self.requests_seen = 0

    def run(self) -> RunResult:
        """Process all events and return the results of the run."""
        for request in self.requests:
            self._schedule(
                request.arrived_at, lambda now, r=request: self._arrive(r, now)
            )
        if self.router_policy:
            self._schedule(OVERDUE_CHECK_INTERVAL_S, self._request_overdue_ratings)
        while self.events:
            now, _, handler = heapq.heappop(self.events)
            handler(now)
        self._record_cut_outcome()
        return self.result

    def _schedule(self, when: float, handler: Callable) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, handler))

    def _arrive(self, request: Request, now: float) -> None:
        choice = self.policy.pick(request, self.pins.get(request.session, ""), now)
        if request.session:
            self.pins[request.session] = choice.version
        served = Served(request, exposed=NEW in (choice.version, choice.better))
        self._count_exposure(served.exposed)
        self.result.served.append(served)
        self._dispatch(served, choice, choice.version, 1, now)

    def _dispatch(
        self,
        served: Served,
        choice: PolicyChoice,
        version: str,
        attempt: int,
        now: float,
    ) -> None:
        answer = self.world.answer(served.request, version, now)
        served.cost_micros += answer.cost_micros
        self.result.turned_answers += answer.degraded
        self._schedule(
            answer.done_at,
            lambda later: self._finish(served, choice, answer, attempt, later),
        )

    def _finish(
        self,
        served: Served,
        choice: PolicyChoice,
        answer: Answer,
        attempt: int,
        now: float,
    ) -> None:
        if self.router_policy:
            self.router_policy.on_answer(served.request, choice, answer, now)
        if answer.failed and attempt < MAX_ATTEMPTS:
            other_version = BEST if answer.version == STABLE else STABLE
            self._dispatch(served, choice, other_version, attempt + 1, now)
            return
        cheap_step = bool(choice.better) and answer.version == choice.version
        if cheap_step and not self._passes(served.request, answer):
            served.wasted_tokens += answer.output_tokens
            self._dispatch(served, choice, choice.better, attempt, now)
            return
        self._deliver(served, choice, answer, now)

    def _passes(self, request: Request, answer: Answer) -> bool:
        score = self.world.check_score(request, answer)
        cheap = CheapAnswer("stop", answer.output_tokens, score)
        return check_answer(CheckRule(), cheap) is CheckVerdict.PASSED

    def _deliver(
        self, served: Served, choice: PolicyChoice, answer: Answer, now: float
    ) -> None:
        request = served.request
        # A cheap answer of a cascade is checked whole before the caller gets it.
        unstreamed = bool(choice.better) and answer.version == choice.version
        served.version = answer.version
        served.rating = 0.0 if answer.failed else answer.rating
        served.first_s = (
            answer.done_at if unstreamed else answer.first_at
        ) - request.arrived_at
        served.total_s = answer.done_at - request.arrived_at
        served.failed = answer.failed
        served.from_degraded_version = answer.degraded
        if not self.router_policy or answer.failed or not choice.rate:
            return
        plan = choice.decision.plan
        plan_id = plan.id if answer.version in plan.versions else answer.version
        self._request_rating(
            request,
            lambda later: self.router_policy.on_rating(
                request, plan_id, answer.rating, later
            ),
            now,
        )

    def _request_rating(self, request: Request, handler: Callable, now: float) -> None:
        self.rating_handlers[request.id] = handler
        delay_s = self.ratings.delay_s()
        if delay_s is not None:
            self._schedule(
                now + delay_s, lambda later: self._deliver_rating(request.id, later)
            )

    def _deliver_rating(self, request_id: str, now: float) -> None:
        handler = self.rating_handlers.pop(request_id, None)
        if handler is not None:
            handler(now)

    def _request_overdue_ratings(self, now: float) -> None:
        for request_id in self.router_policy.overdue(now):
            delay_s = self.ratings.delay_s()
            if delay_s is not None and request_id in self.rating_handlers:
                self._schedule(
                    now + delay_s,
                    lambda later, i=request_id: self._deliver_rating(i, later),
                )
        if now < self.world.length_s:
            self._schedule(
                now + OVERDUE_CHECK_INTERVAL_S, self._request_overdue_ratings
            )

    def _count_exposure(self, exposed: bool) -> None:
        self.requests_seen += 1
        self.exposed += exposed
        if self.requests_seen >= 100:
            share = self.exposed / self.requests_seen
            self.result.worst_share = max(self.result.worst_share, share)
        if self.router_policy:
            unrated = self.router_policy.unrated()
            self.result.max_unrated = max(self.result.max_unrated, unrated)

    def _record_cut_outcome(self) -> None:
        if not self.router_policy or NEW not in self.router_policy.cuts:
            return
        self.result.cut = True
        degrades = self.world.regime.new_version_degrades
        found_at = self.router_policy.cuts[NEW].found_at
        self.result.cut_healthy = not degrades or found_at < self.world.degrades_at
