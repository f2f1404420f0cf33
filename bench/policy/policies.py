"""The policies compared: ours over a few nodes, and simple ones."""

from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from bench.policy.fakes import Answer, Request, World
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
EXCHANGE_S = 1.0
REFRESH_S = 5.0
WAITS_S = 1.0
RATING_SHARE = 0.1
HISTORY_ANSWERS = 400
HISTORY_S = 600.0
PRIOR_QUALITY = 0.8


@dataclass(frozen=True)
class Pick:
    """What a policy chose; ``better`` is the second step of a cascade."""

    version: str
    better: str = ""
    rate: bool = False
    decision: PlanDecision | None = None
    wait_s: float = 0.0


class FixedPolicy:
    """A policy that looks at nothing but the request and the queues."""

    def __init__(self, world: World, seed: int, choose: Callable):
        self.world = world
        self.rng = np.random.Generator(np.random.PCG64((seed, 4)))
        self.choose = choose
        self.turn = 0

    def pick(self, request: Request, pinned: str, now: float) -> Pick:
        """Return the plan of a request."""
        if pinned:
            return Pick(pinned)
        self.turn += 1
        return Pick(self.choose(self, request, now))


class PlannedPolicy:
    """One fixed plan for each class, which hindsight is tried by."""

    def __init__(self, plans: tuple[str, str]):
        self.plans = plans

    def pick(self, request: Request, pinned: str, now: float) -> Pick:
        """Return the plan of the request's class."""
        cheap, _, better = self.plans[request.class_index].partition(">")
        if better and request.session:
            return Pick(better)
        return Pick(cheap, better)


def _versions(policy: FixedPolicy) -> tuple[str, ...]:
    if policy.world.regime.roll_out:
        return IDS
    return tuple(item for item in IDS if item != NEW)


def _canary(policy: FixedPolicy, request: Request, now: float) -> str:
    unit = request.session or request.id
    exposed = policy.world.regime.roll_out and unit_hash("canary", unit) < 0.1
    return NEW if exposed else STABLE


def _least_outstanding(policy: FixedPolicy, request: Request, now: float) -> str:
    pools = policy.world.pools
    return min(
        _versions(policy),
        key=lambda item: (pools[item].wait_s(now), pools[item].outstanding(now)),
    )


BASELINES: dict[str, Callable] = {
    "always-best": lambda policy, request, now: BEST,
    "always-cheapest": lambda policy, request, now: CHEAP,
    "random-allowed": lambda policy, request, now: str(
        policy.rng.choice(_versions(policy))
    ),
    "round-robin": lambda policy, request, now: _versions(policy)[
        policy.turn % len(_versions(policy))
    ],
    "least-outstanding": _least_outstanding,
    "canary-90-10": _canary,
}


@dataclass
class Node:
    """The deciding state of one node."""

    name: str
    statistics: Statistics = field(init=False)
    detector: Detector = field(init=False)
    ledger: ExposureLedger = field(default_factory=ExposureLedger)
    snapshot: RoutingSnapshot | None = None
    slots: int = 0

    def __post_init__(self):
        """Start without evidence."""
        self.statistics = Statistics(self.name)
        self.detector = Detector(self.name)


