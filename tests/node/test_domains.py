"""A lost failure domain gets no requests, and gradually more after its return."""

import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from knapweedhinge.controllers.configuration_state import ConfigurationState
from knapweedhinge.controllers.domains import ENDPOINT_CHECK_S, DomainTracker
from knapweedhinge.controllers.endpoints import EndpointTable
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.controllers.snapshot import Phase, Snapshot
from knapweedhinge.filters.place import balance_view
from knapweedhinge.routing.balance import choose_endpoint
from knapweedhinge.routing.choice import ChoiceRequest
from knapweedhinge.routing.domains import START_SHARE
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointState, EndpointView, LocalLedger
from tests.controllers.samples import CONFIGURATION

HOME, OTHER = "sj-1", "sj-2"


def configuration_with(out: bool):
    home, other = CONFIGURATION.failure_domains
    return replace(CONFIGURATION, failure_domains=(replace(home, out=out), other))


def snapshot(cfg, home=EndpointState.LIVE) -> Snapshot:
    versions = frozenset({"oak@1"})
    views = [
        EndpointView("e1", "", HOME, "central", versions=versions, state=home),
        EndpointView("e2", "", OTHER, "central", versions=versions),
    ]
    configured = ConfigurationState(cfg)
    table = EndpointTable(EndpointIndex(views))
    return Snapshot(Phase.SERVING, configured, endpoints=table)


class Router:
    """Choose endpoints as the filters do, with a clock that the test controls."""

    def __init__(self):
        self.now = 0.0
        self.domains = DomainTracker()
        self.quarantine = QuarantineTracker()
        self.state = SimpleNamespace(current=None)
        self.ledger = LocalLedger()
        self.rng = random.Random(3)

    def clock(self) -> float:
        return self.now

    def observe(self, seen: Snapshot, after_s: float = ENDPOINT_CHECK_S) -> None:
        self.now += after_s
        self.state.current = seen
        self.domains.update(seen, self.now)

    def share(self, domain: str, draws: int = 400) -> float:
        """Return the share of requests from a domain that are routed within it."""
        wanted = ChoiceRequest("oak@1", domain, "central", prompt_tokens=100)
        view = balance_view(self)
        chosen = [
            choose_endpoint(wanted, view, self.now, self.rng).endpoint.failure_domain
            for _ in range(draws)
        ]
        return chosen.count(domain) / draws


OUT = snapshot(configuration_with(True))
DEAD = snapshot(configuration_with(False), EndpointState.DEAD)
USUAL = snapshot(configuration_with(False))


@pytest.mark.parametrize(
    "gone", [pytest.param(OUT, id="out"), pytest.param(DEAD, id="dead")]
)
def test_domain_leaves_at_once_and_returns_step_by_step(gone):
    router = Router()
    router.observe(USUAL)
    usual = router.share(HOME)
    router.observe(gone)
    assert router.share(HOME) == 0
    router.observe(USUAL)
    assert router.domains.shares(router.now) == {HOME: START_SHARE}
    assert 0 < router.share(HOME) < 0.5 * usual
    for _ in range(200):
        router.now += 0.25
        router.domains.answered(HOME, True, router.now)
    assert router.domains.shares(router.now) == {}
    assert router.share(HOME) == pytest.approx(usual, abs=0.1)


def test_domain_not_yet_seen_alive_gets_all_its_traffic_at_once():
    # Endpoints count as dead until their first status, which is no loss of the domain.
    router = Router()
    router.observe(DEAD)
    router.observe(USUAL)
    assert router.domains.shares(router.now) == {}


def test_domain_that_fails_again_takes_less():
    router = Router()
    router.observe(USUAL)
    router.observe(OUT)
    router.observe(USUAL)
    for _ in range(20):
        router.domains.answered(HOME, False, router.now)
    assert router.domains.shares(router.now)[HOME] < START_SHARE
