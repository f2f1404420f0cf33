"""The five services of the platform in memory, with fault switches.

They are tables, objects, the VM list, model weights and ratings of answers, as the
clients in ``knapweedhinge.backing`` use them. The fault switches here are those of the
platform; those of engines and services are in ``knapweedhinge.test.faults``.
"""

import asyncio
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, fields

import msgspec
from aiohttp import web

from knapweedhinge.backing.types import Rating, Vm, Write
from knapweedhinge.test.tablestore import TableStore

MAX_PAGE_ITEMS = 1_000  # rows, object names or ratings in one answer
DEFAULT_QUALITY = 0.8  # share of the answers of a version that are rated 1.0
BYTES_PER_MIB = 1024 * 1024
MAX_RECEIVED_ROWS = 1_000  # of the newest writes that are remembered


@dataclass
class Faults:
    """Faults and limits that a test sets with ``POST /standin/faults``.

    - ``outage``: answer 503 to every call.
    - ``slow_s``: wait so many seconds before each call.
    - ``lose_writes``: make so many writes but close the connection without an answer.
    - ``fail_next``: answer 503 to so many calls, without effect.
    - ``weights_per_s``: calls for model weights per second; more get a 429.
    - ``vm_lag_s``: seconds after which a change of the VM list is visible.
    - ``rating_delay_s``: seconds after which a submitted answer is rated.
    - ``rating_share``: share of the submitted answers that are rated.
    - ``quality``: share of good ratings by version, DEFAULT_QUALITY for others.
    """

    outage: bool = False
    slow_s: float = 0.0
    lose_writes: int = 0
    fail_next: int = 0
    weights_per_s: int = 5
    vm_lag_s: float = 0.0
    rating_delay_s: float = 0.0
    rating_share: float = 1.0
    quality: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class _WriteRequest:
    writes: tuple[Write, ...]
    atomic: bool = False


@dataclass(frozen=True)
class _RowKey:
    table: str
    key: str


@dataclass(frozen=True)
class _ReadRequest:
    keys: tuple[_RowKey, ...]


@dataclass(frozen=True)
class _RatingRequest:
    request_id: str
    version: str
    class_id: str


