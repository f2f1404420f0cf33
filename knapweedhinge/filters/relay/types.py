"""Types of relayed calls and their answers, and the context the stages share."""

import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from knapweedhinge.conf import VotedLimits
from knapweedhinge.conf.catalog import CallerOrganisation, CallRoute
from knapweedhinge.conf.relay import RelaySettings
from knapweedhinge.controllers.answermemory import AnswerMemory
from knapweedhinge.controllers.domainload import DomainLoadTracker
from knapweedhinge.controllers.engineload import EngineRoomTracker
from knapweedhinge.controllers.enginespeeds import EngineSpeedTracker
from knapweedhinge.controllers.escalationtracker import EscalationTracker
from knapweedhinge.controllers.fleet import FleetTracker, FleetView
from knapweedhinge.controllers.healthtracker import HealthTracker
from knapweedhinge.controllers.hotengines import HotEngines
from knapweedhinge.controllers.loadtracker import LoadTracker
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.controllers.release_tracker import ReleaseTracker
from knapweedhinge.controllers.session_tracker import SessionTracker
from knapweedhinge.controllers.sharetracker import ShareTracker
from knapweedhinge.controllers.speedtracker import PrefillSpeedTracker
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.endpoints.pools import EndpointPools
from knapweedhinge.filters.relay.waiters import WaitingCalls
from knapweedhinge.http1 import ResponseHead
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.prefix import PrefixIndex
from knapweedhinge.routing.windowbudget import WindowBudget

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt. Parts with the same id have the same text."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RelayCall:
    """A caller's request: the values that routing needs, and the bytes to pass on.

    ``target`` is the request target as received, and ``path`` is the target without the
    query. ``headers`` holds only headers that are passed on to the endpoint. ``key`` is
    the caller's API key. ``caller_timeout_s`` is how long the caller will wait, in
    seconds, None if it doesn't say. ``after_event_number`` is the number of the last
    event that the caller received before its stream broke off. ``any_model`` says that
    the node chooses the model. ``output_tokens`` is the answer length that the caller
    expects.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    key: str = ""
    caller_timeout_s: float | None = None
    any_model: bool = False
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""
    after_event_number: int | None = None


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A call on its way through the stages, which fill in the later fields.

    ``received_at`` and ``deadline_at`` are seconds on the node's monotonic clock.
    ``rank`` is the priority sent to the endpoint, 0 being the highest. ``fingerprint``
    identifies calls of the same content. ``shared_parts`` holds the keys of the parts
    of the prompt that other calls may contain too. The call runs although it is in
    quarantine while it is blamed for at most ``tested_strikes`` crashes.
    """

    call: RelayCall
    received_at: float
    view: FleetView
    route: CallRoute
    organisation: CallerOrganisation | None
    deadline_at: float
    rank: int
    service: str = ""
    fingerprint: str = ""
    shared_parts: tuple[str, ...] = ()
    tested_strikes: int = 0


@dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Values of one attempt that the codec writes into the request's headers.

    ``remaining_s`` is the time left until the call's deadline, in seconds. ``model`` is
    empty unless the node chooses it. A stream resumes after the event with the number
    ``after_event_number``.
    """

    endpoint_id: str
    organisation: str
    remaining_s: float
    model: str
    rank: int
    after_event_number: int | None


class HeadVerdict(StrEnum):
    """What status and headers of an answer say about the attempt.

    ``NOT_RUN``: the endpoint refused the call without running it. ``MISDIRECTED``: so
    did another endpoint at this address, or this one since it can't run such a call.
    ``INVALID``: the answer doesn't show that it belongs to this call. ``UNPROVEN``: the
    status promises the caller that the call has not run, but the endpoint doesn't state
    that.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    MISDIRECTED = "misdirected"
    INVALID = "invalid"
    UNPROVEN = "unproven"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The decoded status and headers of an endpoint's answer.

    ``headers`` are passed on to the caller. ``confidence`` is the model's own rating
    of its answer, 0 to 100. ``cold_s`` is how many seconds the endpoint says it still
    needs to warm up. ``names_call`` says that the answer repeats the call's id.
    ``leaving`` says that the endpoint leaves, and ``pause_s`` how many seconds it wants
    no calls from this node.
    """

    status: int
    headers: Headers
    verdict: HeadVerdict
    confidence: int | None = None
    cold_s: float = 0.0
    names_call: bool = True
    leaving: bool = False
    pause_s: float = 0.0

    @property
    def good(self) -> bool:
        """Return whether the status says success; the body may still break off."""
        return self.verdict is HeadVerdict.ANSWER and 200 <= self.status < 300

    def log_fields(self) -> dict[str, int]:
        """Return the model's rating of its answer as a log field, if it gave one."""
        return {} if self.confidence is None else {"confidence": self.confidence}


