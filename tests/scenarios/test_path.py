"""Calls of every kind through separate processes, for both example deployments."""

from dataclasses import replace

from knapweedhinge.test.fleet import bearer_key
from tests.processes import Cluster

# The paths of a repeatable call and of one that runs at most once, by service.
SERVICE_CALLS = {
    "orders": ("order-status/17", "deposits"),
    "bookings": ("histories/17", "confirmations"),
}


def one_endpoint_each(deployment):
    """Return the deployment with one endpoint for each version and service."""
    kept = {}
    for spec in deployment.endpoints:
        key = spec.versions[0] if spec.kind == "engine" else spec.service
        kept.setdefault(key, spec)
    return replace(deployment, endpoints=tuple(kept.values()))


async def test_chat_and_service_through_processes(example, tmp_path):
    configuration, deployment = example
    organisation = configuration.organisations[0]
    headers = {"Authorization": f"Bearer {bearer_key(organisation.id)}"}
    async with Cluster(
        tmp_path, configuration, one_endpoint_each(deployment)
    ) as cluster:
        http = cluster.http
        addresses = await cluster.addresses()
        assert len(addresses) == 3

        body = {
            "model": configuration.classes[0].id,
            "messages": [{"role": "user", "content": "an oak shelf"}],
            "stream": True,
            "max_tokens": 5,
        }
        for address in addresses:
            url = f"http://{address['ip']}:{address['port']}"
            async with http.post(
                f"{url}/v1/chat/completions", json=body, headers=headers
            ) as resp:
                text = await resp.text()
            assert resp.status == 200, text
            assert resp.headers["X-Model-Version"] in organisation.allowed_versions
            events = text.strip().split("\n\n")
            assert len(events) == 7  # five tokens, the finish reason and [DONE]
            assert events[-1].endswith("data: [DONE]")

        service = configuration.services[0]
        lookup, once = SERVICE_CALLS[service.id]
        url = f"{cluster.node_url(1)}/services/{service.id}"
        async with http.get(f"{url}/{lookup}", headers=headers) as resp:
            assert resp.status == 200
            assert resp.headers["X-Run-State"] == "completed"
        keyed = headers | {"Idempotency-Key": "k1"}
        replies = []
        for _ in range(2):
            async with http.post(f"{url}/{once}", json={}, headers=keyed) as resp:
                assert resp.status == 200
                replies.append(await resp.read())
        assert replies[0] == replies[1]
        ran = [
            call
            for spec in cluster.deployment.endpoints
            if spec.kind == "service"
            for call in await cluster.calls(spec.id)
            if call["path"] == f"/{once}"
        ]
        assert len(ran) == 1
        for process in cluster.nodes.values():
            assert await process.stop() == 0
