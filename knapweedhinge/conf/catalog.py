"""Catalog of a relay node, which forwards calls without changing them.

The deployment's operators define routes, the services behind them and the organisations
that may call. A catalog is only ever replaced as a whole, by one with a greater
``revision``.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

DEFAULT_RANK = 5  # priority of calls; 0 is the highest


@dataclass(frozen=True, slots=True)
class Target:
    """A service that receives calls of a route in proportion to its ``weight``."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class CallRoute:
    """The calls of one host and path prefix: where they go and how they are handled.

    ``timeout_s`` is the deadline of a call and ``objective_s`` its target latency.
    ``streams`` says that responses are event streams; ``public`` routes accept calls
    without a valid key. ``repeatable`` calls may run more than once; another endpoint
    may continue a ``resumable`` stream after its last event. ``most_runs`` bounds the
    attempts of one call that ran or may have run. ``rank`` is the priority of the
    calls, 0 being the highest. ``pause_s`` is the longest accepted pause between two
    pieces of a stream, 0 for no limit. ``sizes`` lists the models that may answer,
    smallest first; it is empty for plain services. Times are in seconds.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    streams: bool = False
    repeatable: bool = False
    resumable: bool = False
    most_runs: int = 1
    rank: int = DEFAULT_RANK
    public: bool = False
    pause_s: float = 0.0
    sizes: tuple[str, ...] = ()

    @property
    def may_run_again(self) -> bool:
        """Return whether it is safe to run a call a second time."""
        return self.repeatable or (self.streams and self.resumable)


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """Cost of 1,000 generated tokens of each model of an engine, by model name.

    Only the ratios of the costs are used, so any unit will do. An engine runs ``slots``
    calls at once and has memory for ``memory_tokens``; both are 0 if not known. An
    event of a stream holds ``event_tokens``.
    """

    costs: Mapping[str, float] = field(default_factory=lambda: MappingProxyType({}))
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallService:
    """A service that routes lead to.

    ``max_connections`` bounds the connections from all nodes together to one endpoint.
    An endpoint that starts under load can handle only ``cold_per_s`` calls a second
    for the first ``cold_s`` seconds. ``engine`` is None for plain services.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineCosts | None = None


@dataclass(frozen=True, slots=True)
class CallerOrganisation:
    """A member of the co-operative, identified by the keys of its callers.

    If ``rank`` is set, it replaces the priority of the route.
    """

    name: str
    keys: tuple[str, ...] = ()
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of requests and of client connections.

    ``header_timeout_s`` bounds the time to receive a request's header and
    ``idle_timeout_s`` the time that a connection may stay idle, in seconds.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def key_digest(key: str) -> bytes:
    """Return the digest of a key; lookups compare it instead of the key itself."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


class Catalog:
    """Routes, services and organisations of one revision, indexed for lookups.

    If ``organisations`` is None, calls need no key.
    """

    def __init__(
        self,
        revision: int,
        routes: tuple[CallRoute, ...] = (),
        services: tuple[CallService, ...] = (),
        organisations: tuple[CallerOrganisation, ...] | None = None,
        limits: CallerLimits | None = None,
    ):
        self.revision = revision
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.organisations = organisations
        self.limits = limits or CallerLimits()
        self._by_host: dict[str, list[CallRoute]] = {}
        for route in sorted(routes, key=lambda item: -len(item.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self._by_key = {
            key_digest(key): organisation
            for organisation in organisations or ()
            for key in organisation.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Return whether callers must send a key of their organisation."""
        return self.organisations is not None

    def route(self, host: str, path: str) -> CallRoute | None:
        """Return the route of the host with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str) -> CallerOrganisation | None:
        """Return the organisation that a key belongs to, or None."""
        return self._by_key.get(key_digest(key)) if key else None
