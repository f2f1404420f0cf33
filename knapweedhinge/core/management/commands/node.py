"""Run one node."""

import argparse
from pathlib import Path

from knapweedhinge.conf import load_node_settings
from knapweedhinge.core.checks import Subject, run_checks
from knapweedhinge.core.management.base import BaseCommand
from knapweedhinge.core.management.findings import raise_errors


class Command(BaseCommand):
    """Run one node until it receives a stop signal."""

    help = "Run one node until SIGINT or SIGTERM, then shut down gracefully."
    example = "knapweedhinge node --settings examples/guanacaste/node.json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the settings file."""
        parser.add_argument(
            "--settings",
            type=Path,
            required=True,
            metavar="FILE",
            help="settings of the node, JSON with comments",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Check the settings and run the node if no finding is an error."""
        settings = load_node_settings(options.settings)
        found = run_checks(Subject(node=settings))
        for finding in found:
            self.warn(f"{options.settings}: {finding}")
        raise_errors(str(options.settings), found)
        from knapweedhinge.node import run

        return run(settings)
