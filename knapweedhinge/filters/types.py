"""Requests, answers and what filters share."""

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
from knapweedhinge.core.tokens import Tokens
from knapweedhinge.endpoints import EngineClient, PlainClient, Usage
from knapweedhinge.routing.load import LocalLedger
from knapweedhinge.routing.plans import PlanDecision
from knapweedhinge.routing.retry import RetryBudget


@dataclass(frozen=True)
class ChatCall:
    """A chat request; ``model`` names a class of work or a version.

    ``prompt_tokens`` is an estimate.
    """

    model: str
    fields: Mapping
    prompt_tokens: int = 0
    stream: bool = False
    include_usage: bool = False


@dataclass(frozen=True)
class ServiceCall:
    """A call to a plain service."""

    service: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes


@dataclass(frozen=True)
class Resumption:
    """A stream the caller takes up again behind ``position``."""

    attempt_id: str
    endpoint_id: str
    version: str
    position: int


@dataclass(frozen=True)
class Request:
    """One request on its way through the filters, which fill in the later fields.

    Times are in seconds on the node's monotonic clock.
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


@dataclass(frozen=True)
class Step:
    """One engine's part in an answer; a cascade's answer can have two."""

    version: str
    usage: Usage


@dataclass(frozen=True)
class Answer:
    """A whole answer to a caller; ``billed`` if it was billed when it ran."""

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
    """How a streamed answer ended."""

    version: str
    endpoint_id: str
    steps: tuple[Step, ...]
    first_token_s: float
    total_s: float


Write = Callable[[bytes], Awaitable[None]]
EndHook = Callable[[StreamEnd], Awaitable[None]]


@dataclass(frozen=True)
class StreamAnswer:
    """A streamed answer; ``pump`` writes it out and runs the hooks before its end."""

    pump: Callable[[Write, tuple[EndHook, ...]], Awaitable[None]]
    version: str
    endpoint_id: str
    on_end: tuple[EndHook, ...] = ()
    headers: Mapping[str, str] = field(default_factory=lambda: MappingProxyType({}))


AnyAnswer = Answer | StreamAnswer
Handler = Callable[[Request], Awaitable[AnyAnswer]]


@dataclass(frozen=True)
class Context:
    """What filters work with; ``clock`` gives seconds on a monotonic clock."""

    settings: NodeSettings
    state: NodeState
    clock: Callable[[], float]
    rng: random.Random
    tokens: Tokens
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
