"""The bills of a killed node that were not stored yet are stored by its peers."""

from knapweedhinge.controllers.billing import decode_batch
from knapweedhinge.controllers.billmerge import merge_bills
from knapweedhinge.test.fleet import bearer_key
from tests.processes import Cluster, eventually
from tests.scenarios.test_path import SERVICE_CALLS, one_endpoint_each


async def stored_bills(cluster):
    """Return the merged bills that are stored as objects on the platform."""
    url = cluster.platform_url
    params = {"prefix": "bills/", "after": ""}
    async with cluster.http.get(f"{url}/v1/objects", params=params) as resp:
        names = (await resp.json())["names"]
    batches = []
    for name in names:
        async with cluster.http.get(f"{url}/v1/object", params={"name": name}) as resp:
            batches.append(decode_batch(await resp.read()))
    return merge_bills(batches)


async def test_bills_of_a_killed_node_are_stored_once(example, tmp_path):
    configuration, deployment = example
    organisation = configuration.organisations[0]
    headers = {"Authorization": f"Bearer {bearer_key(organisation.id)}"}
    service = configuration.services[0]
    lookup, _ = SERVICE_CALLS[service.id]
    async with Cluster(
        tmp_path, configuration, one_endpoint_each(deployment)
    ) as cluster:
        await cluster.set_faults(cluster.platform_url, outage=True)
        url = f"{cluster.node_url(0)}/services/{service.id}/{lookup}"
        request_ids = set()
        for _ in range(5):
            async with cluster.http.get(url, headers=headers) as resp:
                assert resp.status == 200, await resp.text()
                request_ids.add(resp.headers["X-Request-Id"])
        first = next(iter(cluster.nodes.values()))
        await first.kill()
        await cluster.set_faults(cluster.platform_url, outage=False)

        async def stored():
            return request_ids <= set((await stored_bills(cluster)).bills)

        await eventually(stored, within_s=20.0)
        merged = await stored_bills(cluster)
        assert set(merged.bills) == request_ids
        assert (merged.differing, merged.missing) == (set(), {})
