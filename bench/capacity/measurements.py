"""Page sections that show the results of the control measurement."""

from bench.capacity.figures import measured
from bench.capacity.text import wrap
from bench.capacity.units import Units, window
from bench.control.report import Report
from bench.control.windows import Scope

MILLI = 1000


def measured_section(report: Report) -> str:
    """Return the section with the results for each fleet size."""
    rows = [
        "| nodes | regions | idle CPU of a node alone | idle calls/s | idle KB/s "
        "| links | change on last node | frozen node known | killed node known "
        "| false deaths under 50% busy loop |",
        "|" + " ---: |" * 10,
    ]
    for size in report.sizes:
        idle, alone = window(size, "idle"), window(size, "idle", Scope.ALONE)
        rows.append(
            f"| {size.nodes} | {size.regions} | {100 * alone.cpu_s:.2f}% "
            f"| {idle.calls_per_s:.1f} | {idle.bytes_per_s / 1000:.1f} "
            f"| {idle.links:.1f} | {MILLI * max(size.change_to_last_s):.0f} ms "
            f"| {size.frozen_known_dead_s:.2f} s | {size.killed_known_dead_s:.2f} s "
            f"| {sum(size.false_deaths.values())} |"
        )
    return (
        "## Measured\n\n"
        + wrap(
            "All figures of this table are (m). A call counts at the node that makes "
            "it and at the one that serves it. The change is the slowest of "
            f"{len(report.sizes[0].change_to_last_s)}; known dead means by all others. "
            f"Windows of {report.window_s:.0f} s, one run a size, on a machine that "
            "did other work too."
        )
        + "\n\n"
        + "\n".join(rows)
    )


def slopes_section(report: Report, u: Units) -> str:
    """Return the section with the fitted lines and the costs by cause."""
    rows = [
        "| figure | at no nodes | a node more | unit | residual (rms) | points |",
        "| --- | ---: | ---: | --- | ---: | ---: |",
    ]
    for line in report.lines:
        rows.append(
            f"| {line.name} | {line.intercept:.3g} | {line.slope:.3g} | {line.unit} "
            f"| {measured(line.residual).show('{:.2g}')} | {line.points} |"
        )
    causes = [
        ("a node with nothing to do", f"{MILLI * u.node_cpu_s:.2f} ms CPU a second"),
        ("a call made or served", f"{1e6 * u.call_cpu_s:.0f} us CPU"),
        ("a kilobyte sent or received", f"{1e6 * u.kilobyte_cpu_s:.0f} us CPU"),
        ("residual (rms) of these three", f"{MILLI * u.cpu_residual_s:.2f} ms/s"),
        ("a change of 2 KB, at each node", f"{u.change_bytes / 1000:.1f} KB"),
        ("an entry of 200 B, at each node", f"{u.entry_bytes / 1000:.2f} KB"),
        ("a restart, at each node", f"{u.restart_bytes / 1000:.1f} KB"),
        ("copies of an entry a node sends", f"{u.copies:.2f}"),
        ("one HTTP read, at its client", f"{1e6 * u.poll_cpu_s:.0f} us CPU"),
    ]
    listed = "\n".join(f"| {name} | {value} (m) |" for name, value in causes)
    return (
        "## Slopes\n\nStraight lines through the fleets with one region:\n\n"
        + "\n".join(rows)
        + "\n\n"
        + wrap(
            "Links rise to a bound: the rings' four, and calls and probes that have "
            "not fallen idle. Costs by cause follow. CPU is fitted over all windows "
            "of nodes alone in their process, so it holds the cost of waking a process "
            "that does nothing else, and is an upper bound for one that serves traffic."
        )
        + "\n\n| cause | cost |\n| --- | ---: |\n"
        + listed
    )


def described_section(report: Report) -> str:
    """Return the section with the costs measured without running nodes."""
    rows = [
        "| members | regions | neighbours anew | owners of a key | heard share "
        "| a member takes | steps of a push, most | links between regions |",
        "|" + " ---: |" * 8,
    ]
    for pure in report.pure:
        rows.append(
            f"| {pure.members} | {pure.regions} | {MILLI * pure.refresh_s:.2f} ms "
            f"| {MILLI * pure.owners_s:.2f} ms | {1e6 * pure.heard_fraction_s:.0f} us "
            f"| {pure.bytes_per_member:.0f} B | {pure.steps_most} "
            f"| {pure.cross_region_links} |"
        )
    return (
        "## Measured on a described fleet\n\n"
        + wrap(
            "The pure parts run with as many members as the target has, without their "
            "processes. All (m); the first two arise when the members change and are "
            "cached between."
        )
        + "\n\n"
        + "\n".join(rows)
    )
