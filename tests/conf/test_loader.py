from dataclasses import replace
from functools import cache
from pathlib import Path

import pytest

from knapweedhinge.conf import (
    ClassOfWork,
    Configuration,
    NodeSettings,
    from_mapping,
    load_configuration,
    load_node_settings,
    to_mapping,
    validate,
)
from knapweedhinge.conf.loader import load
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError

EXAMPLE = Path(__file__).parents[2] / "examples" / "guanacaste"
SECRET = "do-not-show-this"
DELETED = object()


@cache
def example_configuration() -> Configuration:
    return load_configuration(EXAMPLE / "configuration.json")


@cache
def example_node() -> NodeSettings:
    return load_node_settings(EXAMPLE / "node.json")


def node_mapping() -> dict:
    return to_mapping(example_node(), show_secrets=True)


def configuration_mapping() -> dict:
    return to_mapping(example_configuration())


def changed(data, steps, value):
    """Replace the value at a path of keys and indices in place; return the mapping."""
    target = data
    for step in steps[:-1]:
        target = target[step]
    if value is DELETED:
        del target[steps[-1]]
    else:
        target[steps[-1]] = value
    return data


def problems_of(cls, data):
    with pytest.raises(ImproperlyConfiguredError) as caught:
        from_mapping(cls, data, file="f.json")
    return caught.value.problems


NODE_PROBLEMS = [
    # changed setting, its new value, path, code, part of the expectation
    (["listen", "port"], "80", "listen.port", "SETTING_TYPE", "whole number"),
    (["listen", "port"], True, "listen.port", "SETTING_TYPE", "whole number"),
    (["listen", "port"], 80.5, "listen.port", "SETTING_TYPE", "whole number"),
    (["listen", "port"], 70_000, "listen.port", "SETTING_RANGE", "65535"),
    (["listen", "ip"], "vm-1.local", "listen.ip", "SETTING_RANGE", "IP number"),
    (["listen", "vm"], "", "listen.vm", "SETTING_RANGE", "id"),
    (["listen", "vm"], DELETED, "listen.vm", "SETTING_MISSING", "string"),
    (["listen"], DELETED, "listen", "SETTING_MISSING", "object"),
    (["listen"], [], "listen", "SETTING_TYPE", "object"),
    (["platform", "url"], "http://db:1", "platform.url", "SETTING_RANGE", "IP number"),
    (["platform", "url"], "ftp://10.0.0.1", "platform.url", "SETTING_RANGE", "http"),
    (
        ["platform", "url"],
        "http://10.0.0.1:x",
        "platform.url",
        "SETTING_RANGE",
        "IP number",
    ),
    (
        ["platform", "timeout_s"],
        float("nan"),
        "platform.timeout_s",
        "SETTING_TYPE",
        "a number",
    ),
    (
        ["platform", "timeout_s"],
        10**400,
        "platform.timeout_s",
        "SETTING_TYPE",
        "a number",
    ),
    (["log", "level"], "LOUD", "log.level", "SETTING_RANGE", "WARNING"),
    (["log", "level"], None, "log.level", "SETTING_TYPE", "string"),
    (
        ["peers", "probe_tiemout_s"],
        1,
        "peers.probe_tiemout_s",
        "SETTING_UNKNOWN",
        "did you mean 'probe_timeout_s'?",
    ),
    (["keys", "token_keys"], "x", "keys.token_keys", "SETTING_TYPE", "a list"),
    (["keys", "token_keys"], [7], "keys.token_keys[0]", "SETTING_TYPE", "string"),
]


@pytest.mark.parametrize("steps,value,path,code,expected", NODE_PROBLEMS)
def test_wrong_node_setting(steps, value, path, code, expected):
    (problem,) = problems_of(NodeSettings, changed(node_mapping(), steps, value))
    assert (problem.file, problem.path) == ("f.json", path)
    assert problem.code is ResultCode[code]
    assert expected in problem.expected


