"""Messages of the platform's store and their conversion into types of the node.

A message field has the platform's name in camel case, so renaming a field changes the
message. Comments explain the names that say little.
"""

import re
from collections.abc import Callable
from ipaddress import ip_address
from typing import Any, TypeVar

import msgspec
from loguru import logger

from knapweedhinge.conf.catalog import (
    DEFAULT_RANK,
    CallerLimits,
    CallerOrganisation,
    CallRoute,
    CallService,
    Catalog,
    EngineCosts,
    Target,
)
from knapweedhinge.controllers.fleet import EndpointRecord, ReleaseOrdered
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError
from knapweedhinge.core.jsondecode import decode_json
from knapweedhinge.routing.releases import Stage

MS_PER_S = 1_000
PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
MAX_COLD_S = 86_400.0  # of an endpoint's record; no endpoint is cold for a day
MAX_SLOTS = 65_536  # of an endpoint; a greater number is taken for unknown
MAX_ENGINE_SIZE = 1_000_000_000  # of an engine's memory or batch, in tokens or calls
T = TypeVar("T")

OPERATOR_TABLE = "op"  # written by operators; nodes only read it
CATALOG_KEY = "config"
# Before the name of a service: its roll-out order in the operators' table, and the
# roll-out's state in the status table.
ROLLOUT_PREFIX = "rollout/"
EVACUATE_PREFIX = "evacuate/"  # before a failure domain that must get no calls
ENDPOINTS_TABLE = "servers"  # one row per endpoint, which writes it itself
STATUS_TABLE = "status"  # written by nodes for operators
# Before the name of a service: the roll-out's stage, in a row of the status table that
# only nodes read.
STAGE_PREFIX = "stage/"
PEERS_TABLE = "roster"
NODES_TABLE = "secrets"  # rows that only nodes read, all of them as they start
PEERS_KEY = "peers"  # row with the key that the peers share
CRASH_PREFIX = "crash/"  # before the key of a crash's record


class _Camel(msgspec.Struct, frozen=True, rename="camel"):
    """Base of messages with camel-case names; unknown fields are ignored."""


class SplitBody(_Camel):
    """A service that gets a share of a route's calls, in proportion to ``weight``."""

    service: str
    weight: float = 1.0


class RouteBody(_Camel):
    """A route: which calls go to which services, and under which limits."""

    host: str
    prefix: str
    kind: str  # "safe": may be retried, "unsafe": may not, "stream": sends events
    name: str = ""
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    priority: int = DEFAULT_RANK  # 0 is the highest
    service: str = ""  # receives all calls if ``split`` is empty
    split: list[SplitBody] = []
    # Largest number of endpoints that may run one call, including the first.
    attempts: int = 1
    public: bool = False  # needs no API key
    resumable: bool = False
    gap_aim_ms: float = 0.0  # longest acceptable pause between events, 0 for no limit
    sizes: list[str] = []  # models that may answer, smallest first


class ModelBody(_Camel):
    """A model that an engine serves, and its cost relative to the other models."""

    name: str
    cost: float = 0.0


class EngineBody(_Camel):
    """The models that the endpoints of a service can run, and the size of an endpoint.

    Sizes of another type must not make the whole catalog unreadable, so they are
    checked when they are converted.
    """

    models: list[ModelBody] = []
    slots: Any = None  # requests at once
    kv_capacity: Any = None  # memory for running requests and cached parts, in tokens
    stride: Any = None  # tokens in an event of a stream


class ServiceBody(_Camel):
    """A service of the catalog; ``engine`` is None unless it serves language models.

    An endpoint that starts can handle only ``cold_per_s`` calls a second for the first
    ``cold_s`` seconds.
    """

    name: str
    health_path: str = "/health"
    max_conns: int = 64  # of all nodes together to one endpoint
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineBody | None = None


class TenantBody(_Camel):
    """An organisation, the API keys of its callers and their priority."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None  # replaces that of the route


class LimitsBody(_Camel):
    """Limits of callers' requests and connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class CatalogBody(_Camel):
    """The whole configuration.

    ``version`` increases with each change, not always by 1. If ``tenants`` is None,
    calls need no API key.
    """

    version: int
    routes: list[RouteBody] = []
    services: list[ServiceBody] = []
    limits: LimitsBody = LimitsBody()
    tenants: list[TenantBody] | None = None


class EndpointBody(_Camel):
    """An endpoint's description of itself."""

    service: str
    addr: str  # ip:port
    zone: str  # the failure domain
    version: str = ""  # release of the service that it runs
    state: str = "ready"  # or "draining"
    cold_left_ms: float = 0.0  # how long it remains cold
    born: int | None = None  # start time in Unix milliseconds
    slots: Any = 0  # requests processed at once; any type, since few calls need it


class EndpointOrderBody(_Camel):
    """The fields by which an endpoint orders what it says of itself."""

    born: int | None = None
    seq: int = 0


class CatalogOrderBody(_Camel):
    """The field by which operators order their configurations."""

    version: int


class RolloutBody(_Camel):
    """An operator's order to move a service's traffic to a version."""

    service: str
    to: str  # version
    period_s: float = 60.0


class RolloutStatusBody(_Camel):
    """State of a roll-out as operators read it."""

    state: str  # a value of OPERATOR_STATES
    to: str  # version


