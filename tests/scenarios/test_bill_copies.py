"""A node dies with bills that are not stored, and its peer stores them."""

from knapweedhinge.controllers.billing import decode_batch
from knapweedhinge.controllers.billmerge import merge_bills
from knapweedhinge.test.fleet import bearer_key
from tests.processes import Cluster, eventually
from tests.scenarios.test_path import SERVICE_CALLS, smaller


async def stored_bills(cluster):
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
    async with Cluster(tmp_path, configuration, smaller(deployment)) as cluster:
        await cluster.set_faults(cluster.platform_url, outage=True)
        url = f"{cluster.node_url(0)}/services/{service.id}/{lookup}"
        answered = set()
        for _ in range(5):
            async with cluster.http.get(url, headers=headers) as resp:
                assert resp.status == 200, await resp.text()
                answered.add(resp.headers["X-Request-Id"])
        first = next(iter(cluster.nodes.values()))
        await first.kill()
        await cluster.set_faults(cluster.platform_url, outage=False)

        async def stored():
            return answered <= set((await stored_bills(cluster)).bills)

        await eventually(stored, within_s=20.0)
        folded = await stored_bills(cluster)
        assert set(folded.bills) == answered
        assert (folded.differing, folded.missing) == (set(), {})
