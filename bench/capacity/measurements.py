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
        "| nodes | regions | CPU of an idle node alone in its process | idle calls/s "
        "| idle KB/s | open links of a node | change on last node "
        "| frozen node seen as dead | killed node seen as dead "
        "| false deaths with a process 50% busy |",
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
            "All figures of this table are (m). CPU, calls, bytes and links are means "
            "per node. A call counts at the node that makes it and at the one that "
            "serves it. The change is the slowest of "
            f"{len(report.sizes[0].change_to_last_s)}. A frozen (suspended) or killed "
            "node is seen as dead once all other nodes see it so. False deaths are "
            "nodes that others saw as dead while one process was busy half of the "
            f"time. Windows of {report.window_s:.0f} s, one run for each size of "
            "fleet, on a machine that did other work too."
        )
        + "\n\n"
        + "\n".join(rows)
    )


def slopes_section(report: Report, u: Units) -> str:
    """Return the section with the fitted lines and the costs by cause."""
    rows = [
        "| figure | intercept | slope per node | unit | residual (rms) | points |",
        "| --- | ---: | ---: | --- | ---: | ---: |",
    ]
    for line in report.lines:
        rows.append(
            f"| {line.name} | {line.intercept:.3g} | {line.slope:.3g} | {line.unit} "
            f"| {measured(line.residual).show('{:.2g}')} | {line.points} |"
        )
    causes = [
        ("a node without calls", f"{MILLI * u.node_cpu_s:.2f} ms CPU a second"),
        ("a call made or served", f"{1e6 * u.call_cpu_s:.0f} us CPU"),
        ("a kilobyte sent or received", f"{1e6 * u.kilobyte_cpu_s:.0f} us CPU"),
        ("residual (rms) of these three", f"{MILLI * u.cpu_residual_s:.2f} ms/s"),
        (
            "traffic of a change of 2 KB, at each node",
            f"{u.change_bytes / 1000:.1f} KB",
        ),
        (
            "traffic of an entry of 200 B, at each node",
            f"{u.entry_bytes / 1000:.2f} KB",
        ),
        ("traffic of a restart, at each node", f"{u.restart_bytes / 1000:.1f} KB"),
        ("times that a node passes on an entry", f"{u.copies:.2f}"),
        ("an HTTP read, at its client", f"{1e6 * u.poll_cpu_s:.0f} us CPU"),
    ]
    listed = "\n".join(f"| {name} | {value} (m) |" for name, value in causes)
    return (
        "## Slopes\n\nLines fitted to the measured fleets with one region. A frozen or "
        "killed node is known\nonce all other nodes see it as dead.\n\n"
        + "\n".join(rows)
        + "\n\n"
        + wrap(
            "The number of links has an upper bound: the four to neighbours in the "
            "rings, and those of calls and probes that were not idle for long enough "
            "to be closed. The next table lists costs by cause. CPU is fitted over all "
            "windows of nodes alone in their process, so it includes the cost of "
            "waking a process that does nothing else, and is an upper bound for one "
            "that serves traffic."
        )
        + "\n\n| cause | cost |\n| --- | ---: |\n"
        + listed
    )


def in_process_section(report: Report) -> str:
    """Return the section with the costs measured without running nodes."""
    rows = [
        "| members | regions | update after a membership change "
        "| choice of the nodes for a role | computation of the share heard from "
        "| memory per member | most hops of a push "
        "| links between regions, counted at both ends |",
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
        "## Measured without running nodes\n\n"
        + wrap(
            "The code of membership and dissemination was run in one process, with as "
            "many members as the target has but without their nodes. All figures are "
            "(m), and times are CPU times. The update computes the neighbours of a "
            "node and the beacons that it publishes, and clears its choices of nodes "
            "for roles; the update and these choices are needed only when the members "
            "change, and their results are cached in between. The share heard from is "
            "the fraction of the expected members that a node still hears from. Hops "
            "are counted until a pushed entry has reached all members."
        )
        + "\n\n"
        + "\n".join(rows)
    )
