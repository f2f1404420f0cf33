"""Show the state of nodes, or explain how they routed a request."""

import argparse
from typing import Any
from urllib.parse import quote

from knapweedhinge.core.management.base import to_indented_json
from knapweedhinge.core.management.client import GET, NodeCall, NodeFailure, NodeOutcome
from knapweedhinge.core.management.client_commands import NodeCommand
from knapweedhinge.core.management.errors import error_mapping, exit_code_of
from knapweedhinge.core.management.exit_codes import ExitCode

DUMP_PATH = "/admin/dump"


class Command(NodeCommand):
    """Show the complete state of each named node, or explain one request."""

    help = "Show the complete state of each named node, or explain one request."
    example = "knapweedhinge dump --node 10.0.0.7:8080 --explain REQUEST_ID"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the request to explain."""
        parser.add_argument(
            "--explain",
            metavar="REQUEST_ID",
            help="show how this request was routed, and why",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Print the answers, keyed by node; fail if a node can't answer.

        An explanation from one node is enough: others may not know the request.
        """
        query = f"?explain={quote(options.explain, safe='')}" if options.explain else ""
        outcomes = self.client(options).call_each(NodeCall(GET, DUMP_PATH + query))
        result = {outcome.node: _outcome_mapping(outcome) for outcome in outcomes}
        self.write(options, result, to_indented_json(result))
        failures = [outcome for outcome in outcomes if isinstance(outcome, NodeFailure)]
        if not failures or (options.explain and len(failures) < len(outcomes)):
            return ExitCode.SUCCESS
        return exit_code_of(failures[0].error)


def _outcome_mapping(outcome: NodeOutcome) -> Any:
    """Return a node's answer, or its error in the format of error answers."""
    if isinstance(outcome, NodeFailure):
        return error_mapping(outcome.error)
    return outcome.body
