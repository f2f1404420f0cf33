"""A service's call runs again only if its present route allows that as well."""

import random
from types import SimpleNamespace

import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    EndpointError,
    KnapweedhingeError,
    OutcomeUnknownError,
)
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.filters import Request, ServiceCall
from knapweedhinge.filters import attempt as attempts
from knapweedhinge.filters.retry import Retry
from knapweedhinge.routing.retry import RetryBudget


def route(*, idempotent: bool):
    return SimpleNamespace(method="*", path="orders/*", idempotent=idempotent)


def context(idempotent_now: bool | None):
    """Return a context whose configuration has the route as it is now, or none."""
    found = () if idempotent_now is None else (route(idempotent=idempotent_now),)
    organisation = SimpleNamespace(allowed_services=("shop",))
    configuration = SimpleNamespace(
        service=lambda name: SimpleNamespace(routes=found),
        organisation=lambda name: organisation,
    )
    return SimpleNamespace(
        retries=RetryBudget(VotedLimits()),
        clock=lambda: 0.0,
        rng=random.Random(1),
        metrics=Metrics(),
        settings=SimpleNamespace(peers=PeerSettings()),
        state=SimpleNamespace(current=SimpleNamespace(configuration=configuration)),
    )


def order(*, idempotent: bool, **fields) -> Request:
    call = ServiceCall("shop", "POST", "orders/1", "", "", b"")
    own = route(idempotent=idempotent)
    organisation = SimpleNamespace(id="o")
    return Request("r1", call, None, 0.0, organisation, route=own, **fields)


ROUTES = [
    # idempotent at admission, idempotent now (None: no such route), attempts
    (True, True, 2),
    (True, None, 2),
    (True, False, 1),
    (False, True, 1),
    (False, False, 1),
]


@pytest.mark.parametrize("admitted,now,expected", ROUTES)
async def test_a_call_is_retried_only_if_its_present_route_allows_it(
    admitted, now, expected
):
    """A call ran again by the route that had admitted it, whatever it was by then."""
    sent = []

    async def fail(req):
        sent.append(req)
        if len(sent) > 1:
            raise KnapweedhingeError()
        raise EndpointError(code=ResultCode.ENDPOINT_FAILED)

    with pytest.raises(KnapweedhingeError) as raised:
        await Retry(context(now), fail)(order(idempotent=admitted))
    assert len(sent) == expected
    assert raised.value.run_state is RunState.UNKNOWN
    assert [req.may_have_run for req in sent] == [False, True][:expected]


@pytest.mark.parametrize("may_have_run", [False, True])
def test_a_call_whose_route_changed_after_the_decision_is_not_sent(
    monkeypatch, may_have_run
):
    """The decision to retry was not looked at once more before the call was sent."""
    monkeypatch.setattr(attempts, "ensure_current", lambda *args: None)
    req = order(idempotent=True, may_have_run=may_have_run)
    if not may_have_run:
        attempts.ensure_may_run(req, context(False))
        return
    with pytest.raises(OutcomeUnknownError):
        attempts.ensure_may_run(req, context(False))
