"""Start the worker processes of a fleet and send them commands."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from typing import Any

import msgspec

from bench.control.messages import MAX_LINE_BYTES, Command, NodeLocation
from bench.control.table import TableServer
from knapweedhinge.conf.node import PeerSettings

MAX_PROCESSES = 40
ANSWER_TIMEOUT_S = 120.0  # for the answer to one command


@dataclass(frozen=True)
class Shape:
    """The size of a fleet and its spread over locations and processes.

    ``nodes_alone`` nodes have a process of their own, the others share processes of up
    to ``nodes_per_process`` nodes.
    """

    nodes: int
    failure_domains: int = 3
    regions: int = 1
    nodes_per_process: int = 6
    nodes_alone: int = 0

    def locations(self) -> tuple[NodeLocation, ...]:
        """Return the location of each node."""
        return tuple(
            NodeLocation(
                f"vm-{index:04}",
                f"fd-{index % self.failure_domains:02}",
                f"region-{index % self.failure_domains % self.regions}",
            )
            for index in range(self.nodes)
        )

    def groups(self) -> tuple[tuple[NodeLocation, ...], ...]:
        """Return the nodes of each process; the first ``nodes_alone`` have one each."""
        locations = self.locations()
        alone = tuple((location,) for location in locations[: self.nodes_alone])
        rest = locations[self.nodes_alone :]
        step = self.nodes_per_process
        shared = tuple(rest[i : i + step] for i in range(0, len(rest), step))
        return alone + shared


class Process:
    """A worker process that runs nodes and answers commands."""

    def __init__(self, process: asyncio.subprocess.Process):
        self._process = process
        self._next_id = 0
        self._waiting: dict[int, asyncio.Future] = {}
        self._reader = asyncio.create_task(self._read())
        self.vms: tuple[str, ...] = ()
        self.alive = True

    @classmethod
    async def start(cls) -> "Process":
        """Start a worker process without nodes."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.control.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return cls(process)

    async def ask(self, do: str, **fields: Any) -> Any:
        """Run a command in the worker and return its result.

        Raises ``TimeoutError`` after ``ANSWER_TIMEOUT_S``.
        """
        self._next_id += 1
        command = Command(self._next_id, do, **fields)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[command.id] = fut
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await fut

    def pause(self) -> None:
        """Suspend this worker; it must get no commands until it is resumed."""
        self.signal(signal.SIGSTOP)
        self.alive = False

    def resume(self) -> None:
        """Resume this worker after ``pause``."""
        self.signal(signal.SIGCONT)
        self.alive = True

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this worker process."""
        os.kill(self._process.pid, number)
        self.alive = number is not signal.SIGKILL and self.alive

    async def stop(self) -> None:
        """Kill the worker and wait until it has ended."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._reader.cancel()
        self.alive = False

    async def _read(self) -> None:
        while line := await self._process.stdout.readline():
            answer = msgspec.json.decode(line)
            fut = self._waiting.pop(answer["id"])
            if not fut.done():
                fut.set_result(answer["result"])


class Cluster:
    """A fleet of nodes on the loopback interface, in several worker processes.

    An async context manager: it starts all nodes on entry and kills them on exit.
    ``join_s`` holds the seconds that each node took to join.
    """

    def __init__(self, shape: Shape, seed: int, peers: PeerSettings | None = None):
        self._peers = peers or PeerSettings()
        self.shape = shape
        self.table = TableServer()
        self.processes: list[Process] = []
        self.join_s: list[float] = []
        self._seed = seed
        self._port = 0

    async def __aenter__(self) -> "Cluster":
        self._port = await self.table.start()
        groups = self.shape.groups()
        if len(groups) > MAX_PROCESSES:
            raise ValueError(
                f"{len(groups)} processes exceed the limit of {MAX_PROCESSES}"
            )
        try:
            for index, group in enumerate(groups):
                await self.add(group, self._seed + 1000 * index)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            await process.stop()
        await self.table.stop()

    async def add(self, group: tuple[NodeLocation, ...], seed: int) -> None:
        """Start a process with these nodes and wait until they have joined."""
        process = await Process.start()
        self.processes.append(process)
        process.vms = tuple(location.vm for location in group)
        await self.start(process, group, seed)

    async def start(
        self, process: Process, group: tuple[NodeLocation, ...], seed: int = 0
    ) -> None:
        """Start nodes in a running process and wait until they have joined."""
        join_times_s = await process.ask(
            "start",
            table_port=self._port,
            locations=group,
            seed=seed,
            peers=self._peers,
        )
        self.join_s.extend(join_times_s.values())

    def living(self) -> list[Process]:
        """Return the processes that are neither suspended nor killed."""
        return [process for process in self.processes if process.alive]

    def process_of(self, vm: str) -> Process:
        """Return the process that runs a node."""
        return next(p for p in self.living() if vm in p.vms)

    async def samples(self) -> list[dict]:
        """Return the counters of each running process and its nodes."""
        return await asyncio.gather(*(p.ask("sample") for p in self.living()))

    async def poll(self, count: int) -> float:
        """Return the mean CPU seconds of the client for one of ``count`` HTTP reads."""
        first = self.processes[0]
        return await first.ask("poll", table_port=self._port, count=count)

    async def wait_for_active_members(self, count: int) -> None:
        """Wait, without limit, until every node sees ``count`` active members."""
        while True:
            nodes = [n for s in await self.samples() for n in s["nodes"].values()]
            if all(node["active"] == count for node in nodes):
                return
            await asyncio.sleep(0.2)
