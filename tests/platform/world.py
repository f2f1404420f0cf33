"""Test environment: a node with a fake store and endpoints, and a raw HTTP client."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

import httptools
import msgspec

from knapweedhinge.conf import ListenSettings, PeerSettings, PlatformSettings
from knapweedhinge.conf.relay import DoorSettings, Promises, RelaySettings
from knapweedhinge.node.relay import RelayNode
from knapweedhinge.test.replica import Replica
from knapweedhinge.test.rowstore import RowStoreStandIn
from tests.processes import free_port

HOST = "api.example"
KEY = "secret-key"
MODELS = ("small", "large")


def route(name: str, kind: str, **fields) -> dict:
    """Return a route in the platform's format, with some fields replaced."""
    base = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "engine" if kind == "stream" else "shop",
        "attempts": 3,
        "public": False,
    }
    if kind == "stream":
        base |= {
            "sizes": list(MODELS),
            "sticky": True,
            "resumable": True,
            "gapAimMs": 1000,
        }
    return base | fields


def catalog(version: int = 1, **fields) -> dict:
    """Return a catalog in the platform's format with one route of each kind."""
    engine = {"slots": 8, "kvCapacity": 1000, "models": [{"name": m} for m in MODELS]}
    base = {
        "version": version,
        "routes": [
            route("look", "safe"),
            route("pay", "unsafe"),
            route("chat", "stream"),
        ],
        "services": [
            {"name": "engine", "maxConns": 64, "engine": engine},
            {"name": "shop", "maxConns": 64},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536},
        "tenants": [{"name": "acme", "apiKeys": [KEY]}],
    }
    return base | fields


@dataclass
class Reply:
    """Response as received; ``whole`` tells whether it ended as its framing says."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole = True

    @property
    def numbers(self) -> list[int]:
        """Return the ids of the received events."""
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def request(
    path: str,
    method: str = "POST",
    body: bytes = b"hello",
    request_id: str = "r1",
    key: str = KEY,
    **headers: str,
) -> bytes:
    """Return a caller's request; underscores in header names become hyphens."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"Knapweedhinge-Request-Id: {request_id}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def chat(request_id: str = "r1", body: bytes = b"hello", **headers: str) -> bytes:
    """Return a request whose answer is an event stream."""
    defaults = {
        "Knapweedhinge_Model": "*",
        "Knapweedhinge_Token_Count": "100,20",
        "Knapweedhinge_Prompt_Prefix": "aa:60,bb:40",
    }
    return request("/chat/x", body=body, request_id=request_id, **defaults | headers)


async def exchange(port: int, data: bytes, timeout_s: float = 5.0) -> Reply:
    """Send raw bytes on a new connection and return the response, complete or not."""
    streams = await asyncio.open_connection("127.0.0.1", port)
    try:
        return await ask_on(streams, data, timeout_s)
    finally:
        streams[1].close()


async def ask_on(streams, data: bytes, timeout_s: float = 5.0) -> Reply:
    """Send raw bytes on a connection and return the response, complete or not.

    ``streams`` are the connection's reader and writer.
    """
    reply = Reply()
    parser = httptools.HttpResponseParser(reply)
    reader, writer = streams
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(data)
            while not reply.whole:
                chunk = await reader.read(65536)
                if not chunk:
                    break
                parser.feed_data(chunk)
                reply.status = reply.status or parser.get_status_code()
    except ConnectionResetError:
        reply.whole = False
    return reply


class World:
    """A fake store, fake endpoints and one node, all on the loopback interface."""

    def __init__(self, replicas: list[Replica], catalog_row: dict, **settings):
        self.store = RowStoreStandIn()
        self.replicas = {replica.id: replica for replica in replicas}
        self.catalog = catalog_row
        self.node: RelayNode | None = None
        self._settings = settings
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> "World":
        await self.store.start()
        self._stack.push_async_callback(self.store.stop)
        if self.catalog:
            self.store.put("op", "config", self.catalog)
        for replica in self.replicas.values():
            await replica.start()
            self._stack.push_async_callback(replica.stop)
            self.store.put("servers", replica.id, replica.record())
        self.node = RelayNode(self.settings())
        self._starting = asyncio.create_task(self.node.start())
        if self.catalog:
            await self._starting
        return self

    async def __aexit__(self, *exc) -> None:
        self._starting.cancel()
        await asyncio.gather(self._starting, return_exceptions=True)
        await self.node.close()
        await self._stack.aclose()

    def settings(self) -> RelaySettings:
        """Return the settings of the node, with those given to the constructor."""
        fields = {
            "listen": ListenSettings("vm-1", "127.0.0.1", 0, "a", "here"),
            "doors": DoorSettings(*["127.0.0.1:0"] * 4),
            "platform": PlatformSettings(url=f"http://{self.store.address}"),
            "promises": Promises(grace_s=1.0),
            "peers": PeerSettings(),
        }
        return RelaySettings(**fields | self._settings)

    async def ask(self, data: bytes, timeout_s: float = 5.0) -> Reply:
        """Send a request to the node's port for callers."""
        return await exchange(self.node.caller_server.port, data, timeout_s)

    async def ask_server(self, server, target: str) -> Reply:
        """Send a GET request to one of the node's servers."""
        data = f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        return await exchange(server.port, data)

    async def until(self, condition, timeout_s: float = 3.0) -> None:
        """Wait until ``condition()`` holds; raise TimeoutError after ``timeout_s``."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def restarted(self, node: RelayNode) -> RelayNode:
        """Stop a node without notice and start another one with its settings."""
        await node.close()
        again = RelayNode(node.settings)
        await again.start()
        return again

    def change(self, **fields) -> None:
        """Write a catalog with some fields replaced; its version is higher by 3."""
        self.catalog = self.catalog | {"version": self.catalog["version"] + 3} | fields
        self.store.put("op", "config", self.catalog)

    def status(self, service: str) -> dict | None:
        """Return the state of a rollout as operators read it, None without one."""
        row = self.store.get("status", f"rollout/{service}")
        return msgspec.json.decode(row) if row else None


@asynccontextmanager
async def two_nodes(replicas: list[Replica], *, joined: bool = True, **settings):
    """Run two nodes; yield the world and the second node.

    With ``joined``, wait until they know each other.
    """
    first_listen, second_listen = (
        ListenSettings(vm, "127.0.0.1", free_port(), domain, "here", free_port())
        for vm, domain in (("vm-1", "a"), ("vm-2", "b"))
    )
    async with World(replicas, catalog(), listen=first_listen, **settings) as world:
        second = RelayNode(replace(world.settings(), listen=second_listen))
        try:
            await second.start()
            nodes = (world.node, second)
            if joined:
                await world.until(lambda: all(len(n.peers.members) == 2 for n in nodes))
            yield world, second
        finally:
            await second.close()
