"""Six nodes and one engine in cold start, which is never sent more than its limit.

While the engine is cold, each request needs a permit. One node, the owner, grants them;
it holds a lease for that on the platform.
"""

import asyncio
import signal
from dataclasses import replace

import pytest

from knapweedhinge.backing import connect
from knapweedhinge.conf import PlatformSettings
from knapweedhinge.controllers.leases import TABLE
from knapweedhinge.test.fleet import bearer_key
from tests.processes import Cluster, eventually, start_process
from tests.scenarios.conftest import load_example

NODES = 6
PERMIT_LEASE_KEY = "permits/any"
WARM_REPORT_MAX_AGE_S = 1.0  # older reports that an engine is warm do not count
MARGIN_S = 0.3  # allowance for a request's network delay and for clock drift
SETTINGS = {
    "endpoints": {"status_s": 0.1},
    "leases": {"term_s": 1.0, "margin_s": 0.2},
    "permits": {"start_s": 0.5, "news_s": WARM_REPORT_MAX_AGE_S, "margin_s": MARGIN_S},
}
STAYS_COLD = 100_000  # as ``cold_answers``: more than a test gets from the engine


class ColdCluster(Cluster):
    """Six nodes and one engine that is cold for its first ``cold_answers`` answers."""

    def __init__(self, tmp_path, cold_answers):
        configuration, deployment = load_example("guanacaste")
        engine = next(spec for spec in deployment.endpoints if spec.kind == "engine")
        deployment = replace(deployment, endpoints=(engine,))
        super().__init__(tmp_path, configuration, deployment, NODES, **SETTINGS)
        self.engine = engine
        self.cold_answers = cold_answers

    async def _start_endpoint(self, spec, port=0):
        return await start_process(
            spec.id,
            "knapweedhinge.test.engine",
            f"--name={spec.id}",
            f"--version={spec.versions[0]}",
            f"--cold-answers={self.cold_answers}",
        )

    async def chat(self, index, deadline_s=30.0):
        """Send a chat request to a node and return the HTTP status."""
        headers = {
            "Authorization": f"Bearer {bearer_key(self.organisation)}",
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        body = {
            "model": self.engine.versions[0],
            "messages": [{"role": "user", "content": "an oak shelf"}],
            "max_tokens": 5,
        }
        url = f"{self.node_url(index)}/v1/chat/completions"
        async with self.http.post(url, json=body, headers=headers) as resp:
            await resp.read()
            return resp.status

    @property
    def organisation(self):
        """Return the id of an organisation that may use the engine's version."""
        version = self.engine.versions[0]
        return next(
            organisation.id
            for organisation in self.configuration.organisations
            if version in organisation.allowed_versions
        )

    async def status(self):
        """Return the status that the engine reports."""
        url = f"{self.endpoint_url(self.engine.id)}/engine/status"
        async with self.http.get(url) as resp:
            return await resp.json()

    async def overruns(self):
        """Return how many requests were above the engine's limit while it was cold."""
        return (await self.status())["cold_overruns"]

    async def restart_engine(self):
        """Make the engine cold under a new incarnation."""
        url = f"{self.endpoint_url(self.engine.id)}/standin/restart"
        async with self.http.post(url) as resp:
            assert resp.status == 200

    async def permit_lease(self):
        """Return the value of the owner's lease; its ``vm`` names the owner."""
        platform = await connect(PlatformSettings(url=self.platform_url))
        try:
            return (await platform.tables.get(TABLE, PERMIT_LEASE_KEY)).value
        finally:
            await platform.close()

    async def started_requests(self):
        """Return how many requests the engine began to run."""
        return len(await self.calls(self.engine.id))


async def keep_sending(cluster, index, statuses):
    """Send requests to a node one after another and collect their statuses."""
    while True:
        statuses.append(await cluster.chat(index))


class Load:
    """Five callers at each of the nodes, each with one request at a time.

    ``statuses`` collects the HTTP statuses of all replies.
    """

    def __init__(self, cluster, nodes):
        self.statuses = []
        self._tasks = [
            asyncio.create_task(keep_sending(cluster, index, self.statuses))
            for index in nodes
            for _ in range(5)
        ]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def test_many_nodes_at_once(tmp_path):
    async with ColdCluster(tmp_path, cold_answers=40) as cluster:
        sent = [cluster.chat(number % NODES) for number in range(60)]
        assert await asyncio.gather(*sent) == [200] * 60
        assert await cluster.started_requests() == 60
        status = await cluster.status()
        assert (status["cold"], status["cold_overruns"]) == (False, 0)


async def test_engine_turns_cold_without_warning(tmp_path):
    """Check that the cold limit holds once the nodes know of a restart.

    Requests that ran, or were sent, before they knew exceed the limit.
    """
    async with ColdCluster(tmp_path, cold_answers=150) as cluster:
        url = cluster.endpoint_url(cluster.engine.id)
        async with Load(cluster, range(NODES)) as callers:
            await eventually(lambda: is_warm(cluster), 30.0)
            assert await cluster.overruns() == 0
            await cluster.set_faults(url, slow_s=0.05)
            await asyncio.sleep(WARM_REPORT_MAX_AGE_S)
            await cluster.restart_engine()
            await asyncio.sleep(WARM_REPORT_MAX_AGE_S + MARGIN_S)
            excess = await cluster.overruns()
            count = await cluster.started_requests()
            await eventually(lambda: has_started(cluster, count + 10))
            status = await cluster.status()
            assert status["cold"]
            assert status["cold_overruns"] == excess
            assert excess > 0
        assert set(callers.statuses) == {200}


@pytest.mark.parametrize(
    ("pause_s", "lease_moves"),
    [(0.3, False), (3.0, True)],
    ids=["shorter than the term", "longer than the term"],
)
async def test_owner_is_paused(tmp_path, pause_s, lease_moves):
    async with ColdCluster(tmp_path, cold_answers=STAYS_COLD) as cluster:
        assert await cluster.chat(0) == 200
        old_lease = await cluster.permit_lease()
        owner = cluster.nodes[old_lease["vm"]]
        paused = list(cluster.nodes).index(old_lease["vm"])
        async with Load(cluster, set(range(NODES)) - {paused}) as callers:
            owner.signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            count = await cluster.started_requests()
            if lease_moves:
                await eventually(lambda: has_started(cluster, count + 10), 20.0)
                new_lease = await cluster.permit_lease()
                assert new_lease["vm"] != old_lease["vm"]
                assert new_lease["fencing"] > old_lease["fencing"]
            owner.signal(signal.SIGCONT)
            await eventually(lambda: has_started(cluster, count + 50), 20.0)
        assert await cluster.overruns() == 0
        assert set(callers.statuses) == {200}


async def test_platform_outage_stops_new_permits_and_nothing_else(tmp_path):
    async with ColdCluster(tmp_path, cold_answers=STAYS_COLD) as cluster:
        assert await cluster.chat(0) == 200
        async with Load(cluster, range(NODES)):
            await cluster.set_faults(cluster.platform_url, outage=True)
            await asyncio.sleep(2 * SETTINGS["leases"]["term_s"])
            count = await cluster.started_requests()
            await asyncio.sleep(SETTINGS["leases"]["term_s"])
            assert await cluster.started_requests() == count
            await cluster.set_faults(cluster.platform_url, outage=False)
            await eventually(lambda: has_started(cluster, count + 10), 20.0)
        assert await cluster.overruns() == 0


async def is_warm(cluster):
    """Return whether the engine reports that its cold start is over."""
    return not (await cluster.status())["cold"]


async def has_started(cluster, count):
    """Return whether the engine began at least ``count`` requests."""
    return await cluster.started_requests() >= count
