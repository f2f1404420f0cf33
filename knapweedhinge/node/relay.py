"""A node that passes calls on in its operators' deployment, from start to stop."""

import asyncio
import random
import signal
import time
from collections.abc import Callable

import msgspec
from loguru import logger

from knapweedhinge.conf.relay import RelaySettings, split_address
from knapweedhinge.controllers.addresses import Address
from knapweedhinge.controllers.fleet import CatalogSeen, EndpointGone, FleetBook
from knapweedhinge.controllers.healthbook import HealthBook
from knapweedhinge.controllers.loadbook import LoadBook
from knapweedhinge.controllers.quarantining import QuarantineBook
from knapweedhinge.controllers.releasebook import ReleaseBook
from knapweedhinge.controllers.releasecontrol import ReleaseControl
from knapweedhinge.controllers.speedbook import SpeedBook
from knapweedhinge.core import logs
from knapweedhinge.core.detached import log_failure
from knapweedhinge.core.exceptions import KnapweedhingeError, PlatformError
from knapweedhinge.core.management.exit_codes import ExitCode, exit_code
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.endpoints.pools import EndpointPools
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.http1 import Exchange, Limits, Server
from knapweedhinge.node.relaypeers import REPORT_S, RelayPeers
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
from knapweedhinge.routing.prefix import PrefixBelief
from knapweedhinge.routing.windowbudget import BudgetBound, WindowBudget

TICK_S = 0.25  # records that lapse, roll-outs and cold endpoints are looked at
LOAD_PAUSE_S = 0.15  # a node that can't read the store yet tries again after this
SWEEP_S = 1.0  # idle connections are looked for
TTL_S = 1.5  # callers notice a node that is gone within about this time
# Part of the time before SIGKILL in which a node that stops still takes calls. Later
# ones might not end in time; callers that come are refused and go elsewhere.
TAKING_SHARE = 0.3
STOP_LOOK_S = 0.05  # how often a stopping node looks whether its calls have ended
STOP_MARGIN_S = 0.6  # part of the time before SIGKILL that ending the process takes
RESERVED_FILES = 200  # descriptors that the platform keeps for files
CALLERS_FILES = 0.5  # part of the others for callers; the rest is for endpoints, peers
# Part of the memory for bodies of calls that aren't answered yet; the program itself
# and what is written to slow readers need the rest.
BODIES_MEMORY = 0.2
CRASH_PROBE_S = 1.0  # an endpoint isn't probed again within this time


