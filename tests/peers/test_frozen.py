"""A node whose process is suspended and resumed; nodes run in separate processes."""

import asyncio

from bench.control.cluster import Cluster, Shape
from knapweedhinge.conf.node import PeerSettings

QUICK = PeerSettings(probe_s=0.1, probe_timeout_s=0.1, suspicion_s=0.5)
NODES = 6
FROZEN = "vm-0000"


async def observed_states(cluster):
    answers = await asyncio.gather(
        *(p.ask("states", vms=(FROZEN,)) for p in cluster.living())
    )
    return {state for answer in answers for state, _ in answer.values()}


async def wait_for_state(cluster, state):
    for _ in range(200):
        if await observed_states(cluster) == {state}:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"not all nodes see {FROZEN} as {state}")


async def test_a_suspended_node_is_the_only_one_declared_dead():
    shape = Shape(NODES, nodes_alone=1, nodes_per_process=NODES)
    async with Cluster(shape, seed=1, peers=QUICK) as cluster:
        await asyncio.wait_for(cluster.wait_for_active_members(NODES), 20)
        frozen = cluster.processes[0]
        frozen.pause()
        await wait_for_state(cluster, "dead")
        frozen.resume()
        await wait_for_state(cluster, "alive")
        await asyncio.sleep(2 * QUICK.suspicion_s)
        deaths = await asyncio.gather(*(p.ask("deaths") for p in cluster.living()))
        assert {vm for answer in deaths for _, vm, _ in answer} == {FROZEN}
        assert await observed_states(cluster) == {"alive"}
