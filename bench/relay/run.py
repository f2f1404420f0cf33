"""Command that simulates a load on the relay and prints what callers got."""

import argparse
import json
from dataclasses import asdict

from bench.relay.simulation import Load, simulate


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options that describe the load."""
    parser.add_argument("--per-s", type=float, default=20.0, help="calls a second")
    parser.add_argument("--engines", type=int, default=5, help="engines that answer")
    parser.add_argument("--nodes", type=int, default=6, help="nodes that send")
    parser.add_argument(
        "--length-s", type=float, default=10.0, help="length of the load"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the load")


def run(options: argparse.Namespace) -> int:
    """Simulate one load, print its outcome and return the exit status."""
    load = Load(
        options.per_s, options.engines, options.nodes, options.length_s, options.seed
    )
    outcome = asdict(simulate(load))
    if options.json:
        print(json.dumps(outcome))
    else:
        for name, value in outcome.items():
            print(f"{name:16} {value}")
    return 0
