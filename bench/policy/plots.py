"""Plot a report: cost against quality, and latency over time, by regime."""

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from matplotlib.ticker import NullFormatter, ScalarFormatter

from bench.policy.bench import PolicyReport, Report
from bench.policy.simulation import POLICIES

MARKERS = dict(zip(POLICIES, "o^vsDP*", strict=True))
MAX_PANELS_PER_ROW = 4


def draw(report: Report, path: str) -> None:
    """Write a PNG with a cost panel and a latency panel for each regime."""
    regimes = list(dict.fromkeys(item.regime for item in report.policies))
    columns = min(MAX_PANELS_PER_ROW, len(regimes))
    rows = -(-len(regimes) // columns)
    figure, axes = plt.subplots(
        2 * rows, columns, figsize=(4 * columns, 6 * rows), squeeze=False
    )
    for number, regime in enumerate(regimes):
        row, column = divmod(number, columns)
        regime_reports = [item for item in report.policies if item.regime == regime]
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
    for item in reports:
        cost = item.measures["cost_ratio"]
        quality = item.measures["quality_surplus"]
        axis.errorbar(
            cost.mean,
            quality.mean,
            xerr=cost.half_width,
            yerr=quality.half_width,
            marker=MARKERS[item.policy],
            label=item.policy,
            linestyle="",
        )
    axis.axhline(0.0, color="grey", linewidth=0.8)
    axis.axvline(1.1, color="grey", linewidth=0.8, linestyle=":")
    axis.set_xscale("log")
    axis.xaxis.set_major_formatter(ScalarFormatter())
    axis.xaxis.set_minor_formatter(NullFormatter())
    axis.set_title(regime, fontsize=9)
    axis.set_xlabel("cost over best fixed plan", fontsize=7)
    axis.set_ylabel("rating over target", fontsize=7)


def _draw_latency(axis, regime: str, reports: list[PolicyReport]) -> None:
    for item in reports:
        run = item.first_run
        axis.plot(run.at_s, run.first_p95_s, marker=MARKERS[item.policy], markersize=3)
    axis.set_yscale("log")
    axis.set_title(f"{regime}: first seed over time", fontsize=9)
    axis.set_xlabel("seconds", fontsize=7)
    axis.set_ylabel("first token p95, seconds", fontsize=7)
