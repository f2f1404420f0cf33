"""Show which nodes callers should use."""

import argparse

from knapweedhinge.core.management.base import table
from knapweedhinge.core.management.client import GET, NodeCall
from knapweedhinge.core.management.client_commands import (
    ORGANISATION_KEY_VARIABLE,
    NodeCommand,
    items_of,
)
from knapweedhinge.core.management.exit_codes import ExitCode

ADDRESSES_PATH = "/v1/addresses"


class Command(NodeCommand):
    """Ask a node which addresses callers should use."""

    help = "Show which nodes callers should use, the nearest first."
    example = "knapweedhinge addresses --node 127.0.0.1:8080"
    key_option = "--key-file"
    key_variable = ORGANISATION_KEY_VARIABLE
    key_required = False

    def handle(self, options: argparse.Namespace) -> int:
        """Print the addresses, nearest first."""
        reply = self.client(options).call(NodeCall(GET, ADDRESSES_PATH))
        rows = [
            (
                f"{address.get('ip')}:{address.get('port')}",
                address.get("failure_domain"),
            )
            for address in items_of(reply.body, "addresses")
        ]
        self.write(options, reply.body, table(("ADDRESS", "FAILURE DOMAIN"), rows))
        return ExitCode.SUCCESS
