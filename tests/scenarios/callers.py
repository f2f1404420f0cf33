"""Callers that keep sending requests to the node addresses that nodes give them.

They use an address no longer than the time to live that came with it, as the client
protocol asks, so every failure of theirs is a fault of the nodes.
"""

import asyncio
import itertools
import time
from contextlib import asynccontextmanager

import aiohttp

from tests.scenarios.world import World

CALL_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class Caller:
    """Send calls of one kind, one after another, and collect their failures.

    ``urls`` may be used until ``urls_expire_at`` (monotonic clock). ``sent`` counts the
    calls, and ``failed`` describes those that failed.
    """

    def __init__(self, world: World, name: str):
        self.world = world
        self.name = name
        self.urls: list[str] = []
        self.urls_expire_at = 0.0
        self.sent = 0
        self.failed: list[str] = []
        self.stopping = False

    async def run(self, send) -> None:
        """Send calls with ``send`` to the known addresses in turn until ``stopping``.

        ``send`` returns what went wrong, or an empty string.
        """
        for number in itertools.count():
            if self.stopping:
                return
            await self._renew_urls()
            url = self.urls[number % len(self.urls)]
            self.sent += 1
            try:
                problem = await send(self, url, f"{self.name}-{number}")
            except CALL_ERRORS as exc:
                problem = repr(exc)
            if problem:
                self.failed.append(f"{self.name}-{number} at {url}: {problem}")

    async def _renew_urls(self) -> None:
        """Ask a known node for addresses if those held have expired."""
        if time.monotonic() < self.urls_expire_at:
            return
        known = self.urls or [self.world.cluster.node_url(0)]
        for url in known:
            requested_at = time.monotonic()
            try:
                async with self.world.cluster.http.get(f"{url}/v1/addresses") as resp:
                    answer = await resp.json()
            except CALL_ERRORS:
                continue
            addresses = answer["addresses"]
            self.urls = [
                f"http://{address['ip']}:{address['port']}" for address in addresses
            ]
            self.urls_expire_at = requested_at + answer["ttl_s"]
            return
        raise AssertionError(f"none of the nodes {known} answers")


async def send_stream(caller: Caller, url: str, name: str) -> str:
    """Stream an answer of 30 tokens.

    It has 32 events: the tokens, the finish reason and ``[DONE]``. The node leaves out
    the usage, since the request doesn't ask for it.
    """
    world = caller.world
    async with world.cluster.http.post(
        f"{url}/v1/chat/completions",
        json=world.chat_body(name, stream=True, max_tokens=30),
        headers=world.headers,
    ) as resp:
        text = await resp.text()
    complete = resp.status == 200 and text.endswith("data: [DONE]\n\n")
    return "" if complete and text.count("data: ") == 32 else f"{resp.status} {text}"


async def send_lookup(caller: Caller, url: str, name: str) -> str:
    """Make a call that may be repeated."""
    return await _send(caller, "GET", url, caller.world.lookup_path, "")


async def send_once(caller: Caller, url: str, name: str) -> str:
    """Make a call that runs at most once, with its name as idempotency key."""
    return await _send(caller, "POST", url, caller.world.once_path, name)


async def _send(caller: Caller, method: str, url: str, path: str, key: str) -> str:
    headers = caller.world.headers | ({"Idempotency-Key": key} if key else {})
    async with caller.world.cluster.http.request(
        method, f"{url}{path}", headers=headers, json={"amount": 5} if key else None
    ) as resp:
        text = await resp.text()
    return "" if resp.status == 200 and text else f"{resp.status} {text}"


SENDERS = {"stream": send_stream, "lookup": send_lookup, "once": send_once}


@asynccontextmanager
async def under_load(world: World, callers_each: int = 2):
    """Run callers of each kind during the context; give the list of callers.

    They finish their last call before the context ends.
    """
    callers, tasks = [], []
    for kind, send in SENDERS.items():
        for number in range(callers_each):
            caller = Caller(world, f"{world.scenario}-{kind}-{number}")
            callers.append(caller)
            tasks.append(asyncio.create_task(caller.run(send)))
    try:
        yield callers
    finally:
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*tasks)
