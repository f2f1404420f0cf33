"""Compute the measures of a run, and their means and intervals over seeds."""

import math
from dataclasses import dataclass
from itertools import pairwise

import numpy as np

from bench.policy.hindsight import FixedPlan
from bench.policy.simulation import RunResult, Simulation

STUDENT_T_95 = 2.09  # two-sided 95% quantile of Student's t for 20 seeds
TIMELINE_SLICES = 30


@dataclass(frozen=True)
class Interval:
    """Mean over seeds, half width of its 95% confidence interval, and the extremes."""

    mean: float
    half_width: float
    least: float
    greatest: float


@dataclass(frozen=True)
class RunMeasures:
    """The measures of one run.

    ``cost_micros`` is the mean cost of a request in micros and ``cost_ratio`` the cost
    relative to the best fixed plans; ``fixed_meets`` says whether these meet every
    target. ``quality_surplus`` is the mean rating minus the target, of the class where
    that is lowest. Times are from the arrival of a request to the first token or to the
    end. Shares are of all requests: ``in_latency`` is that within the limits of its
    class, ``exposed_share`` that on the new version, and ``worst_exposed_share`` the
    highest value of it during the run. ``max_unrated`` is the highest number of
    unrated answers of the new version. ``turned_answers`` counts the answers of a
    version after it has degraded, ``bad_delivered`` those of them that were delivered
    and rated below 0.2. ``cut`` says whether the new version was cut, ``cut_healthy``
    whether it was cut while it had not degraded. ``wasted_token_share`` relates the
    tokens of cheap answers that failed their check to the output tokens of all
    requests. ``class_moves`` relates the changes of version between successive requests
    of a class to their number, without requests that belong to a session.

    Yes and no are 1 and 0, so that means over runs are shares of runs.
    """

    cost_micros: float
    cost_ratio: float
    fixed_meets: float
    quality_surplus: float
    first_p50_s: float
    first_p95_s: float
    first_p99_s: float
    total_p50_s: float
    total_p95_s: float
    total_p99_s: float
    in_latency: float
    failed_share: float
    exposed_share: float
    worst_exposed_share: float
    max_unrated: float
    turned_answers: float
    bad_delivered: float
    cut: float
    cut_healthy: float
    wasted_token_share: float
    class_moves: float


def measure(
    simulation: Simulation, result: RunResult, fixed: tuple[FixedPlan, FixedPlan]
) -> RunMeasures:
    """Return the measures of a run; ``fixed`` has the best fixed plan of each class."""
    served = result.served
    firsts = np.array([outcome.first_s for outcome in served])
    totals = np.array([outcome.total_s for outcome in served])
    cost = sum(outcome.cost_micros for outcome in served)
    classes = simulation.world.profile.cfg.classes
    fixed_cost, surplus, in_latency = 0.0, math.inf, 0
    for index, work_class in enumerate(classes):
        class_served = [
            outcome for outcome in served if outcome.request.class_index == index
        ]
        fixed_cost += fixed[index].cost_micros * len(class_served)
        mean = float(np.mean([outcome.rating for outcome in class_served]))
        surplus = min(surplus, mean - work_class.quality_target)
        in_latency += sum(
            outcome.first_s <= work_class.first_token_s
            and outcome.total_s <= work_class.deadline_s
            for outcome in class_served
        )
    return RunMeasures(
        cost_micros=cost / len(served),
        cost_ratio=cost / fixed_cost,
        fixed_meets=float(all(plan.meets for plan in fixed)),
        quality_surplus=surplus,
        first_p50_s=float(np.percentile(firsts, 50)),
        first_p95_s=float(np.percentile(firsts, 95)),
        first_p99_s=float(np.percentile(firsts, 99)),
        total_p50_s=float(np.percentile(totals, 50)),
        total_p95_s=float(np.percentile(totals, 95)),
        total_p99_s=float(np.percentile(totals, 99)),
        in_latency=in_latency / len(served),
        failed_share=sum(outcome.failed for outcome in served) / len(served),
        exposed_share=sum(outcome.exposed for outcome in served) / len(served),
        worst_exposed_share=result.worst_share,
        max_unrated=result.max_unrated,
        turned_answers=result.turned_answers,
        bad_delivered=sum(
            outcome.from_degraded_version and outcome.rating < 0.2 for outcome in served
        ),
        cut=float(result.cut),
        cut_healthy=float(result.cut_healthy),
        wasted_token_share=_wasted_share(served),
        class_moves=_version_changes_per_request(served),
    )


@dataclass(frozen=True)
class Timeline:
    """One run in time slices: middle, first token p95 and mean rating of each."""

    at_s: tuple[float, ...]
    first_p95_s: tuple[float, ...]
    rating: tuple[float, ...]


def timeline(result: RunResult, length_s: float) -> Timeline:
    """Return a run in slices of equal length, without those that have no request."""
    slices = [[] for _ in range(TIMELINE_SLICES)]
    for outcome in result.served:
        slices[int(outcome.request.arrived_at / length_s * TIMELINE_SLICES)].append(
            outcome
        )
    width_s = length_s / TIMELINE_SLICES
    filled = [(i, items) for i, items in enumerate(slices) if items]
    return Timeline(
        at_s=tuple((i + 0.5) * width_s for i, _ in filled),
        first_p95_s=tuple(
            float(np.percentile([outcome.first_s for outcome in items], 95))
            for _, items in filled
        ),
        rating=tuple(
            float(np.mean([outcome.rating for outcome in items])) for _, items in filled
        ),
    )


def interval(values: list[float]) -> Interval:
    """Return the mean of the values with its 95% confidence interval.

    The quantile is that for 20 values, whatever their number.
    """
    array = np.array(values)
    spread = float(array.std(ddof=1)) if len(array) > 1 else 0.0
    half_width = STUDENT_T_95 * spread / math.sqrt(len(array))
    least, greatest = float(array.min()), float(array.max())
    return Interval(float(array.mean()), half_width, least, greatest)


def _wasted_share(served) -> float:
    output = sum(outcome.request.output_tokens for outcome in served)
    return sum(outcome.wasted_tokens for outcome in served) / max(1, output)


def _version_changes_per_request(served) -> float:
    """Return the version changes between successive requests without a session.

    The result is relative to the number of these requests.
    """
    alone = [outcome for outcome in served if not outcome.request.session]
    changes = 0
    for index in (0, 1):
        class_served = [
            outcome.version for outcome in alone if outcome.request.class_index == index
        ]
        changes += sum(
            previous != following for previous, following in pairwise(class_served)
        )
    return changes / max(1, len(alone))
