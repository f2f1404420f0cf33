import dataclasses
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.routing.exposure import (
    SLOT_GAIN_DELAY_S,
    ExposureLedger,
    OwnedSlots,
    in_share,
    slot_owners,
)
from knapweedhinge.routing.ratings import RATING_TIMEOUT_S, PendingRatings
from tests.routing.samples import configuration, roll_out

CLASS = configuration(max_exposure=0.1).classes[0]


def test_exposed_sessions_match_the_share_and_stay_as_it_grows():
    sessions = [f"s{i}" for i in range(20_000)]
    shares = (0.01, 0.05, 0.1, 0.5)
    groups = [{s for s in sessions if in_share("r1", s, share)} for share in shares]
    for lesser, greater in zip(groups, groups[1:], strict=False):
        assert lesser < greater
    for share, group in zip(shares, groups, strict=True):
        assert abs(len(group) / len(sessions) - share) < 0.01


@given(st.lists(st.booleans(), max_size=300), st.floats(0.0, 1.0))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_counted_share_never_exceeds_the_limit(wanted, limit):
    work_class = dataclasses.replace(CLASS, max_exposure=limit)
    ledger = ExposureLedger()
    exposed = 0
    for seen, use_new in enumerate(wanted, start=1):
        allowance = ledger.allowance(work_class, [roll_out()], {"r1": 10_000}, 0.0)
        ledger.record_request("draft")
        if use_new and allowance.open_roll_outs:
            ledger.record_exposed("draft", "r1", f"q{seen}", 0.0)
            exposed += 1
        assert exposed <= limit * seen


@given(st.integers(1, 60), st.integers(1, 40), st.integers(0, 1000))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_fleet_wide_unrated_answers_stay_within_the_voted_number(
    max_unrated, nodes, seed
):
    rng = random.Random(seed)
    members = [f"n{i}" for i in range(nodes)]
    owners = slot_owners("r1", members, max_unrated)
    slots = Counter(owners)
    ledgers = {member: ExposureLedger() for member in members}
    rollout = roll_out(max_unrated=max_unrated)
    for request in range(400):
        member = rng.choice(members)
        ledger = ledgers[member]
        allowance = ledger.allowance(CLASS, [rollout], {"r1": slots[member]}, 0.0)
        ledger.record_request("draft")
        if allowance.open_roll_outs:
            ledger.record_exposed("draft", "r1", str(request), 0.0)
        if rng.random() < 0.05:
            ledger.ratings.settle(str(rng.randrange(request + 1)))
        unrated = sum(other.ratings.unrated("r1") for other in ledgers.values())
        assert unrated <= max_unrated


def test_lost_ratings_are_asked_for_again_and_duplicates_settle_once():
    ratings = PendingRatings()
    ratings.expect("q1", "r1", 0.0)
    assert ratings.overdue(RATING_TIMEOUT_S - 1) == ()
    assert ratings.overdue(RATING_TIMEOUT_S) == ("q1",)
    assert ratings.overdue(RATING_TIMEOUT_S + 1) == ()
    assert ratings.settle("q1") == "r1"
    assert ratings.settle("q1") == ""
    assert ratings.unrated("r1") == 0


def test_gained_slot_is_delayed_and_lost_slot_is_given_up_at_once():
    before = OwnedSlots().refresh("a", ("a", "b"), 0.0)
    assert before.usable(0.0) == 0
    assert before.usable(SLOT_GAIN_DELAY_S) == 1
    more = before.refresh("a", ("a", "a"), 20.0)
    assert more.usable(20.0) == 1
    assert more.usable(20.0 + SLOT_GAIN_DELAY_S) == 2
    assert more.refresh("a", ("b", "b"), 21.0).usable(100.0) == 0
