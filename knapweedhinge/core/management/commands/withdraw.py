"""Withdraw a version, so that it receives no new requests."""

import argparse

from knapweedhinge.conf.changes import WithdrawVersion
from knapweedhinge.core.management.client_commands import ChangeCommand


class Command(ChangeCommand):
    """Withdraw a version, so that it receives no new requests."""

    help = "Withdraw a version, which then receives no new requests."
    example = "knapweedhinge withdraw --node 10.0.0.7:8080 oak-large@4"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the version."""
        parser.add_argument("version_id", metavar="VERSION", help="id of the version")

    def handle(self, options: argparse.Namespace) -> int:
        """Send the withdrawal."""
        return self.send(options, WithdrawVersion(options.version_id))
