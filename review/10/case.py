"""Show that replicas that have left get work for too long after an outage.

The store is silent for some seconds and sound again for longer than ``contactMs``. Then
the replicas of a service leave without reporting it, as the pages allow: their entries
are removed, and they serve a while longer. Without the trouble there is no outage.
"""

import asyncio
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
    RowStoreStandIn,
    ask,
    request,
    run,
    running,
)

ZONES = ("hcm-a", "hcm-b", "hcm-c")
OUTAGE_S = 4.0  # the longest in a site file is 8 s
CONTACT_S = 3.0  # bound ``contactMs``
LEAVE_AFTER_S = CONTACT_S + 0.3  # from the end of the outage
DRAIN_S = 2.0  # bound ``drainMs``
SERVES_S = DRAIN_S + 0.15  # how long a replica serves after its entry was removed
WORK_S = 0.05  # of a request at a replica
REQUEST_GAP_S = 0.02
REPLICAS = 2


@dataclass(frozen=True)
class Arrival:
    """A request that reached a replica, in seconds of the monotonic clock."""

    replica: str
    request_id: str
    at: float


def config() -> dict:
    """Return a config with one unsafe route."""
    route = {
        "name": "book",
        "host": HOST,
        "prefix": "/book/",
        "kind": "unsafe",
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 2,
        "service": "booking-app",
        "attempts": 3,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "booking-app", "healthPath": "/health", "maxConns": 100}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 1}],
    }


async def consume(record: Record, nodes: list[Node], answers: dict[str, int]) -> None:
    """Send a request every few milliseconds to each machine in turn, without end."""
    asking: set[asyncio.Task] = set()

    async def one(node: Node, request_id: str) -> None:
        reply = await ask(node.callers, request("/book/x", request_id))
        answers[request_id] = reply.status
        record.line(f"{request_id} at {node.name}: {reply.text()}")

    number = 0
    while True:
        number += 1
        node = nodes[number % len(nodes)]
        task = asyncio.create_task(one(node, f"book-{number}"))
        asking.add(task)
        task.add_done_callback(asking.discard)
        await asyncio.sleep(REQUEST_GAP_S)


async def watch(replica: Replica, arrivals: list[Arrival]) -> None:
    """Note when each request reaches a replica, a few milliseconds late at most."""
    seen = 0
    while True:
        for call in replica.calls[seen:]:
            request_id = call.get(b"knapweedhinge-request-id").decode()
            arrivals.append(Arrival(replica.id, request_id, call.received_at))
            seen += 1
        await asyncio.sleep(0.005)


async def main(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether a request reached a replica too long after it had left."""
    store = RowStoreStandIn()
    await store.start()
    replicas = [Replica(f"i-{n}", "booking-app", ZONES[n]) for n in range(REPLICAS)]
    store.put("op", "config", config())
    for replica in replicas:
        replica.faults.late_s = WORK_S
        await replica.start()
        store.put("servers", replica.id, replica.record(slots=6))
    nodes = [Node(f"front-{zone}", zone, store.address, folder) for zone in ZONES]
    arrivals: list[Arrival] = []
    answers: dict[str, int] = {}
    async with running(nodes):
        await asyncio.gather(*(node.start() for node in nodes))
        await asyncio.gather(*(node.until_ready() for node in nodes))
        await asyncio.sleep(3.0)  # until the nodes know each other
        tasks = [asyncio.create_task(watch(replica, arrivals)) for replica in replicas]
        if trouble:
            store.faults.mode = "silent"
            record.line("the store is silent")
        await asyncio.sleep(OUTAGE_S)
        store.faults.mode = "ok"
        record.line("the store answers")
        await asyncio.sleep(LEAVE_AFTER_S - 0.5)
        tasks.append(asyncio.create_task(consume(record, nodes, answers)))
        await asyncio.sleep(0.5)
        left_at = {}
        for replica in replicas:
            store.put("servers", replica.id, None)
            left_at[replica.id] = time.monotonic()
            record.line(f"the entry of {replica.id} is removed")
        await asyncio.sleep(SERVES_S)
        for replica in replicas:
            await replica.stop()
        record.line("the replicas exit")
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    late = cut = 0
    for arrival in sorted(arrivals, key=lambda found: found.at):
        after_s = arrival.at - left_at[arrival.replica]
        status = answers.get(arrival.request_id)
        late += after_s > DRAIN_S
        cut += after_s > DRAIN_S and status != 200
        note = f", LATE, answered {status}" if after_s > DRAIN_S else ""
        record.line(
            f"{arrival.request_id} reached {arrival.replica} {after_s:+.3f} s after it "
            f"had left{note}"
        )
    record.line(
        f"{late} requests came later than drainMs after the ack, {cut} were cut"
    )
    return late > 0


if __name__ == "__main__":
    run(main, Path(__file__).parent)
