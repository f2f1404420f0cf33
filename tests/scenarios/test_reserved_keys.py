"""Calls with a reserved idempotency key run at most once, also without the platform.

Nodes reserve ranges of keys at the platform in advance and hand the keys out with their
addresses.
"""

from knapweedhinge.test.fleet import bearer_key
from tests.processes import Cluster, eventually
from tests.scenarios.test_path import SERVICE_CALLS, one_endpoint_each


async def test_reserved_key_runs_once_during_an_outage(example, tmp_path):
    configuration, deployment = example
    organisation = configuration.organisations[0]
    service = configuration.services[0]
    _, once = SERVICE_CALLS[service.id]
    async with Cluster(
        tmp_path, configuration, one_endpoint_each(deployment)
    ) as cluster:
        keys = []

        async def keys_received():
            url = f"{cluster.node_url(0)}/v1/addresses"
            async with cluster.http.get(url) as resp:
                keys.extend((await resp.json())["reserved_keys"])
            return bool(keys)

        await eventually(keys_received)
        await cluster.set_faults(cluster.platform_url, outage=True)
        headers = {
            "Authorization": f"Bearer {bearer_key(organisation.id)}",
            "Idempotency-Key": keys[0],
        }
        answers = []
        for node in (1, 0, 2):
            url = f"{cluster.node_url(node)}/services/{service.id}/{once}"
            async with cluster.http.post(url, json={}, headers=headers) as resp:
                assert resp.status == 200, await resp.text()
                answers.append(await resp.read())
        assert len(set(answers)) == 1
        ran = [
            call
            for spec in cluster.deployment.endpoints
            if spec.kind == "service"
            for call in await cluster.calls(spec.id)
            if call["path"] == f"/{once}"
        ]
        assert len(ran) == 1
