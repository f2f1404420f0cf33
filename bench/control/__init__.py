"""Measure the cost and speed of membership and dissemination between nodes.

Worker processes run the real peer code of many nodes on the loopback interface. Modules
are imported on first use, which keeps the memory of the workers small.
"""

import argparse


def run(args: argparse.Namespace) -> int:
    """Measure each fleet size, print the results and return the exit status.

    Prints a table, or JSON if ``args.json`` is set, and writes the JSON to the file
    ``args.out`` too if one is given.
    """
    from bench.control import report

    return report.run(args)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this measurement, except ``--json``, which the caller adds."""
    parser.add_argument(
        "--nodes", default="3,6,12,24,48", help="fleet sizes, separated by commas"
    )
    parser.add_argument("--window-s", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", help="file to write the report to as JSON")
