"""All measurements of one fleet on the loopback interface."""

import asyncio
import signal
import time
from dataclasses import dataclass, field

from bench.control.cluster import Cluster, Process, Shape
from bench.control.windows import Window, observe

SETTLE_S = 3.0  # pause before a measurement, after members or load have changed

# Payload sizes of a configuration change, of a statistics entry and of a call.
CHANGE_BYTES = 2_000
STATISTICS_BYTES = 200
CALL_BYTES = 200

TIMED_CALLS = 300
TIMED_READS = 300

# Rates of configuration changes and statistics entries, over the whole fleet.
CHANGES_PER_S = 5
ENTRIES_PER_S = 40

TIMED_CHANGES = 10
DETECTION_TIMEOUT_S = 15.0  # until a change or a failure counts as not detected


@dataclass(frozen=True)
class SizeReport:
    """All results for one fleet; times in seconds.

    ``rss_bytes_per_process`` and ``rss_bytes_per_node`` are the resident memory of all
    workers by process and by node, ``stored_bytes`` is the mean size of a node's
    entries and ``faults`` the number of refusals of all nodes. ``join_s`` are the times
    that nodes took to join, ``call_s`` is the mean time of a call between two nodes and
    ``poll_cpu_s`` the mean CPU time of an HTTP read at its client.

    ``change_to_last_s`` are the times until a change has reached the last node,
    ``frozen_known_dead_s`` and ``killed_known_dead_s`` those until all other nodes see
    a suspended or killed node as dead, and ``frozen_back_s`` that until they see the
    resumed node as alive; infinite if not within ``DETECTION_TIMEOUT_S``.
    ``false_deaths`` counts deaths seen while a process was busy, by load.
    """

    nodes: int
    regions: int
    failure_domains: int
    processes: int
    rss_bytes_per_process: float
    rss_bytes_per_node: float
    stored_bytes: float
    windows: tuple[Window, ...]
    join_s: tuple[float, ...]
    change_to_last_s: tuple[float, ...]
    frozen_known_dead_s: float
    frozen_back_s: float
    killed_known_dead_s: float
    call_s: float
    poll_cpu_s: float
    false_deaths: dict[str, int] = field(default_factory=dict)
    faults: int = 0


async def measure(shape: Shape, window_s: float, seed: int) -> SizeReport:
    """Start a fleet of this shape, measure it and return the results."""
    async with Cluster(shape, seed) as cluster:
        return await _measure(cluster, window_s)


async def _measure(cluster: Cluster, window_s: float) -> SizeReport:
    shape = cluster.shape
    await cluster.wait_for_active_members(shape.nodes)
    await asyncio.sleep(SETTLE_S)
    windows = [
        *await observe(cluster, "idle", _stay_idle(window_s)),
        *await observe(
            cluster, "changes", _publish_changes(cluster, window_s), CHANGES_PER_S
        ),
        *await observe(
            cluster, "entries", _publish_entries(cluster, window_s), ENTRIES_PER_S
        ),
    ]
    change_s = [await _time_change(cluster, index) for index in range(TIMED_CHANGES)]
    call_s = await _time_calls(cluster)
    poll_cpu_s = await cluster.poll(TIMED_READS)
    samples = await cluster.samples()
    false_deaths = await _false_deaths_of_busy_process(cluster, window_s)
    windows.extend(await _restart_repeatedly(cluster, window_s))
    frozen_s, back_s = await _detect_frozen(cluster, cluster.processes[0])
    killed_s = await _detect_killed(cluster, cluster.processes[1])
    nodes = [node for sample in samples for node in sample["nodes"].values()]
    rss = [sample["rss_bytes"] for sample in samples]
    return SizeReport(
        nodes=shape.nodes,
        regions=shape.regions,
        failure_domains=shape.failure_domains,
        processes=len(cluster.processes),
        rss_bytes_per_process=sum(rss) / len(rss),
        rss_bytes_per_node=sum(rss) / shape.nodes,
        stored_bytes=sum(n["stored_bytes"] for n in nodes) / len(nodes),
        windows=tuple(windows),
        join_s=tuple(cluster.join_s),
        change_to_last_s=tuple(change_s),
        frozen_known_dead_s=frozen_s,
        frozen_back_s=back_s,
        killed_known_dead_s=killed_s,
        call_s=call_s,
        poll_cpu_s=poll_cpu_s,
        false_deaths=false_deaths,
        faults=sum(sum(node["faults"].values()) for node in nodes),
    )


async def _stay_idle(seconds: float) -> None:
    await asyncio.sleep(seconds)


