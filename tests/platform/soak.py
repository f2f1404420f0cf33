"""A soak: callers keep using open connections while endpoints, store and nodes fail.

Two organisations call, one of which sends many times its usual now and then; engines
are short of room, a failure domain loses its endpoints, clients stop half-way through a
request, the sums of the fleet stop, nodes are stopped while they start, and the store
returns from copies. Shares, room and leaving are switched on.

``python -m tests.platform.soak --seeds 50`` runs many seeds, one after the other. What
a seed does is drawn beforehand, but its timing depends on the machine.
"""

import argparse
import asyncio
import json
import logging
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from loguru import logger

from knapweedhinge.conf.relay import Promises, RelaySettings
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.node.relay import RelayNode
from knapweedhinge.platform.headers import NOT_RUN_STATUSES
from knapweedhinge.test.replica import Replica, ReplicaFaults
from knapweedhinge.test.rowstore import READ_ONLY_TABLES, StoreCopy, StoreFaults
from tests.platform.soak_load import (
    DOMAINS,
    HARD_LOAD,
    KEYS,
    SLOTS,
    SWITCHED_ON,
    short_of_room,
)
from tests.platform.world import (
    Reply,
    World,
    ask_on,
    chat,
    exchange,
    request,
    two_nodes,
)
from tests.processes import free_port

CALLERS = 10
MAX_LENGTHENING = 4
MIN_ANSWERS = {"pay": 100, "chat": 50}  # whole ones, by kind of call
FAULTS = 4  # of endpoints at the same time
REPLICAS_PER_SERVICE = 4
GRACE_S = 2.0
REFUSE_FIRST_S = 0.01  # in which an endpoint refuses a call or two, to repeat that
LONGEST_CALL_S = 4.0  # the longest timeout of a route, 3 s, and a margin
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))

SHOP_FAULTS = (
    {"refuse": True},
    {"refuse": True, "retry_after": "0.3"},
    {"refuse": True, "leaving": True},
    {"fail": True},
    {"reset": True},
    {"unframed": True},
    {"until_close": True},
    {"close_in_head": 0},
    {"close_in_head": 17},
    {"close_in_head": 60},
    {"repeat_refusal": True},
    {"unproven": 503},
    {"unproven": 429},
    {"late_s": 0.1},
    {"stray": b"another"},
)
ENGINE_FAULTS = (
    {"refuse": True},
    {"fail": True},
    {"reset": True},
    {"until_close": True},
    {"close_in_head": 30},
    {"cut_in_event": 3},
    {"stall_before_event": 4},
    {"close_after": 0},
    {"close_after": 25},
    {"drip_before_event": 2},
    {"resumed": "text"},
    {"resumed": "gap"},
    {"unproven": 503},
)
KINDS = ("look", "pay", "chat")
STREAMS = ("chat", "once")
ONCE = ("pay", "once")  # kinds of calls that may run once
# Of one endpoint of each service: so low that the large model is asked, too.
CONFIDENCE = {"small": 40, "large": 90}
# Longest time in which an organisation that calls gets no answer: a node that has no
# sums, and one whose sums are false, starts a part of its calls whatever they say.
STARVED_S = LONGEST_CALL_S
RECOVERY_TIMEOUT_S = 10.0  # until each kind of call is answered after the last fault
# Refusals before the first attempt: no kind of call has run then.
HELD_BACK = {ResultCode.SHARE_USED_UP.number, ResultCode.PROMPT_TOO_LARGE.number}
STORE_FAULTS = ("busy", "many", "reset", "silent")


@dataclass
class Outcome:
    """What callers saw; ``wrong`` describes each answer that should not have been."""

    ends: Counter = field(default_factory=Counter)
    not_run_ids: set[str] = field(default_factory=set)
    held_back_ids: set[str] = field(default_factory=set)
    cut_ids: set[str] = field(default_factory=set)
    unread_ids: set[str] = field(default_factory=set)
    wrong: list[str] = field(default_factory=list)


