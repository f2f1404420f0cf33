"""Run every policy in every regime over many seeds and check the bounds."""

import argparse
from dataclasses import asdict, dataclass, fields

from bench.policy.cost import DecisionCost, decision_costs
from bench.policy.hindsight import FixedPlan, best_fixed_plans
from bench.policy.measures import (
    Interval,
    RunMeasures,
    Timeline,
    interval,
    measure,
    timeline,
)
from bench.policy.profiles import PROFILES, Profile
from bench.policy.regimes import REGIMES, Regime
from bench.policy.simulation import POLICIES, ROUTER, Simulation

GENERATOR = "numpy PCG64"
DEFAULT_LENGTH_S = 1800.0
# Bounds on the router's own policy: cost relative to the best fixed plan, answers of a
# degraded version before it is cut, and share of runs that cut a healthy version.
MAX_COST_RATIO = 1.10
MAX_DEGRADED_ANSWERS = 50
MAX_HEALTHY_CUT_SHARE = 0.01


@dataclass(frozen=True)
class PolicyReport:
    """Results of a policy in a regime: all measures, and the first run over time.

    ``measures`` has an interval for each field of ``RunMeasures``.
    """

    policy: str
    regime: str
    measures: dict[str, Interval]
    first_run: Timeline


@dataclass(frozen=True)
class BoundReport:
    """A bound in a regime, with the value that the router's policy reached.

    In the names of bounds and measures, a turned version is one that has degraded.
    """

    bound: str
    regime: str
    met: bool
    value: float
    limit: float


