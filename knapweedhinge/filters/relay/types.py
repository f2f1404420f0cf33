"""Calls that are passed on as they are, their answers, and what stages share."""

import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from knapweedhinge.conf import VotedLimits
from knapweedhinge.conf.catalog import CallerOrganisation, CallRoute
from knapweedhinge.conf.relay import RelaySettings
from knapweedhinge.controllers.fleet import FleetTracker, FleetView
from knapweedhinge.controllers.healthtracker import HealthTracker
from knapweedhinge.controllers.loadtracker import LoadTracker
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.controllers.release_tracker import ReleaseTracker
from knapweedhinge.controllers.speedtracker import PrefillSpeedTracker
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.endpoints.pools import EndpointPools
from knapweedhinge.http1 import ResponseHead
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.prefix import PrefixIndex
from knapweedhinge.routing.windowbudget import WindowBudget

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Part:
    """A named part of a prompt; equal ids are equal texts."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RelayCall:
    """A caller's request: what decisions need, and the bytes to pass on.

    ``headers`` are those that go on to the endpoint. ``budget_s`` is the time the
    caller will wait, ``after_event`` the last event it has of a stream that broke off.
    ``any_model`` says that the node names the model. ``output_tokens`` is how long an
    answer the caller expects.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str = ""
    budget_s: float | None = None
    any_model: bool = False
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[Part, ...] = ()
    session: str = ""
    after_event: int | None = None


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A call on its way through the stages; times are on the node's clock."""

    call: RelayCall
    received_at: float
    view: FleetView
    route: CallRoute
    organisation: CallerOrganisation | None
    deadline_at: float
    rank: int
    service: str = ""
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class Send:
    """One attempt of a call, as the endpoint's codec writes it."""

    endpoint_id: str
    organisation: str
    left_s: float
    model: str
    rank: int
    after_event: int | None


class HeadVerdict(StrEnum):
    """What the head of an answer says of the attempt."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    OTHER_ENDPOINT = "other-endpoint"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The decoded head of an endpoint's answer.

    ``headers`` go on to the caller. ``confidence`` is the model's opinion of its
    answer, 0 to 100. ``cold_s`` is how long the endpoint says it stays cold.
    """

    status: int
    headers: Headers
    verdict: HeadVerdict
    confidence: int | None = None
    cold_s: float = 0.0

    @property
    def good(self) -> bool:
        """Return whether the call succeeded, as far as the head says."""
        return self.verdict is HeadVerdict.ANSWER and 200 <= self.status < 300


class EndpointCodec(Protocol):
    """How calls are written to endpoints and their answers read."""

    def encode(self, call: RelayCall, send: Send) -> bytes:
        """Return the bytes of one attempt."""

    def is_mine(self, call: RelayCall) -> Callable[[Headers], bool]:
        """Return what tells the call's answer from another's by its headers."""

    def decode(self, head: ResponseHead) -> AnswerHead:
        """Return what the head of an answer says."""


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayStream:
    """An answer whose body arrives in events; the iterator raises if it breaks off."""

    status: int
    headers: Headers
    events: AsyncIterator[bytes]


AnyRelayAnswer = RelayAnswer | RelayStream


@dataclass
class Story:
    """What happened to one call, for its log line and the metrics."""

    attempts: list[dict] = field(default_factory=list)
    first_s: float | None = None
    events: int = 0
    route: str = ""
    organisation: str = ""
    service: str = ""


@dataclass(frozen=True)
class RelayContext:
    """What stages work with; ``clock`` gives seconds on a monotonic clock."""

    settings: RelaySettings
    clock: Callable[[], float]
    rng: random.Random
    codec: EndpointCodec
    fleet: FleetTracker
    pools: EndpointPools
    health: HealthTracker
    loads: LoadTracker
    speeds: PrefillSpeedTracker
    prefixes: PrefixIndex
    budget: WindowBudget
    releases: ReleaseTracker
    quarantine: QuarantineTracker
    metrics: Metrics
    suspect_crash: Callable[[EndpointView], None] = lambda endpoint: None
    limits: VotedLimits = field(default_factory=VotedLimits)
