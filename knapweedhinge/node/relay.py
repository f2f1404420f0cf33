"""Define the relay node, a proxy between callers and endpoints, and its life cycle.

It reads its catalog and roll-outs from the platform's row store, instead of from the
voted configuration.
"""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from typing import NoReturn

import msgspec
from loguru import logger

from knapweedhinge.conf.relay import RelaySettings, split_address
from knapweedhinge.conf.switches import ON
from knapweedhinge.controllers.addresses import Address
from knapweedhinge.controllers.answermemory import AnswerMemory
from knapweedhinge.controllers.domainload import DomainLoadTracker
from knapweedhinge.controllers.engineload import EngineRoomTracker
from knapweedhinge.controllers.enginespeeds import EngineSpeedTracker
from knapweedhinge.controllers.escalationtracker import EscalationTracker
from knapweedhinge.controllers.fleet import (
    CatalogSeen,
    EndpointGone,
    EndpointRecord,
    EndpointSeen,
    FleetTracker,
    ReleaseOrdered,
    ReleaseStaged,
)
from knapweedhinge.controllers.healthtracker import HealthTracker
from knapweedhinge.controllers.hotengines import HotEngines
from knapweedhinge.controllers.loadtracker import LoadTracker
from knapweedhinge.controllers.nodestrain import StrainTracker
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.controllers.release_controller import ReleaseController
from knapweedhinge.controllers.release_tracker import ReleaseTracker
from knapweedhinge.controllers.session_tracker import SessionTracker
from knapweedhinge.controllers.sharetracker import ShareTracker
from knapweedhinge.controllers.speedtracker import PrefillSpeedTracker
from knapweedhinge.core import logs
from knapweedhinge.core.detached import log_failure
from knapweedhinge.core.exceptions import KnapweedhingeError, PlatformError
from knapweedhinge.core.management.exit_codes import ExitCode, exit_code
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.core.process_end import end_process, end_process_after
from knapweedhinge.endpoints.pools import EndpointPools
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.http1 import Account, Exchange, Limits, Server
from knapweedhinge.node.capacities import (
    capacities_dump,
    measured_strain,
    strained_vms,
)
from knapweedhinge.node.crash_prober import CrashProber
from knapweedhinge.node.crash_recorder import CrashRecorder
from knapweedhinge.node.enginedump import engines_dump
from knapweedhinge.node.identity_checker import IdentityChecker
from knapweedhinge.node.relaypeers import (
    REPORT_INTERVAL_S,
    RelayPeers,
    own_capacity,
)
from knapweedhinge.node.trial_coordinator import TrialCoordinator
from knapweedhinge.peers.members import MemberState
from knapweedhinge.platform import wire
from knapweedhinge.platform.callers import (
    CallHandler,
    DirectoryHandler,
    ReadinessHandler,
)
from knapweedhinge.platform.feeds import Feeds
from knapweedhinge.platform.headers import EndpointHeaderCodec
from knapweedhinge.platform.stages import StageRecorder
from knapweedhinge.platform.store import Store
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.nodestrain import Strain
from knapweedhinge.routing.prefix import PrefixIndex
from knapweedhinge.routing.windowbudget import BudgetBound, WindowBudget

TICK_INTERVAL_S = 0.25  # between runs that expire records and advance roll-outs
LOAD_RETRY_PAUSE_S = 0.15  # mean pause before the store is read again after a failure
# What is known of an endpoint without a record is kept for the longest pause that it
# may have asked for.
GONE_MEMORY_S = 60.0
SWEEP_INTERVAL_S = 1.0  # between searches for idle connections
# Longest time that callers may cache the list of nodes. They notice a node that is gone
# within about this time.
MAX_ADDRESS_TTL_S = 1.5
# Share of the time before SIGKILL in which a stopping node accepts new calls. Later
# calls might not end in time, so they are refused and callers use another node.
ACCEPTING_SHARE = 0.3
STOP_POLL_INTERVAL_S = 0.05  # between checks of a stopping node for open calls
STOP_MARGIN_S = 0.6  # time before SIGKILL that is reserved for ending the process
# The last part of it: from then on a stopping node waits for nothing, and at the end of
# the second time its process ends also if the event loop hangs.
CLOSED_MARGIN_S = 0.25
ENDED_MARGIN_S = 0.15
RESERVED_FILES = 200  # file descriptors that the platform keeps for files
# Share of the other descriptors for callers; endpoints and peers get the rest.
CALLER_FILES_SHARE = 0.5
ANSWER_MEMORY_SHARE = 0.1  # of the memory, for large answers that are read whole
MEBIBYTE = 1024 * 1024
# Added to the time for which a session counts as active, since a caller may measure it
# from a later moment than the node does.
SESSION_MARGIN_S = 0.5
# Between the retrials of a request at different nodes. News of one takes far less.
MAX_RETRIAL_STAGGER_S = 2.0


