"""Render docs/CAPACITY.md."""

from bench.capacity import target as t
from bench.capacity.assumptions import assumptions
from bench.capacity.budgets import changes_section, roles_section, sum_section
from bench.capacity.figures import Figure, FigureSource, derived, measured
from bench.capacity.measurements import (
    in_process_section,
    measured_section,
    slopes_section,
)
from bench.capacity.platform import platform_loads
from bench.capacity.role import Role
from bench.capacity.text import wrap
from bench.capacity.units import Units
from bench.control.report import Report

MS_PER_S = 1000


def render(report: Report, u: Units, roles: tuple[Role, ...]) -> str:
    """Return the text of the whole page."""
    parts = (
        _head(u),
        measured_section(report),
        slopes_section(report, u),
        in_process_section(report),
        roles_section(roles),
        sum_section(roles),
        _in_force(report, u),
        _platform(),
        changes_section(roles),
        _assumptions(),
    )
    return "\n\n".join(parts) + "\n"


def _head(u: Units) -> str:
    paragraphs = (
        "What each role of a node costs at the size the system is designed for: "
        f"{t.NODES} nodes in front of {t.REPLICAS:,} replicas in {t.REGIONS} regions "
        f"with {t.FAILURE_DOMAINS} failure domains, {t.REQUESTS_PER_S:,} requests and "
        f"{t.TOKENS_PER_S / 1e6:.0f} million tokens a second, {t.CHANGES_PER_DAY:,} "
        f"changes of configuration, {t.FAILURES_PER_DAY} failures and "
        f"{t.RESTARTS_PER_DAY} restarts of VMs a day.",
        f"For control a node may spend {100 * t.BUDGET_CPU:.1f}% of a core, "
        f"{t.BUDGET_MEMORY_BYTES // 2**20} MB and {t.BUDGET_BYTES_PER_S / 1000:.0f} KB "
        "a second, and a change must be in force everywhere within "
        f"{t.BUDGET_IN_FORCE_S:.0f} s.",
        "Every figure has a mark: **(m)** was measured, **(d)** is derived from "
        "measured and assumed ones, **(a)** is assumed. The largest fleet that was "
        f"run had **{u.largest} nodes**, on loopback on one machine; everything beyond "
        "it is extrapolation. Traffic is counted both ways, sent and received, with "
        "headers.",
        "This page is written by `python -m bench.control --json control.json` and "
        "then `python -m bench.capacity --control control.json --out "
        "docs/CAPACITY.md`; don't edit it by hand.",
    )
    return "# Capacity\n\n" + "\n\n".join(wrap(text) for text in paragraphs)


def _in_force(report: Report, u: Units) -> str:
    pure = max(report.pure, key=lambda pure_report: pure_report.members)
    hops = pure.steps_most * u.hop_s
    crossings = t.REGION_CROSSINGS * t.ONE_WAY_BETWEEN_REGIONS_S
    total = 0.5 + hops + crossings
    rows = (
        ("until a reader polls", Figure(0.5, FigureSource.ASSUMED)),
        (
            f"{pure.steps_most} hops (m) of a push, {MS_PER_S * u.hop_s:.0f} ms (m) "
            "each",
            derived(hops),
        ),
        ("two crossings between regions", Figure(crossings, FigureSource.ASSUMED)),
        ("in all", derived(total)),
    )
    listed = "\n".join(f"| {n} | {f.show('{:.2f}', 's')} |" for n, f in rows)
    return (
        "## Time until a change is in force\n\n"
        + wrap(
            "The time from the acceptance of a change until it has reached the last "
            f"node; the budget is {t.BUDGET_IN_FORCE_S:.0f} s. A push that fails is "
            "tried again; entries lost with a queue of pushes are repaired after 10 s "
            "on average. A node that receives neither the push nor the repair must "
            "refuse work once its stamp is too old, so that the bound holds for it too."
        )
        + "\n\n| part | time |\n| --- | ---: |\n"
        + listed
    )


def _platform() -> str:
    loads = platform_loads()
    rows = [
        "| cause | reads/s | writes/s | mechanism |",
        "| --- | ---: | ---: | --- |",
    ]
    for load in loads:
        rows.append(
            f"| {load.cause} | {load.reads_per_s:.2f} | {load.writes_per_s:.2f} "
            f"| {load.mechanism} |"
        )
    reads = sum(load.reads_per_s for load in loads)
    writes = sum(load.writes_per_s for load in loads)
    rows.append(f"| **all** | **{reads:.0f}** | **{writes:.0f}** | |")
    naive = t.NODES / 1.0
    return (
        "## Platform\n\n"
        + wrap(
            "All nodes together; all figures (d) from the periods in the settings and "
            f"assumed rates. The bounds are {t.BUDGET_PLATFORM_READS_PER_S:,} reads "
            f"and {t.BUDGET_PLATFORM_WRITES_PER_S} writes a second. If every node read "
            f"the list of VMs for itself once a second, that alone would be "
            f"{naive:.0f} reads a second (d); so the configuration readers must do it "
            "for all nodes."
        )
        + "\n\n"
        + "\n".join(rows)
    )


def _assumptions() -> str:
    rows = "\n".join(f"| {name} | {value} |" for name, value in assumptions())
    unmeasured = measured(None).show()
    return (
        "## Assumed\n\n| figure | value |\n| --- | ---: |\n"
        + rows
        + "\n\n"
        + wrap(
            f'Figures shown as "{unmeasured}" are missing in the given reports. Also '
            "not measured: delay and loss between regions, networks of more than one "
            "machine, a fleet beyond the largest named above, clocks that drift, and "
            "TLS."
        )
    )
