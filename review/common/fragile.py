"""Replicas that a certain request crashes, and the count of its late retries."""

import asyncio

from common.deployment import Deployment, Record, WorkingReplica

FATAL = b'{"order": "crashes whoever runs it"}'
DOWN_S = 3.0  # "the replica is back after some seconds"
CONTACT_S = 3.0  # contactMs
MAX_LATE_RETRIES = 3


class Shop(WorkingReplica):
    """A replica of the service; a fatal request crashes it as it begins to run."""

    world: "FragileWorld"

    def on_run(self, exchange) -> None:
        """Crash if the request is the fatal one."""
        if exchange.body == FATAL:
            request_id = exchange.get(b"knapweedhinge-request-id").decode()
            self.world.fatal_runs.append((self.log.now, request_id, self.id))
            asyncio.ensure_future(self.world.crash(self, f"request {request_id}"))


class FragileWorld:
    """The deployment, with replicas that crash and come back under a new id."""

    def __init__(
        self,
        record: Record,
        deployment: Deployment,
        work_s: float,
        replica_class: type[WorkingReplica] = Shop,
        service: str = "shop",
    ):
        self.record = record
        self.replica_class = replica_class
        self.service = service
        self.work_s = work_s
        self.deployment = deployment
        self.fatal_runs: list[tuple[float, str, str]] = []
        self.down: set[str] = set()
        self._started = 0
        self._restarts: set[asyncio.Task] = set()

    async def start_replica(self, zone: str) -> None:
        """Start one more replica in a zone, under a new id."""
        self._started += 1
        shop = self.replica_class(
            f"i-{self._started:04d}",
            self.service,
            failure_domain=zone,
            record=self.record,
            work_s=self.work_s,
        )
        shop.world = self
        await self.deployment.add(shop)
        self.record(f"replica {shop.id} has started")

    async def crash(self, shop: WorkingReplica, cause: str) -> None:
        """End a replica without notice, and start it again after a while."""
        if shop.id in self.down:
            return
        self.down.add(shop.id)
        self.record(f"replica {shop.id} crashes: {cause}")
        shop.crashed = True
        await shop.stop()
        task = asyncio.ensure_future(self._restart(shop))
        self._restarts.add(task)

    async def _restart(self, shop: WorkingReplica) -> None:
        """Start the replica again under a new id; its old entry expires."""
        await asyncio.sleep(DOWN_S)
        await self.start_replica(shop.failure_domain)
        await asyncio.sleep(0.6)
        self.deployment.store.put("servers", shop.id, None)

    def stop(self) -> None:
        """Start no more replicas."""
        for task in self._restarts:
            task.cancel()

    def alive(self) -> list[WorkingReplica]:
        """Return the replicas that run."""
        found = self.deployment.replicas.values()
        return [shop for shop in found if shop.id not in self.down]


def judge(record: Record, fatal_runs: list[tuple[float, str, str]]) -> int:
    """Return 1 if the request reached replicas in too many late retries, else 0."""
    record(f"the fatal request crashed {len(fatal_runs)} replicas")
    if not fatal_runs:
        return 2
    if len(fatal_runs) < 3:
        return 0
    since = fatal_runs[2][0] + CONTACT_S
    late = {request_id for at, request_id, _ in fatal_runs if at > since}
    record(f"it crashed the third at {fatal_runs[2][0]:.3f} s")
    record(
        f"{len(late)} retries reached replicas more than {CONTACT_S:.0f} s later,"
        f" at most {MAX_LATE_RETRIES} are allowed"
    )
    return int(len(late) > MAX_LATE_RETRIES)
