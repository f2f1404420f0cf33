from dataclasses import replace
from functools import cache
from pathlib import Path

import pytest

from knapweedhinge.conf import (
    load_configuration,
    load_deployment,
    load_node_settings,
)
from knapweedhinge.core.checks import Level, Subject, Tag, has_errors, run_checks

EXAMPLES = Path(__file__).parents[2] / "examples"


@cache
def example(name="guanacaste"):
    return Subject(
        load_node_settings(EXAMPLES / name / "node.json"),
        load_configuration(EXAMPLES / name / "configuration.json"),
        load_deployment(EXAMPLES / name / "deployment.json"),
    )


def set_in(value, steps, new):
    """Return a copy of a frozen value with the setting at path ``steps`` replaced."""
    if not steps:
        return new
    if isinstance(value, tuple):
        item = set_in(value[steps[0]], steps[1:], new)
        return value[: steps[0]] + (item,) + value[steps[0] + 1 :]
    item = set_in(getattr(value, steps[0]), steps[1:], new)
    return replace(value, **{steps[0]: item})


def ids(subject, *tags):
    return {
        finding.id.removeprefix("knapweedhinge.")
        for finding in run_checks(subject, tags)
    }


@pytest.mark.parametrize(
    "name,warnings", [("guanacaste", set()), ("binh-minh", {"W202"})]
)
def test_examples_have_no_errors(name, warnings):
    assert ids(example(name)) == warnings
    assert not has_errors(run_checks(example(name)))


def config(*steps):
    return ("configuration", *steps)


CASES = [
    # id, changed setting, new value (None: set by test_finding or _derived)
    ("E001", ("node", "peers", "probe_timeout_s"), 0.5),
    ("E002", ("node", "peers", "stamp_age_s"), 3.0),
    ("E003", ("node", "platform", "poll_s"), 2.0),
    ("E004", ("node", "http", "shutdown_s"), 5.0),
    ("E005", ("node", "peers", "stale_after_s"), 4.0),
    ("E006", ("node", "listen", "peer_port"), 8080),
    ("E007", ("node", "keys", "token_keys"), ()),
    ("E008", ("node", "keys", "peer_keys"), ("sixteen-letters-1",) * 2),
    ("W001", ("node", "keys", "token_keys"), ("sixteen-letters-1",)),
    ("W002", ("node", "keys", "token_keys"), ("sixteen-letters-1", "short")),
    ("E101", config("organisations", 0, "allowed_versions"), None),
    ("W101", config("organisations", 0, "allowed_versions"), ()),
    ("W102", config("organisations", 0, "key_sha256"), ()),
    ("E102", config("organisations", 0, "key_sha256"), None),
    ("E103", config("operator_key_sha256"), ()),
    ("E104", config("operator_key_sha256"), None),
    ("E105", config("failure_domains"), ()),
    ("W103", config("failure_domains"), None),
    ("E106", config("voting", "quorum"), 0.0),
    ("E111", config("classes", 0, "versions"), ()),
    ("W111", config("classes", 0, "quality_target"), 0.95),
    ("E112", config("classes", 0, "cost_limit_micros"), 100),
    ("E113", config("classes", 0, "deadline_s"), 2.0),
    ("W112", config("classes", 0, "deadline_s"), 100.0),
    ("E121", config("roll_outs", 0, "stable"), "oak-large@4"),
    ("E122", config("versions", 3, "withdrawn"), True),
    ("E123", config("roll_outs"), None),
    ("W121", config("roll_outs", 0, "exposure"), 0.5),
    ("W131", config("services", 0, "routes"), ()),
    ("E131", config("services", 0, "routes", 0, "path"), None),
    ("W132", config("organisations"), ()),
    ("W133", config("services", 0, "routes", 1, "require_key"), False),
    ("E201", ("node", "listen", "failure_domain"), "nowhere"),
    ("E202", ("node", "listen", "region"), "nowhere"),
    ("E203", ("deployment", "entry_vms", 0, "failure_domain"), "nowhere"),
    ("E204", ("deployment", "endpoints", 0, "versions"), ()),
    ("E205", ("deployment", "endpoints", 0, "versions"), ("nothing@1",)),
    ("W201", ("deployment", "endpoints"), ()),
    ("W202", ("deployment", "endpoints"), None),
    ("E206", ("deployment", "entry_vms"), None),
]


def _derived(short_id, subject):
    """Return the new value of a case whose value depends on the example."""
    cfg, deployment = subject.configuration, subject.deployment
    if short_id == "E102":
        return cfg.organisations[1].key_sha256
    if short_id == "E104":
        return cfg.organisations[1].key_sha256
    if short_id == "W103":
        return tuple(replace(domain, out=True) for domain in cfg.failure_domains)
    if short_id == "E123":
        return (*cfg.roll_outs, replace(cfg.roll_outs[0], id="second"))
    if short_id == "W202":
        return deployment.endpoints[:1]
    if short_id == "E206":
        return tuple(replace(vm, port=8080) for vm in deployment.entry_vms)
    return "*"


@pytest.mark.parametrize("short_id,steps,value", CASES, ids=[row[0] for row in CASES])
def test_finding(short_id, steps, value):
    subject = example()
    if short_id == "E101":
        subject = set_in(subject, config("organisations", 0, "allowed_services"), ())
        value = ()
    if short_id == "E131":
        routes = subject.configuration.services[0].routes
        value = replace(routes[0], path="*", method="*")
        steps = steps[:-1]
    if value is None:
        value = _derived(short_id, subject)
    assert short_id not in ids(subject)
    assert short_id in ids(set_in(subject, steps, value))


def test_only_the_chosen_tags_run():
    subject = set_in(example(), ("node", "keys", "token_keys"), ())
    assert ids(subject, Tag.VOTING) == set()
    assert ids(subject, Tag.KEYS) == {"E007"}


def test_parts_not_given_are_not_checked():
    assert run_checks(Subject()) == ()


def test_findings_name_their_level_and_place():
    subject = set_in(example(), ("node", "peers", "probe_timeout_s"), 2.0)
    subject = set_in(subject, ("node", "keys", "token_keys"), ("x",))
    found = run_checks(subject)
    assert found[0].id == "knapweedhinge.E001"
    assert found[0].path == "peers.probe_timeout_s"
    assert [finding.level for finding in found] == sorted(
        (finding.level for finding in found), reverse=True
    )
    assert found[-1].level is Level.WARNING
