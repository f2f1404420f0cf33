"""Components of a node follow changes of the configuration."""

from dataclasses import replace

from knapweedhinge.conf import VotedLimits, load_configuration
from knapweedhinge.controllers.configuration_state import ConfigurationState
from knapweedhinge.controllers.state import NodeState
from knapweedhinge.node.wiring import _voted_retry_budget
from tests.conftest import EXAMPLES


def test_the_retry_budget_follows_the_vote():
    state = NodeState()
    budget = _voted_retry_budget(state)
    configuration = load_configuration(EXAMPLES / "binh-minh" / "configuration.json")
    without = replace(configuration, limits=VotedLimits(retry_share=0.0))
    state.configure(ConfigurationState(without))
    assert not budget.spend("any", 1.0)