class PlatformStandIn:
    """State and HTTP handlers of all services.

    ``reads`` and ``writes`` count rows by table, a scan as one read; ``calls`` counts
    HTTP requests by method and path. ``received_rows`` holds table and key of the
    newest writes that arrived, also of those that wait or are refused.
    """

    def __init__(self, clock: Callable[[], float], faults: Faults):
        self.faults = faults
        self.tables = TableStore()
        self.objects: dict[str, bytes] = {}
        self.ratings: dict[str, Rating] = {}
        self.reads: Counter[str] = Counter()
        self.writes: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.received_rows: deque[tuple[str, str]] = deque(maxlen=MAX_RECEIVED_ROWS)
        self._clock = clock
        # Each VM list with the time from which ``vm_lag_s`` is counted, oldest first.
        self._vm_lists: list[tuple[float, tuple[Vm, ...]]] = [(clock(), ())]
        self._weight_call_times: list[float] = []

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the newest VM list, regardless of the lag."""
        return self._vm_lists[-1][1]

    def set_vms(self, vms: tuple[Vm, ...], lagging: bool = True) -> None:
        """Replace the VM list.

        Readers see it after ``vm_lag_s``, or at once if ``lagging`` is false.
        """
        at = self._clock() if lagging else self._clock() - self.faults.vm_lag_s
        self._vm_lists.append((at, tuple(vms)))

    def set_faults(self, changes: dict) -> None:
        """Set fault switches; raise HTTPUnprocessableEntity for an unknown name."""
        known = {switch.name for switch in fields(Faults)}
        for name, value in changes.items():
            if name not in known:
                raise web.HTTPUnprocessableEntity(text=f"no such fault switch: {name}")
            setattr(self.faults, name, value)

    async def read(self, req: web.Request) -> web.Response:
        """Return the rows with the given tables and keys."""
        call = msgspec.json.decode(await req.read(), type=_ReadRequest)
        self.reads.update(row_key.table for row_key in call.keys)
        rows = [self.tables.get(row_key.table, row_key.key) for row_key in call.keys]
        return _json({"rows": rows})

    async def scan(self, req: web.Request) -> web.Response:
        """Return a page of the rows of a table whose keys have a prefix."""
        query = req.query
        self.reads[query["table"]] += 1
        limit = min(MAX_PAGE_ITEMS, int(query["limit"]))
        rows = self.tables.scan(query["table"], query["prefix"], query["after"], limit)
        return _json({"rows": rows})

    async def write(self, req: web.Request) -> web.Response:
        """Apply conditional writes and return their outcomes."""
        call = msgspec.json.decode(await req.read(), type=_WriteRequest)
        self.writes.update(write.table for write in call.writes)
        outcomes = self.tables.write(call.writes, call.atomic)
        self._abort_if_write_lost(req)
        return _json({"outcomes": outcomes})

    async def put(self, req: web.Request) -> web.Response:
        """Store an object; answer 412 and keep the old one if the name is taken."""
        data = await req.read()
        exists = req.query["name"] in self.objects
        self.objects.setdefault(req.query["name"], data)
        self._abort_if_write_lost(req)
        return web.Response(status=412 if exists else 201)

    async def get(self, req: web.Request) -> web.Response:
        """Return an object by name."""
        data = self.objects.get(req.query["name"])
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def names(self, req: web.Request) -> web.Response:
        """Return a page of object names that have a prefix."""
        prefix, after = req.query["prefix"], req.query["after"]
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return _json(
            {"names": [name for name in names if name > after][:MAX_PAGE_ITEMS]}
        )

    async def list_vms(self, req: web.Request) -> web.Response:
        """Return the VM list as it was ``vm_lag_s`` ago."""
        until = self._clock() - self.faults.vm_lag_s
        visible = [vms for at, vms in self._vm_lists if at <= until]
        return _json({"vms": visible[-1] if visible else self._vm_lists[0][1]})

    async def weights(self, req: web.Request) -> web.Response:
        """Return a version's weight size and digest; answer 429 above the rate limit.

        Every version is known; its digest is made up from its name.
        """
        now = self._clock()
        self._weight_call_times = [at for at in self._weight_call_times if at > now - 1]
        if len(self._weight_call_times) >= self.faults.weights_per_s:
            return web.Response(status=429, headers={"Retry-After": "1"})
        self._weight_call_times.append(now)
        version = req.query["version"]
        sha256 = f"{zlib.crc32(version.encode()):064x}"
        return _json(
            {"version": version, "size_bytes": BYTES_PER_MIB, "sha256": sha256}
        )

    async def submit(self, req: web.Request) -> web.Response:
        """Accept an answer for rating; ``rating_share`` decides whether it gets one."""
        rating_request = msgspec.json.decode(await req.read(), type=_RatingRequest)
        draw = zlib.crc32(rating_request.request_id.encode()) / 2**32
        if draw < self.faults.rating_share:
            self.ratings.setdefault(
                rating_request.request_id, self._make_rating(rating_request)
            )
        return web.Response(status=202)

    async def fetch(self, req: web.Request) -> web.Response:
        """Return a page of the ratings given so far and the cursor of the next page."""
        start = int(req.query["after"] or 0)
        now = self._clock()
        rated = [rating for rating in self.ratings.values() if rating.rated_at <= now]
        page = rated[start : start + MAX_PAGE_ITEMS]
        return _json({"ratings": page, "cursor": str(start + len(page))})

    async def show_calls(self, req: web.Request) -> web.Response:
        """Return the counts of reads, writes and calls, and the rows of writes."""
        return _json(
            {
                "reads": self.reads,
                "writes": self.writes,
                "calls": self.calls,
                "received_rows": list(self.received_rows),
            }
        )

    async def post_faults(self, req: web.Request) -> web.Response:
        """Change fault switches and return all of them."""
        self.set_faults(await req.json())
        return _json(self.faults)

    async def post_vms(self, req: web.Request) -> web.Response:
        """Replace the VM list."""
        self.set_vms(msgspec.json.decode(await req.read(), type=tuple[Vm, ...]))
        return web.Response(status=204)

    @web.middleware
    async def apply_faults(self, req: web.Request, handler) -> web.StreamResponse:
        """Count the call, then delay or reject it as the fault switches say.

        Requests that control the stand-in are neither counted nor affected by faults.
        """
        if req.path.startswith("/standin/"):
            return await handler(req)
        self.calls[f"{req.method} {req.path}"] += 1
        if req.path.endswith("/tables/write"):
            received = msgspec.json.decode(await req.read(), type=_WriteRequest)
            self.received_rows.extend(
                (write.table, write.key) for write in received.writes
            )
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.outage:
            return web.Response(status=503)
        if self.faults.fail_next > 0:
            self.faults.fail_next -= 1
            return web.Response(status=503)
        return await handler(req)

    def _abort_if_write_lost(self, req: web.Request) -> None:
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            req.transport.abort()

    def _make_rating(self, rating_request: _RatingRequest) -> Rating:
        quality = self.faults.quality.get(rating_request.version, DEFAULT_QUALITY)
        draw = zlib.crc32(f"{rating_request.request_id} score".encode()) / 2**32
        return Rating(
            request_id=rating_request.request_id,
            version=rating_request.version,
            class_id=rating_request.class_id,
            score=1.0 if draw < quality else 0.0,
            rated_at=self._clock() + self.faults.rating_delay_s,
        )


def _json(value) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, content_type="application/json")