class OurPolicy:
    """The decision functions as several nodes run them, with late exchange."""

    def __init__(self, world: World, seed: int):
        self.world = world
        self.cfg = world.profile.cfg
        self.classes = self.cfg.classes
        self.roll_outs = self.cfg.roll_outs if world.regime.roll_out else ()
        self.nodes = [Node(f"node-{i}") for i in range(NODES)]
        self.cuts: dict[str, CutVersion] = {}
        self.exchanged_at = self.refreshed_at = self.waits_at = -1e9
        self._own_slots()
        if world.regime.with_history:
            self._remember(seed)

    def pick(self, request: Request, pinned: str, now: float) -> Pick:
        """Return the plan of a request, decided at its node."""
        self._tick(now)
        node = self.nodes[request.node]
        work_class = self.classes[request.class_index]
        slots = {ROLL_OUT: node.slots}
        share = self.cfg.limits.exploration_share
        asked = PlanRequest(
            request_id=request.id,
            organisation=request.organisation,
            class_id=work_class.id,
            prompt_tokens=request.prompt_tokens,
            session=request.session,
            pinned=pinned,
            allowance=node.ledger.allowance(work_class, self.roll_outs, slots, share),
        )
        decision = decide_plan(asked, node.snapshot, now)
        node.ledger.record_request(work_class.id)
        if decision.roll_out:
            node.ledger.record_exposed(
                work_class.id, decision.roll_out, request.id, now
            )
        if decision.explores:
            node.ledger.record_explored(work_class.id)
        rate = decision.wants_rating or request.luck[3] < RATING_SHARE
        plan = decision.plan
        wait_s = node.snapshot.waits_s[plan.cheap]
        return Pick(plan.cheap, plan.better, rate, decision, wait_s)

    def on_answer(self, request: Request, pick: Pick, answer: Answer, now: float):
        """Take in a finished attempt."""
        node = self.nodes[request.node]
        work_class = self.classes[request.class_index]
        first_s, total_s = answer.first_at - request.at, answer.done_at - request.at
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
            expected_wait_s=pick.wait_s,
        )
        node.statistics.record_answer(record, now)
        if answer.failed and pick.decision.roll_out:
            node.ledger.ratings.settle(request.id)
        if answer.version == NEW:
            cut = node.detector.observe_answer(
                WatchKey(NEW, ROLL_OUT),
                answer.failed,
                slow,
                self._baseline(node, work_class),
                now,
            )
            self._note(cut, node)

    def on_rating(self, request: Request, plan: str, rating: float, now: float):
        """Take in a rating."""
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
            self._note(cut, node)

    def overdue(self, now: float) -> list[str]:
        """Return requests whose rating should be asked for again."""
        return [
            item for node in self.nodes for item in node.ledger.ratings.overdue(now)
        ]

    def unrated(self) -> int:
        """Return the unrated answers of the new version over all nodes."""
        return sum(node.ledger.ratings.unrated(ROLL_OUT) for node in self.nodes)

    def _baseline(self, node: Node, work_class):
        view = node.snapshot.statistics
        confidence = self.cfg.limits.quality_confidence
        return baseline_of(view, work_class, STABLE, PRIOR_QUALITY, confidence)

    def _note(self, cut: CutVersion | None, node: Node) -> None:
        if cut is None or cut.version in self.cuts:
            return
        self.cuts[cut.version] = cut
        self._refresh(node, cut.found_at)

    def _tick(self, now: float) -> None:
        if now - self.exchanged_at >= EXCHANGE_S:
            self.exchanged_at = now
            self._exchange_watch(now)
        if now - self.refreshed_at >= REFRESH_S:
            self.refreshed_at = now
            self._exchange_statistics(now)
            for node in self.nodes:
                self._refresh(node, now)
        elif now - self.waits_at >= WAITS_S:
            for node in self.nodes:
                self._refresh(node, now, node.snapshot.statistics)

    def _exchange_watch(self, now: float) -> None:
        rows = [node.detector.own_rows(now) for node in self.nodes]
        for node in self.nodes:
            for others in rows:
                for cut in node.detector.merge(others, now):
                    self._note(cut, node)
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
        self.waits_at = now
        waits = {item: pool.wait_s(now) for item, pool in self.world.pools.items()}
        if not self.world.regime.roll_out:
            waits[NEW] = float("inf")
        node.snapshot = RoutingSnapshot(
            cfg=self.cfg,
            statistics=view or node.statistics.view(now),
            cuts=frozenset(self.cuts),
            waits_s=waits,
        )

    def _own_slots(self) -> None:
        names = [node.name for node in self.nodes]
        for item in self.roll_outs:
            owners = slot_owners(item.id, names, item.max_unrated)
            for node in self.nodes:
                holding = OwnedSlots().refresh(node.name, owners, -100.0)
                node.slots = holding.usable(0.0)

    def _remember(self, seed: int) -> None:
        """Give the nodes the evidence of an hour before the run."""
        rng = np.random.Generator(np.random.PCG64((seed, 5)))
        for version in (CHEAP, STABLE, BEST):
            for index, work_class in enumerate(self.classes):
                mean = self.world.pools[version].truth.quality[index]
                for i in range(HISTORY_ANSWERS):
                    tokens = int(600 * rng.lognormal(0.0, 0.8))
                    rating = mean + (rng.random() * 2 - 1) * min(1 - mean, 0.25)
                    at = -HISTORY_S * rng.random()
                    record = RatingRecord(work_class.id, version, tokens, rating)
                    self.nodes[i % NODES].statistics.record_rating(record, at)