async def _publish_changes(cluster: Cluster, seconds: float) -> None:
    await cluster.processes[0].ask(
        "publish_many",
        topic="configuration",
        key="load",
        version=1,
        size_bytes=CHANGE_BYTES,
        count=round(CHANGES_PER_S * seconds),
        for_s=seconds,
    )


async def _publish_entries(cluster: Cluster, seconds: float) -> None:
    living = cluster.living()
    count = max(1, round(ENTRIES_PER_S * seconds / len(living)))
    await asyncio.gather(
        *(
            process.ask(
                "publish_many",
                topic="statistics",
                key="sums",
                version=1,
                size_bytes=STATISTICS_BYTES,
                count=count,
                for_s=seconds,
                seed=index,
            )
            for index, process in enumerate(living)
        )
    )


async def _time_change(cluster: Cluster, index: int) -> float:
    living = cluster.living()
    process = living[index % len(living)]
    key = f"timed-{index}"
    started_at = await process.ask(
        "publish",
        vms=process.vms[:1],
        topic="configuration",
        key=key,
        version=1,
        size_bytes=CHANGE_BYTES,
    )
    end = time.monotonic() + DETECTION_TIMEOUT_S
    while time.monotonic() < end:
        answers = await asyncio.gather(
            *(p.ask("seen", key=key, version=1) for p in living)
        )
        seen = [at for answer in answers for at in answer.values()]
        if len(seen) == cluster.shape.nodes:
            return max(seen) - started_at
        await asyncio.sleep(0.1)
    return float("inf")


async def _time_calls(cluster: Cluster) -> float:
    caller, callee = cluster.processes[:2]
    return await caller.ask(
        "call",
        vms=(caller.vms[0], callee.vms[0]),
        count=TIMED_CALLS,
        size_bytes=CALL_BYTES,
    )


async def _false_deaths_of_busy_process(
    cluster: Cluster, window_s: float
) -> dict[str, int]:
    """Return the false deaths seen while one process is busy half of the time.

    The result has an entry for each length of the busy periods.
    """
    process = cluster.processes[-1]
    found = {}
    for name, busy_s in (("50 ms bursts", 0.05), ("300 ms bursts", 0.3)):
        before = await _deaths(cluster)
        await process.ask(
            "block_event_loop", busy_s=busy_s, idle_s=busy_s, for_s=window_s
        )
        await asyncio.sleep(SETTLE_S)
        found[name] = len(await _deaths(cluster) - before)
    return found


async def _deaths(cluster: Cluster) -> set:
    answers = await asyncio.gather(*(p.ask("deaths") for p in cluster.living()))
    return {tuple(death) for answer in answers for death in answer}


async def _restart_repeatedly(
    cluster: Cluster, window_s: float
) -> tuple[Window, Window]:
    """Restart a node repeatedly, with a graceful stop each time."""
    process = cluster.processes[2 % len(cluster.processes)]
    vm = process.vms[0]
    location = next(found for found in cluster.shape.locations() if found.vm == vm)
    rounds = max(2, round(window_s / 2))

    async def work() -> None:
        for _ in range(rounds):
            await process.ask("stop", vms=(vm,))
            await cluster.start(process, (location,))
            await asyncio.sleep(window_s / rounds)

    return await observe(cluster, "restarts", work(), rounds / window_s)


async def _detect_frozen(cluster: Cluster, process: Process) -> tuple[float, float]:
    """Return the seconds until a suspended node is seen as dead, then as alive."""
    started_at = time.monotonic()
    process.pause()
    dead_s = await _seconds_until_known(cluster, process.vms[0], ("dead",), started_at)
    started_at = time.monotonic()
    process.resume()
    back_s = await _seconds_until_known(cluster, process.vms[0], ("alive",), started_at)
    return dead_s, back_s


async def _detect_killed(cluster: Cluster, process: Process) -> float:
    started_at = time.monotonic()
    process.signal(signal.SIGKILL)
    return await _seconds_until_known(cluster, process.vms[0], ("dead",), started_at)


async def _seconds_until_known(
    cluster: Cluster, vm: str, states: tuple[str, ...], started_at: float
) -> float:
    end = time.monotonic() + DETECTION_TIMEOUT_S
    while time.monotonic() < end:
        answers = await asyncio.gather(
            *(p.ask("states", vms=(vm,)) for p in cluster.living() if vm not in p.vms)
        )
        found = [state for answer in answers for state in answer.values()]
        if all(state in states and at >= started_at for state, at in found):
            return max(at for _, at in found) - started_at
        await asyncio.sleep(0.1)
    return float("inf")
