import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import aiohttp

from knapweedhinge.conf import VotingRules, load_configuration, load_deployment
from knapweedhinge.controllers.configuration_staleness import may_accept
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.management import main
from knapweedhinge.core.management.exit_codes import ExitCode
from knapweedhinge.test import platform
from knapweedhinge.test.fleet import Fleet, bearer_key
from tests.processes import eventually

EXAMPLE = Path(__file__).parents[3] / "examples" / "binh-minh"
OLD, NEW = "coil-large@2", "coil-large@3"
TIMEOUT_S = 30.0


class Commands:
    """Run command lines in a thread, while the nodes run in the event loop."""

    def __init__(self, fleet, capsys):
        self.fleet = fleet
        self._capsys = capsys

    async def run(self, *argv):
        """Run a command with ``--json``; return its exit code and its parsed output."""
        code = await asyncio.to_thread(main, [*argv, "--json"])
        captured = self._capsys.readouterr()
        return code, json.loads(captured.out or captured.err)

    async def result(self, *argv):
        code, result = await self.run(*argv)
        assert code == ExitCode.SUCCESS, result
        return result

    async def refusal(self, *argv):
        code, result = await self.run(*argv)
        assert code == ExitCode.CALLER
        return result["error"]

    async def wait_for_majority(self):
        """Wait until every node is in contact with enough members to accept changes."""

        async def everywhere():
            return all(
                may_accept(node.state.current.heard_fraction(node.clock()))
                for node in self.fleet.nodes
            )

        await eventually(everywhere)

    async def wait_for_revision(self, revision):
        """Wait until every node uses the revision or a later one."""

        async def everywhere():
            return all(node.configurations.state.revision >= revision for node in nodes)

        nodes = self.fleet.nodes
        await eventually(everywhere)

    async def change(self, *argv):
        revision = (await self.result(*argv))["revision"]
        await self.wait_for_revision(revision)
        return await self.result("configuration")

    async def chat(self, model, node=0):
        """Send a chat request as the first organisation; return status and headers."""
        organisation = self.fleet.configuration.organisations[0].id
        url = f"http://127.0.0.1:{self.fleet.nodes[node].port}/v1/chat/completions"
        headers = {"Authorization": f"Bearer {bearer_key(organisation)}"}
        body = {"model": model, "messages": [{"role": "user", "content": "no heat"}]}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json=body | {"max_tokens": 3}) as resp,
        ):
            await resp.read()
            return resp.status, resp.headers


@asynccontextmanager
async def running(capsys, monkeypatch, **changes):
    """Start three nodes and pass their addresses to commands by the environment."""
    configuration = load_configuration(EXAMPLE / "configuration.json")
    deployment = load_deployment(EXAMPLE / "deployment.json")
    fleet = Fleet(replace(configuration, **changes), deployment, 3)
    async with asyncio.timeout(TIMEOUT_S), fleet:
        nodes = [f"127.0.0.1:{node.port}" for node in fleet.nodes]
        monkeypatch.setenv("KNAPWEEDHINGE_NODES", ",".join(nodes))
        monkeypatch.setenv("KNAPWEEDHINGE_OPERATOR_KEY", "operator-key")
        commands = Commands(fleet, capsys)
        await commands.wait_for_majority()
        yield commands


def item(configuration, name, item_id):
    return next(entry for entry in configuration[name] if entry["id"] == item_id)


async def test_reads(capsys, monkeypatch):
    async with running(capsys, monkeypatch) as commands:
        fleet = commands.fleet
        addresses = (await commands.result("addresses"))["addresses"]
        assert sorted(address["port"] for address in addresses) == sorted(
            node.port for node in fleet.nodes
        )
        read = await commands.result("configuration")
        assert [entry["id"] for entry in read["classes"]] == [
            class_of_work.id for class_of_work in fleet.configuration.classes
        ]
        dumps = await commands.result("dump")
        assert len(dumps) == len(fleet.nodes)
        assert all(dump["revision"] == 1 for dump in dumps.values())
        _, headers = await commands.chat("customer-note")
        explained = await commands.result("dump", "--explain", headers["X-Request-Id"])
        assert sum("error" not in answer for answer in explained.values()) == 1
        for node in fleet.nodes:
            budget = node.platform.state(node.clock()).budget
            assert budget.members == len(fleet.nodes)


