"""Which members of a view count as heard."""

import pytest

from knapweedhinge.peers.members import MemberState
from knapweedhinge.peers.views import Fleet, LastHeard, MembershipView
from tests.peers.conftest import make_member

NOW = 100.0
FRESH, STALE = 99.0, 90.0


def view(members, *, direct=(), domains=(), regions=(), forgotten=()):
    heard = LastHeard(dict(direct), dict(domains), dict(regions))
    fleet = Fleet({m.vm: m for m in members}, frozenset(forgotten))
    return MembershipView(members[0], fleet, heard, 3.0)


# vm-000 is the observer in region-0; with four domains in two regions, vm-002 and
# vm-004 share its region and vm-001, vm-003, vm-005 are in region-1.
SIX = [make_member(i, domains=4, regions=2) for i in range(6)]


@pytest.mark.parametrize(
    ("heard", "fraction"),
    [
        ({}, 1 / 6),
        ({"direct": {"vm-002": FRESH}}, 2 / 6),
        ({"direct": {"vm-002": STALE}}, 1 / 6),
        ({"domains": {"fd-0": FRESH}}, 2 / 6),
        ({"domains": {"fd-0": FRESH}, "direct": {"vm-004": FRESH}}, 2 / 6),
        ({"domains": {"fd-1": FRESH}}, 1 / 6),
        ({"regions": {"region-1": FRESH}}, 4 / 6),
        ({"regions": {"region-0": FRESH}}, 1 / 6),
        ({"regions": {"region-1": FRESH}, "direct": {"vm-002": FRESH}}, 5 / 6),
    ],
)
def test_heard_fraction(heard, fraction):
    found = view(SIX, **heard)
    assert found.heard_fraction(NOW) == pytest.approx(fraction)
    by_member = sum(found.is_heard(member, NOW) for member in SIX)
    assert by_member == pytest.approx(6 * fraction)


def test_dead_members_still_count_as_expected():
    dead = [make_member(i, state=MemberState.DEAD) for i in range(1, 6)]
    found = view([SIX[0], *dead], direct={"vm-001": FRESH})
    assert found.heard_fraction(NOW) == pytest.approx(1 / 6)


def test_leaving_and_forgotten_members_are_not_expected():
    leaving = make_member(1, state=MemberState.LEAVING)
    dead = make_member(2, state=MemberState.DEAD)
    found = view([SIX[0], leaving, dead], forgotten=("vm-002",))
    assert found.heard_fraction(NOW) == 1.0


def test_the_fraction_of_a_region():
    found = view(SIX, regions={"region-1": FRESH})
    assert found.heard_by_region(NOW) == pytest.approx(
        {"region-0": 1 / 3, "region-1": 1.0}
    )
