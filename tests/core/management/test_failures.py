import json
import sys
from types import SimpleNamespace

import pytest

from knapweedhinge.core.codes import CodeClass
from knapweedhinge.core.management import main
from knapweedhinge.core.management.commands import check
from knapweedhinge.core.management.exit_codes import MEANINGS, ExitCode, exit_code

UNUSED_ADDRESS = "127.0.0.1:1"


def error(code, run_state, **more):
    body = {"code": code, "name": "N", "message": "m", "run_state": run_state}
    return {"error": body | more}


@pytest.fixture(autouse=True)
def operator_key(monkeypatch, run):
    monkeypatch.setenv("KNAPWEEDHINGE_OPERATOR_KEY", "k")


ANSWERED_ERRORS = [
    # status, code, run state, exit code
    (412, 1016, "not-run", ExitCode.CALLER),
    (503, 2004, "not-run", ExitCode.REFUSED),
    (502, 3001, "unknown", ExitCode.OUTCOME_UNKNOWN),
    (502, 4001, "unknown", ExitCode.ENDPOINT),
    (503, 5001, "not-run", ExitCode.PLATFORM),
    (503, 6001, "unknown", ExitCode.PEER),
    (500, 7005, "not-run", ExitCode.SETTINGS),
    (400, 1999, "not-run", ExitCode.CALLER),
    (500, 99_000, "odd", ExitCode.OUTCOME_UNKNOWN),
]


@pytest.mark.parametrize("status,number,run_state,code", ANSWERED_ERRORS)
def test_exit_code_follows_the_class_of_the_answer(
    run, start_node, status, number, run_state, code
):
    node = start_node({("POST", "/admin/changes"): (status, error(number, run_state))})
    argv = ["withdraw", "v", "--revision", 1, "--node", node.address]
    found, out, err = run(*argv, "--json")
    assert (found, out) == (code, "")
    assert json.loads(err)["error"]["code"] == number
    found, out, err = run(*argv)
    assert (found, out) == (code, "")
    assert err.startswith(f"error: {number} N: m")


def test_conflict_shows_what_was_accepted_instead(run, start_node):
    answer = error(1016, "not-run", winner={"revision": 8, "by": "operator 2"})
    node = start_node({("POST", "/admin/changes"): (412, answer)})
    argv = ["withdraw", "v", "--revision", 1, "--node", node.address]
    assert '"operator 2"' in run(*argv)[2]


def test_next_node_is_tried_when_the_change_was_not_run(run, start_node):
    leaving = start_node({("POST", "/admin/changes"): (503, error(2004, "not-run"))})
    good = start_node({("POST", "/admin/changes"): (200, {"revision": 2})})
    nodes = [UNUSED_ADDRESS, leaving.address, good.address]
    options = [argument for node in nodes for argument in ("--node", node)]
    assert run("withdraw", "v", "--revision", 1, *options)[0] == 0
    assert (len(leaving.seen), len(good.seen)) == (1, 1)


LOST_CHANGES = ["hang up", (500, "not our form"), (302, {}, {"Location": "/x"})]


@pytest.mark.parametrize("answer", LOST_CHANGES)
def test_change_that_may_have_taken_effect_is_not_sent_again(run, start_node, answer):
    first = start_node({("POST", "/admin/changes"): answer})
    second = start_node({("POST", "/admin/changes"): (200, {"revision": 2})})
    options = ["--node", first.address, "--node", second.address]
    code, _, err = run("withdraw", "v", "--revision", 1, *options)
    assert code == ExitCode.OUTCOME_UNKNOWN
    assert "[unknown]" in err
    assert (len(first.seen), len(second.seen)) == (1, 0)


def test_lost_read_is_sent_to_the_next_node(run, start_node):
    first = start_node({("GET", "/v1/addresses"): "hang up"})
    second = start_node({("GET", "/v1/addresses"): (200, {"addresses": []})})
    options = ["--node", first.address, "--node", second.address]
    assert run("addresses", *options)[0] == 0


