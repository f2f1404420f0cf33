"""Read the list of tests that are known to fail, ``KNOWN-RED.txt``."""

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
FIELDS = ("test", "command", "seen", "issue")


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail.

    ``test`` is its pytest id, ``command`` runs it, ``seen`` says how it fails, and
    ``issue`` is the number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse(text: str) -> tuple[KnownRed, ...]:
    """Return the entries of a file's text.

    Entries are separated by empty lines; lines that start with ``#`` are comments.
    Raises ValueError if an entry lacks a field or has its fields in another order.
    """
    entries = []
    for block in text.split("\n\n"):
        lines = [raw for raw in block.splitlines() if raw and not raw.startswith("#")]
        if not lines:
            continue
        values = dict(line.partition(": ")[::2] for line in lines)
        if tuple(values) != FIELDS or not all(values.values()):
            raise ValueError(f"an entry needs {', '.join(FIELDS)}: {block!r}")
        entries.append(KnownRed(**values))
    return tuple(entries)


def read() -> tuple[KnownRed, ...]:
    """Return the entries of the repository's file, none if there is no file."""
    return parse(PATH.read_text(encoding="utf-8")) if PATH.exists() else ()
