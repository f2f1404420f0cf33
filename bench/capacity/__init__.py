"""Write docs/CAPACITY.md from the reports of the other measurements."""

import argparse
import sys
from pathlib import Path


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options for the reports to read and the page to write."""
    parser.add_argument("--control", required=True, help="JSON report of bench control")
    parser.add_argument("--path", help="JSON report of bench path")
    parser.add_argument("--policy", help="JSON report of bench policy")
    parser.add_argument("--out", help="page to write, standard output if absent")


def run(args: argparse.Namespace) -> int:
    """Write the page and return the exit status."""
    from bench.capacity.page import render
    from bench.capacity.roles import roles
    from bench.capacity.units import PathReport, PolicyReport, load, units
    from bench.control.report import Report

    report = load(args.control, Report)
    path = load(args.path, PathReport) if args.path else PathReport()
    policy = load(args.policy, PolicyReport) if args.policy else PolicyReport()
    costs = units(report)
    page = render(report, costs, roles(costs, path, policy))
    if args.out:
        Path(args.out).write_text(page)
    else:
        sys.stdout.write(page)
    return 0
