"""Show the current configuration, change it, or write the first one."""

import argparse
import asyncio
from pathlib import Path

from knapweedhinge.conf import load_configuration, load_node_settings
from knapweedhinge.core.checks import Subject, run_checks
from knapweedhinge.core.management.base import to_indented_json
from knapweedhinge.core.management.client_commands import (
    ChangeCommand,
    read_change,
    read_configuration,
)
from knapweedhinge.core.management.errors import CommandError
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.core.management.findings import raise_errors


class Command(ChangeCommand):
    """Show the current configuration, send a change, or write the first one."""

    help = "Show the current configuration, send a change, or write the first one."
    example = "knapweedhinge configuration --node 10.0.0.7:8080 --change change.json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the change to send, or the first configuration."""
        chosen = parser.add_mutually_exclusive_group()
        chosen.add_argument(
            "--change",
            type=Path,
            metavar="FILE",
            help="change to send, for example {type: 'put-class', id: ...}",
        )
        chosen.add_argument(
            "--first",
            type=Path,
            metavar="FILE",
            help="write this configuration to a platform that holds none yet",
        )
        parser.add_argument(
            "--settings",
            type=Path,
            metavar="FILE",
            help="settings of a node, which hold the platform's address (with --first)",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Show the configuration, send the change, or write the first one."""
        if options.first is not None:
            return self._write_first(options)
        if options.change is not None:
            return self.send(options, read_change(options.change))
        reply = read_configuration(self.client(options))
        self.write(options, reply.body, to_indented_json(reply.body))
        return ExitCode.SUCCESS

    def _write_first(self, options: argparse.Namespace) -> int:
        from knapweedhinge.core.management.first_revision import write_first_revision

        if options.settings is None:
            raise CommandError("--first needs --settings.")
        cfg = load_node_settings(options.settings)
        first = load_configuration(options.first)
        found = run_checks(Subject(configuration=first))
        for finding in found:
            self.warn(f"{options.first}: {finding}")
        raise_errors(str(options.first), found)
        revision = asyncio.run(write_first_revision(cfg.platform, first))
        self.write(options, {"revision": revision}, f"written as revision {revision}")
        return ExitCode.SUCCESS
