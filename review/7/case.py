"""Show that a stream that can't be resumed runs twice on a route with ``sizes``.

A new version of the config adds a route whose streams can't be resumed. Consumers leave
the choice of the model to the system, and the smallest model rates its answers low.
Without the trouble the new route is resumable, so its requests may run again.
"""

import asyncio
from collections import Counter
from pathlib import Path

from harness import (
    HOST,
    KEY,
    Node,
    Record,
    Replica,
    RowStoreStandIn,
    ask,
    request,
    run,
    running,
)

ZONES = ("hcm-a", "hcm-b", "hcm-c")
CONFIG_S = 2.0  # bound ``configMs``, after which every machine has the new route
REQUESTS = 10  # of each route at each machine
CONFIDENCE = {"m0": 30, "m2": 90}  # that the models give themselves


def route(name: str, **fields) -> dict:
    """Return a stream route that leads to the models."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "stream",
        "timeoutMs": 20000,
        "targetLatencyMs": 4000,
        "priority": 0,
        "sizes": ["m0", "m2"],
        "service": "hinge-llm",
        "attempts": 3,
        "public": False,
        "sticky": True,
        "gapAimMs": 2500,
        **fields,
    }


def config(version: int, routes: list[dict]) -> dict:
    """Return a config with the routes."""
    engine = {
        "slots": 64,
        "kvCapacity": 486086,
        "stride": 7,
        "models": [{"name": "m0", "cost": 0.017}, {"name": "m2", "cost": 0.25}],
    }
    service = {"name": "hinge-llm", "healthPath": "/health", "maxConns": 360}
    return {
        "version": version,
        "routes": routes,
        "services": [{**service, "coldS": 3.0, "coldPerS": 10.0, "engine": engine}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 1}],
    }


def stream_request(route_name: str, request_id: str) -> bytes:
    """Return a consumer's request that leaves the choice of the model to the system."""
    return request(
        f"/{route_name}/x",
        request_id,
        deadline_ms=20000,
        Knapweedhinge_Model="*",
        Knapweedhinge_Token_Count="600,40",
        Knapweedhinge_Prompt_Prefix=f"5c1e07a2:400,{request_id}:200",
    )


async def main(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a request that may run once at most ran more often."""
    store = RowStoreStandIn()
    await store.start()
    replicas = [
        Replica(f"i-{number}", "hinge-llm", zone, confidence=CONFIDENCE)
        for number, zone in enumerate(ZONES)
    ]
    store.put("op", "config", config(1, [route("chat", resumable=True)]))
    for replica in replicas:
        await replica.start()
        store.put("servers", replica.id, replica.record(slots=64))
    nodes = [Node(f"front-{zone}", zone, store.address, folder) for zone in ZONES]
    async with running(nodes):
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.gather(*(node.until_ready() for node in nodes))
        may_repeat = {"chat": True, "once": not trouble}
        routes = [
            route(name, resumable=True) for name in may_repeat if may_repeat[name]
        ]
        routes += [route(name) for name in may_repeat if not may_repeat[name]]
        store.put("op", "config", config(4, routes))
        record.line(f"config 4 adds the route once; may be resumed: {may_repeat}")
        await asyncio.sleep(CONFIG_S + 0.5)
        for node in nodes:
            for name in may_repeat:
                for number in range(REQUESTS):
                    request_id = f"{name}-{node.name}-{number}"
                    reply = await ask(node.callers, stream_request(name, request_id))
                    record.line(f"{request_id} sent once, answered {reply.text()}")
    runs: Counter[str] = Counter()
    for replica in replicas:
        for call in replica.calls:
            request_id = call.get(b"knapweedhinge-request-id").decode()
            model = call.get(b"knapweedhinge-model").decode()
            runs[request_id] += 1
            record.line(f"{request_id} ran at {replica.id} on model {model}")
    broken = False
    for name in may_repeat:
        twice = [key for key in runs if key.startswith(name) and runs[key] > 1]
        record.line(f"route {name}: {len(twice)} of {3 * REQUESTS} ran more than once")
        broken |= bool(twice) and not may_repeat[name]
    return broken


if __name__ == "__main__":
    run(main, Path(__file__).parent)
