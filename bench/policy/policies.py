"""The policies that are compared: the router's own and simple baselines."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from bench.policy.environment import Answer, Request, World
from bench.policy.profiles import BEST, CHEAP, IDS, NEW, ROLL_OUT, STABLE
from knapweedhinge.routing import (
    AnswerRecord,
    ExposureLedger,
    Outcome,
    PlanDecision,
    PlanRequest,
    RatingRecord,
    RoutingSnapshot,
    Statistics,
    decide_plan,
)
from knapweedhinge.routing.baselines import (
    baseline_of,
)
from knapweedhinge.routing.detector import (
    CutVersion,
    Detector,
)
from knapweedhinge.routing.evidence import unit_hash
from knapweedhinge.routing.exposure import (
    OwnedSlots,
    slot_owners,
)
from knapweedhinge.routing.records import (
    bad_rating,
    is_slow,
)
from knapweedhinge.routing.sequential import (
    WatchKey,
)
from knapweedhinge.routing.statistics import (
    StatisticsView,
)

NODES = 3

# Intervals at which nodes exchange detector state and statistics, and at which they
# update the expected waits of versions.
DETECTOR_EXCHANGE_INTERVAL_S = 1.0
STATISTICS_EXCHANGE_INTERVAL_S = 5.0
WAITS_REFRESH_INTERVAL_S = 1.0

RATING_SHARE = 0.1  # share of answers that are rated even if no decision asks for it

# Number of ratings before the run, for each version and class, and the time over which
# they are spread.
HISTORY_ANSWERS = 400
HISTORY_S = 600.0

PRIOR_QUALITY = 0.8  # of the stable version, as long as it has no ratings


@dataclass(frozen=True)
class PolicyChoice:
    """The choice of a policy for one request.

    ``better`` is the second version of a cascade, empty without one. ``rate`` asks for
    a rating of the answer and ``wait_s`` is the expected wait for a slot. ``decision``
    is set by the router's policy only.
    """

    version: str
    better: str = ""
    rate: bool = False
    decision: PlanDecision | None = None
    wait_s: float = 0.0


class BaselinePolicy:
    """A baseline that knows only the request and the queues of the versions."""

    def __init__(self, world: World, seed: int, choose: Callable):
        self.world = world
        self.rng = np.random.Generator(np.random.PCG64((seed, 4)))
        self.choose = choose
        self.request_count = 0

    def pick(self, request: Request, pinned: str, now: float) -> PolicyChoice:
        """Return the choice for a request.

        ``pinned`` is the version that its session already uses, or empty.
        """
        if pinned:
            return PolicyChoice(pinned)
        self.request_count += 1
        return PolicyChoice(self.choose(self, request, now))


class FixedPlanPolicy:
    """A policy with one fixed plan for each class, to simulate ``FixedPlan`` pairs."""

    def __init__(self, plans: tuple[str, str]):
        self.plans = plans

    def pick(self, request: Request, pinned: str, now: float) -> PolicyChoice:
        """Return the plan of the class of the request."""
        cheap, _, better = self.plans[request.class_index].partition(">")
        if better and request.session:
            return PolicyChoice(better)
        return PolicyChoice(cheap, better)


def _versions(policy: BaselinePolicy) -> tuple[str, ...]:
    if policy.world.regime.roll_out:
        return IDS
    return tuple(version for version in IDS if version != NEW)


def _canary(policy: BaselinePolicy, request: Request, now: float) -> str:
    unit = request.session or request.id
    exposed = policy.world.regime.roll_out and unit_hash("canary", unit) < 0.1
    return NEW if exposed else STABLE


def _least_outstanding(policy: BaselinePolicy, request: Request, now: float) -> str:
    pools = policy.world.pools
    return min(
        _versions(policy),
        key=lambda version: (
            pools[version].wait_s(now),
            pools[version].outstanding(now),
        ),
    )


BASELINES: dict[str, Callable] = {
    "always-best": lambda policy, request, now: BEST,
    "always-cheapest": lambda policy, request, now: CHEAP,
    "random-allowed": lambda policy, request, now: str(
        policy.rng.choice(_versions(policy))
    ),
    "round-robin": lambda policy, request, now: _versions(policy)[
        policy.request_count % len(_versions(policy))
    ],
    "least-outstanding": _least_outstanding,
    "canary-90-10": _canary,
}


@dataclass
class Node:
    """The state that one node bases its decisions on.

    ``slots`` is the number of unrated answers of the new version that it may have.
    """

    name: str
    statistics: Statistics = field(init=False)
    detector: Detector = field(init=False)
    ledger: ExposureLedger = field(default_factory=ExposureLedger)
    snapshot: RoutingSnapshot | None = None
    slots: int = 0

    def __post_init__(self):
        """Create statistics and a detector without evidence."""
        self.statistics = Statistics(self.name)
        self.detector = Detector(self.name)


class RouterPolicy:
    """The router's own policy, run by several nodes.

    Nodes decide on their own state and exchange it at intervals, so each sees the
    evidence of the others late.
    """

    def __init__(self, world: World, seed: int):
        self.world = world
        self.cfg = world.profile.cfg
        self.classes = self.cfg.classes
        self.roll_outs = self.cfg.roll_outs if world.regime.roll_out else ()
        self.nodes = [Node(f"node-{i}") for i in range(NODES)]
        self.cuts: dict[str, CutVersion] = {}
        self.detectors_exchanged_at = self.statistics_exchanged_at = (
            self.waits_at
        ) = -1e9
        self._assign_slots()
        if world.regime.with_history:
            self._load_history(seed)

    def pick(self, request: Request, pinned: str, now: float) -> PolicyChoice:
        """Return the choice for a request, decided by its node."""
        self._tick(now)
        node = self.nodes[request.node]
        work_class = self.classes[request.class_index]
        slots = {ROLL_OUT: node.slots}
        share = self.cfg.limits.exploration_share
        plan_request = PlanRequest(
            request_id=request.id,
            organisation=request.organisation,
            class_id=work_class.id,
            prompt_tokens=request.prompt_tokens,
            session=request.session,
            pinned=pinned,
            allowance=node.ledger.allowance(work_class, self.roll_outs, slots, share),
        )
        decision = decide_plan(plan_request, node.snapshot, now)
        node.ledger.record_request(work_class.id)
        if decision.roll_out:
            node.ledger.record_exposed(
                work_class.id, decision.roll_out, request.id, now
            )
        if decision.explores:
            node.ledger.record_explored(work_class.id)
        rate = decision.wants_rating or request.uniform_draws[3] < RATING_SHARE
        plan = decision.plan
        wait_s = node.snapshot.waits_s[plan.cheap]
        return PolicyChoice(plan.cheap, plan.better, rate, decision, wait_s)

    def on_answer(
        self, request: Request, choice: PolicyChoice, answer: Answer, now: float
    ):
        """Record a finished attempt in the statistics and the detector of its node."""
        node = self.nodes[request.node]
        work_class = self.classes[request.class_index]
        first_s, total_s = (
            answer.first_at - request.arrived_at,
            answer.done_at - request.arrived_at,
        )
        slow = is_slow(work_class, first_s, total_s)
        record = AnswerRecord(
            class_id=work_class.id,
            plan=answer.version,
            prompt_tokens=request.prompt_tokens,
            outcome=Outcome.FAILED if answer.failed else Outcome.COMPLETED,
            first_token_s=first_s,
            total_s=total_s,
            output_tokens=answer.output_tokens,
            cost_micros=answer.cost_micros,
            slow=slow,
            expected_wait_s=choice.wait_s,
        )
        node.statistics.record_answer(record, now)
        if answer.failed and choice.decision.roll_out:
            node.ledger.ratings.settle(request.id)
        if answer.version == NEW:
            cut = node.detector.observe_answer(
                WatchKey(NEW, ROLL_OUT),
                answer.failed,
                slow,
                self._baseline(node, work_class),
                now,
            )
            self._record_cut(cut, node)

    def on_rating(self, request: Request, plan: str, rating: float, now: float):
        """Record a rating in the statistics and the detector of its node."""
        node = self.nodes[request.node]
        work_class = self.classes[request.class_index]
        node.ledger.ratings.settle(request.id)
        bad = rating < bad_rating(work_class)
        record = RatingRecord(work_class.id, plan, request.prompt_tokens, rating, bad)
        node.statistics.record_rating(record, now)
        if plan == NEW:
            cut = node.detector.observe_rating(
                WatchKey(NEW, ROLL_OUT), rating, self._baseline(node, work_class), now
            )
            self._record_cut(cut, node)

    def overdue(self, now: float) -> list[str]:
        """Return the ids of requests whose rating is overdue."""
        return [
            request_id
            for node in self.nodes
            for request_id in node.ledger.ratings.overdue(now)
        ]

    def unrated(self) -> int:
        """Return the number of unrated answers of the new version, over all nodes."""
        return sum(node.ledger.ratings.unrated(ROLL_OUT) for node in self.nodes)

    def _baseline(self, node: Node, work_class):
        view = node.snapshot.statistics
        confidence = self.cfg.limits.quality_confidence
        return baseline_of(view, work_class, STABLE, PRIOR_QUALITY, confidence)

    def _record_cut(self, cut: CutVersion | None, node: Node) -> None:
        if cut is None or cut.version in self.cuts:
            return
        self.cuts[cut.version] = cut
        self._refresh(node, cut.found_at)

    def _tick(self, now: float) -> None:
        if now - self.detectors_exchanged_at >= DETECTOR_EXCHANGE_INTERVAL_S:
            self.detectors_exchanged_at = now
            self._exchange_detectors(now)
        if now - self.statistics_exchanged_at >= STATISTICS_EXCHANGE_INTERVAL_S:
            self.statistics_exchanged_at = now
            self._exchange_statistics(now)
            for node in self.nodes:
                self._refresh(node, now)
        elif now - self.waits_at >= WAITS_REFRESH_INTERVAL_S:
            for node in self.nodes:
                self._refresh(node, now, node.snapshot.statistics)

    def _exchange_detectors(self, now: float) -> None:
        rows_by_node = [node.detector.own_rows(now) for node in self.nodes]
        for node in self.nodes:
            for rows in rows_by_node:
                for cut in node.detector.merge(rows, now):
                    self._record_cut(cut, node)
        if self.cuts and any(not node.snapshot.cuts for node in self.nodes):
            for node in self.nodes:
                self._refresh(node, now)

    def _exchange_statistics(self, now: float) -> None:
        deltas = [node.statistics.delta(now) for node in self.nodes]
        for node in self.nodes:
            for delta in deltas:
                node.statistics.merge(delta, now)

    def _refresh(
        self, node: Node, now: float, view: StatisticsView | None = None
    ) -> None:
        """Give a node a new snapshot with the present waits and cuts.

        Without ``view``, it has new statistics too.
        """
        self.waits_at = now
        waits = {
            version: pool.wait_s(now) for version, pool in self.world.pools.items()
        }
        if not self.world.regime.roll_out:
            waits[NEW] = float("inf")
        node.snapshot = RoutingSnapshot(
            cfg=self.cfg,
            statistics=view or node.statistics.view(now),
            cuts=frozenset(self.cuts),
            waits_s=waits,
        )

    def _assign_slots(self) -> None:
        names = [node.name for node in self.nodes]
        for roll_out in self.roll_outs:
            owners = slot_owners(roll_out.id, names, roll_out.max_unrated)
            for node in self.nodes:
                # Gained long enough before the run to be usable at its start.
                holding = OwnedSlots().refresh(node.name, owners, -100.0)
                node.slots = holding.usable(0.0)

    def _load_history(self, seed: int) -> None:
        """Give the nodes ratings from the ``HISTORY_S`` seconds before the run."""
        rng = np.random.Generator(np.random.PCG64((seed, 5)))
        for version in (CHEAP, STABLE, BEST):
            for index, work_class in enumerate(self.classes):
                mean = self.world.pools[version].behaviour.quality[index]
                for i in range(HISTORY_ANSWERS):
                    tokens = int(600 * rng.lognormal(0.0, 0.8))
                    rating = mean + (rng.random() * 2 - 1) * min(1 - mean, 0.25)
                    rated_at = -HISTORY_S * rng.random()
                    record = RatingRecord(work_class.id, version, tokens, rating)
                    self.nodes[i % NODES].statistics.record_rating(record, rated_at)
