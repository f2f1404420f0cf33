"""Requests and answers, and the context that all filters share."""

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from knapweedhinge.conf import NodeSettings, Organisation, Route, Version
from knapweedhinge.controllers.billkeeper import BillKeeper
from knapweedhinge.controllers.claims import ClaimStore
from knapweedhinge.controllers.decisions import DecisionHistory
from knapweedhinge.controllers.domains import DomainTracker
from knapweedhinge.controllers.learning import Learning
from knapweedhinge.controllers.outcomes import OutcomeCache
from knapweedhinge.controllers.permits import ColdPermits
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.controllers.reserved import ReservedKeys
from knapweedhinge.controllers.snapshot import Snapshot
from knapweedhinge.controllers.state import NodeState
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.core.tokens import TokenSigner
from knapweedhinge.endpoints import EngineClient, PlainClient, Usage
from knapweedhinge.routing.load import LocalLedger
from knapweedhinge.routing.plans import PlanDecision
from knapweedhinge.routing.retry import RetryBudget


@dataclass(frozen=True)
class ChatCall:
    """A chat completion request.

    ``model`` names a class of work or one version of a model. ``fields`` is the decoded
    request body, ``prompt_tokens`` an estimate. ``include_usage`` says that the caller
    asked for the usage at the end of a stream.
    """

    model: str
    fields: Mapping
    prompt_tokens: int = 0
    stream: bool = False
    include_usage: bool = False


@dataclass(frozen=True)
class ServiceCall:
    """A call to a plain service; ``path`` and ``query`` are those of the service."""

    service: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes


@dataclass(frozen=True)
class Resumption:
    """A broken stream that the caller resumes after the event at ``position``."""

    attempt_id: str
    endpoint_id: str
    version: str
    position: int


@dataclass(frozen=True)
class Request:
    """One request on its way through the filters, which fill in the later fields.

    ``received_at`` and ``deadline_at`` are seconds on the node's monotonic clock.
    ``class_id`` is the class of work, or the service of a plain call. ``route`` is set
    for plain calls only. ``attempt`` is the number of the attempt, from 0.
    ``pinned_version`` is the version that the session has used so far. ``avoid`` holds
    the ids of endpoints where earlier attempts failed. ``fingerprint`` identifies
    requests of the same content. ``alone`` says that the request is suspected of
    crashing engines, and should run at an endpoint without other work.
    ``may_have_run`` says that an earlier attempt ran or may have run.
    """

    request_id: str
    call: ChatCall | ServiceCall
    snapshot: Snapshot
    received_at: float
    organisation: Organisation
    idempotency_key: str = ""
    session_id: str = ""
    session_token: str = ""
    last_event_id: str = ""
    deadline_at: float = float("inf")
    resumption: Resumption | None = None
    class_id: str = ""
    route: Route | None = None
    version: Version | None = None
    pinned_version: str = ""
    decision: PlanDecision | None = None
    avoid: frozenset[str] = frozenset()
    attempt: int = 0
    fingerprint: str = ""
    alone: bool = False
    may_have_run: bool = False


@dataclass(frozen=True)
class Step:
    """One run of a version on the way to an answer; a cascade can need two."""

    version: str
    usage: Usage


@dataclass(frozen=True)
class Answer:
    """A complete answer; ``billed`` says that its bill has been recorded already."""

    status: int
    body: bytes
    content_type: str = "application/json"
    code: ResultCode = ResultCode.OK
    run_state: RunState = RunState.COMPLETED
    version: str = ""
    endpoint_id: str = ""
    steps: tuple[Step, ...] = ()
    headers: Mapping[str, str] = field(default_factory=lambda: MappingProxyType({}))
    billed: bool = False


@dataclass(frozen=True)
class StreamEnd:
    """How a streamed answer ended.

    ``first_token_s`` and ``total_s`` are seconds since the request was received.
    """

    version: str
    endpoint_id: str
    steps: tuple[Step, ...]
    first_token_s: float
    total_s: float


Write = Callable[[bytes], Awaitable[None]]
EndHook = Callable[[StreamEnd], Awaitable[None]]


@dataclass(frozen=True)
class StreamAnswer:
    """A streamed answer.

    ``pump`` writes the stream to the caller, and awaits the hooks passed to it before
    it writes the last event. ``on_end`` are the hooks that filters have added so far.
    """

    pump: Callable[[Write, tuple[EndHook, ...]], Awaitable[None]]
    version: str
    endpoint_id: str
    on_end: tuple[EndHook, ...] = ()
    headers: Mapping[str, str] = field(default_factory=lambda: MappingProxyType({}))


AnyAnswer = Answer | StreamAnswer
Handler = Callable[[Request], Awaitable[AnyAnswer]]


@dataclass(frozen=True)
class Context:
    """The settings, clients and shared state that filters use.

    ``clock`` returns seconds on a monotonic clock. ``ledger`` counts this node's own
    requests at each endpoint. ``permits`` are needed to send to cold endpoints.
    ``claims`` holds the claims on idempotency keys, ``reserved`` the keys that this
    node reserves in advance, and ``retries`` is the retry budget.
    """

    settings: NodeSettings
    state: NodeState
    clock: Callable[[], float]
    rng: random.Random
    tokens: TokenSigner
    metrics: Metrics
    engines: EngineClient
    services: PlainClient
    ledger: LocalLedger
    permits: ColdPermits
    claims: ClaimStore
    reserved: ReservedKeys
    bills: BillKeeper
    outcomes: OutcomeCache
    learning: Learning
    decisions: DecisionHistory
    retries: RetryBudget
    domains: DomainTracker
    quarantine: QuarantineTracker