class StageBody(_Camel):
    """Stage of a roll-out as nodes record it."""

    to: str  # version
    stage: str  # a value of Stage
    began_at: float  # seconds on the store's monotonic clock


# State that operators read for each stage.
OPERATOR_STATES = {
    Stage.TRIAL: "running",
    Stage.MOVING: "running",
    Stage.COMPLETE: "complete",
    Stage.ROLLED_BACK: "rolled_back",
}


def stage_of(value: bytes | None) -> StageBody | None:
    """Return the stage in a row of the status table, None if it holds none."""
    try:
        body = decode_json(value or b"", StageBody)
    except msgspec.MsgspecError:
        return None  # logged where it is applied
    return body if body.stage in set(Stage) else None


def stage_rank(body: StageBody) -> int:
    """Return the place of a stage among those of its roll-out, from 0."""
    return list(Stage).index(Stage(body.stage))


def decode(data: bytes, body_type: type[T], where: str) -> T | None:
    """Decode a JSON message; log a malformed one and return None.

    ``where`` names the message in the log.
    """
    try:
        return decode_json(data, body_type)
    except msgspec.MsgspecError as exc:
        logger.bind(code=ResultCode.PLATFORM_PROTOCOL.number, where=where).warning(
            f"malformed body: {exc}"
        )
        return None


def catalog_of(body: CatalogBody) -> Catalog:
    """Convert the platform's catalog."""
    tenants = body.tenants
    organisations = None
    if tenants is not None:
        organisations = tuple(
            CallerOrganisation(tenant.name, tuple(tenant.api_keys), tenant.priority)
            for tenant in tenants
        )
    limits = body.limits
    return Catalog(
        body.version,
        tuple(_route(route) for route in body.routes),
        tuple(_service(service) for service in body.services),
        organisations,
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _route(body: RouteBody) -> CallRoute:
    targets = tuple(Target(split.service, split.weight) for split in body.split)
    return CallRoute(
        name=body.name or body.prefix,
        host=body.host.lower(),
        prefix=body.prefix,
        targets=targets or (Target(body.service),),
        timeout_s=body.timeout_ms / MS_PER_S,
        objective_s=body.target_latency_ms / MS_PER_S,
        streams=body.kind == "stream",
        repeatable=body.kind == "safe",
        resumable=body.resumable,
        most_runs=max(1, body.attempts),
        rank=body.priority,
        public=body.public,
        pause_s=body.gap_aim_ms / MS_PER_S,
        sizes=tuple(body.sizes),
    )


def _service(body: ServiceBody) -> CallService:
    engine = None
    if body.engine is not None:
        costs = {model.name: model.cost for model in body.engine.models}
        engine = EngineCosts(
            costs,
            slots=_size(body, "slots", 0),
            memory_tokens=_size(body, "kv_capacity", 0),
            event_tokens=_size(body, "stride", 1),
        )
    return CallService(
        body.name,
        body.health_path,
        body.max_conns,
        body.cold_s,
        body.cold_per_s,
        engine,
    )


def _size(body: ServiceBody, name: str, default: int) -> int:
    """Return a size of a service's engines; log an unusable one, return the default."""
    value = getattr(body.engine, name)
    if value is None:
        return default
    if is_engine_size(value):
        return int(value)
    logger.bind(service=body.name, field=name, value=str(value)[:40]).warning(
        "size of engines not usable"
    )
    return default


def is_engine_size(value: Any) -> bool:
    """Return whether a value can be a size of engines."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 1 <= value <= MAX_ENGINE_SIZE


def endpoint_of(
    key: str, body: EndpointBody, region_of: Callable[[str], str]
) -> EndpointRecord | None:
    """Convert an endpoint's row; log one without usable state or address, return None.

    ``region_of`` returns the region of a failure domain.
    """
    address = _address(body.addr)
    cold_s = body.cold_left_ms / MS_PER_S
    if (
        body.state not in ("ready", "draining")
        or address is None
        or not 0 <= cold_s <= MAX_COLD_S
    ):
        logger.bind(endpoint=key).warning("endpoint record names nothing usable")
        return None
    ip, port = address
    return EndpointRecord(
        id=key,
        service=body.service,
        ip=ip,
        port=port,
        failure_domain=body.zone,
        region=region_of(body.zone),
        version=body.version,
        born=str(body.born or ""),
        leaving=body.state == "draining",
        cold_s=cold_s,
        slots=_slots(body.slots),
    )


def _slots(value: Any) -> int:
    """Return the number of slots that an endpoint states, 0 if it states none."""
    return value if type(value) is int and 0 <= value <= MAX_SLOTS else 0


def _address(text: str) -> tuple[str, int] | None:
    """Return the IP address and port of ``ip:port``, None if it is no such address."""
    ip, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    try:
        return str(ip_address(ip)), int(port)
    except ValueError:
        return None


def rollout_order_of(body: RolloutBody) -> ReleaseOrdered:
    """Convert an operator's order of a roll-out."""
    return ReleaseOrdered(body.service, body.to, body.period_s)


def encode(body: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(body)


def protocol_error(message: str) -> PlatformError:
    """Return the error to raise for an answer that violates the platform's protocol."""
    return PlatformError(message, code=ResultCode.PLATFORM_PROTOCOL)