async def test_changes_that_operators_make_without_a_vote(capsys, monkeypatch):
    async with running(capsys, monkeypatch) as commands:
        read = await commands.change("failure-domain", "out", "thu-duc")
        assert item(read, "failure_domains", "thu-duc")["out"]
        addresses = (await commands.result("addresses"))["addresses"]
        left = sorted(address["failure_domain"] for address in addresses)
        assert left == ["quan-1", "tan-binh"]
        read = await commands.change("failure-domain", "in", "thu-duc")
        assert not item(read, "failure_domains", "thu-duc")["out"]

        step = ("rollout", "advance", "coil-large-3", "--exposure", "0.05")
        read = await commands.change(*step)
        assert item(read, "roll_outs", "coil-large-3")["exposure"] == 0.05
        error = await commands.refusal(*step[:-1], "0.5")
        assert error["message"] == "exposure: over the voted limit 0.1"
        read = await commands.change("rollout", "roll-back", "coil-large-3")
        assert item(read, "roll_outs", "coil-large-3")["state"] == "rolled-back"
        start = ("rollout", "start", "again", "--version", NEW, "--stable", OLD)
        read = await commands.change(*start, "--exposure", "0.1")
        assert item(read, "roll_outs", "again")["state"] == "running"
        read = await commands.change("rollout", "finish", "again")
        assert item(read, "roll_outs", "again")["state"] == "finished"

        assert (await commands.chat(OLD))[0] == 200
        read = await commands.change("withdraw", OLD)
        assert item(read, "versions", OLD)["withdrawn"]
        for node in range(3):
            status, headers = await commands.chat(OLD, node)
            assert status == ResultCode.VERSION_WITHDRAWN.value.status
            assert headers["X-Run-State"] == "not-run"


async def test_one_of_two_operators_wins(capsys, monkeypatch):
    async with running(capsys, monkeypatch) as commands:
        await commands.result("failure-domain", "out", "quan-1", "--revision", "1")
        nodes = [f"127.0.0.1:{node.port}" for node in commands.fleet.nodes]
        late = ("withdraw", OLD, "--revision", "1", "--node", nodes[1])
        error = await commands.refusal(*late)
        assert error["code"] == ResultCode.REVISION_CONFLICT.number
        winner = "revision 2 was taken by set-failure-domain of operator c9736463"
        assert winner in error["message"]
        await commands.wait_for_revision(2)
        read = await commands.result("configuration")
        assert not item(read, "versions", OLD)["withdrawn"]


LIMITS = {"type": "set-limits", "limits": {"retry_share": 0.3}}


async def test_limits_take_effect_by_vote(capsys, monkeypatch, tmp_path):
    path = tmp_path / "limits.json"
    path.write_text(json.dumps(LIMITS))
    async with running(capsys, monkeypatch) as commands:
        change = ("configuration", "--change", str(path))
        error = await commands.refusal(*change)
        assert error["code"] == ResultCode.VOTE_REQUIRED.number
        proposal = await commands.result("propose", "--change", str(path))
        assert proposal["change"]["type"] == LIMITS["type"]
        for organisation in commands.fleet.configuration.organisations[:6]:
            key = bearer_key(organisation.id)
            monkeypatch.setenv("KNAPWEEDHINGE_ORGANISATION_KEY", key)
            voted = await commands.result("vote", proposal["id"], "yes")
        assert voted["state"] == "accepted"
        await commands.wait_for_revision(voted["accepted_revision"])
        read = await commands.result("configuration")
        assert read["limits"]["retry_share"] == 0.3
        (listed,) = (await commands.result("propose", "--list"))["proposals"]
        assert listed["state"] == "accepted"


async def test_votes_are_counted_when_an_open_proposal_closes(
    capsys, monkeypatch, tmp_path
):
    path = tmp_path / "limits.json"
    path.write_text(json.dumps(LIMITS))
    rules = VotingRules(quorum=0.1, majority=0.5, open_s=2.0)
    async with running(capsys, monkeypatch, voting=rules) as commands:
        proposal = await commands.result("propose", "--change", str(path))
        organisation = commands.fleet.configuration.organisations[0]
        key = bearer_key(organisation.id)
        monkeypatch.setenv("KNAPWEEDHINGE_ORGANISATION_KEY", key)
        voted = await commands.result("vote", proposal["id"], "yes")
        assert voted["state"] == "open"
        await commands.wait_for_revision(2)
        read = await commands.result("configuration")
        assert read["limits"]["retry_share"] == 0.3


async def test_first_configuration_is_written_once(capsys, tmp_path):
    commands = Commands(None, capsys)
    served = await platform.serve()
    settings = tmp_path / "node.json"
    text = (EXAMPLE / "node.json").read_text()
    settings.write_text(text.replace("http://127.0.0.1:9000", served.url))
    first = str(EXAMPLE / "configuration.json")
    argv = ["configuration", "--first", first, "--settings", str(settings)]
    try:
        assert await commands.result(*argv) == {"revision": 1}
        error = await commands.refusal(*argv)
        assert "holds a configuration already" in error["message"]
    finally:
        await served.close()
