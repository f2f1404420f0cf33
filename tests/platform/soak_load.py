"""Hard load for the soak: what is switched on, and what brings it about."""

import asyncio
import time
from typing import TYPE_CHECKING

from knapweedhinge.conf.engines import EngineSettings
from knapweedhinge.conf.leaving import LeavingSettings
from knapweedhinge.conf.relay import Place
from knapweedhinge.conf.shares import ShareSettings
from knapweedhinge.conf.switches import ON
from tests.platform.world import KEY, MODELS, catalog, request, route

if TYPE_CHECKING:
    from tests.platform.soak import Soak

# Two organisations: one whose callers are always as many, and one that is greedy.
KEYS = {"acme": KEY, "greedy": "greedy-key"}
GREEDY_CALLERS = 20
DOMAINS = ("a", "b")
OBJECTIVE_MS = 100  # of all routes; a wait of half of it makes room short
SLOTS = 3  # of an endpoint, so that the greedy organisation makes room short
ENGINE_TOKENS = 400  # room for three calls at an engine
SWITCHED_ON = {
    "places": tuple(Place(domain, "here") for domain in DOMAINS),
    "shares": ShareSettings(ON),
    "engines": EngineSettings(room=ON, speeds=ON, spread=ON),
    "leaving": LeavingSettings(ON),
}


def short_of_room() -> dict:
    """Return the part of the catalog that makes engines short of room."""
    engine = {
        "slots": SLOTS,
        "kvCapacity": ENGINE_TOKENS,
        "stride": 10,
        "models": [{"name": name} for name in MODELS],
    }
    base = catalog()
    return {
        "routes": [
            route("look", "safe", targetLatencyMs=OBJECTIVE_MS),
            route("pay", "unsafe", targetLatencyMs=OBJECTIVE_MS),
            route("chat", "stream", targetLatencyMs=OBJECTIVE_MS),
            route("once", "stream", targetLatencyMs=OBJECTIVE_MS, resumable=False),
        ],
        "services": [
            service | ({"engine": engine} if "engine" in service else {})
            for service in base["services"]
        ],
        "tenants": [{"name": name, "apiKeys": [key]} for name, key in KEYS.items()],
    }


async def send_greedily(run: "Soak") -> None:
    """Let the greedy organisation send many times its usual now and then."""
    while not run.stopping:
        await asyncio.sleep(run.rng.uniform(0.2, 0.8))
        until = time.monotonic() + run.rng.uniform(0.5, 1.5)
        callers = [run.call_often("greedy", until) for _ in range(GREEDY_CALLERS)]
        await asyncio.gather(*callers)


async def stop_half_way(run: "Soak") -> None:
    """Let clients stop in the middle of a request, and stay for a while."""
    while not run.stopping:
        request_id = f"half-{next(run.numbers)}"
        data = request("/pay/x", body=bytes(1000), request_id=request_id)
        run.outcome.cut_ids.add(request_id)
        try:
            port = run.world.node.caller_server.port
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data[: run.rng.randrange(1, len(data))])
            await asyncio.sleep(run.rng.uniform(0.01, 0.2))
            writer.close()
        except ConnectionError:
            continue  # being closed is allowed


async def empty_failure_domain(run: "Soak") -> None:
    """Let a failure domain lose all endpoints that aren't disturbed otherwise."""
    while not run.stopping:
        await asyncio.sleep(run.rng.uniform(1.0, 2.0))
        domain = run.rng.choice(DOMAINS)
        lost = [
            replica
            for replica in run.world.replicas.values()
            if replica.failure_domain == domain and replica.id not in run.disturbed
        ]
        run.disturbed.update(replica.id for replica in lost)
        await asyncio.gather(*map(run.crash, lost))
        run.disturbed.difference_update(replica.id for replica in lost)


async def stop_sums(run: "Soak") -> None:
    """Let the nodes report and publish no sums for a while, then again."""

    async def report_nothing(now: float) -> None:
        pass

    while not run.stopping:
        await asyncio.sleep(run.rng.uniform(0.5, 1.5))
        stopped = (run.world.node.peers, run.second.peers)
        for peers in stopped:
            peers._report_load = report_nothing
        await asyncio.sleep(run.rng.uniform(0.5, 4.0))
        for peers in stopped:
            del peers._report_load


HARD_LOAD = (send_greedily, stop_half_way, empty_failure_domain, stop_sums)
