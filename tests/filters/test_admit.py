"""The deadline that a chat request gets from the configuration."""

import math

import pytest

from knapweedhinge.conf import load_configuration
from knapweedhinge.controllers.configuration_state import ConfigurationState
from knapweedhinge.controllers.snapshot import Snapshot
from knapweedhinge.filters import ChatCall, Request
from knapweedhinge.filters.admit import resolve_target
from tests.conftest import EXAMPLES

CONFIGURATION = load_configuration(EXAMPLES / "guanacaste" / "configuration.json")
RECEIVED_AT = 100.0


@pytest.mark.parametrize(
    ("model", "caller_s", "expected_s"),
    [
        pytest.param("customer-reply", math.inf, 60, id="class"),
        pytest.param("customer-reply", 5, 5, id="class, sooner"),
        pytest.param("pine-small@12", math.inf, 60, id="version of one class"),
        pytest.param("oak-large@3", math.inf, 300, id="version of two classes"),
        pytest.param("oak-large@3", 5, 5, id="version, sooner"),
        pytest.param("no-such-version", math.inf, 60, id="unknown"),
    ],
)
def test_every_chat_request_has_a_deadline(model, caller_s, expected_s):
    req = Request(
        request_id="r1",
        call=ChatCall(model, {}),
        snapshot=Snapshot(configured=ConfigurationState(CONFIGURATION)),
        received_at=RECEIVED_AT,
        organisation=CONFIGURATION.organisations[0],
        deadline_at=RECEIVED_AT + caller_s,
    )
    assert resolve_target(req).deadline_at == RECEIVED_AT + expected_s
