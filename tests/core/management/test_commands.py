import json
import shlex
from pathlib import Path

import pytest

EXAMPLE = Path(__file__).parents[3] / "examples" / "guanacaste"
KEY = "operator-key"
CONFIGURATION = {
    "classes": [],
    "roll_outs": [{"id": "r", "version": "v@2", "exposure": 0.1, "state": "running"}],
    "failure_domains": [{"id": "liberia", "region": "ca", "out": True}],
}
READ = {("GET", "/admin/configuration"): (200, CONFIGURATION, {"ETag": '"7"'})}
ACCEPTED = READ | {("POST", "/admin/changes"): (200, {"revision": 8})}


@pytest.fixture
def operator_key(tmp_path):
    path = tmp_path / "operator.key"
    path.write_text(KEY + "\n")
    return path


CHANGES = [
    # arguments, the change that reaches the node
    (["withdraw", "v@1"], {"type": "withdraw-version", "version": "v@1"}),
    (
        ["failure-domain", "out", "liberia"],
        {"type": "set-failure-domain", "failure_domain": "liberia", "out": True},
    ),
    (
        ["failure-domain", "in", "liberia"],
        {"type": "set-failure-domain", "failure_domain": "liberia", "out": False},
    ),
    (
        shlex.split("rollout start r --version v@2 --stable v@1 --exposure 0.05"),
        {
            "type": "start-roll-out",
            "id": "r",
            "version": "v@2",
            "stable": "v@1",
            "exposure": 0.05,
            "max_unrated": 50,
        },
    ),
    (
        ["rollout", "advance", "r", "--exposure", "0.5"],
        {"type": "advance-roll-out", "id": "r", "exposure": 0.5},
    ),
    (["rollout", "finish", "r"], {"type": "finish-roll-out", "id": "r"}),
    (["rollout", "roll-back", "r"], {"type": "roll-back-roll-out", "id": "r"}),
]


@pytest.mark.parametrize("argv,change", CHANGES)
def test_change_is_sent_against_the_current_revision(
    run, start_node, operator_key, argv, change
):
    node = start_node(ACCEPTED)
    options = ["--node", node.address, "--operator-key-file", operator_key]
    code, out, err = run(*argv, *options, "--json")
    assert (code, err) == (0, "")
    assert json.loads(out) == {"revision": 8, "change": change}
    read, sent = node.seen
    assert sent.body == {"change": change}
    assert sent.headers["If-Match"] == '"7"'
    assert read.headers["Authorization"] == f"Bearer {KEY}"


def test_named_revision_is_not_read_first(run, start_node, operator_key):
    node = start_node(ACCEPTED)
    options = ["--node", node.address, "--operator-key-file", operator_key]
    assert run("withdraw", "v@1", "--revision", 5, *options)[0] == 0
    (sent,) = node.seen
    assert sent.headers["If-Match"] == '"5"'


READS = [
    # arguments, path, answer, part of the text
    (["addresses"], "/v1/addresses", "10.0.0.1:80  liberia"),
    (["configuration"], "/admin/configuration", '"roll_outs"'),
    (["rollout", "list"], "/admin/configuration", "r   v@2"),
    (["failure-domain", "list"], "/admin/configuration", "ca      out"),
    (["propose", "--list"], "/admin/proposals", "p-1"),
    (["dump"], "/admin/dump", "members"),
    (["dump", "--explain", "a&b"], "/admin/dump?explain=a%26b", "steps"),
]

ANSWERS = {
    "/v1/addresses": {
        "addresses": [{"ip": "10.0.0.1", "port": 80, "failure_domain": "liberia"}]
    },
    "/admin/proposals": {"proposals": [{"id": "p-1"}]},
    "/admin/dump": {"members": 3},
    "/admin/dump?explain=a%26b": {"steps": []},
}


@pytest.mark.parametrize("argv,path,part", READS)
def test_reads(run, start_node, operator_key, argv, path, part):
    answers = {("GET", known): (200, body) for known, body in ANSWERS.items()}
    node = start_node(READ | answers)
    options = ["--node", node.address]
    options += [] if argv == ["addresses"] else ["--operator-key-file", operator_key]
    code, out, err = run(*argv, *options)
    assert (code, err) == (0, "")
    assert part in out
    assert [request.path for request in node.seen] == [path]
    code, out, _ = run(*argv, *options, "--json")
    assert out.count("\n") == 1
    json.loads(out)


def test_vote_uses_the_key_of_the_organisation(run, start_node, monkeypatch):
    node = start_node({("POST", "/admin/proposals/p-1/ballots"): (200, {"yes": 1})})
    monkeypatch.setenv("KNAPWEEDHINGE_ORGANISATION_KEY", "taller-nicoya-key")
    monkeypatch.setenv("KNAPWEEDHINGE_NODES", node.address)
    assert run("vote", "p-1", "yes")[0] == 0
    (sent,) = node.seen
    assert sent.body == {"agree": True}
    assert sent.headers["Authorization"] == "Bearer taller-nicoya-key"


def test_proposal_names_its_revision(run, start_node, operator_key, tmp_path):
    change = {"type": "withdraw-version", "version": "v@1"}
    path = tmp_path / "change.json"
    path.write_text("// bad answers\n" + json.dumps(change))
    node = start_node(READ | {("POST", "/admin/proposals"): (200, {"id": "p-2"})})
    options = ["--node", node.address, "--operator-key-file", operator_key]
    code, out, _ = run("propose", "--change", path, *options, "--json")
    assert (code, json.loads(out)) == (0, {"id": "p-2"})
    assert node.seen[-1].body == {"revision": 7, "change": change}


def test_help_shows_an_example(run, command_name):
    code, out, _ = run(command_name, "--help")
    assert code == 0
    assert f"example:\n  knapweedhinge {command_name} " in out


CHECKS = [
    # changed text of node.json, arguments, exit code, part of the output
    ("", "", [], 0, "0 error(s), 0 warning(s)"),
    ('"port": 8080', '"port": -1', [], 17, "listen.port: expected at least 0"),
    ('"peer_port": 8081', '"peer_port": 8080', [], 17, "knapweedhinge.E006"),
    ('"timeout_s": 1.0', '"timout_s": 1.0', [], 17, "did you mean 'timeout_s'?"),
    (', "example-peer-key-2-replace"', "", [], 0, "knapweedhinge.W001"),
    (
        ', "example-peer-key-2-replace"',
        "",
        ["--fail-level", "warning"],
        17,
        "knapweedhinge.W001",
    ),
    (', "example-peer-key-2-replace"', "", ["--tag", "voting"], 0, "0 warning"),
]


@pytest.mark.parametrize("old,new,argv,code,part", CHECKS)
def test_check(run, tmp_path, old, new, argv, code, part):
    path = tmp_path / "node.json"
    path.write_text((EXAMPLE / "node.json").read_text().replace(old, new))
    found, out, err = run("check", "--settings", path, *argv)
    assert found == code
    assert part in out + err
    found, out, _ = run("check", "--settings", path, *argv, "--json")
    assert found == code
    assert set(json.loads(out)) == {"problems", "findings"}


def test_node_refuses_wrong_settings_before_it_starts(run, tmp_path):
    path = tmp_path / "node.json"
    text = (EXAMPLE / "node.json").read_text()
    path.write_text(text.replace('"peer_port": 8081', '"peer_port": 8080'))
    code, out, err = run("node", "--settings", path)
    assert (code, out) == (17, "")
    assert f"{path}: listen.peer_port" in err
