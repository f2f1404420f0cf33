"""Find out whether an endpoint's process ended while calls ran there, or soon after.

A call may crash its endpoint some time after the endpoint sent something for which the
node ended the attempt. No connection of the call shows that, so the endpoint is watched
for as long as the call is remembered as a suspect. The load is one short connection at
a time to each process that failed to answer, whatever the number of its calls.
"""

import asyncio
from collections.abc import Callable, Coroutine

from loguru import logger

from knapweedhinge.conf.relay import split_address
from knapweedhinge.controllers.quarantinetracker import BROKEN_KEPT_S
from knapweedhinge.filters.relay import RelayContext
from knapweedhinge.routing.load import EndpointView

MAX_LOGGED_SUSPECTS = 20  # calls named in a log line about a crash
PROBE_TIMEOUT_S = 1.0  # of a connection that shows whether an endpoint crashed
PROBE_INTERVAL_S = 0.1  # least time between two of them to the same process
# Longest time that a call waits for a probe before it is sent again. A refused
# connection tells within a round trip; an endpoint that is out of reach never does.
PROBE_WAIT_S = 0.1
# Seconds after the end of a process's last suspect at which it is probed once more. An
# endpoint may count a new connection as one of its few calls for a moment.
WATCH_S = (0.25, 0.8, 0.9 * BROKEN_KEPT_S)


class CrashProber:
    """Probe endpoints that didn't answer a call completely, and record crashes.

    ``spawn`` runs a coroutine as a task that ends with the node.
    """

    def __init__(
        self, ctx: RelayContext, spawn: Callable[[Coroutine], asyncio.Task]
    ) -> None:
        self._ctx = ctx
        self._spawn = spawn
        # Start and task of the last probe, by endpoint id and incarnation.
        self._probes: dict[tuple[str, str], tuple[float, asyncio.Task]] = {}
        # When the last suspect of each watched process ended, by the same.
        self._suspected_at: dict[tuple[str, str], float] = {}

    async def check(self, endpoint: EndpointView, *, wait: bool) -> None:
        """Find out whether an endpoint's process ended, now or in the next moments.

        Called after a call ended there without a complete answer. With ``wait``, wait
        for the result of a first probe, for at most ``PROBE_WAIT_S``. Calls that end at
        about the same time share the probes.
        """
        if wait:
            await asyncio.wait((self._probe_once(endpoint),), timeout=PROBE_WAIT_S)
        process = endpoint.id, endpoint.incarnation
        watched = process in self._suspected_at
        self._suspected_at[process] = self._ctx.clock()
        if not watched:
            self._spawn(self._watch(endpoint))

    def _probe_once(self, endpoint: EndpointView) -> asyncio.Task:
        """Return the task of a probe that began a moment ago or begins now."""
        oldest = self._ctx.clock() - PROBE_INTERVAL_S
        self._probes = {
            process: (began, probe)
            for process, (began, probe) in self._probes.items()
            if began > oldest or not probe.done()
        }
        process = endpoint.id, endpoint.incarnation
        if process not in self._probes:
            probe = self._spawn(self._probe(endpoint))
            self._probes[process] = self._ctx.clock(), probe
        return self._probes[process][1]

    async def _watch(self, endpoint: EndpointView) -> None:
        """Probe an endpoint until it crashed or its suspects are forgotten.

        Not while calls of this node are in flight there: these break off in a crash,
        which starts a probe.
        """
        process = endpoint.id, endpoint.incarnation
        try:
            while True:
                passed = self._ctx.clock() - self._suspected_at[process]
                due = [delay for delay in WATCH_S if delay > passed]
                if not due:
                    return
                await asyncio.sleep(due[0] - passed)
                if self._ctx.quarantine.is_running(endpoint):
                    continue
                if await self._probe_once(endpoint):
                    return
        finally:
            del self._suspected_at[process]

    async def _probe(self, endpoint: EndpointView) -> bool:
        """Connect to an endpoint; a refused connection counts as a crash.

        Return whether it crashed.
        """
        ip, port = split_address(endpoint.url.removeprefix("http://"))
        log = logger.bind(endpoint=endpoint.id)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(ip, port)
        except ConnectionRefusedError:
            now = self._ctx.clock()
            self._ctx.health.crashed(endpoint.id, now, now)
            crash = self._ctx.quarantine.crashed(endpoint, self._ctx.limits, now)
            log.bind(suspects=sorted(crash.fingerprints)[:MAX_LOGGED_SUSPECTS]).warning(
                "endpoint crashed under calls"
            )
            return True
        except (OSError, TimeoutError) as exc:
            log.info(f"endpoint unreachable: {exc!r}")
        else:
            writer.close()
        return False
