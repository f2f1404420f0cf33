"""Parsing of the list of tests that are known to fail."""

import pytest

from tests.knownred import KnownRed, parse

ENTRY = "test: a.py::b\ncommand: pytest a.py\nseen: it fails\nissue: 9\n"


def test_entries_are_read():
    entries = parse(f"# comment\n\n{ENTRY}\n{ENTRY.replace('a.py', 'c.py')}")
    assert entries[0] == KnownRed("a.py::b", "pytest a.py", "it fails", "9")
    assert len(entries) == 2


@pytest.mark.parametrize("text", ["", "# only a comment\n"])
def test_no_entries(text):
    assert parse(text) == ()


@pytest.mark.parametrize("missing", ["test", "command", "seen", "issue"])
def test_an_incomplete_entry_is_an_error(missing):
    lines = [line for line in ENTRY.splitlines() if not line.startswith(missing)]
    with pytest.raises(ValueError, match="needs"):
        parse("\n".join(lines))