class Soak:
    """One run: a world of two nodes, its callers and what disturbs them."""

    def __init__(self, world: World, second: RelayNode, seed: int):
        self.world = world
        self.second = second
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.stopping = False
        self.disturbed: set[str] = set()
        self.numbers = iter(range(1_000_000))
        self._answered_at = dict.fromkeys(KEYS, time.monotonic())

    async def run(self, seconds: float, min_answers: dict[str, int]) -> Outcome:
        """Disturb the callers for a time, then let them end; return what they saw.

        Go on, at most ``MAX_LENGTHENING`` times as long, until more than
        ``min_answers`` calls of each kind were answered: how many are in a given time
        depends on the machine.
        """
        callers = [
            *(asyncio.create_task(self.call_often("acme")) for _ in range(CALLERS)),
            asyncio.create_task(self.call_often("greedy")),
            asyncio.create_task(self.call_often("acme", kinds=("once",))),
        ]
        disturbing = [
            *(asyncio.create_task(self.disturb_endpoints()) for _ in range(FAULTS)),
            asyncio.create_task(self.disturb_store()),
            asyncio.create_task(self.replace_second_node()),
            *(asyncio.create_task(disturb(self)) for disturb in HARD_LOAD),
        ]
        until = time.monotonic() + MAX_LENGTHENING * seconds
        await asyncio.sleep(seconds)
        while time.monotonic() < until and any(
            self.outcome.ends[kind, 200] <= count for kind, count in min_answers.items()
        ):
            await asyncio.sleep(0.1)
        self.stopping = True
        await asyncio.gather(*callers, *disturbing)
        await self.check_recovery()
        self.check_runs()
        return self.outcome

    async def call_often(
        self,
        organisation: str,
        until: float = float("inf"),
        kinds: tuple[str, ...] = ("look", "pay", "pay", "chat"),
    ) -> None:
        """Send calls on a kept connection until it is closed, then on another one."""
        while not self.stopping and time.monotonic() < until:
            node = self.rng.choice((self.world.node, self.second))
            try:
                streams = await asyncio.open_connection(
                    "127.0.0.1", node.caller_server.port
                )
            except OSError:
                await asyncio.sleep(0.02)  # a stopped node listens no more
                continue
            while not self.stopping and time.monotonic() < until:
                if not await self.call_once(streams, organisation, kinds):
                    break
            streams[1].close()

    def _data(self, name: str, request_id: str, body: bytes, key: str) -> bytes:
        if name in STREAMS:
            data = chat(request_id, body=body, key=key)
            return data.replace(b"/chat/", b"/%s/" % name.encode(), 1)
        return request(f"/{name}/x", body=body, request_id=request_id, key=key)

    async def call_once(
        self, streams, organisation: str, kinds: tuple[str, ...]
    ) -> bool:
        """Send one call; return whether the connection can be used again."""
        number = next(self.numbers)
        name = self.rng.choice(kinds)
        request_id, body = f"{name}-{number}", b"body %d" % number
        data = self._data(name, request_id, body, KEYS[organisation])
        began = time.monotonic()
        try:
            reply = await ask_on(streams, data, 2 * LONGEST_CALL_S)
        except ConnectionError:
            reply = Reply()
        except TimeoutError:
            self.outcome.wrong.append(f"{request_id}: no answer")
            return False
        if time.monotonic() - began > LONGEST_CALL_S:
            self.outcome.wrong.append(f"{request_id}: answered late")
        self.check(request_id, body, reply)
        self.check_served(organisation, reply)
        return reply.whole and reply.headers.get("connection") != "close"

    def check(self, request_id: str, body: bytes, reply: Reply) -> None:
        """Check an answer by itself; a later check compares it with the runs."""
        kind = request_id.partition("-")[0]
        self.outcome.ends[kind, reply.status if reply.whole else "cut"] += 1
        wrong = None
        if not reply.whole and not reply.status:
            self.outcome.unread_ids.add(request_id)
        elif not reply.whole and kind not in STREAMS:
            wrong = "cut off"
        elif reply.status == 200 and kind in STREAMS:
            right = reply.body == EVENTS if reply.whole else EVENTS[: len(reply.body)]
            wrong = None if right else "wrong events"
        elif reply.status == 200:
            wrong = None if reply.body.endswith(b" " + body) else "another body"
        elif reply.status in NOT_RUN_STATUSES:
            self.outcome.not_run_ids.add(request_id)
            code = _code(reply)
            self.outcome.ends["refused", code] += 1
            if code in HELD_BACK:
                self.outcome.held_back_ids.add(request_id)
        elif reply.status not in (500, 502, 504):
            wrong = f"status {reply.status}"
        if wrong:
            self.outcome.wrong.append(f"{request_id}: {wrong}: {reply}")

    def check_served(self, organisation: str, reply: Reply) -> None:
        """Check that an organisation that goes on calling is served now and then."""
        now, answered_at = time.monotonic(), self._answered_at[organisation]
        if reply.status == 200 or now - answered_at > STARVED_S:
            self._answered_at[organisation] = now
        if reply.status != 200 and now - answered_at > STARVED_S:
            self.outcome.wrong.append(f"{organisation} starves")

    async def check_recovery(self) -> None:
        """Check that each kind of call is answered again at each node."""
        for name in KINDS:
            for organisation, key in KEYS.items():
                for node in (self.world.node, self.second):
                    if not await self._recovers(node, name, key):
                        self.outcome.wrong.append(
                            f"{name} of {organisation}: not answered at the end"
                        )

    async def _recovers(self, node: RelayNode, name: str, key: str) -> bool:
        until = time.monotonic() + RECOVERY_TIMEOUT_S
        while time.monotonic() < until:
            request_id = f"end-{next(self.numbers)}"
            data = self._data(name, request_id, b"end", key)
            try:
                reply = await exchange(node.caller_server.port, data)
            except (OSError, TimeoutError):
                reply = Reply()
            if reply.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def check_runs(self) -> None:
        """Check that calls ran at most once, and not at all if callers were told so."""
        runs = Counter(
            call.get(b"knapweedhinge-request-id").decode()
            for replica in self.world.replicas.values()
            for call in replica.calls
        )
        for request_id, count in runs.items():
            if request_id.startswith(ONCE) and count > 1:
                self.outcome.wrong.append(f"{request_id}: ran {count} times")
            if count > 3:
                self.outcome.wrong.append(f"{request_id}: ran {count} times of 3")
        for request_id in self.outcome.not_run_ids & runs.keys():
            if request_id.startswith(ONCE):
                self.outcome.wrong.append(f"{request_id}: refused, but ran")
        for request_id in self.outcome.held_back_ids & runs.keys():
            self.outcome.wrong.append(f"{request_id}: held back, but ran")
        for request_id in self.outcome.cut_ids & runs.keys():
            self.outcome.wrong.append(f"{request_id}: incomplete, but ran")
        for request_id in self.outcome.unread_ids & runs.keys():
            self.outcome.wrong.append(f"{request_id}: passed on and cut off")

    async def disturb_endpoints(self) -> None:
        """Let endpoints fail in turn, crash and come back."""
        while not self.stopping:
            replica = self.rng.choice(list(self.world.replicas.values()))
            if replica.id in self.disturbed:
                await asyncio.sleep(0.02)
                continue
            self.disturbed.add(replica.id)
            await self.disturb(replica)
            self.disturbed.discard(replica.id)

    async def disturb(self, replica: Replica) -> None:
        """Let an endpoint fail for a while, or crash."""
        if self.rng.random() < 0.2:
            await self.crash(replica)
            return
        faults = SHOP_FAULTS if replica.service == "shop" else ENGINE_FAULTS
        chosen = self.rng.choice(faults)
        if "repeat_refusal" in chosen:
            replica.faults = ReplicaFaults(refuse=True)
            await asyncio.sleep(REFUSE_FIRST_S)
        replica.faults = ReplicaFaults(**chosen)
        await asyncio.sleep(self.rng.uniform(0.05, 0.4))
        replica.faults = ReplicaFaults()
        if "leaving" in chosen:
            await self.crash(replica)

    async def crash(self, replica: Replica) -> None:
        """End an endpoint's process without notice and start another one."""
        await replica.stop()
        await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        await replica.restart()
        row = replica.record(born=next(self.numbers) + 2, slots=SLOTS)
        self.world.store.put("servers", replica.id, row)

    async def disturb_store(self) -> None:
        """Let the store fail now and then."""
        while not self.stopping:
            taken = self.world.store.copy()
            await asyncio.sleep(self.rng.uniform(0.3, 1.0))
            self.world.store.faults = StoreFaults(self.rng.choice(STORE_FAULTS))
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            if self.rng.random() < 0.4:
                await self.return_store(taken)
            self.world.store.faults = StoreFaults()

    async def return_store(self, taken: StoreCopy) -> None:
        """Let the store return from a copy; others write their rows again."""
        store = self.world.store
        written = {name: value for name, (_, value) in store.rows.items()}
        store.return_from(taken)
        store.faults = StoreFaults()
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        for (table, key), value in written.items():
            version, _ = store.rows.get((table, key), (0, b""))
            if table in READ_ONLY_TABLES and version <= taken.version:
                store.put(table, key, value)

    async def replace_second_node(self) -> None:
        """Stop the second node as planned, again and again, and start another one."""
        while not self.stopping:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            old = self.second
            await old.stop(old.clock())
            self.world.store.faults = StoreFaults()
            if self.rng.random() < 0.4:
                await self.stop_while_starting(old.settings)
            self.second = RelayNode(old.settings)
            await self.second.start()

    async def stop_while_starting(self, settings: RelaySettings) -> None:
        """Start a node while the store fails or not, and stop it at any moment."""
        if self.rng.random() < 0.5:
            self.world.store.faults = StoreFaults(self.rng.choice(STORE_FAULTS))
        self.second = RelayNode(settings)
        await self.second.listen()
        starting = asyncio.create_task(self.second.begin_serving())
        await asyncio.sleep(self.rng.uniform(0.0, 0.4))
        await self.second.stop(self.second.clock())
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        self.world.store.faults = StoreFaults()


