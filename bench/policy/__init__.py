"""Compare routing policies on queue models of versions, in virtual time."""

import argparse
import json

from bench.policy.bench import add_arguments, as_json, table
from bench.policy.bench import run as measure

__all__ = ["add_arguments", "measure", "run"]


def run(args: argparse.Namespace) -> int:
    """Run the comparison, print its report and return the exit status."""
    report = measure(args)
    if args.plot:
        from bench.policy.plots import draw

        draw(report, args.plot)
    print(json.dumps(as_json(report), indent=1) if args.json else table(report))
    return 0
