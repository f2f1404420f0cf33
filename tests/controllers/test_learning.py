from types import SimpleNamespace

import pytest

from knapweedhinge.backing.types import Rating
from knapweedhinge.controllers.learning import Learning
from knapweedhinge.routing.cascade import Plan
from knapweedhinge.routing.load import LocalLedger
from knapweedhinge.routing.records import AnswerRecord, Outcome

DECISION = SimpleNamespace(
    roll_out="r1", explores=False, wants_rating=True, plan=Plan("oak@2")
)


def rate(learning):
    answer = AnswerRecord("draft", "oak@2", 10, Outcome.COMPLETED)
    learning.answered("q1", DECISION, answer, 1.0)
    assert unrated(learning) == 1
    assert learning.rated(Rating("q1", "oak@2", "draft", 0.5, 2.0), 2.0)


def refuse(learning):
    learning.not_run("q1")


def unrated(learning):
    return learning._exposure.ratings.unrated("r1")


@pytest.mark.parametrize("end", [rate, refuse])
def test_request_in_a_rollout_is_unrated_until_rated_or_refused(end):
    learning = Learning("vm-1", "i1", LocalLedger())
    learning.decided("q1", "draft", DECISION, 0.0)
    assert unrated(learning) == 1
    end(learning)
    assert unrated(learning) == 0
