"""Take a failure domain out of service, or bring it back."""

import argparse

from knapweedhinge.conf.changes import SetFailureDomain
from knapweedhinge.core.management.base import table
from knapweedhinge.core.management.client_commands import (
    ChangeCommand,
    items_of,
    read_configuration,
)
from knapweedhinge.core.management.errors import CommandError
from knapweedhinge.core.management.exit_codes import ExitCode

STEPS = ("out", "in", "list")


class Command(ChangeCommand):
    """Take a failure domain out of service, bring it back, or list them."""

    help = "Take a failure domain out of service, bring it back, or list them."
    example = "knapweedhinge failure-domain --node 10.0.0.7:8080 out san-jose"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the step and the failure domain."""
        parser.add_argument("step", choices=STEPS, help="what to do")
        parser.add_argument("id", nargs="?", metavar="ID", help="the failure domain")

    def handle(self, options: argparse.Namespace) -> int:
        """Show the failure domains, or send the change."""
        if options.step == "list":
            return self._list(options)
        if options.id is None:
            raise CommandError(f"{options.step} needs ID, the failure domain.")
        return self.send(options, SetFailureDomain(options.id, options.step == "out"))

    def _list(self, options: argparse.Namespace) -> int:
        body = read_configuration(self.client(options)).body
        domains = items_of(body, "failure_domains")
        rows = [
            (
                domain.get("id"),
                domain.get("region"),
                "out" if domain.get("out") else "in",
            )
            for domain in domains
        ]
        text = table(("ID", "REGION", "STATE"), rows)
        self.write(options, {"failure_domains": domains}, text)
        return ExitCode.SUCCESS