@dataclass(frozen=True)
class Report:
    """All results of one deployment profile."""

    profile: str
    first_seed: int
    seeds: int
    length_s: float
    generator: str
    policies: tuple[PolicyReport, ...]
    bounds: tuple[BoundReport, ...]
    decision_costs: tuple[DecisionCost, ...]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of the comparison, except ``--json``."""
    parser.add_argument("--profile", choices=tuple(PROFILES), default="guanacaste")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=20, help="number of seeds")
    parser.add_argument("--regime", choices=tuple(REGIMES), action="append")
    parser.add_argument("--policy", choices=POLICIES, action="append")
    parser.add_argument("--length-s", type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument("--plot", metavar="FILE.png", help="draw the results")


def run(args: argparse.Namespace) -> Report:
    """Run the comparison that the options describe and return its report."""
    profile = PROFILES[args.profile]
    regimes = [REGIMES[name] for name in args.regime or REGIMES]
    policies = tuple(args.policy or POLICIES)
    seeds = range(args.seed, args.seed + args.seeds)
    reports = []
    for regime in regimes:
        fixed_plans = {
            seed: best_fixed_plans(profile, regime, seed, args.length_s)
            for seed in seeds
        }
        for policy in policies:
            reports.append(_report(profile, regime, policy, fixed_plans, args.length_s))
    return Report(
        profile=profile.name,
        first_seed=args.seed,
        seeds=args.seeds,
        length_s=args.length_s,
        generator=GENERATOR,
        policies=tuple(reports),
        bounds=tuple(_bounds(reports)),
        decision_costs=decision_costs(),
    )


def table(report: Report) -> str:
    """Return the report as a text table."""
    lines = [f"profile {report.profile}, {report.seeds} seeds, {report.generator}"]
    lines.append(
        f"{'regime':13s}{'policy':18s}{'cost/best':>16s}{'quality-target':>18s}"
        f"{'first p95':>11s}{'total p95':>11s}{'in limit':>9s}{'exposed':>9s}"
        f"{'turned':>8s}{'bad':>7s}"
    )
    for policy_report in report.policies:
        lines.append(_row(policy_report))
    lines.append("* no fixed plan meets quality and latency in most of these runs")
    lines.append("bounds:")
    for bound in report.bounds:
        state = "met" if bound.met else "NOT MET"
        lines.append(
            f"  {bound.regime:13s}{bound.bound:32s}{bound.value:10.4f}"
            f" limit {bound.limit:8.4f} {state}"
        )
    for cost in report.decision_costs:
        lines.append(
            f"  {cost.versions:5d} versions: {cost.decision_us:.1f} us a decision, "
            f"{cost.table_ms:.1f} ms a table"
        )
    return "\n".join(lines)


def as_json(report: Report) -> dict:
    """Return the report as a mapping of values that JSON can hold."""
    return asdict(report)


def _report(
    profile: Profile,
    regime: Regime,
    policy: str,
    fixed_plans: dict[int, tuple[FixedPlan, FixedPlan]],
    length_s: float,
) -> PolicyReport:
    """Run a policy with every seed; ``fixed_plans`` has the best ones by seed."""
    runs = []
    first_run = None
    for seed, fixed in fixed_plans.items():
        simulation = Simulation(profile, regime, policy, seed, length_s)
        result = simulation.run()
        first_run = first_run or timeline(result, length_s)
        runs.append(measure(simulation, result, fixed))
    names = [field.name for field in fields(RunMeasures)]
    measures = {
        name: interval([getattr(run_measures, name) for run_measures in runs])
        for name in names
    }
    return PolicyReport(policy, regime.name, measures, first_run)


def _bounds(reports: list[PolicyReport]) -> list[BoundReport]:
    found = []
    for report in reports:
        if report.policy == ROUTER:
            found += _regime_bounds(report.regime, report.measures)
    return found


def _regime_bounds(name: str, measures: dict[str, Interval]) -> list[BoundReport]:
    regime = REGIMES[name]
    surplus = measures["quality_surplus"].mean
    ratio = measures["cost_ratio"].mean
    bounds = [
        BoundReport("mean quality over target", name, surplus >= 0, surplus, 0.0),
    ]
    if measures["fixed_meets"].mean > 0.5:
        met = ratio <= MAX_COST_RATIO
        bounds.append(
            BoundReport("cost over best fixed plan", name, met, ratio, MAX_COST_RATIO)
        )
    if regime.roll_out:
        bounds += _roll_out_bounds(regime, measures)
    return bounds


def _roll_out_bounds(
    regime: Regime, measures: dict[str, Interval]
) -> list[BoundReport]:
    # The limits are the same in all profiles.
    limit = PROFILES["guanacaste"].cfg.classes[0].max_exposure
    unrated_limit = PROFILES["guanacaste"].cfg.roll_outs[0].max_unrated
    share = measures["worst_exposed_share"].greatest
    unrated = measures["max_unrated"].greatest
    healthy = measures["cut_healthy"].mean
    bounds = [
        BoundReport("worst exposed share", regime.name, share <= limit, share, limit),
        BoundReport(
            "most unrated answers",
            regime.name,
            unrated <= unrated_limit,
            unrated,
            unrated_limit,
        ),
        BoundReport(
            "healthy versions cut",
            regime.name,
            healthy <= MAX_HEALTHY_CUT_SHARE,
            healthy,
            MAX_HEALTHY_CUT_SHARE,
        ),
    ]
    if regime.new_version_degrades:
        degraded = measures["turned_answers"].greatest
        uncut = 1.0 - measures["cut"].mean
        bounds.append(
            BoundReport("turned versions left uncut", regime.name, uncut <= 0, uncut, 0)
        )
        bounds.append(
            BoundReport(
                "answers of a turned version",
                regime.name,
                degraded <= MAX_DEGRADED_ANSWERS,
                degraded,
                MAX_DEGRADED_ANSWERS,
            )
        )
    return bounds


def _row(report: PolicyReport) -> str:
    values = report.measures
    cost = values["cost_ratio"]
    quality = values["quality_surplus"]
    mark = " " if values["fixed_meets"].mean > 0.5 else "*"
    return (
        f"{report.regime:13s}{report.policy:18s}"
        f"{cost.mean:8.3f}{mark} ±{cost.half_width:5.3f}"
        f"{quality.mean:+11.4f} ±{quality.half_width:5.4f}"
        f"{values['first_p95_s'].mean:11.2f}{values['total_p95_s'].mean:11.2f}"
        f"{values['in_latency'].mean:9.4f}{values['exposed_share'].mean:9.4f}"
        f"{values['turned_answers'].mean:8.1f}{values['bad_delivered'].mean:7.1f}"
    )
