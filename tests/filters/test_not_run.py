"""A refused request reports "not run" only if no earlier attempt may have run.

A caller repeats a request that didn't run; after a failed attempt it might run twice.
"""

import random
from types import SimpleNamespace

import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    EndpointError,
    KnapweedhingeError,
    RefusedError,
)
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.endpoints import Usage
from knapweedhinge.filters import Answer, ChatCall, Request
from knapweedhinge.filters.cascade import Cascade
from knapweedhinge.filters.retry import Retry
from knapweedhinge.filters.types import Step
from knapweedhinge.routing.cascade import CheckRule
from knapweedhinge.routing.retry import RetryBudget

NOT_RUN, UNKNOWN = RunState.NOT_RUN, RunState.UNKNOWN


def refused():
    return RefusedError(code=ResultCode.NO_ENDPOINT)


def failed_after_start():
    return EndpointError(code=ResultCode.ENDPOINT_FAILED)


def connection_failed():
    return EndpointError(code=ResultCode.ENDPOINT_FAILED, run_state=NOT_RUN)


def truncated_answer():
    return Answer(200, b"{}", steps=(Step("cheap", Usage(1, 1, "length")),))


def scripted_handler(*outcomes):
    """Return a handler that raises or returns each outcome in turn."""
    remaining = list(outcomes)

    async def handle(req):
        outcome = remaining.pop(0)()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    return handle


def context():
    return SimpleNamespace(
        retries=RetryBudget(VotedLimits()),
        clock=lambda: 0.0,
        rng=random.Random(1),
        metrics=Metrics(),
    )


def chat(**fields) -> Request:
    organisation = SimpleNamespace(id="o")
    call = ChatCall("class", {})
    return Request(
        "r1", call, fields.pop("snapshot", None), 0.0, organisation, **fields
    )


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        pytest.param([refused], NOT_RUN, id="refused at once"),
        pytest.param([connection_failed, refused], NOT_RUN, id="unreached, refused"),
        pytest.param([failed_after_start, refused], UNKNOWN, id="ran, refused"),
        pytest.param(
            [failed_after_start, connection_failed, refused], UNKNOWN, id="ran before"
        ),
    ],
)
async def test_refusal_of_a_retry(outcomes, expected):
    with pytest.raises(KnapweedhingeError) as raised:
        await Retry(context(), scripted_handler(*outcomes))(chat())
    assert raised.value.run_state is expected


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        pytest.param([refused], NOT_RUN, id="cheap refused"),
        pytest.param([truncated_answer, refused], UNKNOWN, id="better refused"),
    ],
)
async def test_refusal_in_a_cascade(outcomes, expected):
    plan = SimpleNamespace(is_cascade=True, better="better")
    decision = SimpleNamespace(plan=plan, check=CheckRule())
    configuration = SimpleNamespace(version=lambda name: name)
    req = chat(decision=decision, snapshot=SimpleNamespace(configuration=configuration))
    with pytest.raises(KnapweedhingeError) as raised:
        await Cascade(context(), scripted_handler(*outcomes))(req)
    assert raised.value.run_state is expected