class RelayNode:
    """Build a relay node from its settings, start it and shut it down gracefully."""

    def __init__(
        self,
        settings: RelaySettings,
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng or random.Random()
        self.fleet = FleetTracker(self.rng)
        self.metrics = Metrics()
        self.leaving = False
        self.ready = False
        self._region_by_failure_domain = {
            place.failure_domain: place.region for place in settings.places
        }
        self._incarnations: dict[str, str] = {}  # of the endpoints, by id
        self._gone_at: dict[str, float] = {}  # of those without a record, by id
        self._tasks = PeriodicTasks(self.rng, self._note_wake)
        self._background: set[asyncio.Task] = set()
        ip, port = split_address(settings.platform.url.removeprefix("http://"))
        self.store = Store(ip, port, clock, self.rng)
        # ``peers`` is created below, so the lambdas look it up only when called.
        self.feeds = Feeds(
            self.store,
            self._region,
            clock,
            self.rng,
            rank=lambda: self.peers.reader_rank(),
            nodes=lambda: self.fleet.nodes,
        )
        self.feeds.events.subscribe(self._apply_event)
        self.store.eras.changes.subscribe(self._handle_era_change)
        promises = settings.promises
        self.releases = ReleaseTracker()
        self.release_controller = ReleaseController(
            self.fleet,
            self.releases,
            StageRecorder(self.store, self.feeds),
            lambda service: self.peers.owns_release(service),
            promises,
        )
        self.sessions = SessionTracker(promises.session_idle_s + SESSION_MARGIN_S)
        self.trials = TrialCoordinator(
            self.fleet,
            self.sessions,
            clock,
            promises.exposure,
            promises.exposure_allowance,
        )
        bound = BudgetBound(
            promises.retry_ratio, promises.retry_allowance, promises.retry_window_s
        )
        loads, engines = LoadTracker(), settings.engines
        self.strain = None
        if settings.process.strain_told:
            self.strain = StrainTracker(
                settings.listen.vm, loads.tables, self.metrics, self._measure_strain
            )
        domains = None
        if settings.leaving.enabled:
            domains = DomainLoadTracker(settings, self.fleet, loads, self.metrics)
        # Converts times of the clock into wall-clock time.
        wall_offset_s = time.time() - clock()
        shares = None
        if settings.shares.enabled:
            shares = ShareTracker(
                settings.shares,
                loads.tables,
                loads.work_s,
                lambda now: now + wall_offset_s,
                self.rng,
            )
        self.ctx = RelayContext(
            settings=settings,
            clock=clock,
            rng=self.rng,
            codec=EndpointHeaderCodec(),
            fleet=self.fleet,
            pools=EndpointPools(),
            health=HealthTracker(),
            loads=loads,
            speeds=PrefillSpeedTracker(),
            prefixes=PrefixIndex(),
            budget=WindowBudget(bound),
            releases=self.releases,
            sessions=self.sessions,
            trials=self.trials,
            quarantine=QuarantineTracker(
                wall_offset_s, self.rng.uniform(0, MAX_RETRIAL_STAGGER_S)
            ),
            answer_memory=AnswerMemory(
                int(ANSWER_MEMORY_SHARE * settings.process.memory_mb * MEBIBYTE)
            ),
            metrics=self.metrics,
            check_crash=self._check_crash,
            check_identity=self._check_identity,
            domains=domains,
            shares=shares,
            engine_room=(
                EngineRoomTracker(loads.tables, engines) if engines.room == ON else None
            ),
            engine_speeds=(
                EngineSpeedTracker(loads.tables, self.metrics)
                if engines.speeds == ON
                else None
            ),
            hot_engines=(
                HotEngines(loads.work_s, self.metrics) if engines.spread == ON else None
            ),
            escalation=EscalationTracker() if settings.escalation.enabled else None,
        )
        self.peers = RelayPeers(
            self.ctx, self.store, self.feeds, self.release_controller, self.trials
        )
        self.crash_prober = CrashProber(self.ctx, self._spawn)
        self.crash_recorder = CrashRecorder(
            self.ctx, self.store, self.peers.keeps_crash
        )
        self.identity_checker = IdentityChecker(self.ctx)
        self.fleet.changes.subscribe(self._handle_fleet_change)
        self._calls = CallHandler(self.ctx)
        self.account = Account(
            self._limits,
            lambda reason, count: self.metrics.count("callers_closed", reason, count),
        )
        self.caller_server = self._build_server(self._calls)
        self.directory = self._build_server(
            DirectoryHandler(
                self.addresses,
                min(MAX_ADDRESS_TTL_S, promises.address_ttl_s),
                settings.listen.vm,
                settings.listen.failure_domain,
            )
        )
        self.ready_server = self._build_server(ReadinessHandler(lambda: self.ready))
        self.metrics_server = self._build_server(self._serve_metrics)

    async def start(self) -> None:
        """Open the servers, read the store, then report ready and join the peers."""
        await self.listen()
        await self.begin_serving()

    async def listen(self) -> None:
        """Open the servers, which read requests before the node can serve them."""
        cfg = self.settings
        await self.ready_server.start(*split_address(cfg.doors.ready))
        await self.metrics_server.start(*split_address(cfg.doors.metrics))
        await self.caller_server.start(cfg.listen.ip, cfg.listen.port)
        await self.directory.start(*split_address(cfg.doors.directory))

    async def begin_serving(self) -> None:
        """Read the store, then report ready and join the peers.

        Joining the peers continues in the background, since calls don't depend on it.
        A node that was told to stop meanwhile only ends its open calls.
        """
        await self._load()
        if self.leaving:
            return
        self.ready = True
        self.feeds.follow(wire.OPERATOR_TABLE)
        self.feeds.follow(wire.ENDPOINTS_TABLE)
        self._tasks.start(self._tick, TICK_INTERVAL_S)
        self._tasks.start(self._sweep, SWEEP_INTERVAL_S)
        self._tasks.start(self.peers.report, REPORT_INTERVAL_S)
        logger.bind(
            revision=self._revision(), endpoints=len(self.fleet.view.endpoints.by_id)
        ).info("serving")
        self._spawn(self.peers.join())
        self._spawn(self.crash_recorder.run())

    async def stop(self, now: float) -> None:
        """Leave the list of nodes, finish open calls and end before SIGKILL.

        ``now`` is the time of SIGTERM, from which the platform waits ``grace_s``
        seconds. New calls are still accepted in the first part of that time, because
        callers may use a cached list of nodes, but not by a node that isn't ready yet.
        Calls that last longer are answered with an error, but for streams that have
        begun, which are broken off.
        """
        grace_s = self.settings.promises.grace_s
        end_at = now + grace_s - STOP_MARGIN_S
        refuse_at = now + ACCEPTING_SHARE * grace_s if self.ready else now
        self.leaving = True
        self.ready = False
        self.fleet.leave()
        self.caller_server.drain()
        logger.bind(open=self.caller_server.busy_connections, grace_s=grace_s).info(
            "stopping"
        )
        self._spawn(self.peers.leave())
        while (now := self.clock()) < end_at:
            if now >= refuse_at:
                self.caller_server.close_listener()
                # Answers that slow callers are still reading count as well.
                if not self.caller_server.connections:
                    break
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        logger.bind(cut=self.caller_server.busy_connections).info("stopped")
        close_by = end_at + STOP_MARGIN_S - CLOSED_MARGIN_S
        await self._calls.end_open_calls(timeout_s=close_by - self.clock())
        await self._close_by(close_by)

    async def _close_by(self, when: float) -> None:
        """Close the node, but wait for it no longer than until ``when``."""
        closing = asyncio.create_task(self.close())
        await asyncio.wait((closing,), timeout=max(0.0, when - self.clock()))
        if closing.done():
            closing.result()
            return
        logger.bind(
            calls=self._calls.open_calls, tasks=len(asyncio.all_tasks())
        ).warning("stopped before all was closed")

    async def close(self) -> None:
        """Stop servers, background tasks and connections without waiting for calls."""
        self.ready = False
        for server in (
            self.caller_server,
            self.directory,
            self.ready_server,
            self.metrics_server,
        ):
            await server.stop()
        await self._tasks.stop()
        await self.feeds.stop()
        for task in tuple(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self.peers.stop()
        self.ctx.pools.close()
        self.store.close()

    def addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the nodes that callers may use.

        This node is among them, and listed first, while it is ready.
        """
        listen = self.settings.listen
        is_strained = strained_vms(self.strain, self.clock(), self.fleet.nodes)
        me = Address(
            listen.vm,
            listen.ip,
            listen.port,
            listen.failure_domain,
            listen.region,
            own_capacity(self.settings),
            strained=is_strained(listen.vm),
        )
        others = (
            Address(
                member.vm,
                member.ip,
                member.http_port,
                member.failure_domain,
                member.region,
                member.capacity,
                choked=member.state is MemberState.SUSPECT,
                strained=is_strained(member.vm),
            )
            for member in self.peers.members
            if member.vm != listen.vm
        )
        return (*((me,) if self.ready else ()), *others)

    def reload(self, settings: RelaySettings) -> None:
        """Apply the one setting that can change while the node runs: the log level."""
        logs.configure_stdout(settings.log, vm=settings.listen.vm)
        logger.bind(level=settings.log.level).info("settings reloaded")

    async def _load(self) -> None:
        """Read the tables, retrying until the store answers and has a catalog."""
        while True:
            try:
                await self._read_tables()
                return
            except PlatformError as exc:
                logger.bind(code=exc.code.number).info(f"tables not loaded yet: {exc}")
            await asyncio.sleep(LOAD_RETRY_PAUSE_S * self.rng.uniform(0.5, 1.5))

    async def _read_tables(self) -> None:
        await self.feeds.load(wire.OPERATOR_TABLE)
        while self.fleet.view.catalog is None:
            await self.feeds.poll(wire.OPERATOR_TABLE)
        _, found = await asyncio.gather(
            self.feeds.load(wire.ENDPOINTS_TABLE), self.store.read(wire.NODES_TABLE)
        )
        self.peers.load(found.rows)
        self.crash_recorder.load(found.rows, self.clock())
        # The status table holds roll-out stages, needed once a roll-out was ordered.
        if self.fleet.view.orders:
            await self.feeds.load(wire.STATUS_TABLE)

    async def _tick(self) -> None:
        """Expire endpoint records and advance running roll-outs.

        While roll-outs run, the table that holds their stages is followed.
        """
        now = self.clock()
        self.fleet.expire(now)
        self.feeds.settle(now)
        self.fleet.era = self.store.eras.current
        self.metrics.set_gauge("store_era", self.fleet.era)
        if self.feeds.must_reread(wire.STATUS_TABLE) and any(
            self.peers.owns_release(service) for service in self.fleet.view.stages
        ):
            await self.feeds.load(wire.STATUS_TABLE)
        if self.release_controller.running():
            self.feeds.follow(wire.STATUS_TABLE)
        await self.release_controller.step(now)

    def _note_wake(self, late_s: float) -> None:
        if self.strain is not None:
            self.strain.woke(late_s, self.clock())

    def _measure_strain(self, late_s: float) -> Strain:
        catalog = self.fleet.view.catalog
        return measured_strain(late_s, self.account, self._limits(), catalog)

    async def _sweep(self) -> None:
        """Close unneeded connections and drop outdated sums of the nodes' loads.

        Unneeded are connections that were idle for too long, and idle ones to endpoints
        that are gone, restarted or moved.
        """
        now = self.clock()
        self.ctx.pools.sweep(now)
        self.ctx.pools.keep_only(self.fleet.view.endpoints.by_id)
        self.ctx.loads.expire(now)
        self.sessions.expire(now)
        self._forget_gone(now)

    def _forget_gone(self, now: float) -> None:
        """Forget the health of endpoints that have been gone for long.

        Before that their records may only have been unreadable for a moment.
        """
        for endpoint_id, gone_at in list(self._gone_at.items()):
            if now >= gone_at + GONE_MEMORY_S:
                del self._gone_at[endpoint_id]
                self._incarnations.pop(endpoint_id, None)
                self.ctx.health.forget(endpoint_id)

    def _apply_event(self, event) -> None:
        """Apply a change of the tables; log an error, which would end the subscription.

        The next events are still applied then.
        """
        try:
            self.fleet.apply(event, self.clock())
        except Exception as exc:
            logger.bind(news=str(event)).opt(exception=exc).error("change not applied")

    def _handle_fleet_change(self, event) -> None:
        if isinstance(event, EndpointGone):
            self._gone_at[event.endpoint_id] = self.clock()
        if isinstance(event, EndpointSeen):
            self._gone_at.pop(event.record.id, None)
            self._note_incarnation(event.record)
        if isinstance(event, ReleaseOrdered | ReleaseStaged):
            self._spawn(self.trials.report())
        log = logger.bind(
            revision=self._revision(),
            store=self.store.available,
            era=self.store.eras.current,
        )
        if isinstance(event, CatalogSeen):
            log.info("catalog in force")
        else:
            log.bind(news=str(event)).info("fleet changed")

    def _handle_era_change(self, eras: tuple[int, int]) -> None:
        self.metrics.count("store_era_changes")
        self._spawn(self._restore_peers())

    async def _restore_peers(self) -> None:
        try:
            await self.peers.store_returned()
        except PlatformError as exc:
            logger.bind(code=exc.code.number).warning(f"peer key not restored: {exc}")

    def _note_incarnation(self, record: EndpointRecord) -> None:
        """Forget the health of an endpoint's earlier process when it has restarted."""
        known = self._incarnations.get(record.id)
        if known is not None and known != record.born:
            self.ctx.health.forget(record.id)
        self._incarnations[record.id] = record.born

    async def _check_crash(self, endpoint: EndpointView, *, wait: bool) -> None:
        await self.crash_prober.check(endpoint, wait=wait)

    def _check_identity(self, endpoint: EndpointView) -> None:
        if self.identity_checker.is_due(endpoint, self.clock()):
            self._spawn(self.identity_checker.check(endpoint))

    def _region(self, failure_domain: str) -> str:
        return self._region_by_failure_domain.get(
            failure_domain, self.settings.listen.region
        )

    def _revision(self) -> int | None:
        catalog = self.fleet.view.catalog
        return catalog.revision if catalog else None

    def _build_server(self, handle) -> Server:
        def on_refused(status: int) -> None:
            self.metrics.count("malformed_requests", str(status))
            logger.bind(status=status).info("malformed request refused")

        return Server(
            handle,
            self._limits,
            clock=self.clock,
            on_refused=on_refused,
            account=self.account,
        )

    def _limits(self) -> Limits:
        """Return the limits on clients, from the process's limits and the catalog."""
        catalog, process = self.fleet.view.catalog, self.settings.process
        # If few descriptors are allowed, half of them are for connections.
        files = max(process.files - RESERVED_FILES, process.files // 2)
        process_limits = {
            "unread_timeout_s": process.unread_timeout_s,
            "max_fields": process.request_fields,
            "max_connections": int(CALLER_FILES_SHARE * files),
            "max_held_bytes": int(
                process.caller_memory_share * process.memory_mb * MEBIBYTE
            ),
        }
        if catalog is None:
            return Limits(**process_limits)
        limits = catalog.limits
        return Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            **process_limits,
        )

    async def _serve_metrics(self, exchange: Exchange) -> None:
        """Answer ``/dump`` with the node's state, any other path with metrics."""
        if exchange.target.startswith(b"/dump"):
            exchange.respond(200, (), msgspec.json.encode(self.dump(), enc_hook=str))
            return
        exchange.respond(200, (), self.metrics.render().encode())

    def dump(self) -> dict:
        """Return the node's whole state as JSON-like values, without secret keys."""
        view = self.fleet.view
        return {
            "vm": self.settings.listen.vm,
            "ready": self.ready,
            "leaving": self.leaving,
            "revision": self._revision(),
            "endpoints": [str(record) for record in view.endpoints.by_id.values()],
            "health": {
                endpoint_id: str(health)
                for endpoint_id, health in self.ctx.health.healths.items()
            },
            "fleet_failure_shares": self.ctx.health.fleet_failure_shares(self.clock()),
            "domains_out": sorted(view.domains_out),
            "releases": [str(view.release(service)) for service in view.orders],
            "members": [member.vm for member in self.peers.members],
            **self._dump_capacities(),
            "store": {
                "calls": self.store.calls,
                "failures": self.store.failures,
                "era": self.store.eras.current,
                "returns": self.store.eras.returns,
            },
            "connections_opened": self.ctx.pools.opened,
            "callers": self.account.by_kind(),
            "engines": engines_dump(self.ctx, self.clock()),
            "retries_lent": self.ctx.budget.lent,
            "shares": self.ctx.shares.dump() if self.ctx.shares else None,
            **(
                {"second_asks": self.ctx.escalation.dump(self.clock())}
                if self.ctx.escalation
                else {}
            ),
            **(
                {"leaving_shares": self.ctx.domains.dump(self.clock())}
                if self.ctx.domains
                else {}
            ),
        }

    def _dump_capacities(self) -> dict:
        """Return the members' capacities and the nodes that callers are told of."""
        if not own_capacity(self.settings):
            return {}
        listen, found = self.settings.listen, self.addresses()
        return capacities_dump(
            found, listen.vm, listen.failure_domain, self.strain, self.clock()
        )

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        task.add_done_callback(log_failure)
        return task


async def serve(
    settings: RelaySettings, read_settings: Callable[[], RelaySettings]
) -> NoReturn:
    """Run a node until SIGTERM or SIGINT, then end the process before SIGKILL.

    SIGHUP reloads the settings.

    ``read_settings`` reads the settings again and raises KnapweedhingeError if they are
    invalid; the node then keeps the present ones.
    """
    node = RelayNode(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop() -> None:
        if not stopped.is_set():
            grace_s = settings.promises.grace_s
            end_process_after(grace_s - ENDED_MARGIN_S, ExitCode.SUCCESS)
            stopped.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop)

    def reload() -> None:
        try:
            node.reload(read_settings())
        except KnapweedhingeError as exc:
            logger.bind(code=exc.code.number).error(f"settings not reloaded: {exc}")

    loop.add_signal_handler(signal.SIGHUP, reload)
    # Blocked while the process started; one that came meanwhile is delivered now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await node.listen()
        starting = asyncio.create_task(node.begin_serving())
        stopping = asyncio.create_task(stopped.wait())
        await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            starting.result()
            await stopping
    finally:
        # Also if the start failed or goes on: the servers have read requests meanwhile.
        await node.stop(node.clock())
    end_process(ExitCode.SUCCESS)


def run(settings: RelaySettings, read_settings: Callable[[], RelaySettings]) -> int:
    """Run a relay node as this process; return the exit status."""
    logs.configure_stdout(settings.log, vm=settings.listen.vm)
    logger.info("starting")
    try:
        asyncio.run(serve(settings, read_settings))
    except KnapweedhingeError as exc:
        logger.bind(code=exc.code.number).error(str(exc))
        return exit_code(exc.code.code_class)
    return ExitCode.SUCCESS
