"""Propose a change of the configuration for organisations to vote on."""

import argparse
from pathlib import Path

from knapweedhinge.conf.change_forms import change_to_mapping
from knapweedhinge.core.management.base import to_indented_json
from knapweedhinge.core.management.client import GET, POST, NodeCall
from knapweedhinge.core.management.client_commands import (
    NodeCommand,
    read_change,
    read_configuration,
)
from knapweedhinge.core.management.exit_codes import ExitCode

PROPOSALS_PATH = "/admin/proposals"


class Command(NodeCommand):
    """Propose a change of the configuration, or list the proposals."""

    help = "Propose a change for members to vote on, or list the proposals."
    example = "knapweedhinge propose --node 10.0.0.7:8080 --change limits.json"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the change to propose, or the option to list proposals."""
        chosen = parser.add_mutually_exclusive_group(required=True)
        chosen.add_argument(
            "--change",
            type=Path,
            metavar="FILE",
            help="change to propose, for example {type: 'set-limits', limits: ...}",
        )
        chosen.add_argument(
            "--list", action="store_true", help="show the proposals and their ballots"
        )
        parser.add_argument(
            "--revision",
            type=int,
            metavar="N",
            help="revision the proposal is based on (default: the current one)",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """List the proposals, or send a new one."""
        if options.list:
            body = self.client(options).call(NodeCall(GET, PROPOSALS_PATH)).body
            self.write(options, body, to_indented_json(body))
            return ExitCode.SUCCESS
        change = read_change(options.change)
        client = self.client(options)
        revision = options.revision
        if revision is None:
            revision = read_configuration(client).revision
        body = {"revision": revision, "change": change_to_mapping(change)}
        reply = client.call(NodeCall(POST, PROPOSALS_PATH, body))
        self.write(options, reply.body, to_indented_json(reply.body))
        return ExitCode.SUCCESS
