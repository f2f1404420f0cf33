"""Run an example deployment on loopback with simulated endpoints."""

import argparse

from knapweedhinge.core.management.arguments import positive_int
from knapweedhinge.core.management.base import BaseCommand

EXAMPLES = ("guanacaste", "binh-minh")
DEFAULT_NODES = 3


class Command(BaseCommand):
    """Run nodes, simulated endpoints and sample requests in one process."""

    help = "Run nodes, simulated endpoints and sample requests on loopback."
    example = "knapweedhinge demo --example binh-minh --serve"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the example to run and how to run it."""
        parser.add_argument(
            "--example",
            choices=EXAMPLES,
            default=EXAMPLES[0],
            help="deployment to run (default: %(default)s)",
        )
        parser.add_argument(
            "--serve",
            action="store_true",
            help="print the addresses as one JSON line and run until stopped",
        )
        parser.add_argument(
            "--nodes",
            type=positive_int,
            default=DEFAULT_NODES,
            metavar="N",
            help="nodes to run (default: %(default)s)",
        )
        parser.add_argument(
            "--seed",
            type=int,
            default=None,
            help="seed of all random choices (default: the deployment's)",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Run the demo."""
        from knapweedhinge.demo import run

        return run(options)
