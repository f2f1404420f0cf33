"""Run the platform, endpoints and nodes of a deployment as separate processes."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import sys
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import msgspec

from knapweedhinge.backing.types import Vm
from knapweedhinge.conf import PlatformSettings, to_mapping
from knapweedhinge.test.fleet import IP, seed_configuration

READY_TIMEOUT_S = 20.0  # from the start of a process to its ready line
STOP_TIMEOUT_S = 20.0  # from SIGTERM to the exit
LOG_LINES_SHOWN = 20  # of the log of a process that failed to start
# Below the range that the system uses for outgoing connections.
LISTEN_PORTS = range(20_000, 32_000)
WORKER_PORTS = 1_000  # ports of each test worker, so that no two start on the same port


def worker_ports(worker: str) -> range:
    """Return the listening ports of a test worker.

    ``worker`` is its name in pytest-xdist, such as "gw3", empty without workers.
    """
    number = int(worker.removeprefix("gw") or 0)
    ports = LISTEN_PORTS[number * WORKER_PORTS : (number + 1) * WORKER_PORTS]
    if not ports:
        raise ValueError(f"no ports left for test worker {worker!r}")
    return ports


_own_ports = worker_ports(os.environ.get("PYTEST_XDIST_WORKER", ""))
_untried_ports = itertools.cycle(random.sample(_own_ports, len(_own_ports)))


@dataclass
class Process:
    """A running process; ``ready`` is the JSON object that it printed when ready.

    ``log`` is the file that its stderr goes to, None if it isn't kept.
    """

    name: str
    child: asyncio.subprocess.Process
    ready: dict
    log: Path | None = None

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self.child.send_signal(signum)

    async def stop(self) -> int:
        """Send SIGTERM and wait for the exit; return the exit status.

        Raises TimeoutError if it takes longer than STOP_TIMEOUT_S.
        """
        if self.child.returncode is None:
            self.signal(signal.SIGTERM)
        return await asyncio.wait_for(self.child.wait(), STOP_TIMEOUT_S)

    async def kill(self) -> None:
        """End the process with SIGKILL, as a crash does."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()


async def start_process(name: str, *args: str, log: Path | None = None) -> Process:
    """Start ``python -m ARGS`` and wait until it prints its ready line.

    Raises RuntimeError with the end of its log if the process exits without printing
    it, and TimeoutError after READY_TIMEOUT_S. Its stderr is appended to ``log``, shown
    if the environment variable SHOW_LOGS is set, and discarded without either.
    """
    with contextlib.ExitStack() as stack:
        stderr = asyncio.subprocess.DEVNULL
        if os.environ.get("SHOW_LOGS"):
            stderr = None
        elif log is not None:
            stderr = stack.enter_context(log.open("ab"))
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *args, stdout=asyncio.subprocess.PIPE, stderr=stderr
        )
    try:
        line = await asyncio.wait_for(child.stdout.readline(), READY_TIMEOUT_S)
        if line:
            return Process(name, child, json.loads(line), log)
        status = await child.wait()
        raise RuntimeError(f"{name} ended with status {status}\n{_end_of(log)}")
    except BaseException:
        if child.returncode is None:
            child.kill()
            await child.wait()
        raise


def _end_of(log: Path | None) -> str:
    """Return the last lines of a log file, empty if there is none."""
    if log is None or not log.exists():
        return ""
    return "\n".join(log.read_text(errors="replace").splitlines()[-LOG_LINES_SHOWN:])


async def start_all(starts: Iterable[Awaitable[Process]]) -> list[Process]:
    """Start processes side by side; if one fails to start, kill the others."""
    results = await asyncio.gather(*starts, return_exceptions=True)
    failures = [result for result in results if isinstance(result, BaseException)]
    if failures:
        started = [result for result in results if isinstance(result, Process)]
        await asyncio.gather(*(process.kill() for process in started))
        raise failures[0]
    return results


def free_port() -> int:
    """Return a free port of this worker, another one at each call while there are any.

    A port that the system itself chooses could be taken by an outgoing connection
    before the process that is to listen has started.
    """
    for port in itertools.islice(_untried_ports, WORKER_PORTS):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind((IP, port))
                return port
    raise RuntimeError(f"no free port left in {_own_ports}")


async def eventually(condition, within_s: float = 10.0) -> None:
    """Call a coroutine function every 50 ms until it returns a true value.

    Raises TimeoutError after ``within_s``.
    """
    async with asyncio.timeout(within_s):
        while not await condition():
            await asyncio.sleep(0.05)


