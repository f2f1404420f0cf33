"""Run a measurement of the ``bench`` package."""

import argparse
import sys
from importlib import import_module
from pathlib import Path
from types import ModuleType

import knapweedhinge
from knapweedhinge.core.management.base import BaseCommand
from knapweedhinge.core.management.errors import CommandError

MEASUREMENTS = ("path", "policy", "control", "capacity", "relay")
PACKAGE = "bench"


class Command(BaseCommand):
    """Run a measurement, which needs a checkout of the repository."""

    help = "Measure a part of the system; needs a checkout of the repository."
    example = "knapweedhinge bench policy --profile guanacaste --seed 1 --json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the measurement's name; its module parses the other arguments."""
        parser.add_argument("measurement", choices=MEASUREMENTS, help="what to measure")
        parser.add_argument(
            "arguments",
            nargs=argparse.REMAINDER,
            help="arguments of the measurement; try MEASUREMENT --help",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Parse the measurement's arguments, run it and return its exit code."""
        module = _load(options.measurement)
        parser = argparse.ArgumentParser(
            prog=f"knapweedhinge bench {options.measurement}",
            description=module.__doc__,
        )
        parser.add_argument("--json", action="store_true", default=options.json)
        module.add_arguments(parser)
        try:
            arguments = parser.parse_args(options.arguments)
        except SystemExit as exc:
            return int(exc.code or 0)
        return module.run(arguments)


def _load(name: str) -> ModuleType:
    """Import a measurement from the directory that contains this package.

    Raise ``CommandError`` if there is no such module, as in an installed package.
    """
    root = str(Path(knapweedhinge.__file__).parents[1])
    if root not in sys.path:
        sys.path.insert(0, root)
    try:
        return import_module(f"{PACKAGE}.{name}")
    except ModuleNotFoundError as exc:
        if exc.name not in (PACKAGE, f"{PACKAGE}.{name}"):
            raise
        text = f"MEASUREMENT: {PACKAGE}.{name} is missing; run this in a checkout."
        raise CommandError(text) from exc
