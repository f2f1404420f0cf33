"""The command line; each module in ``commands`` defines one command."""

import os
import sys
from collections.abc import Sequence

from knapweedhinge.core.exceptions import KnapweedhingeError
from knapweedhinge.core.management.base import BaseCommand, Streams, to_json_line
from knapweedhinge.core.management.discovery import build_parser
from knapweedhinge.core.management.errors import (
    error_mapping,
    error_text,
    exit_code_of,
)
from knapweedhinge.core.management.exit_codes import ExitCode

__all__ = ["BaseCommand", "ExitCode", "main"]


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    ``argv`` holds the arguments without the program name (default: ``sys.argv``).
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    streams = Streams(sys.stdout, sys.stderr)
    try:
        return _run(arguments, streams)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        _discard_output()
        return ExitCode.BROKEN_PIPE


def _run(arguments: list[str], streams: Streams) -> int:
    try:
        options = build_parser(arguments, streams).parse_args(arguments)
    except SystemExit as exc:
        return int(exc.code or ExitCode.SUCCESS)
    try:
        result = int(options.loaded_command.handle(options))
        streams.out.flush()
        return result
    except KnapweedhingeError as exc:
        text = to_json_line(error_mapping(exc)) if options.json else error_text(exc)
        streams.err.write(text + "\n")
        return exit_code_of(exc)


def _discard_output() -> None:
    """Redirect standard output to the null device.

    The interpreter flushes it at exit, which would fail again on the closed pipe.
    """
    devnull = os.open(os.devnull, os.O_WRONLY)
    os.dup2(devnull, sys.stdout.fileno())
    os.close(devnull)