class Cluster:
    """A deployment as processes: a platform, all endpoints and the first nodes.

    ``settings`` are sections of the nodes' settings that differ from the defaults.
    """

    address_ttl_s = 0.5

    def __init__(
        self, tmp_path: Path, configuration, deployment, nodes: int = 3, **settings
    ):
        self.settings = settings
        self.tmp_path = tmp_path
        self.configuration = configuration
        self.deployment = deployment
        self.node_count = nodes
        self.platform: Process | None = None
        self.endpoints: dict[str, Process] = {}
        self.nodes: dict[str, Process] = {}
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info):
        if self.http:
            await self.http.close()
        processes = [*self.nodes.values(), *self.endpoints.values()]
        if self.platform:
            processes.append(self.platform)
        await asyncio.gather(*(process.kill() for process in processes))

    async def _start(self) -> None:
        self.http = aiohttp.ClientSession()
        self.platform = await start_process(
            "platform",
            "knapweedhinge.test.platform",
            "--ip",
            IP,
            log=self.tmp_path / "platform.log",
        )
        await seed_configuration(self.platform_url, self.configuration)
        started = await start_all(
            self._start_endpoint(spec) for spec in self.deployment.endpoints
        )
        self.endpoints = {process.name: process for process in started}
        vms = self.deployment.entry_vms[: self.node_count]
        self.ports = {vm.id: free_port() for vm in vms}
        await self.publish_vms()
        started = await start_all(self.start_node(vm) for vm in vms)
        self.nodes = {process.name: process for process in started}
        await eventually(self.all_addresses_known)

    async def all_addresses_known(self) -> bool:
        """Return whether every node knows the addresses of all nodes."""
        for index in range(self.node_count):
            if len(await self.addresses(index)) != self.node_count:
                return False
        return True

    async def addresses(self, index: int = 0) -> list[dict]:
        """Return the node addresses that a node gives to callers."""
        async with self.http.get(f"{self.node_url(index)}/v1/addresses") as resp:
            return (await resp.json())["addresses"]

    @property
    def platform_url(self) -> str:
        return self.platform.ready["url"]

    async def restart_endpoint(self, endpoint_id: str) -> None:
        """Start a killed endpoint again on its old port."""
        spec = next(
            endpoint
            for endpoint in self.deployment.endpoints
            if endpoint.id == endpoint_id
        )
        port = self.endpoints[endpoint_id].ready["port"]
        self.endpoints[endpoint_id] = await self._start_endpoint(spec, port)

    async def _start_endpoint(self, spec, port: int = 0) -> Process:
        if spec.kind == "engine":
            versions = [f"--version={version}" for version in spec.versions]
            args = ("knapweedhinge.test.engine", "--name", spec.id, *versions)
        else:
            args = ("knapweedhinge.test.service", "--name", spec.id)
        return await start_process(
            spec.id,
            *args,
            f"--port={port or free_port()}",
            log=self.tmp_path / f"{spec.id}.log",
        )

    async def start_node(self, vm) -> Process:
        """Write the settings of the node on an entry VM and start it."""
        settings = {
            "listen": {
                "vm": vm.id,
                "ip": IP,
                "port": self.ports[vm.id],
                "failure_domain": vm.failure_domain,
                "region": vm.region,
            },
            "platform": to_mapping(PlatformSettings(url=self.platform_url)),
            "keys": {"token_keys": ["test-token-key"], "peer_keys": ["test-peer-key"]},
            "http": {"address_ttl_s": self.address_ttl_s, "shutdown_s": 10.0},
            **self.settings,
        }
        path = self.tmp_path / f"{vm.id}.json"
        path.write_text(json.dumps(settings))
        return await start_process(
            vm.id,
            "knapweedhinge",
            "node",
            "--settings",
            str(path),
            log=self.tmp_path / f"{vm.id}.log",
        )

    async def publish_vms(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the VM list on the platform.

        VMs whose id is in ``leaving`` get the state "leaving".
        """
        vms = [self._endpoint_vm(spec, leaving) for spec in self.deployment.endpoints]
        for vm in self.deployment.entry_vms[: self.node_count]:
            state = "leaving" if vm.id in leaving else "live"
            port = self.ports[vm.id]
            entry = Vm(vm.id, IP, port, "entry", "", "", vm.failure_domain, "", state)
            vms.append(entry)
        body = msgspec.json.encode(vms)
        async with self.http.post(
            f"{self.platform_url}/standin/vms", data=body
        ) as resp:
            assert resp.status == 204

    def _endpoint_vm(self, spec, leaving) -> Vm:
        state = "leaving" if spec.id in leaving else "live"
        port = self.endpoints[spec.id].ready["port"]
        return Vm(
            spec.id,
            IP,
            port,
            "endpoint",
            spec.kind,
            spec.service,
            spec.failure_domain,
            "",
            state,
        )

    def node_url(self, index: int = 0) -> str:
        return f"http://{IP}:{list(self.ports.values())[index]}"

    def endpoint_url(self, endpoint_id: str) -> str:
        return f"http://{IP}:{self.endpoints[endpoint_id].ready['port']}"

    async def calls(self, endpoint_id: str) -> list[dict]:
        """Return the call log of an endpoint."""
        url = f"{self.endpoint_url(endpoint_id)}/standin/calls"
        async with self.http.get(url) as resp:
            return (await resp.json())["calls"]

    async def platform_calls(self) -> dict:
        """Return the platform's counts of calls, and the rows of writes it received."""
        async with self.http.get(f"{self.platform_url}/standin/calls") as resp:
            return await resp.json()

    async def set_faults(self, url: str, **faults) -> None:
        """Set fault switches of the stand-in at ``url``."""
        async with self.http.post(f"{url}/standin/faults", json=faults) as resp:
            assert resp.status in (200, 204)
