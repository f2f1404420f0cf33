"""Start nodes as separate processes beside stand-ins of the store and of replicas.

The stand-ins are the project's own, run in this process. Everything listens on loopback
addresses and free ports; all files are in a temporary folder.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

import httptools  # noqa: E402

from knapweedhinge.test.replica import Replica  # noqa: E402
from knapweedhinge.test.rowstore import RowStoreStandIn  # noqa: E402

__all__ = ["Replica", "RowStoreStandIn"]

IP = "127.0.0.1"
HOST = "api.example"
KEY = "secret-key"
READY_TIMEOUT_S = 30.0
STARTED = time.monotonic()


def now_s() -> float:
    """Return the seconds since the script started."""
    return time.monotonic() - STARTED


def free_ports(count: int) -> list[int]:
    """Return different free ports of the loopback interface."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((IP, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Record:
    """The file ``record.txt`` beside the script: what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")

    def line(self, text: str) -> None:
        """Write one line with the time since the start, and print it."""
        line = f"{now_s():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        sys.stdout.write(line + "\n")


class Node:
    """One process of the deploy file's role, with settings as the template has them."""

    def __init__(self, name: str, zone: str, store: str, folder: Path, **promises):
        self.name, self.zone, self._folder = name, zone, folder
        self._store, self._promises = store, promises
        ports = free_ports(5)
        self.callers, self.directory, self.ready, self.metrics, self.peers = ports
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    def settings(self) -> dict:
        """Return the rendered settings."""
        return {
            "listen": {
                "vm": self.name,
                "ip": IP,
                "port": 0,
                "failure_domain": self.zone,
                "region": "hcm",
                "peer_port": self.peers,
            },
            "doors": {
                "callers": f"{IP}:{self.callers}",
                "directory": f"{IP}:{self.directory}",
                "ready": f"{IP}:{self.ready}",
                "metrics": f"{IP}:{self.metrics}",
            },
            "places": [
                {"failure_domain": zone, "region": "hcm"}
                for zone in ("hcm-a", "hcm-b", "hcm-c")
            ],
            "process": {
                "files": 4100,
                "memory_mb": 300,
                "cpu_share": 0.537,
                "cores": 2,
                "link_mbps": 1000.0,
            },
            "agreements": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "places",
                "platform",
                "rollout",
            ],
            "platform": {"url": f"http://{self._store}"},
            "promises": {
                "grace_s": 8,
                "retry_ratio": 0.9,
                "retry_allowance": 54,
                "retry_window_s": 10,
                "exposure": 0.15,
                "exposure_allowance": 30,
                "session_idle_s": 5,
                "address_ttl_s": 5,
                **self._promises,
            },
        }

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self._folder / f"{self.name}.json5"
        path.write_text(json.dumps(self.settings()))
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {"KNAPWEEDHINGE_BOOT": str(path), "PYTHONPATH": "target/deps"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "knapweedhinge.platform",
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.started_at = time.monotonic()

    async def until_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        end_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_at:
            if (await get(self.ready, "/knapweedhinge/ready")).status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} isn't ready")

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_text(self) -> str:
        """Return what the process logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def addresses(self, timeout_s: float = 1.0) -> list[str]:
        """Return the addresses in an answer of the directory, none for a failure."""
        target = f"/knapweedhinge/resolve?name={HOST}&region=hcm&zone={self.zone}"
        reply = await get(self.directory, target, timeout_s)
        return json.loads(reply.body)["addrs"] if reply.status == 200 else []


class Reply:
    """A response as received; ``end`` is "whole", "closed", "reset" or "timeout"."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.end, self.at = "", 0.0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note that the response is whole."""
        self.end = "whole"

    def text(self) -> str:
        """Return the response in a few words."""
        return f"{self.status or 'no status'} {self.end}"


async def ask_on(streams, data: bytes, timeout_s: float) -> Reply:
    """Send a request on a connection and return the response, whole or not."""
    reply = Reply()
    parser = httptools.HttpResponseParser(reply)
    reader, writer = streams
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(data)
            while not reply.end:
                chunk = await reader.read(65536)
                if not chunk:
                    reply.end = "closed"
                    break
                parser.feed_data(chunk)
                reply.status = reply.status or parser.get_status_code()
    except ConnectionError:
        reply.end = "reset"
    except TimeoutError:
        reply.end = "timeout"
    reply.at = now_s()
    return reply


async def ask(port: int, data: bytes, timeout_s: float = 5.0) -> Reply:
    """Send a request on a new connection and return the response, whole or not."""
    try:
        async with asyncio.timeout(1.0):
            streams = await asyncio.open_connection(IP, port)
    except (OSError, TimeoutError):
        reply = Reply()
        reply.end = "refused"
        reply.at = now_s()
        return reply
    try:
        return await ask_on(streams, data, timeout_s)
    finally:
        streams[1].close()


async def get(port: int, target: str, timeout_s: float = 1.0) -> Reply:
    """Send a GET request without headers of the route."""
    return await ask(
        port, f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode(), timeout_s
    )


def request(
    path: str,
    request_id: str,
    method: str = "POST",
    body: bytes = b"hello",
    deadline_ms: int = 2500,
    **headers: str,
) -> bytes:
    """Return a consumer's request; underscores in header names become hyphens."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Knapweedhinge-Request-Id: {request_id}",
        f"Knapweedhinge-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


@contextlib.asynccontextmanager
async def running(nodes: list[Node]):
    """End all processes at the end, whatever happens."""
    try:
        yield
    finally:
        for node in nodes:
            await node.kill()


def run(main, here: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(here / "record.txt")
    with tempfile.TemporaryDirectory(prefix="knapweedhinge-review-") as folder:
        try:
            broken = asyncio.run(
                asyncio.wait_for(main(record, Path(folder), trouble), 115)
            )
        except Exception as exc:
            record.line(f"the case couldn't run: {exc!r}")
            sys.exit(2)
    record.line("RULE BROKEN" if broken else "the rule held")
    sys.exit(1 if broken else 0)