def _knows_all(node: RelayNode) -> bool:
    catalog = node.fleet.view.catalog
    return catalog is not None and len(catalog.organisations) == len(KEYS)


def _code(reply: Reply) -> int:
    """Return the result code that a refusal names, 0 without one."""
    try:
        return json.loads(reply.body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return 0


def endpoints() -> list[Replica]:
    """Return the endpoints of a run.

    They listen on ports of this worker only: calls go on to the port of an endpoint
    that has crashed, which the kernel may have given to another process meanwhile.
    """
    return [
        Replica(
            f"{service}-{number}",
            service,
            DOMAINS[number % 2],
            confidence={} if number else CONFIDENCE,
            choose_port=free_port,
        )
        for service in ("shop", "engine")
        for number in range(REPLICAS_PER_SERVICE)
    ]


async def soak(
    seed: int, seconds: float, min_answers: dict[str, int] = MIN_ANSWERS
) -> Outcome:
    """Run one seed; return what callers saw."""
    replicas = endpoints()
    promises = Promises(grace_s=GRACE_S, retry_allowance=1_000.0)
    async with two_nodes(replicas, promises=promises, **SWITCHED_ON) as (world, second):
        world.change(**short_of_room())
        for replica in replicas:
            row = replica.record(seq=2, slots=SLOTS)
            world.store.put("servers", replica.id, row)
        await world.until(
            lambda: all(_knows_all(node) for node in (world.node, second))
        )
        run = Soak(world, second, seed)
        try:
            return await run.run(seconds, min_answers)
        finally:
            if run.second is not second:
                await run.second.close()


def main() -> None:
    """Run the seeds that the command line names, and print what was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=6.0)
    args = parser.parse_args()
    logger.remove()
    logging.disable(logging.CRITICAL)
    for seed in range(args.first, args.first + args.seeds):
        outcome = asyncio.run(soak(seed, args.seconds))
        lines = [f"{seed} {dict(outcome.ends)}", *outcome.wrong]
        sys.stdout.write("\n  ".join(lines) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