class EndpointCodec(Protocol):
    """Encode calls for endpoints and decode the heads of their answers."""

    def encode(self, call: RelayCall, parameters: AttemptParameters) -> bytes:
        """Return the HTTP request of one attempt as bytes."""

    def response_matcher(self, call: RelayCall) -> Callable[[Headers], bool]:
        """Return a function that tells from headers whether an answer is the call's."""

    def decode(self, head: ResponseHead) -> AnswerHead:
        """Return the meaning of an answer's status and headers."""


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """An answer whose body was read completely."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayStream:
    """A streamed answer; iterating ``events`` raises if the stream breaks off."""

    status: int
    headers: Headers
    events: AsyncIterator[bytes]


AnyRelayAnswer = RelayAnswer | RelayStream


@dataclass
class CallTrace:
    """What happened to one call, recorded for its log line and the metrics.

    ``attempts`` holds the log fields of each attempt. ``first_event_s`` is the time
    from receiving the call to its first event, in seconds; ``events`` counts the events
    passed on to the caller. ``sent`` says whether an endpoint was sent the call, and
    ``answer_began`` whether one began to answer. ``domain`` says why the call stayed in
    this node's failure domain or left it. ``share`` says which part of the
    organisation's calls may start and why this one did or didn't, None if fair shares
    are switched off. ``second_ask`` says why an answer of low confidence was kept or
    replaced, None where that isn't weighed.
    """

    attempts: list[dict] = field(default_factory=list)
    sent: bool = False
    first_event_s: float | None = None
    events: int = 0
    route: str = ""
    organisation: str = ""
    service: str = ""
    session: str = ""
    domain: str = ""
    answer_began: bool = False
    share: dict | None = None
    second_ask: dict | None = None


class TrialMembership(Protocol):
    """Decide which calls go to a release on trial."""

    async def joins(self, service: str, session: str, request_id: str) -> bool:
        """Return whether a call goes to the release on trial of its service.

        ``session`` is empty for a call without one. All nodes decide the same for a
        session. False if there is no trial.
        """


class CrashCheck(Protocol):
    """Find out whether an endpoint crashed under a call, or does so soon after."""

    async def __call__(self, endpoint: EndpointView, *, wait: bool) -> None:
        """Check an endpoint; with ``wait``, wait briefly for a first result."""


async def no_check(endpoint: EndpointView, *, wait: bool) -> None:
    """Don't look whether the endpoint crashed."""


def no_identity_check(endpoint: EndpointView) -> None:
    """Don't ask the endpoint who it is."""


@dataclass(frozen=True)
class RelayContext:
    """The settings and shared state that all stages use.

    ``clock`` returns seconds on a monotonic clock. ``budget`` limits the calls that are
    sent more than once. ``check_crash`` is called with an endpoint that didn't
    answer a call completely.
    ``check_identity`` is called with an endpoint that refused a call as misdirected; it
    doesn't wait. ``domains`` is None if no shares of calls that leave are decided, and
    ``shares`` if fair shares are switched off. ``waiting`` holds the calls that wait
    for an endpoint.
    doesn't wait. ``engine_room``, ``engine_speeds``, ``hot_engines`` and
    ``escalation`` are None while the settings switch them off.
    """

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
    sessions: SessionTracker
    trials: TrialMembership
    quarantine: QuarantineTracker
    answer_memory: AnswerMemory
    metrics: Metrics
    check_crash: CrashCheck = no_check
    check_identity: Callable[[EndpointView], None] = no_identity_check
    limits: VotedLimits = field(default_factory=VotedLimits)
    domains: DomainLoadTracker | None = None
    shares: ShareTracker | None = None
    waiting: WaitingCalls = field(default_factory=WaitingCalls)
    engine_room: EngineRoomTracker | None = None
    engine_speeds: EngineSpeedTracker | None = None
    hot_engines: HotEngines | None = None
    escalation: EscalationTracker | None = None
