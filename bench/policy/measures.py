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
    """Mean over seeds, half width of its 95% interval, and the extreme values."""

    mean: float
    half_width: float
    least: float
    greatest: float


@dataclass(frozen=True)
class RunMeasures:
    """The measures of one run.

    ``cost_micros`` is the mean cost of a request and ``cost_ratio`` the cost relative
    to the best fixed plan. Shares are of all requests. ``turned_answers`` counts the
    answers of a version after it has degraded, ``bad_delivered`` the badly rated ones
    that were delivered. ``cut`` says whether the new version was cut, ``cut_healthy``
    whether that was before it degraded.
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
    """Return the measures of a run.

    ``quality_surplus`` is the mean rating minus the target, of the class where that is
    lowest; ``fixed_meets`` says whether a fixed plan meets every target in this run.
    """
    served = result.served
    firsts = np.array([item.first_s for item in served])
    totals = np.array([item.total_s for item in served])
    cost = sum(item.cost_micros for item in served)
    classes = simulation.world.profile.cfg.classes
    fixed_cost, surplus, in_latency = 0.0, math.inf, 0
    for index, work_class in enumerate(classes):
        class_served = [item for item in served if item.request.class_index == index]
        fixed_cost += fixed[index].cost_micros * len(class_served)
        mean = float(np.mean([item.rating for item in class_served]))
        surplus = min(surplus, mean - work_class.quality_target)
        in_latency += sum(
            item.first_s <= work_class.first_token_s
            and item.total_s <= work_class.deadline_s
            for item in class_served
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
        failed_share=sum(item.failed for item in served) / len(served),
        exposed_share=sum(item.exposed for item in served) / len(served),
        worst_exposed_share=result.worst_share,
        max_unrated=result.max_unrated,
        turned_answers=result.turned_answers,
        bad_delivered=sum(
            item.from_degraded_version and item.rating < 0.2 for item in served
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
    for item in result.served:
        slices[int(item.request.arrived_at / length_s * TIMELINE_SLICES)].append(item)
    width_s = length_s / TIMELINE_SLICES
    filled = [(i, items) for i, items in enumerate(slices) if items]
    return Timeline(
        at_s=tuple((i + 0.5) * width_s for i, _ in filled),
        first_p95_s=tuple(
            float(np.percentile([item.first_s for item in items], 95))
            for _, items in filled
        ),
        rating=tuple(
            float(np.mean([item.rating for item in items])) for _, items in filled
        ),
    )


def interval(values: list[float]) -> Interval:
    """Return the mean of the values with its 95% interval."""
    array = np.array(values)
    spread = float(array.std(ddof=1)) if len(array) > 1 else 0.0
    half_width = STUDENT_T_95 * spread / math.sqrt(len(array))
    least, greatest = float(array.min()), float(array.max())
    return Interval(float(array.mean()), half_width, least, greatest)


def _wasted_share(served) -> float:
    output = sum(item.request.output_tokens for item in served)
    return sum(item.wasted_tokens for item in served) / max(1, output)


def _version_changes_per_request(served) -> float:
    """Return the version changes between successive requests without a session.

    The result is relative to the number of these requests.
    """
    alone = [item for item in served if not item.request.session]
    changes = 0
    for index in (0, 1):
        class_served = [
            item.version for item in alone if item.request.class_index == index
        ]
        changes += sum(
            previous != following for previous, following in pairwise(class_served)
        )
    return changes / max(1, len(alone))
