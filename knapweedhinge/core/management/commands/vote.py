"""Vote on a proposal."""

import argparse
from urllib.parse import quote

from knapweedhinge.core.management.base import to_indented_json
from knapweedhinge.core.management.client import POST, NodeCall
from knapweedhinge.core.management.client_commands import (
    ORGANISATION_KEY_VARIABLE,
    NodeCommand,
)
from knapweedhinge.core.management.exit_codes import ExitCode

YES = "yes"
NO = "no"


class Command(NodeCommand):
    """Vote on a proposal as one organisation."""

    help = "Vote on a proposal as one organisation, with its bearer key."
    example = "knapweedhinge vote --node 10.0.0.7:8080 p-17 yes"
    key_option = "--key-file"
    key_variable = ORGANISATION_KEY_VARIABLE

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the proposal and the vote."""
        parser.add_argument("proposal", help="id of the proposal")
        parser.add_argument("ballot", choices=(YES, NO), help="the vote")

    def handle(self, options: argparse.Namespace) -> int:
        """Send the vote and print the proposal's state."""
        path = f"/admin/proposals/{quote(options.proposal, safe='')}/ballots"
        body = {"agree": options.ballot == YES}
        reply = self.client(options).call(NodeCall(POST, path, body))
        self.write(options, reply.body, to_indented_json(reply.body))
        return ExitCode.SUCCESS
