"""Worker process that runs several nodes and obeys commands on standard input.

Commands and answers are JSON lines; an answer repeats the ``id`` of its command. Times
are read from the monotonic clock of the machine, which all processes share.
"""

import asyncio
import resource
import sys
import time
from random import Random
from typing import Any

import aiohttp
import msgspec
from loguru import logger

from bench.control.messages import MAX_LINE_BYTES, Command, NodeLocation
from bench.control.table import HttpTable
from knapweedhinge.conf.node import (
    KeySettings,
    ListenSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
)
from knapweedhinge.peers import Entry, Member, Peers, PeersState
from knapweedhinge.peers.views import MembershipView


class Worker:
    """The nodes of this process, and the times at which they saw entries and states.

    The ``do_...`` methods are the commands.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session
        self._nodes: dict[str, Peers] = {}
        self._entry_times: dict[str, dict[str, float]] = {}
        self._observed_states: dict[str, dict[str, tuple[str, float]]] = {}
        self._states_at_stop: dict[str, list[PeersState]] = {}
        self._observed_deaths: list[tuple[str, str, float]] = []

    async def run(self, command: Command) -> Any:
        """Run a command and return its answer."""
        return await getattr(self, f"do_{command.do}")(command)

    async def do_start(self, command: Command) -> dict[str, float]:
        """Start nodes one after another and return the seconds each took to join."""
        table = HttpTable(command.table_port, self._session)
        join_times_s = {}
        for index, location in enumerate(command.locations):
            started_at = time.monotonic()
            node = Peers(
                _settings(location, command.peers),
                table,
                rng=Random(command.seed + index),
            )
            node.changes.subscribe(self._state_recorder(location.vm))
            node.subscribe("configuration").subscribe(self._entry_recorder(location.vm))
            node.handle("echo", _echo)
            await node.start()
            self._nodes[location.vm] = node
            join_times_s[location.vm] = time.monotonic() - started_at
        return join_times_s

    async def do_publish(self, command: Command) -> float:
        """Publish an entry at one node and return the time of publishing."""
        now = time.monotonic()
        payload = Random(command.seed).randbytes(command.size_bytes)
        node = self._nodes[command.vms[0]]
        node.publish(command.topic, command.key, command.version, payload)
        return now

    async def do_seen(self, command: Command) -> dict[str, float]:
        """Return the time at which each node received an entry, by node.

        Only entries of the topic ``configuration`` are recorded.
        """
        return self._entry_times.get(f"{command.key}@{command.version}", {})

    async def do_states(self, command: Command) -> dict[str, tuple[str, float]]:
        """Return the state in which each node sees a VM, and since what time."""
        return {
            vm: states[command.vms[0]]
            for vm, states in self._observed_states.items()
            if command.vms[0] in states
        }

    async def do_deaths(self, command: Command) -> list[tuple[str, str, float]]:
        """Return (observer, dead VM, time) of each death seen so far."""
        return self._observed_deaths

    async def do_sample(self, command: Command) -> dict[str, Any]:
        """Return the counters of the process and of each node."""
        now = time.monotonic()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        states = {vm: node.state(now) for vm, node in self._nodes.items()}
        return {
            "at": now,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_bytes": _rss_bytes(),
            "nodes": {
                vm: {
                    "heard": state.heard,
                    "active": len(node.membership.active),
                    "linked": len(state.linked),
                    "stored_bytes": state.stored_bytes,
                    "counts": self._counts(vm, state),
                    "topics": self._topics(vm, state),
                    "faults": state.faults,
                    "reads": state.roster_reads,
                    "writes": state.roster_writes,
                }
                for (vm, state), node in zip(
                    states.items(), self._nodes.values(), strict=True
                )
            },
        }

    async def do_publish_many(self, command: Command) -> None:
        """Publish ``count`` entries, spread evenly over the nodes and ``for_s``."""
        nodes = tuple(self._nodes.values())
        rng = Random(command.seed)
        for index in range(command.count):
            node = nodes[index % len(nodes)]
            payload = rng.randbytes(command.size_bytes)
            key = f"{command.key}-{node.me.vm}"
            node.publish(command.topic, key, command.version + index, payload)
            await asyncio.sleep(command.for_s / command.count)

    async def do_call(self, command: Command) -> float:
        """Call the second node from the first, ``count`` times in sequence.

        Returns the mean seconds of a call.
        """
        node = self._nodes[command.vms[0]]
        payload = Random(command.seed).randbytes(command.size_bytes)
        started_at = time.monotonic()
        for _ in range(command.count):
            await node.call(command.vms[1], "echo", payload, 5.0)
        return (time.monotonic() - started_at) / command.count

    async def do_poll(self, command: Command) -> float:
        """Read over HTTP ``count`` times and return the mean CPU seconds of a read."""
        table = HttpTable(command.table_port, self._session)
        started_at = time.process_time()
        for _ in range(command.count):
            await table.scan("", "", "", 1)
        return (time.process_time() - started_at) / command.count

    async def do_stop(self, command: Command) -> None:
        """Stop nodes gracefully; all of them if ``vms`` is empty."""
        for vm in command.vms or tuple(self._nodes):
            node = self._nodes.pop(vm)
            await node.stop()
            self._observed_states.pop(vm, None)
            self._states_at_stop.setdefault(vm, []).append(node.state(time.monotonic()))

    async def do_block_event_loop(self, command: Command) -> None:
        """Block the event loop repeatedly during ``for_s`` seconds.

        Each time it is blocked for ``busy_s`` and then left free for ``idle_s``.
        """
        end = time.monotonic() + command.for_s
        while time.monotonic() < end:
            _busy_loop(command.busy_s)
            await asyncio.sleep(command.idle_s)

    def _counts(self, vm: str, state: PeersState) -> dict[str, dict[str, int]]:
        """Return the calls of a node by cause, including those before its restarts."""
        total: dict[str, dict[str, int]] = {}
        for peers_state in (*self._states_at_stop.get(vm, ()), state):
            for cause, count in msgspec.to_builtins(peers_state.counts).items():
                old = total.get(cause, {})
                total[cause] = {k: v + old.get(k, 0) for k, v in count.items()}
        return total

    def _topics(self, vm: str, state: PeersState) -> dict[str, int]:
        """Return the bytes pushed by topic, including those before restarts."""
        total: dict[str, int] = {}
        for peers_state in (*self._states_at_stop.get(vm, ()), state):
            for topic, counters in peers_state.topics.items():
                total[topic] = total.get(topic, 0) + counters.pushed_bytes
        return total

    def _state_recorder(self, observer: str):
        """Return a subscriber that records when a node sees states of VMs change."""
        states = self._observed_states.setdefault(observer, {})

        def record(view: MembershipView) -> None:
            now = time.monotonic()
            for vm, member in view.members.items():
                state = member.state.value
                if states.get(vm, ("", 0))[0] != state:
                    states[vm] = (state, now)
                    if state == "dead":
                        self._observed_deaths.append((observer, vm, now))

        return record

    def _entry_recorder(self, observer: str):
        """Return a subscriber that records when a node receives an entry."""

        def record(entry: Entry) -> None:
            seen = self._entry_times.setdefault(f"{entry.key}@{entry.version}", {})
            seen[observer] = time.monotonic()

        return record


def _settings(location: NodeLocation, peers: PeerSettings) -> NodeSettings:
    """Return the settings of a node.

    The HTTP port and the URL of the platform are placeholders: the peer code only tells
    other members the port, and uses the table in place of the platform.
    """
    return NodeSettings(
        listen=ListenSettings(
            vm=location.vm,
            ip="127.0.0.1",
            port=1,
            failure_domain=location.failure_domain,
            region=location.region,
        ),
        platform=PlatformSettings(url="http://127.0.0.1:1"),
        keys=KeySettings(token_keys=("bench",), peer_keys=("bench",)),
        peers=peers,
    )


async def _echo(caller: Member, payload: bytes) -> bytes:
    return payload


def _busy_loop(busy_s: float) -> None:
    end = time.monotonic() + busy_s
    while time.monotonic() < end:
        pass


def _rss_bytes() -> int:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize()


async def _answer(worker: Worker, line: bytes) -> None:
    command = msgspec.json.decode(line, type=Command)
    answer = {"id": command.id, "result": await worker.run(command)}
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def main() -> None:
    """Run commands until standard input is closed."""
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    tasks = set()
    async with aiohttp.ClientSession() as session:
        worker = Worker(session)
        while line := await reader.readline():
            task = loop.create_task(_answer(worker, line))
            tasks.add(task)
            task.add_done_callback(tasks.discard)


if __name__ == "__main__":
    asyncio.run(main())
