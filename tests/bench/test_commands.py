"""Measurements started from the command line."""

import json

import pytest

from knapweedhinge.core.management import main
from knapweedhinge.core.management.commands.bench import MEASUREMENTS

SHORT = [
    # Arguments of a run that takes a second or two, and a field of its JSON output.
    (
        ("policy", "--seeds", "1", "--length-s", "30", "--regime", "calm"),
        "policies",
    ),
    (("relay", "--engines", "2", "--length-s", "2"), "on_time"),
]


@pytest.mark.parametrize("name", MEASUREMENTS)
def test_each_measurement_prints_its_help(name, capsys):
    assert main(["bench", name, "--help"]) == 0
    assert "--json" in capsys.readouterr().out


@pytest.mark.parametrize("arguments,field", SHORT)
def test_a_short_run_prints_json(arguments, field, capsys):
    name, *rest = arguments
    assert main(["bench", name, "--json", *rest]) == 0
    assert field in json.loads(capsys.readouterr().out)
