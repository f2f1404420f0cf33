"""Show that a machine that is stopped while it starts drops requests that it has read.

A rolling restart goes on while the store is silent: a machine that has just started
again can't read its config, and gets the next SIGTERM. Consumers still use its address.
Without the trouble the store answers all the while.
"""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "7"))

from harness import (  # noqa: E402
    HOST,
    KEY,
    Node,
    Record,
    Replica,
    Reply,
    RowStoreStandIn,
    ask,
    request,
    run,
    running,
)

ZONES = ("hcm-a", "hcm-b", "hcm-c")
LOST_SLACK_S = 0.2  # bound ``lostSlackMs``
OUTAGE_S = 8.0  # longest outage of the store in a site file
ROUTES = {"pay": ("unsafe", "POST", b"hello"), "look": ("safe", "GET", b"")}
REQUEST_GAP_S = 0.025
STARTED_S = 1.5  # from the start of a process to the first request
REQUESTS = 60


@dataclass
class Sent:
    """One request with its answer; ``end_s`` is from its last byte to the end."""

    request_id: str
    reply: Reply
    end_s: float


def config() -> dict:
    """Return a config with one safe and one unsafe route."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 2500,
            "targetLatencyMs": 200,
            "priority": 2,
            "service": "booking-app",
            "attempts": 3,
        }
        for name, (kind, _, _) in ROUTES.items()
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": "booking-app", "healthPath": "/health", "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 1}],
    }


async def send(node: Node, number: int) -> Sent:
    """Send a request to a machine and wait for its end."""
    name = list(ROUTES)[number % len(ROUTES)]
    _, method, body = ROUTES[name]
    request_id = f"{name}-{number}"
    sent_at = time.monotonic()
    reply = await ask(node.callers, request(f"/{name}/x", request_id, method, body))
    return Sent(request_id, reply, time.monotonic() - sent_at)


async def main(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a request that was read ended without an answer."""
    store = RowStoreStandIn()
    await store.start()
    replicas = [Replica(f"i-{n}", "booking-app", zone) for n, zone in enumerate(ZONES)]
    store.put("op", "config", config())
    for replica in replicas:
        await replica.start()
        store.put("servers", replica.id, replica.record(slots=6))
    nodes = [Node(f"front-{zone}", zone, store.address, folder) for zone in ZONES]
    async with running(nodes):
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.gather(*(node.until_ready() for node in nodes))
        rolled = nodes[0]
        rolled.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {rolled.name}")
        await rolled.process.wait()
        outage_from = time.monotonic()
        if trouble:
            store.faults.mode = "silent"
            record.line("the store is silent")
        await rolled.start()
        record.line(f"{rolled.name} starts again")
        await asyncio.sleep(STARTED_S)
        asked = []
        for number in range(REQUESTS):
            asked.append(asyncio.create_task(send(rolled, number)))
            await asyncio.sleep(REQUEST_GAP_S)
        rolled.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {rolled.name}")
        found = await asyncio.gather(*asked)
        await rolled.process.wait()
        outage_s = time.monotonic() - outage_from
    if trouble:
        record.line(f"the store was silent for {outage_s:.1f} s")
        if outage_s > OUTAGE_S:
            raise RuntimeError("the outage was longer than the pages allow")
    ran = {
        call.get(b"knapweedhinge-request-id").decode()
        for replica in replicas
        for call in replica.calls
    }
    broken = False
    for sent in found:
        # A process that ends before it has read a request resets the channel.
        lost = sent.reply.end == "closed" and sent.end_s > LOST_SLACK_S
        broken |= lost
        record.line(
            f"{sent.request_id}: {sent.reply.text()} after {sent.end_s:.3f} s"
            f"{', ran' if sent.request_id in ran else ''}{', LOST' if lost else ''}"
        )
    return broken


if __name__ == "__main__":
    run(main, Path(__file__).parent)
