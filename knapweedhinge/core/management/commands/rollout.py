"""Start, advance, finish or roll back a roll-out."""

import argparse

from knapweedhinge.conf.changes import (
    AdvanceRollOut,
    Change,
    FinishRollOut,
    RollBackRollOut,
    StartRollOut,
)
from knapweedhinge.core.management.arguments import positive_int, share
from knapweedhinge.core.management.base import table
from knapweedhinge.core.management.client_commands import (
    ChangeCommand,
    items_of,
    read_configuration,
)
from knapweedhinge.core.management.errors import CommandError
from knapweedhinge.core.management.exit_codes import ExitCode

DEFAULT_MAX_UNRATED = 50  # most answers of the new version without a rating
LIST = "list"
# For each step, its required arguments: the label in errors and the parsed name.
REQUIRED = {
    "start": {
        "ID": "id",
        "--version": "version_id",
        "--stable": "stable",
        "--exposure": "exposure",
    },
    "advance": {"ID": "id", "--exposure": "exposure"},
    "finish": {"ID": "id"},
    "roll-back": {"ID": "id"},
    LIST: {},
}
COLUMNS = ("id", "version", "stable", "exposure", "state")


class Command(ChangeCommand):
    """Run one step of a roll-out, or list the roll-outs."""

    help = "Start, advance, finish or roll back a roll-out, or list them."
    example = (
        "knapweedhinge rollout --node 10.0.0.7:8080 start oak-large-4"
        " --version oak-large@4 --stable oak-large@3 --exposure 0.05"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the step and the arguments of all steps."""
        parser.add_argument("step", choices=tuple(REQUIRED), help="what to do")
        parser.add_argument("id", nargs="?", metavar="ID", help="the roll-out")
        parser.add_argument(
            "--version", dest="version_id", help="the new version (start)"
        )
        parser.add_argument("--stable", help="the version it may replace (start)")
        parser.add_argument(
            "--exposure",
            type=share,
            help="share of sessions on the new version (start, advance)",
        )
        parser.add_argument(
            "--max-unrated",
            type=positive_int,
            default=DEFAULT_MAX_UNRATED,
            help="most answers without a rating (start; default: %(default)s)",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Show the roll-outs, or send the step."""
        if options.step != LIST:
            _check_required(options)
            return self.send(options, _change(options))
        body = read_configuration(self.client(options)).body
        roll_outs = items_of(body, "roll_outs")
        rows = [tuple(roll_out.get(name) for name in COLUMNS) for roll_out in roll_outs]
        header = tuple(name.upper() for name in COLUMNS)
        self.write(options, {"roll_outs": roll_outs}, table(header, rows))
        return ExitCode.SUCCESS


def _check_required(options: argparse.Namespace) -> None:
    """Raise ``CommandError`` naming the arguments that the step lacks."""
    missing = [
        label
        for label, name in REQUIRED[options.step].items()
        if getattr(options, name) is None
    ]
    if missing:
        raise CommandError(f"{options.step} needs {', '.join(missing)}.")


def _change(options: argparse.Namespace) -> Change:
    if options.step == "start":
        return StartRollOut(
            options.id,
            options.version_id,
            options.stable,
            options.exposure,
            options.max_unrated,
        )
    if options.step == "advance":
        return AdvanceRollOut(options.id, options.exposure)
    if options.step == "finish":
        return FinishRollOut(options.id)
    return RollBackRollOut(options.id)
