"""Generate the reference pages from the code."""

import argparse
from pathlib import Path

from knapweedhinge.core.management.base import BaseCommand
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.core.management.reference import pages

DEFAULT_DIRECTORY = Path("docs/ref")


class Command(BaseCommand):
    """Write the reference pages, or compare them with the code."""

    help = "Generate the reference pages from the code, or check that they match it."
    example = "knapweedhinge docs --check"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the directory and the option to compare only."""
        parser.add_argument(
            "--directory",
            type=Path,
            default=DEFAULT_DIRECTORY,
            metavar="DIR",
            help="directory of the pages (default: %(default)s)",
        )
        parser.add_argument(
            "--check",
            action="store_true",
            help="write nothing; fail if a page differs from the code",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Write or compare the pages."""
        differing = [
            options.directory / name
            for name, text in pages(self.streams).items()
            if _differs(options.directory / name, text)
        ]
        if not options.check:
            self._write_pages(options.directory)
        verb = "differs" if options.check else "written"
        text = "\n".join(f"{path}: {verb}" for path in differing) or "up to date"
        self.write(options, {"differing": [str(path) for path in differing]}, text)
        return ExitCode.SETTINGS if options.check and differing else ExitCode.SUCCESS

    def _write_pages(self, directory: Path) -> None:
        directory.mkdir(parents=True, exist_ok=True)
        for name, text in pages(self.streams).items():
            (directory / name).write_text(text, encoding="utf-8")


def _differs(path: Path, text: str) -> bool:
    return not path.exists() or path.read_text(encoding="utf-8") != text
