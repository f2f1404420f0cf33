"""Base class of commands, and helpers that format their output."""

import argparse
import json
from dataclasses import dataclass
from typing import Any, TextIO

JSON_INDENT = 2


@dataclass(frozen=True)
class Streams:
    """Hold the streams for the results and the errors of a command."""

    out: TextIO
    err: TextIO


class BaseCommand:
    """Base class of commands.

    Each module in ``commands`` defines a subclass named ``Command``. ``help`` is its
    one-line description, ``example`` a complete command line.
    """

    help = ""
    example = ""

    def __init__(self, streams: Streams):
        self.streams = streams

    def handle(self, options: argparse.Namespace) -> int:
        """Run the command and return its exit code.

        A ``KnapweedhingeError`` is printed by ``main`` and ends the command with the
        exit code of its result code.
        """
        raise NotImplementedError(f"{type(self).__module__} has no handle()")

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's own arguments; ``--json`` is added by ``configure``."""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments all commands share, then the command's own."""
        parser.add_argument(
            "--json", action="store_true", help="write the result as one JSON line"
        )
        self.add_arguments(parser)

    def write(self, options: argparse.Namespace, result: Any, text: str) -> None:
        """Write ``result`` as JSON with ``--json``, otherwise write ``text``."""
        self.streams.out.write((to_json_line(result) if options.json else text) + "\n")
        self.streams.out.flush()

    def warn(self, text: str) -> None:
        """Write a line to standard error, which is not part of the result."""
        self.streams.err.write(text + "\n")


def to_json_line(result: Any) -> str:
    """Return a result as JSON on one line."""
    return json.dumps(result, ensure_ascii=False)


def to_indented_json(result: Any) -> str:
    """Return a result as indented JSON."""
    return json.dumps(result, ensure_ascii=False, indent=JSON_INDENT)


def table(header: tuple[str, ...], rows: list[tuple]) -> str:
    """Return a header and rows as text in aligned columns."""
    lines = [header, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
