"""A whole deployment in one process on loopback: stand-ins and real nodes."""

import asyncio
import hashlib
import time
from dataclasses import dataclass, replace

from aiohttp import web
from reactivex import operators as ops

from knapweedhinge.backing import connect
from knapweedhinge.backing.types import Vm
from knapweedhinge.conf import (
    Configuration,
    Deployment,
    EndpointSettings,
    EndpointSpec,
    HttpSettings,
    KeySettings,
    LeaseSettings,
    ListenSettings,
    NodeSettings,
    PermitSettings,
    PlatformSettings,
)
from knapweedhinge.controllers.configuration import ConfigurationStore
from knapweedhinge.node import Node
from knapweedhinge.test import faults, platform
from knapweedhinge.test.engine import Engine
from knapweedhinge.test.service import PlainService

IP = "127.0.0.1"
ADDRESS_TTL_S = 0.5  # how long callers may use a list of node addresses
STATUS_INTERVAL_S = 0.1  # between two status polls of an endpoint


@dataclass
class RunningEndpoint:
    """The stand-in of one endpoint, with the port on which it listens."""

    spec: EndpointSpec
    standin: Engine | PlainService
    runner: web.AppRunner
    port: int

    @property
    def url(self) -> str:
        """Return the endpoint's base URL."""
        return f"http://{IP}:{self.port}"


class Fleet:
    """Run a deployment: its platform, its endpoints and its first ``nodes`` nodes.

    Use it as an asynchronous context manager, or call ``start`` and ``stop``.
    """

    def __init__(
        self, configuration: Configuration, deployment: Deployment, nodes: int
    ):
        self.configuration = configuration
        self.deployment = deployment
        self.node_count = nodes
        self.platform: platform.RunningPlatform | None = None
        self.endpoints: dict[str, RunningEndpoint] = {}
        self.nodes: list[Node] = []

    async def start(self) -> None:
        """Start everything; return when every node knows the addresses of all nodes."""
        self.platform = await platform.serve(IP)
        await seed_configuration(self.platform.url, self.configuration)
        for spec in self.deployment.endpoints:
            self.endpoints[spec.id] = await start_endpoint(spec, self.deployment.seed)
        self.publish_vms()  # endpoints only; a node has no port before it starts
        vms = self.deployment.entry_vms[: self.node_count]
        self.nodes = [Node(self.settings(vm)) for vm in vms]
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.publish_vms()
        await asyncio.gather(*(node.upkeep.poll_vms() for node in self.nodes))
        await asyncio.gather(
            *(self._wait_for_all_addresses(node) for node in self.nodes)
        )

    async def _wait_for_all_addresses(self, node: Node) -> None:
        """Wait until a node knows the addresses of all nodes."""
        count = len(self.nodes)
        all_addresses_known = ops.first(
            lambda snapshot: len(snapshot.addresses) == count
        )
        await node.state.snapshots.pipe(all_addresses_known)

    async def stop(self) -> None:
        """Stop the nodes gracefully, then the endpoints and the platform."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        for endpoint in self.endpoints.values():
            await endpoint.runner.cleanup()
        await self.platform.close()

    async def __aenter__(self) -> "Fleet":
        await self.start()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.stop()

    def settings(self, vm) -> NodeSettings:
        """Return the settings of the node on ``vm``, with short timings for tests."""
        return NodeSettings(
            listen=ListenSettings(
                vm=vm.id,
                ip=vm.ip,
                port=vm.port,
                peer_port=vm.peer_port,
                failure_domain=vm.failure_domain,
                region=vm.region,
            ),
            platform=PlatformSettings(url=self.platform.url, poll_s=0.2),
            keys=KeySettings(("demo-token-key",), ("demo-peer-key",)),
            http=HttpSettings(address_ttl_s=ADDRESS_TTL_S, shutdown_s=5.0),
            endpoints=EndpointSettings(status_s=STATUS_INTERVAL_S),
            leases=LeaseSettings(term_s=1.0, margin_s=0.1),
            permits=PermitSettings(start_s=0.3, news_s=0.6, margin_s=0.2),
        )

    def publish_vms(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the VM list on the platform.

        VMs whose id is in ``leaving`` get the state "leaving".
        """
        vms = [
            endpoint_vm(endpoint.spec, endpoint.port)
            for endpoint in self.endpoints.values()
        ]
        vms += [entry_vm(node) for node in self.nodes]
        self.platform.standin.set_vms(
            tuple(
                replace(vm, state="leaving") if vm.vm in leaving else vm for vm in vms
            )
        )


async def seed_configuration(url: str, configuration: Configuration) -> None:
    """Store ``configuration`` as the first revision on the platform at ``url``."""
    services = await connect(PlatformSettings(url=url))
    try:
        store = ConfigurationStore(services.tables)
        await store.append_first_revision(
            configuration, "first-revision", "operator", time.time()
        )
    finally:
        await services.close()


async def start_endpoint(spec: EndpointSpec, seed: int) -> RunningEndpoint:
    """Start the stand-in that ``spec`` describes on a free port."""
    if spec.kind == "engine":
        standin = Engine(
            spec.id,
            versions=spec.versions,
            capacity=spec.slots,
            cold_capacity=spec.cold_slots,
            seed=seed,
        )
    else:
        standin = PlainService(spec.id)
    runner, port = await faults.serve(standin.make_app(), IP, 0)
    return RunningEndpoint(spec, standin, runner, port)


def endpoint_vm(spec: EndpointSpec, port: int) -> Vm:
    """Return an endpoint's entry in the VM list."""
    return Vm(
        spec.id,
        IP,
        port,
        role="endpoint",
        kind=spec.kind,
        service=spec.service,
        failure_domain=spec.failure_domain,
    )


def entry_vm(node: Node) -> Vm:
    """Return a node's entry in the VM list."""
    listen = node.settings.listen
    return Vm(
        listen.vm,
        listen.ip,
        node.port,
        "entry",
        failure_domain=listen.failure_domain,
        region=listen.region,
    )


def bearer_key(organisation_id: str) -> str:
    """Return the API key of an organisation of the example configurations."""
    return f"{organisation_id}-key"


def key_sha256(key: str) -> str:
    """Return the digest by which the configuration identifies an API key."""
    return hashlib.sha256(key.encode()).hexdigest()
