"""A request that crashes engines is refused by all nodes; other requests are not."""

import asyncio
from dataclasses import replace

import aiohttp
import pytest

from knapweedhinge.conf import load_configuration, load_deployment
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.test.fleet import Fleet, bearer_key
from tests.conftest import EXAMPLES
from tests.scenarios.world import most_replicated_version

CRASHING_PROMPT = "a splinter"
NODES = 3
QUARANTINE_S = 6.0  # for which a request is refused; longer than all of a test's calls
WAIT_S = 10.0  # bound on waiting for all nodes to learn of the crashes


def example():
    folder = EXAMPLES / "guanacaste"
    configuration = load_configuration(folder / "configuration.json")
    limits = replace(configuration.limits, quarantine_s=QUARANTINE_S)
    deployment = load_deployment(folder / "deployment.json")
    return replace(configuration, limits=limits), deployment


class Caller:
    """Send chat requests as an organisation that may use the most replicated version.

    ``crashes`` counts how often the crashing request reached an endpoint.
    """

    def __init__(self, fleet: Fleet, http: aiohttp.ClientSession):
        self.fleet = fleet
        self.http = http
        self.version = most_replicated_version(fleet.deployment)
        self.organisation_id = next(
            organisation.id
            for organisation in fleet.configuration.organisations
            if self.version in organisation.allowed_versions
        )

    async def chat(self, prompt: str, node: int = 0, **fields) -> int:
        """Return the result code of a request."""
        url = f"http://127.0.0.1:{self.fleet.nodes[node].port}/v1/chat/completions"
        messages = [{"role": "user", "content": prompt}]
        body = {"model": self.version, "messages": messages, "max_tokens": 8} | fields
        headers = {"Authorization": f"Bearer {bearer_key(self.organisation_id)}"}
        async with self.http.post(url, json=body, headers=headers) as resp:
            await resp.read()
            return int(resp.headers["X-Result-Code"])

    def crashes(self) -> int:
        logs = (endpoint.standin.calls for endpoint in self.fleet.endpoints.values())
        return sum(CRASHING_PROMPT in call.body for log in logs for call in log)


@pytest.mark.asyncio
@pytest.mark.parametrize("stream", [False, True])
async def test_crashing_request_is_refused_by_all_nodes_until_quarantine_ends(stream):
    quarantined = ResultCode.QUARANTINED.number
    async with Fleet(*example(), NODES) as fleet, aiohttp.ClientSession() as http:
        caller = Caller(fleet, http)
        for endpoint in fleet.endpoints.values():
            if endpoint.spec.kind == "engine":
                endpoint.standin.faults.crash_on = CRASHING_PROMPT
        codes = [await caller.chat(CRASHING_PROMPT, stream=stream) for _ in range(2)]
        assert codes[-1] == quarantined
        assert caller.crashes() == 2
        async with asyncio.timeout(WAIT_S):
            for node in range(NODES):
                while len(fleet.nodes[node].ctx.quarantine.crashes()) < 2:
                    await asyncio.sleep(0.02)
        codes = [
            await caller.chat(CRASHING_PROMPT, node, stream=stream)
            for node in range(NODES)
        ]
        assert codes == [quarantined] * NODES
        assert caller.crashes() == 2
        assert await caller.chat("an oak shelf", 1) == 0
        for endpoint in fleet.endpoints.values():
            if endpoint.spec.kind == "engine":
                endpoint.standin.faults.crash_on = ""
        await asyncio.sleep(QUARANTINE_S)
        assert await caller.chat(CRASHING_PROMPT, 2, stream=stream) == 0
