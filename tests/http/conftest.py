"""Fixtures that run a one-node deployment in this process and an HTTP client."""

from dataclasses import replace

import aiohttp
import pytest

from knapweedhinge.conf import load_configuration, load_deployment
from knapweedhinge.test.fleet import Fleet
from tests.conftest import EXAMPLES
from tests.scenarios.world import keep_replicated_endpoints

FOLDER = EXAMPLES / "guanacaste"


class QuickFleet(Fleet):
    """A fleet whose nodes stop fast, since callers cache their addresses briefly."""

    def settings(self, vm):
        settings = super().settings(vm)
        return replace(settings, http=replace(settings.http, address_ttl_s=0.1))

    @property
    def url(self) -> str:
        node = self.nodes[0]
        return f"http://{node.settings.listen.ip}:{node.port}"


@pytest.fixture
async def fleet():
    configuration = load_configuration(FOLDER / "configuration.json")
    deployment = keep_replicated_endpoints(load_deployment(FOLDER / "deployment.json"))
    async with QuickFleet(configuration, deployment, 1) as running:
        yield running


@pytest.fixture
async def http():
    async with aiohttp.ClientSession() as session:
        yield session
