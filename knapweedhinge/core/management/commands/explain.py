"""Explain what happened to one request, from the log lines of nodes."""

import argparse
import sys
from pathlib import Path

from knapweedhinge.core.management.base import BaseCommand
from knapweedhinge.core.management.errors import CommandError
from knapweedhinge.core.request_report import explain_request, parse_lines


class Command(BaseCommand):
    """Read log lines and report what happened to a request."""

    help = "Explain what happened to one request, from the logs of nodes."
    example = "knapweedhinge explain 9c41d07be2a35f68 --log node.log"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the request and the log files."""
        parser.add_argument("request_id", help="id of the request")
        parser.add_argument(
            "--log",
            type=Path,
            action="append",
            metavar="FILE",
            help="file with log lines (default: standard input); may be repeated",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Print the report.

        Raise ``CommandError`` if no line logs the end of the request.
        """
        lines = parse_lines(self._read(options.log))
        report = explain_request(options.request_id, lines)
        if report is None:
            raise CommandError(
                f"REQUEST_ID: none of {len(lines)} log lines records the end of"
                f" {options.request_id}"
            )
        self.write(options, {"story": report}, report)
        return 0

    @staticmethod
    def _read(paths: list[Path] | None) -> list[str]:
        if not paths:
            return sys.stdin.readlines()
        lines = []
        for path in paths:
            try:
                lines += path.read_text(encoding="utf-8").splitlines()
            except OSError as exc:
                raise CommandError(f"--log: {path}: {exc.strerror}") from exc
        return lines
