"""A request that crashes replicas just after the first event of its stream."""

import asyncio
import os

from common.client import ask, request
from common.deployment import Deployment, Record, WorkingReplica, config, play, route
from common.fragile import FATAL, FragileWorld, judge

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODELS = ("m0", "m1", "m2")
REPLICAS = 9
WORK_S = 0.05
LOAD_PER_S = 30
FATAL_EVERY_S = 2.0
FATAL_COUNT = 12
SSE = (b"Content-Type", b"text/event-stream")


class Engine(WorkingReplica):
    """A model replica; the fatal request crashes it once its first event was sent."""

    world: FragileWorld

    async def _handle(self, exchange) -> None:
        expected_id = exchange.get(b"knapweedhinge-expect-replica")
        if not TROUBLE or exchange.body != FATAL or expected_id != self.id.encode():
            await super()._handle(exchange)
            return
        request_id = exchange.get(b"knapweedhinge-request-id").decode()
        self.log(f"run {request_id} at {self.id} ({self.version})")
        self.world.fatal_runs.append((self.log.now, request_id, self.id))
        await asyncio.sleep(WORK_S)
        number = int(exchange.get(b"last-event-id") or 0) + 1
        exchange.begin(200, (*self._response_headers(exchange), SSE))
        exchange.send(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await asyncio.sleep(WORK_S)
        await self.world.crash(self, f"request {request_id}")


def chat(request_id: str, body: bytes) -> bytes:
    """Return a request for a stream."""
    headers = (
        "Knapweedhinge-Model: *",
        "Knapweedhinge-Token-Count: 1460,80",
        f"Knapweedhinge-Prompt-Prefix: 5c1e07a2:800,{body.hex()[-8:]}:660",
    )
    return request("/chat/x", request_id, body=body, deadline_ms=5000, headers=headers)


async def send_load(record: Record, deployment: Deployment) -> None:
    """Send sound streams to the nodes in turn, all of them different."""
    number = 0
    running = set()
    while True:
        node = deployment.nodes[number % len(deployment.nodes)]
        task = asyncio.ensure_future(sound(record, node.port, f"sound-{number}"))
        running.add(task)
        task.add_done_callback(running.discard)
        number += 1
        await asyncio.sleep(1 / LOAD_PER_S)


async def sound(record: Record, port: int, request_id: str) -> None:
    """Send one sound request and note a bad end."""
    reply = await ask(port, chat(request_id, request_id.encode()), 8.0)
    if reply.status != 200 or not reply.whole:
        record(f"answered {request_id}: {reply.status} {reply.end}")


def catalog() -> dict:
    """Return a config with one route to the model replicas."""
    stream = route(
        "chat",
        "stream",
        "engine",
        timeoutMs=5000,
        targetLatencyMs=4000,
        attempts=3,
        resumable=True,
        sticky=True,
        gapAimMs=2500,
        sizes=list(MODELS),
    )
    found = config([stream], ["engine"])
    models = [{"name": model, "cost": 1.0} for model in MODELS]
    engine = {"slots": 64, "kvCapacity": 486086, "models": models}
    found["services"][0]["engine"] = engine
    return found


async def run(record: Record) -> int:
    """Play the case and return the exit status."""
    async with Deployment(record) as deployment:
        world = FragileWorld(record, deployment, WORK_S, Engine, "engine")
        deployment.store.put("op", "config", catalog())
        for number in range(REPLICAS):
            await world.start_replica("abc"[number % 3])
        await deployment.start_nodes()
        load = asyncio.ensure_future(send_load(record, deployment))
        await asyncio.sleep(3.0)
        for number in range(FATAL_COUNT):
            node = deployment.nodes[number % len(deployment.nodes)]
            request_id = f"fatal-{number}"
            record(f"sent {request_id} to {node.name}")
            reply = await ask(node.port, chat(request_id, FATAL), 8.0)
            record(f"answered {request_id}: {reply.status} {reply.end}")
            await asyncio.sleep(FATAL_EVERY_S)
        load.cancel()
        world.stop()
        if not TROUBLE:
            return 0 if reply.status == 200 and reply.whole else 2
        return judge(record, world.fatal_runs)


if __name__ == "__main__":
    play(run, __file__)
