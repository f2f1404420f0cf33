"""Find the best fixed plan in hindsight, as the reference for the cost of policies.

Candidates of each class are ranked by cost, those first whose true ratings meet the
quality target and whose latency without queues is within the limits. Then pairs, with
one plan for each class, are simulated with queues, in order of cost; the result is the
first whose latency is still within the limits.
"""

from dataclasses import dataclass, replace
from itertools import product

import numpy as np

from bench.policy.environment import Answer, Request, World, workload
from bench.policy.profiles import NEW, Profile
from bench.policy.regimes import Regime
from bench.policy.simulation import Simulation
from knapweedhinge.routing import (
    CheapAnswer,
    CheckRule,
    CheckVerdict,
    check_answer,
)

MAX_CANDIDATES = 6  # plans of each class that pairs are formed from


@dataclass(frozen=True)
class FixedPlan:
    """A plan of one class with its mean cost and rating over the run.

    ``plan`` is a version, or ``cheap>better`` for a cascade; ``meets`` says whether it
    meets the targets for quality and latency.
    """

    plan: str
    cost_micros: float
    quality: float
    meets: bool


def candidates(
    world: World, requests: list[Request], class_index: int
) -> list[FixedPlan]:
    """Return the fixed plans of a class: those that meet its targets first, by cost.

    In a cascade, requests with a session go straight to the better version.
    """
    plans = [
        _single(world, requests, class_index, version)
        for version in _stable_versions(world)
    ]
    for cheap in _stable_versions(world):
        for better in _stable_versions(world):
            if _price(world, cheap) < _price(world, better):
                plans.append(_cascade(world, requests, class_index, cheap, better))
    return sorted(plans, key=_rank)


def _rank(plan: FixedPlan) -> tuple[bool, float]:
    return not plan.meets, plan.cost_micros if plan.meets else -plan.quality


def best_fixed_plans(
    profile: Profile, regime: Regime, seed: int, length_s: float
) -> tuple[FixedPlan, FixedPlan]:
    """Return the cheapest plan of each class that meets its targets, for one seed.

    If no pair of plans meets quality and latency, returns the first pair by rank with
    ``meets`` unset: pairs with fewer plans that miss their targets come first, then
    cheaper ones.
    """
    world = World(profile, regime, seed, length_s)
    requests = workload(profile, seed, regime.load * world.capacity(), length_s)
    ranked = []
    for index in (0, 1):
        class_requests = [
            request for request in requests if request.class_index == index
        ]
        ranked.append(candidates(world, class_requests, index)[:MAX_CANDIDATES])
    pairs = sorted(product(*ranked), key=lambda pair: _pair_rank(profile, pair))
    for pair in pairs:
        meeting = all(plan.meets for plan in pair)
        if meeting and _meets_latency(profile, regime, seed, length_s, pair):
            return pair
    return tuple(replace(plan, meets=False) for plan in pairs[0])


def _pair_rank(
    profile: Profile, pair: tuple[FixedPlan, FixedPlan]
) -> tuple[int, float]:
    missing = sum(not plan.meets for plan in pair)
    shares = zip(profile.shares, pair, strict=True)
    return missing, sum(share * plan.cost_micros for share, plan in shares)


def _meets_latency(
    profile: Profile,
    regime: Regime,
    seed: int,
    length_s: float,
    pair: tuple[FixedPlan, FixedPlan],
) -> bool:
    plans = tuple(fixed_plan.plan for fixed_plan in pair)
    result = Simulation(profile, regime, plans, seed, length_s).run()
    for index, work_class in enumerate(profile.cfg.classes):
        class_served = [
            outcome for outcome in result.served if outcome.request.class_index == index
        ]
        firsts = [outcome.first_s for outcome in class_served]
        totals = [outcome.total_s for outcome in class_served]
        if np.percentile(firsts, 95) > work_class.first_token_s:
            return False
        if np.percentile(totals, 95) > work_class.deadline_s:
            return False
    return True


def _stable_versions(world: World) -> list[str]:
    return [version for version in world.pools if version != NEW]


def _price(world: World, version: str) -> int:
    return world.pools[version].version.output_micros_per_1k


def _single(
    world: World, requests: list[Request], class_index: int, version: str
) -> FixedPlan:
    costs = [world.cost(request, version) for request in requests]
    ratings = [
        world.rating(request, version, request.arrived_at) for request in requests
    ]
    firsts = [_first_s(world, request, version) for request in requests]
    return _plan(world, class_index, version, costs, ratings, firsts)


def _cascade(
    world: World, requests: list[Request], class_index: int, cheap: str, better: str
) -> FixedPlan:
    costs, ratings, firsts = [], [], []
    for request in requests:
        rating = world.rating(request, cheap, request.arrived_at)
        passed = not request.session and _passes(world, request, rating)
        escalation_cost = 0.0 if passed else world.cost(request, better)
        cheap_cost = 0.0 if request.session else world.cost(request, cheap)
        costs.append(cheap_cost + escalation_cost)
        ratings.append(
            rating if passed else world.rating(request, better, request.arrived_at)
        )
        cheap_time_s = 0.0 if request.session else _total_s(world, request, cheap)
        better_first_s = 0.0 if passed else _first_s(world, request, better)
        firsts.append(cheap_time_s + better_first_s)
    return _plan(world, class_index, f"{cheap}>{better}", costs, ratings, firsts)


def _passes(world: World, request: Request, rating: float) -> bool:
    answer = Answer("", False, 0.0, 0.0, 1, 0.0, rating, False)
    score = world.check_score(request, answer)
    verdict = check_answer(CheckRule(), CheapAnswer("stop", 1, score))
    return verdict is CheckVerdict.PASSED


def _plan(
    world: World,
    class_index: int,
    name: str,
    costs: list[float],
    ratings: list[float],
    firsts: list[float],
) -> FixedPlan:
    work_class = world.profile.cfg.classes[class_index]
    quality = float(np.mean(ratings))
    meets_latency = float(np.percentile(firsts, 95)) <= work_class.first_token_s
    meets = quality >= work_class.quality_target and meets_latency
    return FixedPlan(name, float(np.mean(costs)), quality, meets)


def _first_s(world: World, request: Request, version: str) -> float:
    """Return the time to the first token, without queues, as in ``World.answer``."""
    behaviour = world.pools[version].behaviour
    return behaviour.first_s + request.prompt_tokens * 2e-5


def _total_s(world: World, request: Request, version: str) -> float:
    behaviour = world.pools[version].behaviour
    tokens = request.output_tokens * behaviour.output_factor
    return _first_s(world, request, version) + tokens * behaviour.token_s
