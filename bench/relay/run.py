"""Play loads through the relay's decisions and print what callers got."""

import argparse
import json
from dataclasses import asdict

from bench.relay.simulation import Load, play


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the load."""
    parser.add_argument("--per-s", type=float, default=20.0, help="calls a second")
    parser.add_argument("--engines", type=int, default=5, help="engines that answer")
    parser.add_argument("--nodes", type=int, default=6, help="nodes that send")
    parser.add_argument(
        "--length-s", type=float, default=10.0, help="length of the load"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the load")


def run(options: argparse.Namespace) -> int:
    """Play one load."""
    load = Load(
        options.per_s, options.engines, options.nodes, options.length_s, options.seed
    )
    outcome = asdict(play(load))
    if options.json:
        print(json.dumps(outcome))
    else:
        for name, value in outcome.items():
            print(f"{name:16} {value}")
    return 0
