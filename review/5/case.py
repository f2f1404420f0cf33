"""A request that crashes replicas, while all nodes are killed three times."""

import asyncio
import os
import signal

from common.client import ask, request
from common.deployment import Deployment, Record, config, play, route
from common.fragile import FATAL, FragileWorld, judge

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REPLICAS = 9
WORK_S = 0.05
KILLS = 3
RESTART_DELAY_S = 1.0  # "a process that is killed is restarted after a short delay"
IN_TOUCH_S = 3.5  # after the start of the nodes, longer than contactMs
FATAL_EVERY_S = 2.0
FATAL_COUNT = 3  # between two kills


async def kill_all(record: Record, deployment: Deployment) -> None:
    """Kill all nodes at the same moment and start them again."""
    record("all nodes are killed")
    for node in deployment.nodes:
        node.signal(signal.SIGKILL)
    for node in deployment.nodes:
        await node.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    await deployment.start_nodes()


async def run(record: Record) -> int:
    """Play the case and return the exit status."""
    async with Deployment(record) as deployment:
        world = FragileWorld(record, deployment, WORK_S)
        catalog = config([route("pay", "unsafe", "shop")], ["shop"])
        deployment.store.put("op", "config", catalog)
        for number in range(REPLICAS):
            await world.start_replica("abc"[number % 3])
        await deployment.start_nodes()
        sent = 0
        for part in range(1 + KILLS):
            await asyncio.sleep(IN_TOUCH_S)
            for _ in range(FATAL_COUNT):
                node = deployment.nodes[sent % len(deployment.nodes)]
                request_id = f"fatal-{sent}"
                sent += 1
                record(f"sent {request_id} to {node.name}")
                reply = await ask(node.port, request("/pay/x", request_id, body=FATAL))
                record(f"answered {request_id}: {reply.status} {reply.end}")
                await asyncio.sleep(FATAL_EVERY_S)
            if TROUBLE and part < KILLS:
                await kill_all(record, deployment)
        world.stop()
        return judge(record, world.fatal_runs)


if __name__ == "__main__":
    play(run, __file__)
