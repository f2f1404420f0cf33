"""Plot a report: cost against quality, and latency over time, by regime."""

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from matplotlib.ticker import NullFormatter, ScalarFormatter

from bench.policy.bench import PolicyReport, Report
from bench.policy.simulation import POLICIES

# Marker of each policy in the plots.
MARKERS = dict(zip(POLICIES, "o^vsDP*", strict=True))
MAX_PANELS_PER_ROW = 4


def draw(report: Report, path: str) -> None:
    """Write a PNG with a cost panel and a latency panel for each regime."""
    regimes = list(
        dict.fromkeys(policy_report.regime for policy_report in report.policies)
    )
    columns = min(MAX_PANELS_PER_ROW, len(regimes))
    rows = -(-len(regimes) // columns)
    figure, axes = plt.subplots(
        2 * rows, columns, figsize=(4 * columns, 6 * rows), squeeze=False
    )
    for number, regime in enumerate(regimes):
        row, column = divmod(number, columns)
        regime_reports = [
            policy_report
            for policy_report in report.policies
            if policy_report.regime == regime
        ]
        _draw_cost(axes[row][column], regime, regime_reports)
        _draw_latency(axes[rows + row][column], regime, regime_reports)
    for axis in axes.flat:
        axis.set_visible(axis.has_data())
    axes[0][0].legend(fontsize=6)
    figure.suptitle(f"{report.profile}, {report.seeds} seeds of {report.length_s:g} s")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _draw_cost(axis, regime: str, reports: list[PolicyReport]) -> None:
    for report in reports:
        cost = report.measures["cost_ratio"]
        quality = report.measures["quality_surplus"]
        axis.errorbar(
            cost.mean,
            quality.mean,
            xerr=cost.half_width,
            yerr=quality.half_width,
            marker=MARKERS[report.policy],
            label=report.policy,
            linestyle="",
        )
    axis.axhline(0.0, color="grey", linewidth=0.8)
    # The bound MAX_COST_RATIO of bench.policy.bench.
    axis.axvline(1.1, color="grey", linewidth=0.8, linestyle=":")
    axis.set_xscale("log")
    axis.xaxis.set_major_formatter(ScalarFormatter())
    axis.xaxis.set_minor_formatter(NullFormatter())
    axis.set_title(regime, fontsize=9)
    axis.set_xlabel("cost over best fixed plan", fontsize=7)
    axis.set_ylabel("rating over target", fontsize=7)


def _draw_latency(axis, regime: str, reports: list[PolicyReport]) -> None:
    for report in reports:
        run = report.first_run
        axis.plot(
            run.at_s, run.first_p95_s, marker=MARKERS[report.policy], markersize=3
        )
    axis.set_yscale("log")
    axis.set_title(f"{regime}: first seed over time", fontsize=9)
    axis.set_xlabel("seconds", fontsize=7)
    axis.set_ylabel("first token p95, seconds", fontsize=7)
