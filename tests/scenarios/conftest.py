"""Fixtures that start the clusters on which scenarios run."""

import asyncio

import pytest

from knapweedhinge.conf import load_configuration, load_deployment
from tests.conftest import EXAMPLES
from tests.processes import Cluster
from tests.scenarios.world import World, keep_replicated_endpoints

# Sections of node settings with times short enough for tests.
SHORT_TIMES = {
    "endpoints": {"stall_s": 0.5, "status_s": 0.2},
    "http": {"address_ttl_s": 0.5, "shutdown_s": 10.0, "body_timeout_s": 0.5},
}


def load_example(example: str):
    """Return the configuration and deployment of an example by its name."""
    folder = EXAMPLES / example
    return (
        load_configuration(folder / "configuration.json"),
        load_deployment(folder / "deployment.json"),
    )


def start_world(
    example: str,
    runner: asyncio.Runner,
    tmp_path_factory,
    keep=keep_replicated_endpoints,
):
    """Start a cluster of an example, yield its world and stop the cluster.

    ``keep`` takes the deployment and returns it with the endpoints to start.
    """
    configuration, deployment = load_example(example)
    cluster = Cluster(
        tmp_path_factory.mktemp("cluster"),
        configuration,
        keep(deployment),
        **SHORT_TIMES,
    )
    runner.run(cluster.__aenter__())
    yield World(runner, cluster)
    runner.run(cluster.__aexit__())


@pytest.fixture(scope="session")
def loop_runner():
    """Give the event loop on which all clusters run."""
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="session", params=["guanacaste", "binh-minh"])
def shared_world(request, loop_runner, tmp_path_factory):
    """Start a cluster for all scenarios that ``World.reset`` can undo."""
    yield from start_world(request.param, loop_runner, tmp_path_factory)


@pytest.fixture
def world(shared_world, request):
    """Give the shared cluster with all faults switched off.

    The scenario's name becomes part of idempotency keys, which may have 200 characters.
    """
    shared_world.scenario = request.node.name[:100]
    shared_world.run(shared_world.reset())
    return shared_world


@pytest.fixture
def context():
    """Give the dictionary in which steps store values for later steps."""
    return {}
