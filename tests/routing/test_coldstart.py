import pytest

from knapweedhinge.conf import PermitSettings, VotedLimits
from knapweedhinge.controllers.leases import Lease
from knapweedhinge.routing.coldstart import EndpointReading, PermitOwner
from knapweedhinge.routing.load import WarmState
from knapweedhinge.routing.permits import (
    Denial,
    HeldPermit,
    HeldState,
    PermitDenial,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)

CFG = PermitSettings(start_s=1.0, run_s=60.0, news_s=4.0, margin_s=0.25)
LIMITS = VotedLimits(cold_concurrency=1)
LEASE = Lease("permits", "n1", "n1", fencing=1, valid_until=100.0)
LATER_LEASE = Lease("permits", "n1", "n1", fencing=2, valid_until=100.0)


def settled_owner(in_flight=0, cold_since=0.0, limits=LIMITS):
    owner = PermitOwner.begin("e", "i1", LEASE, limits, cold_since, 0.0, CFG)
    return observe(owner, owner.settled_at, in_flight)


def observe(owner, at, in_flight, incarnation="i1"):
    reading = EndpointReading("e", incarnation, in_flight, at)
    return owner.observed(reading, LIMITS)


def ask(owner, name, now, incarnation="i1", lease=LEASE):
    return owner.grant(PermitRequest(name, "e", incarnation), lease, now, CFG)


@pytest.mark.parametrize(
    ("owner", "now", "incarnation", "lease", "reason"),
    [
        (
            PermitOwner.begin("e", "i1", LEASE, LIMITS, 0.0, 0.0, CFG),
            10.0,
            "i1",
            LEASE,
            Denial.SETTLING,
        ),
        (settled_owner(), 101.0, "i1", LEASE, Denial.NOT_OWNER),
        (
            settled_owner(),
            10.0,
            "i1",
            LATER_LEASE,
            Denial.NOT_OWNER,
        ),
        (settled_owner(), 10.0, "i0", LEASE, Denial.OTHER_INCARNATION),
        (settled_owner(in_flight=1), 10.0, "i1", LEASE, Denial.FULL),
    ],
    ids=["settling", "lapsed", "other lease", "other incarnation", "full"],
)
def test_denials(owner, now, incarnation, lease, reason):
    answer = ask(owner, "r1", now, incarnation, lease).answer
    assert isinstance(answer, PermitDenial)
    assert (answer.reason, answer.retry_after_s > 0) == (reason, True)


def test_repeated_request_keeps_one_slot_and_release_frees_it():
    step = ask(settled_owner(), "r1", 10.0)
    again = ask(step.owner, "r1", 10.1)
    assert again.answer == step.answer == PermitGrant("r1", "e", "i1")
    assert again.owner.outstanding() == 1
    freed = again.owner.released(PermitRelease("r1", "e", True, True), LIMITS)
    assert freed.outstanding() == 0


def test_lost_release_is_recovered_by_a_read_after_the_start_window():
    owner = ask(settled_owner(), "r1", 10.0).owner
    assert observe(owner, 10.5, 0).outstanding() == 1
    assert observe(owner, 11.3, 0).outstanding() == 0


def test_limit_doubles_after_good_answers_and_is_reset_by_a_failure():
    owner, now, limits = settled_owner(), 10.0, []
    for index in range(7):
        owner = ask(owner, f"r{index}", now).owner
        owner = owner.released(PermitRelease(f"r{index}", "e", True, True), LIMITS)
        limits.append(owner.limit)
    assert limits == [2, 2, 4, 4, 4, 4, 8]
    assert owner.warm_state(8) is WarmState.WARM
    owner = ask(owner, "bad", now).owner
    owner = owner.released(PermitRelease("bad", "e", True, False), LIMITS)
    assert (owner.limit, owner.warm_state(8)) == (1, WarmState.COLD)


def test_endpoint_turned_cold_without_warning():
    """Requests sent before the node knew of the cold endpoint count against the limit.

    Permits are granted only after these requests have ended.
    """
    owner = settled_owner(in_flight=6, cold_since=5.0)
    assert owner.settled_at == 9.25
    assert observe(owner, 9.0, 0) == owner
    assert ask(owner, "r1", 9.5).answer.reason is Denial.FULL
    drained = observe(owner, 9.75, 0)
    assert isinstance(ask(drained, "r1", 9.8).answer, PermitGrant)


def test_restart_resets_the_limit_but_keeps_permits_that_may_still_start():
    owner = ask(settled_owner(), "r1", 10.0).owner
    restarted = observe(owner, 10.5, 0, "i2")
    assert (restarted.incarnation, restarted.outstanding()) == ("i2", 1)
    late = restarted.released(PermitRelease("r1", "e", True, True), LIMITS)
    assert (late.limit, late.good_answers, late.outstanding()) == (1, 0, 0)


def test_permit_expires_after_its_request_and_is_used_once():
    req = PermitRequest("r1", "e", "i1")
    grant = PermitGrant("r1", "e", "i1")
    held = HeldPermit(req, 10.0).granted(grant)
    assert held.usable("i1", 10.9, CFG)
    assert not held.usable("i1", 11.0, CFG)
    assert not held.usable("i2", 10.9, CFG)
    used = held.used()
    assert not used.granted(grant).usable("i1", 10.9, CFG)
    assert used.closed().granted(grant).state is HeldState.CLOSED
    mismatched = HeldPermit(req, 10.0).granted(PermitGrant("r2", "e", "i1"))
    assert mismatched.state is HeldState.ASKED
