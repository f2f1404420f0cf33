"""A soak: one call crashes endpoints while nodes, store and other endpoints fail.

``python -m tests.platform.crash_soak --seeds 50`` runs many seeds. Sound calls, among
them one that many callers send, go on meanwhile.
"""

import argparse
import asyncio
import logging
import random
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field, replace

from loguru import logger

from knapweedhinge.conf import ListenSettings
from knapweedhinge.conf.relay import Promises
from knapweedhinge.node.relay import RelayNode
from knapweedhinge.test.replica import Replica, ReplicaFaults
from knapweedhinge.test.rowstore import StoreFaults
from tests.platform.world import World, catalog, chat, exchange, request, route
from tests.processes import free_port

FATAL = b"crashes whoever runs it"
NODES = 3
REPLICAS_PER_SERVICE = 5
DOWN_S = 1.0  # until a crashed endpoint is back, under a new id
SOUND_CALLERS = 12
CALM_S = 2.0  # after the last disruption, until sound calls must be served
# The platform allows three retries later than this after the third crash.
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3
FATAL_CALLS = (
    # target, crash after so many events or bytes, seconds until then
    ("/pay/x", None, 0.0),
    ("/look/x", None, 0.0),
    ("/look/x", 100, 0.2),
    ("/chat/x", None, 0.0),
    ("/chat/x", 1, 0.0),
    ("/chat/x", 1, 1.0),
    ("/once/x", 3, 0.3),
)
STORE_FAULTS = (
    {"mode": "busy"},
    {"mode": "reset"},
    {"mode": "silent"},
    {"slow_s": 0.2},
)


@dataclass
class Outcome:
    """What a seed showed; ``late`` counts retries, ``wrong`` is empty if it held."""

    fatal: tuple = ()
    crashes: int = 0
    late: int = 0
    wrong: list[str] = field(default_factory=list)


