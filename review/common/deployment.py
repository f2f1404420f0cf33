"""A small deployment: the store, replicas and nodes, all on the loopback interface.

The nodes are processes started with the command of ``deploy/system.toml``. The store
and the replicas are the project's stand-ins and run in the process of the script.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from knapweedhinge.http1 import Exchange
from knapweedhinge.test.replica import Replica
from knapweedhinge.test.rowstore import RowStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
# Bounds of the deployment, as in the sheet of the small installations.
BOUNDS = {
    "contact_s": 3.0,
    "grace_s": 8.0,
    "rollback_s": 5.0,
    "expose_share": 0.15,
    "expose_slack": 30,
}


class Record:
    """The file ``record.txt``: one line for each thing sent, answered or run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now:8.3f}  {text}\n")
        self._file.flush()


class WorkingReplica(Replica):
    """A replica that takes ``work_s`` seconds for each request and notes its run."""

    def __init__(self, *args, record: Record, work_s: float = 0.1, **fields):
        super().__init__(*args, **fields)
        self.log = record
        self.work_s = work_s
        self.born = time.time_ns() // 1_000_000

    def on_run(self, exchange: Exchange) -> None:
        """Handle a request that this replica begins to run; scripts override it."""

    async def _handle(self, exchange: Exchange) -> None:
        expected_id = exchange.get(b"knapweedhinge-expect-replica")
        request_id = (exchange.get(b"knapweedhinge-request-id") or b"").decode()
        if expected_id in (None, self.id.encode()):
            self.log(f"run {request_id} at {self.id} ({self.version})")
            self.on_run(exchange)
        self.faults.late_s = self.work_s
        await super()._handle(exchange)

    def row(self, **fields) -> dict:
        """Return the entry of the replica in the store."""
        return self.record(born=self.born, **fields)


def free_port() -> int:
    """Return a port of the loopback interface that is free now.

    It is below those that the kernel gives to outgoing connections.
    """
    while True:
        port = random.randrange(10_000, 30_000)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        return port


class Node:
    """One node: its settings, its ports and its process."""

    def __init__(self, name: str, zone: str, store_address: str, folder: Path, bounds):
        self.name = name
        self.ports = {
            door: free_port()
            for door in ("callers", "directory", "ready", "metrics", "peer")
        }
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder
        doors = {
            door: f"127.0.0.1:{self.ports[door]}"
            for door in ("callers", "directory", "ready", "metrics")
        }
        settings = {
            "listen": {
                "vm": name,
                "ip": "127.0.0.1",
                "port": 0,
                "failure_domain": zone,
                "region": "here",
                "peer_port": self.ports["peer"],
            },
            "doors": doors,
            "places": [
                {"failure_domain": place, "region": "here"} for place in ("a", "b", "c")
            ],
            "process": {"files": 4100, "memory_mb": 300},
            "platform": {"url": f"http://{store_address}"},
            "promises": {
                "grace_s": bounds["grace_s"],
                "retry_ratio": 0.9,
                "retry_allowance": 54,
                "retry_window_s": 10,
                "exposure": bounds["expose_share"],
                "exposure_allowance": bounds["expose_slack"],
                "session_idle_s": 5,
                "address_ttl_s": 5,
            },
        }
        self._settings = folder / f"{name}.json5"
        self._settings.write_text(json.dumps(settings))

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return self.ports["callers"]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env |= {
            "KNAPWEEDHINGE_BOOT": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        ready = False
        while not ready:
            await asyncio.sleep(0.05)
            ready = await self.ready()

    async def ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports["ready"]
                )
                writer.write(b"GET /knapweedhinge/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def signal(self, signum: int) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Deployment:
    """The store, the replicas and three nodes of a small installation."""

    def __init__(self, record: Record, bounds: dict | None = None, nodes: int = 3):
        self.record = record
        self.bounds = BOUNDS | (bounds or {})
        self.store = RowStoreStandIn()
        self.replicas: dict[str, WorkingReplica] = {}
        self.nodes: list[Node] = []
        self._count = nodes
        self._temporary = tempfile.TemporaryDirectory()
        # LOGS names a folder that keeps the nodes' logs and settings.
        self.folder = Path(os.environ.get("LOGS") or self._temporary.name)

    async def __aenter__(self) -> "Deployment":
        await self.store.start()
        for index in range(self._count):
            name = f"front-{'abc'[index % 3]}-{index + 1}"
            zone = "abc"[index % 3]
            node = Node(name, zone, self.store.address, self.folder, self.bounds)
            self.nodes.append(node)
        return self

    async def __aexit__(self, *exc) -> None:
        for node in self.nodes:
            await node.end()
        for replica in self.replicas.values():
            await replica.stop()
        await self.store.stop()
        self._temporary.cleanup()

    async def add(self, replica: WorkingReplica) -> None:
        """Start a replica and write its entry."""
        await replica.start()
        self.replicas[replica.id] = replica
        self.store.put("servers", replica.id, replica.row())

    async def start_nodes(self) -> None:
        """Start all nodes; wait until they are ready and know each other."""
        for node in self.nodes:
            await node.start()
        async with asyncio.timeout(30):
            for node in self.nodes:
                await node.wait_ready()
        await asyncio.sleep(2.0)  # in which the nodes join each other
        for node in self.nodes:
            self.record(f"node {node.name} is ready")


def play(run: Callable[[Record], Awaitable[int]], case_file: str) -> None:
    """Run a case and exit with its status, 2 if it can't run.

    ``run`` gets the record, which is written to the folder of ``case_file``. SIGTERM
    ends all processes that the case started, too.
    """
    record = Record(Path(case_file).with_name("record.txt"))
    signal.signal(signal.SIGTERM, lambda signum, frame: sys.exit(2))
    try:
        status = asyncio.run(run(record))
    except (OSError, TimeoutError) as exc:
        record(f"the case could not run: {exc!r}")
        status = 2
    record(f"exit {status}")
    sys.exit(status)


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the config."""
    base = {
        "name": name,
        "host": "api.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        "public": False,
    }
    return base | fields


def config(routes: list[dict], services: list[str], version: int = 1) -> dict:
    """Return a config with these routes and plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 100, "coldS": 0}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": ["key-of-acme"]}],
    }
