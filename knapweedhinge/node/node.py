"""Define a node that routes by the voted configuration, and its life cycle."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable
from dataclasses import replace

from loguru import logger
from reactivex import operators as ops

from knapweedhinge.backing import Platform, connect
from knapweedhinge.conf import NodeSettings
from knapweedhinge.controllers.configuration import ConfigurationStore
from knapweedhinge.controllers.configuration_controller import (
    ConfigurationController,
)
from knapweedhinge.controllers.governance import Governance
from knapweedhinge.controllers.proposals import ProposalStore
from knapweedhinge.controllers.snapshot import Phase
from knapweedhinge.controllers.state import NodeState
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.filters import Context
from knapweedhinge.http.operators import OperatorHandlers
from knapweedhinge.http.server import HttpServer
from knapweedhinge.node.bill_replicator import BillReplicator
from knapweedhinge.node.configuration_distributor import ConfigurationDistributor
from knapweedhinge.node.decision_writer import DecisionWriter
from knapweedhinge.node.dump import dump_node
from knapweedhinge.node.governance_jobs import GovernanceJobs
from knapweedhinge.node.peer_sync import PeerSync
from knapweedhinge.node.permit_coordinator import PermitCoordinator
from knapweedhinge.node.upkeep import Upkeep
from knapweedhinge.node.wiring import ClientSessions, Identity, build_context
from knapweedhinge.peers import Peers

CONNECT_MARGIN_S = 0.5  # from the check of an address's age to the connection


class Node:
    """Build a node from its settings, start it and shut it down gracefully.

    Components that need the platform or the peers are None until ``start`` has built
    them.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng or random.Random()
        self.identity = Identity(settings.listen.vm, uuid.uuid4().hex)
        self.state = NodeState()
        self.port = settings.listen.port
        self.platform: Platform | None = None
        self.ctx: Context | None = None
        self.upkeep: Upkeep | None = None
        self.peer_sync: PeerSync | None = None
        self.permit_coordinator: PermitCoordinator | None = None
        self.configurations: ConfigurationController | None = None
        self.configuration_distributor: ConfigurationDistributor | None = None
        self.governance: Governance | None = None
        self.bill_replicator: BillReplicator | None = None
        self.decision_writer: DecisionWriter | None = None
        self._sessions = ClientSessions()
        self._tasks = PeriodicTasks(self.rng)
        self._server: HttpServer | None = None

    async def start(self) -> None:
        """Connect to the platform, read the configuration, join the peers and serve.

        The HTTP server listens before there is a configuration, so health checks are
        answered meanwhile.
        """
        cfg = self.settings
        self.platform = await connect(cfg.platform, clock=self.clock, rng=self.rng)
        self.ctx = build_context(
            cfg,
            self.identity,
            self.state,
            self.platform,
            self._sessions,
            self.clock,
            self.rng,
        )
        self.configurations = self._build_configuration_controller()
        self._server = HttpServer(self.ctx, self._build_operator_handlers())
        self.port = await self._server.start()
        self.upkeep = Upkeep(self.ctx, self.platform)
        self._tasks.start(self.poll_until_configured, cfg.platform.poll_s)
        await self._wait_until_ready()
        self.upkeep.start(self._tasks)
        await self._join_peers()
        self.state.set_phase(Phase.SERVING)
        logger.info("serving")

    async def stop(self) -> None:
        """Shut down: finish open requests, write pending records, close connections.

        Callers cache the list of addresses for ``address_ttl_s`` seconds, so the node
        continues to serve for that time after it has left the list, and for a margin
        in which a caller connects to an address that it found to be valid. A node that
        hasn't served yet only closes what its start has opened.
        """
        if self.state.current.phase is Phase.SERVING:
            self.state.set_phase(Phase.LEAVING)
            await self.peer_sync.peers.leave()
            await self.permit_coordinator.stop()
            await asyncio.sleep(self.settings.http.address_ttl_s + CONNECT_MARGIN_S)
        if self._server is not None:
            await self._server.stop()
            await self.ctx.claims.detached.drain(self.settings.http.shutdown_s)
        await self._tasks.stop()
        if self.ctx is not None:
            await self.ctx.bills.stop()
            await self.ctx.claims.settle()
            await self.ctx.reserved.close_all()
        if self.peer_sync is not None:
            await self.peer_sync.peers.stop()
        await self._sessions.close()
        if self.platform is not None:
            await self.platform.close()
        logger.info("stopped")

    async def poll_until_configured(self) -> None:
        """Poll the configuration unless one is in force already."""
        if self.state.current.configuration is None:
            await self.configurations.poll()

    def _build_configuration_controller(self) -> ConfigurationController:
        store = ConfigurationStore(self.platform.tables)
        controller = ConfigurationController(store, self.clock, time.time)
        controller.states.subscribe(self.state.configure)
        return controller

    def _build_operator_handlers(self) -> OperatorHandlers:
        """Return the handlers, and set ``governance``, to which they pass changes."""
        tables, store = self.platform.tables, self.configurations.store
        proposals = ProposalStore(tables, store, lambda: uuid.uuid4().hex)
        self.governance = Governance(
            self.configurations, proposals, self._publish_newest
        )
        return OperatorHandlers(self.ctx, self.governance, lambda: dump_node(self))

    def _heard_fraction(self) -> float:
        """Return the share of members whose heartbeats arrive, this one included."""
        return self.state.current.heard_fraction(self.clock())

    async def _publish_newest(self) -> None:
        """Publish new revisions to the peers, once the node has joined them."""
        if self.configuration_distributor is not None:
            await self.configuration_distributor.publish_newest()

    async def _wait_until_ready(self) -> None:
        """Wait for a configuration, then read the VM list and endpoint statuses."""
        configured = ops.first(lambda snapshot: snapshot.configuration is not None)
        await self.state.snapshots.pipe(configured)
        await self.upkeep.poll_vms()
        await self.upkeep.watch_endpoints()

    async def _join_peers(self) -> None:
        listen = replace(self.settings.listen, port=self.port)
        cfg = replace(self.settings, listen=listen)
        peers = Peers(cfg, self.platform.tables, clock=self.clock, rng=self.rng)
        self.peer_sync = PeerSync(self.ctx, peers, self.platform.budget)
        self.bill_replicator = BillReplicator(
            self.ctx, self.identity, peers, self.platform.objects
        )
        self.permit_coordinator = PermitCoordinator(
            self.ctx, peers, self.platform.tables, self.identity.incarnation
        )
        self.configuration_distributor = ConfigurationDistributor(
            cfg, self.configurations, peers
        )
        governance_jobs = GovernanceJobs(self.governance, peers, self._heard_fraction)
        self.decision_writer = DecisionWriter(
            self.ctx,
            self.configurations,
            self.governance,
            peers,
            self._heard_fraction,
        )
        await peers.start()
        self.peer_sync.start(self._tasks)
        self.bill_replicator.start(self._tasks)
        self.permit_coordinator.start(self._tasks)
        self.configuration_distributor.start(self._tasks)
        governance_jobs.start(self._tasks)
        self.decision_writer.start(self._tasks)
