"""Measure each fleet size, fit lines through the results and print them."""

import argparse
import asyncio
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec

from bench.control.cluster import Shape
from bench.control.fit import Line, Plane, fit_line, fit_plane
from bench.control.inprocess import InProcessReport, measure_in_process
from bench.control.measure import SizeReport, measure
from bench.control.windows import Scope, Window

NODES_ALONE = 3  # nodes with a process of their own

# The largest fleet is measured with several regions too, if it has this many nodes.
MIN_NODES_FOR_REGIONS = 24
REGIONS = 4
REGIONAL_FAILURE_DOMAINS = 8

# Members, failure domains and regions of the measurements without running nodes.
IN_PROCESS_SHAPES = ((48, 3, 1), (136, 3, 1), (950, 16, 7))


@dataclass(frozen=True)
class Report:
    """All results and the lines fitted through them.

    ``sizes`` are the fleets that were run, ``pure`` the measurements without running
    nodes; stored reports have it under this name. ``cpu`` is the CPU time of a node as
    a model of its calls and bytes.
    """

    window_s: float
    sizes: tuple[SizeReport, ...]
    pure: tuple[InProcessReport, ...]
    lines: tuple[Line, ...]
    cpu: Plane


def run(args: argparse.Namespace) -> int:
    """Measure each size, print or write the report and return the exit status."""
    report = asyncio.run(_run(args))
    data = msgspec.json.format(msgspec.json.encode(asdict(report)), indent=1) + b"\n"
    if args.out:
        Path(args.out).write_bytes(data)
    if args.json:
        sys.stdout.buffer.write(data)
    else:
        _print(report)
    return 0


async def _run(args: argparse.Namespace) -> Report:
    sizes = []
    for shape in _shapes([int(n) for n in args.nodes.split(",")]):
        progress = f"{shape.nodes} nodes, {shape.regions} region(s) ..."
        print(progress, file=sys.stderr, flush=True)
        sizes.append(await measure(shape, args.window_s, args.seed))
    pure = tuple(measure_in_process(*shape) for shape in IN_PROCESS_SHAPES)
    return Report(args.window_s, tuple(sizes), pure, _lines(sizes), _cpu(sizes))


def _shapes(counts: list[int]) -> list[Shape]:
    shapes = [Shape(count, nodes_alone=min(NODES_ALONE, count)) for count in counts]
    largest = max(counts)
    if largest >= MIN_NODES_FOR_REGIONS:
        shapes.append(
            Shape(largest, REGIONAL_FAILURE_DOMAINS, REGIONS, nodes_alone=NODES_ALONE)
        )
    return shapes


def _lines(sizes: list[SizeReport]) -> tuple[Line, ...]:
    single_region = [size for size in sizes if size.regions == 1]
    counts = [size.nodes for size in single_region]
    idle = [_find_window(size, Scope.ALL) for size in single_region]
    alone = [_find_window(size, Scope.ALONE) for size in single_region]

    def line(name: str, unit: str, values: list[float]) -> Line:
        return fit_line(name, "nodes", unit, counts, values)

    return (
        line("idle CPU", "core/node", [w.cpu_s for w in alone]),
        line("idle calls", "1/s/node", [w.calls_per_s for w in idle]),
        line("idle bytes", "B/s/node", [w.bytes_per_s for w in idle]),
        line("links", "links/node", [w.links for w in idle]),
        line("stored entries", "B/node", [s.stored_bytes for s in single_region]),
        line(
            "change to last node", "s", [max(s.change_to_last_s) for s in single_region]
        ),
        line("frozen node known", "s", [s.frozen_known_dead_s for s in single_region]),
        line("killed node known", "s", [s.killed_known_dead_s for s in single_region]),
    )


def _cpu(sizes: list[SizeReport]) -> Plane:
    windows = [w for size in sizes for w in size.windows if w.scope is Scope.ALONE]
    rows = [(1.0, w.calls_per_s, w.bytes_per_s / 1000) for w in windows]
    causes = ("node", "call", "kilobyte")
    return fit_plane("CPU", "s", causes, rows, [w.cpu_s for w in windows])


def _find_window(size: SizeReport, scope: Scope, name: str = "idle") -> Window:
    found = (w for w in size.windows if w.name == name and w.scope is scope)
    return next(found)


def _print(report: Report) -> None:
    head = ("nodes", "regions", "window", "scope", "CPU %", "calls/s", "B/s", "links")
    print(("{:>9}" * len(head)).format(*head))
    for size in report.sizes:
        for w in size.windows:
            print(
                f"{w.nodes:9}{w.regions:9}{w.name:>9}{w.scope:>9}{100 * w.cpu_s:9.2f}"
                f"{w.calls_per_s:9.1f}{w.bytes_per_s:9.0f}{w.links:9.1f}"
            )
    for size in report.sizes:
        print(
            f"{size.nodes} nodes, {size.regions} region(s): a change is on the last "
            f"node after {max(size.change_to_last_s):.3f} s at most; a frozen node is "
            f"known dead after {size.frozen_known_dead_s:.2f} s, back after "
            f"{size.frozen_back_s:.2f} s; a killed one {size.killed_known_dead_s:.2f} "
            f"s; false deaths {size.false_deaths}; a call takes "
            f"{1000 * size.call_s:.2f} ms"
        )
    for line in report.lines:
        residual = "none" if line.residual is None else f"{line.residual:.2g}"
        print(
            f"{line.name}: {line.intercept:.4g} + {line.slope:.4g} a node "
            f"({line.unit}), residual {residual}"
        )
    for pure in report.pure:
        print(
            f"{pure.members} members without running nodes: refresh "
            f"{1000 * pure.refresh_s:.2f} ms, owners {1000 * pure.owners_s:.2f} ms, "
            f"heard fraction {1e6 * pure.heard_fraction_s:.0f} us, "
            f"{pure.bytes_per_member:.0f} B a member, a push needs "
            f"{pure.steps_mean:.1f} steps, {pure.steps_most} at most"
        )
    slopes = zip(report.cpu.causes, report.cpu.slopes, strict=True)
    print("CPU:", ", ".join(f"{1e6 * s:.0f} us a {c}" for c, s in slopes), end="")
    print(f", residual {1e6 * report.cpu.residual:.0f} us")
