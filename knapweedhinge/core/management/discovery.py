"""Find and load commands, and build the argument parser from them."""

import argparse
import pkgutil
from importlib import import_module

from knapweedhinge import __version__
from knapweedhinge.core.management import commands
from knapweedhinge.core.management.base import BaseCommand, Streams

PROG = "knapweedhinge"


def command_names() -> list[str]:
    """Return the names of all commands, sorted; a dash stands for an underscore."""
    modules = pkgutil.iter_modules(commands.__path__)
    return sorted(module.name.replace("_", "-") for module in modules)


def load_command(name: str, streams: Streams) -> BaseCommand:
    """Import and return the command of this name."""
    module_name = name.replace("-", "_")
    module = import_module(f"{commands.__name__}.{module_name}")
    return module.Command(streams)


def build_parser(argv: list[str], streams: Streams) -> argparse.ArgumentParser:
    """Return a parser for ``argv``.

    If the first argument names a command, only that one is imported, which takes less
    time; otherwise all are.
    """
    parser = argparse.ArgumentParser(
        prog=PROG,
        description="An HTTP router for versions and cascades of language models.",
    )
    parser.add_argument("--version", action="version", version=f"{PROG} {__version__}")
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND", required=True)
    names = command_names()
    wanted = argv[:1] if argv[:1] and argv[0] in names else names
    for name in wanted:
        command = load_command(name, streams)
        subparser = subparsers.add_parser(
            name,
            help=command.help,
            description=command.help,
            epilog=f"example:\n  {command.example}",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.configure(subparser)
        subparser.set_defaults(loaded_command=command)
    return parser