class RelayNode:
    """Build a node from its settings, start it and stop it."""

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
        self.fleet = FleetBook(self.rng)
        self.metrics = Metrics()
        self.leaving = False
        self.ready = False
        self._regions = {one.failure_domain: one.region for one in settings.places}
        self._probed: dict[str, float] = {}
        self._tasks = PeriodicTasks(self.rng)
        self._background: set[asyncio.Task] = set()
        ip, port = split_address(settings.platform.url.removeprefix("http://"))
        self.store = Store(ip, port, clock, self.rng)
        self.feeds = Feeds(
            self.store,
            self._region,
            clock,
            self.rng,
            rank=lambda: self.peering.reader_rank(),
        )
        self.feeds.events.subscribe(self._take_event)
        self.releases = ReleaseBook()
        self.control = ReleaseControl(
            self.fleet,
            self.releases,
            StageRecorder(self.store, self.feeds),
            lambda service: self.peering.owns_release(service),
        )
        promises = settings.promises
        bound = BudgetBound(
            promises.retry_ratio, promises.retry_allowance, promises.retry_window_s
        )
        self.ctx = RelayContext(
            settings=settings,
            clock=clock,
            rng=self.rng,
            codec=EndpointHeaderCodec(),
            fleet=self.fleet,
            pools=EndpointPools(),
            health=HealthBook(),
            loads=LoadBook(),
            speeds=SpeedBook(),
            prefixes=PrefixBelief(),
            budget=WindowBudget(bound),
            releases=self.releases,
            quarantine=QuarantineBook(time.time() - clock()),
            metrics=self.metrics,
            suspect_crash=self._suspect_crash,
        )
        self.peering = RelayPeers(self.ctx, self.store, self.feeds, self.control)
        self.fleet.changes.subscribe(self._note_change)
        self.front = self._server(CallHandler(self.ctx))
        self.directory = self._server(
            DirectoryHandler(
                self.addresses,
                min(TTL_S, promises.address_ttl_s),
                settings.listen.failure_domain,
            )
        )
        self.ready_door = self._server(ReadinessHandler(lambda: self.ready))
        self.metrics_door = self._server(self._serve_metrics)

    async def start(self) -> None:
        """Read what is in force, then take calls and join the peers."""
        cfg = self.settings
        await self.ready_door.start(*split_address(cfg.doors.ready))
        await self.metrics_door.start(*split_address(cfg.doors.metrics))
        await self.front.start(cfg.listen.ip, cfg.listen.port)
        await self.directory.start(*split_address(cfg.doors.directory))
        await self._load()
        self.ready = True
        self.feeds.follow(wire.OPERATOR_TABLE)
        self.feeds.follow(wire.ENDPOINTS_TABLE)
        self._tasks.start(self._tick, TICK_S)
        self._tasks.start(self._sweep, SWEEP_S)
        self._tasks.start(self.peering.report, REPORT_S)
        logger.bind(
            revision=self._revision(), endpoints=len(self.fleet.view.endpoints.by_id)
        ).info("serving")
        self._spawn(self.peering.join())

    async def stop(self, now: float) -> None:
        """Leave the directory, serve those who still come, end before the kill."""
        grace_s = self.settings.promises.grace_s
        end_at = now + grace_s - STOP_MARGIN_S
        self.leaving = True
        self.ready = False
        self.front.drain()
        logger.bind(open=self.front.busy, grace_s=grace_s).info("stopping")
        self._spawn(self.peering.leave())
        quiet_at = now + TAKING_SHARE * grace_s
        while (now := self.clock()) < end_at:
            if now >= quiet_at:
                self.front.close_listener()
                if not self.front.busy:
                    break
            await asyncio.sleep(STOP_LOOK_S)
        logger.bind(cut=self.front.busy).info("stopped")
        await self.close()

    async def close(self) -> None:
        """End everything at once."""
        self.ready = False
        for door in (self.front, self.directory, self.ready_door, self.metrics_door):
            await door.stop()
        await self._tasks.stop()
        await self.feeds.stop()
        for task in tuple(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self.peering.stop()
        self.ctx.pools.close()
        self.store.close()

    def addresses(self) -> tuple[Address, ...]:
        """Return the nodes callers may use."""
        listen = self.settings.listen
        me = Address(
            listen.vm, listen.ip, listen.port, listen.failure_domain, listen.region
        )
        others = (
            Address(one.vm, one.ip, one.http_port, one.failure_domain, one.region)
            for one in self.peering.members
            if one.vm != listen.vm
        )
        return (*((me,) if self.ready else ()), *others)

    def reload(self, settings: RelaySettings) -> None:
        """Take over what can change while the node runs: the level of logs."""
        logs.configure_output(settings.log, vm=settings.listen.vm)
        logger.bind(level=settings.log.level).info("settings reloaded")

    async def _load(self) -> None:
        """Read what is in force, trying until the store answers and has a catalog."""
        while True:
            try:
                await self._read_tables()
                return
            except PlatformError as exc:
                logger.bind(code=exc.code.number).info(f"not loaded yet: {exc}")
            await asyncio.sleep(LOAD_PAUSE_S * self.rng.uniform(0.5, 1.5))

    async def _read_tables(self) -> None:
        await self.feeds.load(wire.OPERATOR_TABLE)
        while self.fleet.view.catalog is None:
            await self.feeds.poll(wire.OPERATOR_TABLE)
        await self.feeds.load(wire.ENDPOINTS_TABLE)
        if self.fleet.view.orders:
            await self.feeds.load(wire.STATUS_TABLE)

    async def _tick(self) -> None:
        now = self.clock()
        self.fleet.expire(now)
        if self.control.running():
            self.feeds.follow(wire.STATUS_TABLE)
        await self.control.step(now)

    async def _sweep(self) -> None:
        now = self.clock()
        self.ctx.pools.sweep(now)
        self.ctx.pools.keep_only(self.fleet.view.endpoints.by_id)
        self.ctx.loads.expire(now)

    def _take_event(self, event) -> None:
        self.fleet.apply(event, self.clock())

    def _note_change(self, event) -> None:
        if isinstance(event, EndpointGone):
            self.ctx.health.forget(event.endpoint_id)
        log = logger.bind(revision=self._revision(), store=self.store.available)
        if isinstance(event, CatalogSeen):
            log.info("catalog in force")
        else:
            log.bind(news=str(event)).info("fleet changed")

    def _suspect_crash(self, endpoint: EndpointView) -> None:
        """Find out whether an endpoint's process ended while calls ran there."""
        now = self.clock()
        if now - self._probed.get(endpoint.id, float("-inf")) < CRASH_PROBE_S:
            return
        self._probed[endpoint.id] = now
        self._spawn(self._probe_crash(endpoint))

    async def _probe_crash(self, endpoint: EndpointView) -> None:
        ip, port = split_address(endpoint.url.removeprefix("http://"))
        try:
            async with asyncio.timeout(CRASH_PROBE_S):
                _, writer = await asyncio.open_connection(ip, port)
        except ConnectionRefusedError:
            self.ctx.quarantine.crashed(endpoint, self.ctx.limits, self.clock())
            logger.bind(endpoint=endpoint.id).warning("endpoint crashed under calls")
        except (OSError, TimeoutError) as exc:
            logger.bind(endpoint=endpoint.id).info(f"endpoint unreachable: {exc!r}")
        else:
            writer.close()

    def _region(self, failure_domain: str) -> str:
        return self._regions.get(failure_domain, self.settings.listen.region)

    def _revision(self) -> int | None:
        catalog = self.fleet.view.catalog
        return catalog.revision if catalog else None

    def _server(self, handle) -> Server:
        def on_refused(status: int) -> None:
            self.metrics.count("malformed_requests", str(status))
            logger.bind(status=status).info("malformed request refused")

        return Server(handle, self._limits, clock=self.clock, on_refused=on_refused)

    def _limits(self) -> Limits:
        catalog, process = self.fleet.view.catalog, self.settings.process
        files = max(process.files - RESERVED_FILES, process.files // 2)
        room = {
            "max_connections": int(CALLERS_FILES * files),
            "max_held_bytes": int(BODIES_MEMORY * process.memory_mb * 1024 * 1024),
        }
        if catalog is None:
            return Limits(**room)
        known = catalog.limits
        return Limits(
            known.max_header_bytes,
            known.max_body_bytes,
            known.header_timeout_s,
            known.idle_timeout_s,
            **room,
        )

    async def _serve_metrics(self, exchange: Exchange) -> None:
        if exchange.target.startswith(b"/dump"):
            exchange.respond(200, (), msgspec.json.encode(self.dump(), enc_hook=str))
            return
        exchange.respond(200, (), self.metrics.render().encode())

    def dump(self) -> dict:
        """Return the node's whole state as JSON-like values, without keys."""
        view = self.fleet.view
        return {
            "vm": self.settings.listen.vm,
            "ready": self.ready,
            "leaving": self.leaving,
            "revision": self._revision(),
            "endpoints": [str(one) for one in view.endpoints.by_id.values()],
            "health": {key: str(one) for key, one in self.ctx.health.healths.items()},
            "domains_out": sorted(view.domains_out),
            "releases": [str(view.release(one)) for one in view.orders],
            "members": [one.vm for one in self.peering.members],
            "store": {"calls": self.store.calls, "failures": self.store.failures},
            "connections_opened": self.ctx.pools.opened,
        }

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        task.add_done_callback(log_failure)


async def serve(settings: RelaySettings, reread: Callable[[], RelaySettings]) -> None:
    """Run a node until SIGTERM or SIGINT; SIGHUP reads the settings anew."""
    node = RelayNode(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)

    def reload() -> None:
        try:
            node.reload(reread())
        except KnapweedhingeError as exc:
            logger.bind(code=exc.code.number).error(f"settings not reloaded: {exc}")

    loop.add_signal_handler(signal.SIGHUP, reload)
    starting = asyncio.create_task(node.start())
    stopping = asyncio.create_task(stopped.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        await stopping
        await node.stop(node.clock())
    else:
        logger.info("stopped before serving")
        starting.cancel()


def run(settings: RelaySettings, reread: Callable[[], RelaySettings]) -> int:
    """Run a node as this process; return the exit status."""
    logs.configure_output(settings.log, vm=settings.listen.vm)
    logger.info("starting")
    try:
        asyncio.run(serve(settings, reread))
    except KnapweedhingeError as exc:
        logger.bind(code=exc.code.number).error(str(exc))
        return exit_code(exc.code.code_class)
    return ExitCode.SUCCESS