CONFIGURATION_PROBLEMS = [
    # changed setting, its new value, path (None: any), code
    (
        ["classes", 0, "versions"],
        ["oak-large@9"],
        "classes[0].versions[0]",
        "SETTING_REFERENCE",
    ),
    (
        ["organisations", 1, "allowed_versions"],
        ["x"],
        "organisations[1].allowed_versions[0]",
        "SETTING_REFERENCE",
    ),
    (
        ["organisations", 1, "allowed_services"],
        ["x"],
        "organisations[1].allowed_services[0]",
        "SETTING_REFERENCE",
    ),
    (["roll_outs", 0, "version"], "", "roll_outs[0].version", "SETTING_REFERENCE"),
    (["roll_outs", 0, "stable"], "x", "roll_outs[0].stable", "SETTING_REFERENCE"),
    (["organisations", 1, "id"], "escuela-de-oficios", None, "SETTING_DUPLICATE"),
    (["versions", 0, "id"], "oak-large@3", None, "SETTING_DUPLICATE"),
    (
        ["classes", 0, "versions"],
        ["oak-large@3", "oak-large@3"],
        "classes[0].versions[1]",
        "SETTING_DUPLICATE",
    ),
    (
        ["organisations", 0, "key_sha256"],
        ["escuela-de-oficios-key"],
        "organisations[0].key_sha256[0]",
        "SETTING_RANGE",
    ),
    (
        ["services", 0, "routes", 0, "path"],
        "/order-status/*",
        "services[0].routes[0].path",
        "SETTING_RANGE",
    ),
]


@pytest.mark.parametrize("steps,value,path,code", CONFIGURATION_PROBLEMS)
def test_wrong_configuration(steps, value, path, code):
    data = changed(configuration_mapping(), steps, value)
    problems = problems_of(Configuration, data)
    found = [(problem.path, problem.code) for problem in problems]
    assert any(
        path in (None, at) and found_code is ResultCode[code]
        for at, found_code in found
    ), found


def test_every_problem_is_reported_at_once():
    data = node_mapping()
    changed(data, ["listen", "port"], -1)
    changed(data, ["keys", "peer_keys"], 5)
    changed(data, ["peer"], {})
    paths = [problem.path for problem in problems_of(NodeSettings, data)]
    assert sorted(paths) == ["keys.peer_keys", "listen.port", "peer"]


SECRET_PATHS = [
    (["keys", "token_keys"], SECRET),
    (["keys", "token_keys"], [[SECRET]]),
    (["keys"], SECRET),
    (["keys"], [SECRET]),
    (["keys", "token_key"], SECRET),
]


@pytest.mark.parametrize("steps,value", SECRET_PATHS)
def test_problems_contain_no_secrets(steps, value):
    data = changed(node_mapping(), steps, value)
    with pytest.raises(ImproperlyConfiguredError) as caught:
        from_mapping(NodeSettings, data)
    assert SECRET not in str(caught.value)
    assert SECRET not in repr(caught.value.problems)


def test_mappings_mask_secrets_unless_asked():
    data = changed(node_mapping(), ["keys", "token_keys"], [SECRET])
    node = from_mapping(NodeSettings, data)
    assert SECRET not in repr(to_mapping(node))
    assert to_mapping(node, show_secrets=True) == data


def test_mapping_round_trip():
    cfg = example_configuration()
    assert from_mapping(Configuration, to_mapping(cfg)) == cfg


def test_references_of_an_item_without_its_root_are_not_checked():
    item = to_mapping(example_configuration().classes[0])
    changed(item, ["versions"], ["not-known-here@1"])
    assert from_mapping(ClassOfWork, item).versions == ("not-known-here@1",)


def test_existing_value_is_validated():
    cfg = example_configuration()
    cfg = replace(cfg, versions=cfg.versions[1:])
    codes = {problem.code for problem in validate(cfg)}
    assert codes == {ResultCode.SETTING_REFERENCE}


FILES = [
    # content, code, part of the message
    ('{"listen": }', "SETTINGS_SYNTAX", "line 1"),
    ("", "SETTINGS_SYNTAX", "JSON"),
    ('{"log": {}, "log": {}}', "SETTINGS_SYNTAX", 'Duplicate key "log"'),
    ("[" * 5_000 + "]" * 5_000, "SETTINGS_SYNTAX", "nested"),
    (b"\xff\xfe", "SETTINGS_UNREADABLE", "UTF-8"),
    (None, "SETTINGS_UNREADABLE", "No such file"),
    ("[]", "SETTING_TYPE", "an object"),
]


@pytest.mark.parametrize("content,code,message", FILES)
def test_wrong_file(tmp_path, content, code, message):
    path = tmp_path / "node.json"
    if isinstance(content, str):
        path.write_text(content)
    elif content is not None:
        path.write_bytes(content)
    with pytest.raises(ImproperlyConfiguredError) as caught:
        load(NodeSettings, path)
    assert caught.value.code is ResultCode[code]
    assert message in str(caught.value)
    assert str(path) in str(caught.value)
