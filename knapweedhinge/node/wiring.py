"""Build the context that a node's request filters share."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from reactivex import operators as ops

from knapweedhinge.backing import Platform
from knapweedhinge.conf import NodeSettings, VotedLimits
from knapweedhinge.controllers.billkeeper import BillKeeper
from knapweedhinge.controllers.claims import ClaimStore
from knapweedhinge.controllers.decisions import DecisionHistory
from knapweedhinge.controllers.domains import DomainTracker
from knapweedhinge.controllers.learning import Learning
from knapweedhinge.controllers.outcomes import OutcomeCache
from knapweedhinge.controllers.permits import ColdPermits
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.controllers.reserved import ReservedKeys
from knapweedhinge.controllers.state import NodeState
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.core.tokens import TokenSigner
from knapweedhinge.endpoints import EndpointResponse, EngineClient, PlainClient
from knapweedhinge.filters import Context
from knapweedhinge.routing.load import LocalLedger
from knapweedhinge.routing.retry import RetryBudget


@dataclass(frozen=True)
class Identity:
    """Identify a running node: its VM, and an ``incarnation`` unique to the process."""

    vm: str
    incarnation: str


@dataclass
class ClientSessions:
    """Open HTTP client sessions to endpoints, and close them all at shutdown."""

    opened: list[aiohttp.ClientSession] = field(default_factory=list)

    def open(self, *, keep_alive: bool) -> aiohttp.ClientSession:
        """Return a new session, which reuses connections if ``keep_alive`` is true.

        The number of connections isn't limited here, and cookies are ignored.
        """
        connector = aiohttp.TCPConnector(limit=0, force_close=not keep_alive)
        jar = aiohttp.DummyCookieJar()
        session = aiohttp.ClientSession(
            connector=connector, cookie_jar=jar, response_class=EndpointResponse
        )
        self.opened.append(session)
        return session

    async def close(self) -> None:
        """Close all sessions with their connections."""
        for session in self.opened:
            await session.close()


def _voted_retry_budget(state: NodeState) -> RetryBudget:
    """Return a retry budget that follows the limits of the voted configuration."""
    budget = RetryBudget(VotedLimits())
    limits = state.snapshots.pipe(
        ops.filter(lambda snapshot: snapshot.configuration is not None),
        ops.map(lambda snapshot: snapshot.configuration.limits),
        ops.distinct_until_changed(),
    )
    limits.subscribe(budget.change_limits)
    return budget


def build_context(
    settings: NodeSettings,
    identity: Identity,
    state: NodeState,
    platform: Platform,
    sessions: ClientSessions,
    clock: Callable[[], float],
    rng: random.Random,
) -> Context:
    """Return the context that all filters of the node share."""
    keep_alive_session = sessions.open(keep_alive=True)
    ledger = LocalLedger()
    tokens = TokenSigner(settings.keys.token_keys)
    claims = ClaimStore(identity.incarnation, platform.tables)
    reserved = ReservedKeys(
        identity.vm, identity.incarnation, tokens, platform.tables, claims
    )
    domains = DomainTracker()
    state.snapshots.subscribe(lambda snapshot: domains.update(snapshot, clock()))
    epoch_s = time.time() - clock()  # added to times of ``clock`` for wall-clock time
    return Context(
        settings=settings,
        state=state,
        clock=clock,
        rng=rng,
        tokens=tokens,
        metrics=Metrics(),
        engines=EngineClient(settings.endpoints, keep_alive_session),
        services=PlainClient(
            settings.endpoints, keep_alive_session, sessions.open(keep_alive=False)
        ),
        ledger=ledger,
        permits=ColdPermits(settings.permits, clock),
        claims=claims,
        reserved=reserved,
        bills=BillKeeper(identity.incarnation, platform.objects, clock),
        outcomes=OutcomeCache(),
        learning=Learning(identity.vm, identity.incarnation, ledger, epoch_s),
        decisions=DecisionHistory(),
        retries=_voted_retry_budget(state),
        domains=domains,
        quarantine=QuarantineTracker(epoch_s),
    )