def test_explanation_of_one_node_is_enough(run, start_node):
    knows = start_node({("GET", "/admin/dump?explain=q"): (200, {"steps": []})})
    options = ["--node", UNUSED_ADDRESS, "--node", knows.address, "--json"]
    code, out, _ = run("dump", "--explain", "q", *options)
    assert code == 0
    assert json.loads(out)[f"http://{knows.address}"] == {"steps": []}
    assert run("dump", *options)[0] == ExitCode.PEER


WRONG_ARGUMENTS = [
    # arguments, exit code, part of the error
    (["withdraw", "v"], ExitCode.CALLER, "--node"),
    (["withdraw", "v", "--node", UNUSED_ADDRESS], ExitCode.PEER, "No node answered"),
    (["withdraw", "v", "--node", "vm-1:80"], ExitCode.USAGE, "--node"),
    (["withdraw", "v", "--node", UNUSED_ADDRESS, "--timeout-s", "0"], 2, "--timeout-s"),
    (
        [
            "withdraw",
            "v",
            "--node",
            UNUSED_ADDRESS,
            "--operator-key-file",
            "/nonexistent",
        ],
        ExitCode.CALLER,
        "--operator-key-file",
    ),
    (
        ["rollout", "start", "r", "--node", UNUSED_ADDRESS],
        ExitCode.CALLER,
        "--exposure",
    ),
    (["rollout", "advance", "r", "--exposure", "2"], ExitCode.USAGE, "--exposure"),
    (["failure-domain", "out", "--node", UNUSED_ADDRESS], ExitCode.CALLER, "ID"),
    (["propose", "--node", UNUSED_ADDRESS], ExitCode.USAGE, "--change"),
    (
        ["vote", "p", "yes", "--node", UNUSED_ADDRESS],
        ExitCode.CALLER,
        "ORGANISATION_KEY",
    ),
    (["check"], ExitCode.CALLER, "--settings"),
    (["demo", "--nodes", "0"], ExitCode.USAGE, "--nodes"),
    (["bench", "speed"], ExitCode.USAGE, "measurement"),
    (["node", "--settings", "/nonexistent"], ExitCode.SETTINGS, "/nonexistent"),
    (["nothing"], ExitCode.USAGE, "nothing"),
    ([], ExitCode.USAGE, "COMMAND"),
]


@pytest.mark.parametrize("argv,code,part", WRONG_ARGUMENTS)
def test_wrong_arguments_are_named(run, argv, code, part):
    found, out, err = run(*argv)
    assert (found, out) == (code, "")
    assert part in err


RAISED = [
    (KeyboardInterrupt, ExitCode.INTERRUPTED),
    (BrokenPipeError, ExitCode.BROKEN_PIPE),
]


@pytest.mark.parametrize("raised,code", RAISED)
def test_interruptions(monkeypatch, raised, code):
    def handle(self, options):
        raise raised

    monkeypatch.setattr(check.Command, "handle", handle)
    monkeypatch.setattr(
        "knapweedhinge.core.management._discard_output", lambda: None, raising=True
    )
    assert main(["check"]) == code


def test_bench_passes_its_arguments_on(run, monkeypatch):
    seen = []
    module = SimpleNamespace(
        __doc__="Measure nothing.",
        add_arguments=lambda parser: parser.add_argument("--seed", type=int),
        run=lambda options: seen.append((options.seed, options.json)) or 0,
    )
    monkeypatch.setitem(sys.modules, "bench.policy", module)
    monkeypatch.setitem(sys.modules, "bench", SimpleNamespace(__path__=[]))
    assert run("bench", "policy", "--seed", "3", "--json")[0] == 0
    assert seen == [(3, True)]
    code, out, _ = run("bench", "policy", "--help")
    assert (code, "--seed" in out) == (0, True)


def test_each_code_class_has_its_own_exit_code():
    codes = [exit_code(code_class) for code_class in CodeClass]
    assert len(set(codes)) == len(codes)
    assert set(MEANINGS) == set(ExitCode)