class CrashSoak:
    """One seed: a world with three nodes, its callers and its disruptions."""

    def __init__(self, world: World, nodes: list[RelayNode], seed: int):
        self.world = world
        self.nodes = nodes
        self.rng = random.Random(seed)
        self.fatal = self.rng.choice(FATAL_CALLS)
        self.live = list(world.replicas.values())
        self.runs: dict[str, float] = {}  # first run of each fatal call, by its id
        self.crash_times: list[float] = []  # of crashes by the fatal call
        self.stopped: set[str] = set()  # endpoints that crashed for another cause
        self._started = len(self.live)
        self._background: list[asyncio.Task] = []

    def port(self) -> int:
        return self.rng.choice(self.nodes).caller_server.port

    def data(self, target: str, body: bytes, request_id: str) -> bytes:
        """Return a request for any of the routes."""
        if target.startswith(("/chat", "/once")):
            made = chat(request_id, body)
            return made.replace(b"/chat/x", target.encode())
        return request(target, body=body, request_id=request_id)

    async def send_fatal(self) -> None:
        number = 0
        while True:
            number += 1
            data = self.data(self.fatal[0], FATAL, f"fatal-{number}")
            with suppress(OSError):
                await exchange(self.port(), data)
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))

    async def send_sound(self, caller: int) -> None:
        """Send calls; two of three are the same as those of other callers."""
        number = 0
        while True:
            number += 1
            body = b"popular" if number % 3 else b"%d of %d" % (number, caller)
            target = self.rng.choice(("/look/x", "/chat/x", "/once/x"))
            with suppress(OSError):
                await exchange(
                    self.port(), self.data(target, body, f"{caller}.{number}")
                )
            await asyncio.sleep(0.05)

    async def watch(self) -> None:
        """Note runs of the fatal call, and start crashed endpoints again."""
        while True:
            for replica in tuple(self.live):
                for call in replica.calls:
                    if call.body == FATAL:
                        name = call.get(b"knapweedhinge-request-id").decode()
                        self.runs.setdefault(name, time.monotonic())
                if replica.crashed:
                    self.live.remove(replica)
                    if replica.id not in self.stopped:
                        self.crash_times.append(time.monotonic())
                    self._background.append(asyncio.create_task(self._replace(replica)))
                replica.calls[:] = [c for c in replica.calls if c.body == FATAL]
            await asyncio.sleep(0.005)

    async def _replace(self, gone: Replica) -> None:
        await asyncio.sleep(DOWN_S)
        self._started += 1
        fresh = Replica(f"{gone.service}-{self._started}", gone.service)
        fresh.faults = replace(gone.faults)
        await fresh.start()
        self.world.replicas[fresh.id] = fresh
        self.live.append(fresh)
        self.world.store.put("servers", fresh.id, fresh.record(born=self._started))
        self.world.store.put("servers", gone.id, None)

    async def disrupt(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            kind = self.rng.choice(("all", "each", "store", "endpoints", "endpoints"))
            match kind:
                case "all":
                    await self._kill_all()
                case "each":
                    for index in range(NODES):
                        await self.nodes[index].close()
                        await self._start(index)
                case "store":
                    faults = self.rng.choice(STORE_FAULTS)
                    self.world.store.faults = StoreFaults(**faults)
                    await asyncio.sleep(self.rng.uniform(0.3, 1.5))
                    self.world.store.faults = StoreFaults()
                case "endpoints":
                    gap_s = self.rng.choice((0.0, 0.2))
                    count = min(self.rng.randint(1, 4), len(self.live))
                    for replica in self.rng.sample(self.live, count):
                        if not replica.crashed:
                            replica.crashed = True
                            self.stopped.add(replica.id)
                            await replica.stop()
                            await asyncio.sleep(gap_s)

    async def _kill_all(self) -> None:
        for node in self.nodes:
            await node.close()
        for index in range(NODES):
            await self._start(index)

    async def _start(self, index: int) -> None:
        self.nodes[index] = RelayNode(self.nodes[index].settings)
        await self.nodes[index].start()

    async def run(self, seconds: float) -> Outcome:
        tasks = [asyncio.create_task(self.send_fatal())]
        tasks.append(asyncio.create_task(self.watch()))
        tasks += [
            asyncio.create_task(self.send_sound(caller))
            for caller in range(SOUND_CALLERS)
        ]
        await self.disrupt(seconds)
        await asyncio.sleep(CALM_S)
        outcome = Outcome(self.fatal, len(self.crash_times))
        for node in self.nodes:
            for target in ("/look/x", "/chat/x", "/once/x"):
                data = self.data(target, b"popular", "after")
                reply = await exchange(node.caller_server.port, data)
                if reply.status != 200:
                    outcome.wrong.append(f"sound {target}: {reply.status}")
        for task in tasks + self._background:
            task.cancel()
        ended = await asyncio.gather(*tasks, *self._background, return_exceptions=True)
        outcome.wrong += [repr(exc) for exc in ended if isinstance(exc, Exception)]
        if len(self.crash_times) >= 3:
            since = self.crash_times[2] + CONTACT_S
            outcome.late = sum(at > since for at in self.runs.values())
        if outcome.late > MAX_LATE_RETRIES:
            outcome.wrong.append(f"{outcome.late} late retries of {self.fatal}")
        return outcome


async def soak(seed: int, seconds: float) -> Outcome:
    """Run one seed; return what it showed."""
    replicas = [
        Replica(f"{service}-{number}", service, events=8)
        for service in ("shop", "engine")
        for number in range(REPLICAS_PER_SERVICE)
    ]
    routes = [
        route("look", "safe"),
        route("pay", "unsafe"),
        route("chat", "stream"),
        route("once", "stream", resumable=False),
    ]
    promises = Promises(grace_s=1.0, retry_allowance=1_000.0)
    listens = [
        ListenSettings(f"vm-{n}", "127.0.0.1", 0, "abc"[n], "here", free_port())
        for n in range(NODES)
    ]
    world = World(
        replicas, catalog(routes=routes), promises=promises, listen=listens[0]
    )
    async with world:
        nodes = [world.node]
        for listen in listens[1:]:
            nodes.append(RelayNode(replace(world.settings(), listen=listen)))
            await nodes[-1].start()
        run = CrashSoak(world, nodes, seed)
        _, after, late_s = run.fatal
        for replica in replicas:
            replica.faults = ReplicaFaults(
                late_s=0.02,
                crash_body=FATAL,
                crash_after=after,
                crash_late_s=late_s,
            )
        try:
            return await run.run(seconds)
        finally:
            for node in run.nodes:
                await node.close()


def main() -> int:
    """Run the seeds that the command line names, and print what was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=15.0)
    args = parser.parse_args()
    logger.remove()
    logging.disable(logging.CRITICAL)
    wrong = 0
    for seed in range(args.first, args.first + args.seeds):
        outcome = asyncio.run(soak(seed, args.seconds))
        wrong += bool(outcome.wrong)
        line = f"{seed} {outcome.fatal} {outcome.crashes} crashes, {outcome.late} late"
        sys.stdout.write("\n  ".join((line, *outcome.wrong)) + "\n")
        sys.stdout.flush()
    return min(1, wrong)


if __name__ == "__main__":
    sys.exit(main())
