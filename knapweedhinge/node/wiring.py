"""Build what the filters of a node work with."""

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
from knapweedhinge.endpoints import EngineClient, PlainClient
from knapweedhinge.filters import Context
from knapweedhinge.routing.load import LocalLedger
from knapweedhinge.routing.retry import RetryBudget


@dataclass(frozen=True)
class Identity:
    """Who a running node is; the incarnation names this process."""

    vm: str
    incarnation: str


@dataclass
class Sessions:
    """The HTTP connections a node opens to endpoints."""

    opened: list[aiohttp.ClientSession] = field(default_factory=list)

    def open(self, *, keep: bool) -> aiohttp.ClientSession:
        """Return a new pool that keeps connections, or uses each once."""
        connector = aiohttp.TCPConnector(limit=0, force_close=not keep)
        jar = aiohttp.DummyCookieJar()
        session = aiohttp.ClientSession(connector=connector, cookie_jar=jar)
        self.opened.append(session)
        return session

    async def close(self) -> None:
        """Close all connections."""
        for session in self.opened:
            await session.close()


def _voted_budget(state: NodeState) -> RetryBudget:
    """Return a retry budget that follows the voted share."""
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
    sessions: Sessions,
    clock: Callable[[], float],
    rng: random.Random,
) -> Context:
    """Return the context that all filters share."""
    keeping = sessions.open(keep=True)
    ledger = LocalLedger()
    tokens = TokenSigner(settings.keys.token_keys)
    claims = ClaimStore(identity.incarnation, platform.tables)
    reserved = ReservedKeys(
        identity.vm, identity.incarnation, tokens, platform.tables, claims
    )
    domains = DomainTracker()
    state.snapshots.subscribe(lambda snapshot: domains.update(snapshot, clock()))
    epoch_s = time.time() - clock()
    return Context(
        settings=settings,
        state=state,
        clock=clock,
        rng=rng,
        tokens=tokens,
        metrics=Metrics(),
        engines=EngineClient(settings.endpoints, keeping),
        services=PlainClient(settings.endpoints, keeping, sessions.open(keep=False)),
        ledger=ledger,
        permits=ColdPermits(settings.permits, clock),
        claims=claims,
        reserved=reserved,
        bills=BillKeeper(identity.incarnation, platform.objects, clock),
        outcomes=OutcomeCache(),
        learning=Learning(identity.vm, identity.incarnation, ledger, epoch_s),
        decisions=DecisionHistory(),
        retries=_voted_budget(state),
        domains=domains,
        quarantine=QuarantineTracker(epoch_s),
    )
