from dataclasses import replace

import pytest

from knapweedhinge.conf import PermitSettings, VotedLimits
from knapweedhinge.controllers.leases import Lease
from knapweedhinge.controllers.permits import ColdPermits, OwnedPermits
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.endpoints.types import EndpointStatus
from knapweedhinge.routing.load import EndpointView, LoadReport, WarmState
from knapweedhinge.routing.permits import (
    Denial,
    PermitDenial,
    PermitGrant,
    PermitRequest,
)

CFG = PermitSettings(start_s=1.0, news_s=4.0, margin_s=0.25)
LIMITS = VotedLimits(cold_concurrency=1)
LEASE = Lease("permits/any", "n1", "n1", fencing=1, valid_until=100.0)
VIEW = EndpointView("e", "", "", "", incarnation="i1", warm_state=WarmState.COLD)


class Owner:
    """Stub owner that gives prepared answers and records requests and releases.

    An answer is an exception to raise, the reason of a denial, or "grant".
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []
        self.releases = []

    async def ask(self, req):
        self.asked.append(req)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, Denial):
            return PermitDenial(req.id, answer, 0.2)
        return PermitGrant(req.id, req.endpoint_id, req.incarnation)


def holder(owner, times):
    permits = ColdPermits(CFG, lambda: times[0])
    permits.connect(owner.ask, owner.releases.append)
    return permits


@pytest.mark.parametrize(
    ("warm_state", "reported_at", "known"),
    [
        (WarmState.WARM, 6.1, True),
        (WarmState.WARM, 6.0, False),
        (WarmState.COLD, 10.0, False),
    ],
    ids=["fresh", "old", "cold"],
)
def test_old_report_of_a_warm_endpoint_does_not_count(warm_state, reported_at, known):
    report = LoadReport(reported_at=reported_at)
    view = replace(VIEW, warm_state=warm_state, report=report)
    assert ColdPermits(CFG, lambda: 10.0).is_known_warm(view) is known


@pytest.mark.parametrize(
    ("later", "view", "started"),
    [
        (10.9, VIEW, True),
        (11.0, VIEW, False),
        (10.1, replace(VIEW, incarnation="i2"), False),
        (10.1, None, False),
    ],
    ids=["in time", "too late", "restarted", "leaving"],
)
async def test_permit_is_checked_right_before_its_use(later, view, started):
    owner, times = Owner("grant"), [10.0]
    permits = holder(owner, times)
    held = await permits.acquire(VIEW)
    times[0] = later
    used = permits.start(held, view)
    assert (used is not None) is started
    assert len(owner.releases) == (not started)
    if started:
        permits.release(used, ok=True)
    (release,) = owner.releases
    assert (release.ran, release.ok) == (started, started)


async def test_denied_node_retries_only_after_the_retry_delay():
    owner, times = Owner(Denial.FULL, "grant"), [10.0]
    permits = holder(owner, times)
    assert await permits.acquire(VIEW) is None
    times[0] = 10.1
    assert await permits.acquire(VIEW) is None
    assert len(owner.asked) == 1
    times[0] = 10.3
    assert await permits.acquire(VIEW) is not None


async def test_permit_whose_answer_is_lost_is_released():
    owner = Owner(PeerError("cut"))
    assert await holder(owner, [10.0]).acquire(VIEW) is None
    (release,) = owner.releases
    assert (release.request_id, release.ran) == (owner.asked[0].id, False)


def status(at, incarnation="i1", cold=True, running=0):
    report = LoadReport(running=running, reported_at=at)
    return EndpointStatus("e", incarnation, frozenset(), cold, report)


def read_until(owned, end, **fields):
    for tick in range(int(end * 2) + 1):
        owned.observed(status(tick / 2, **fields), LEASE, LIMITS, tick / 2)


def answer(owned, now, lease=LEASE, incarnation="i1"):
    got = owned.answer(PermitRequest("r1", "e", incarnation), lease, now)
    return got.reason if isinstance(got, PermitDenial) else None


@pytest.mark.parametrize(
    ("after", "now", "denied"),
    [
        ((), 6.0, None),
        ((), 9.5, Denial.SETTLING),
        ((status(6.0, "i2"),), 6.0, Denial.OTHER_INCARNATION),
        ((status(9.9),), 10.0, Denial.SETTLING),
        ((status(6.0, cold=False),), 6.0, Denial.SETTLING),
        ((status(6.0, cold=False), status(6.5)), 7.0, Denial.SETTLING),
        ((status(6.0, running=1),), 6.0, Denial.FULL),
    ],
    ids=["settled", "unread", "restarted", "gap", "warm", "cold again", "full"],
)
def test_cold_start_begins_anew_when_the_endpoint_may_have_been_warm(
    after, now, denied
):
    owned = OwnedPermits(CFG)
    read_until(owned, 5.5)
    for read in after:
        owned.observed(read, LEASE, LIMITS, read.report.reported_at)
    assert answer(owned, now) == denied


def test_successor_that_observed_the_endpoint_waits_only_for_old_permits():
    owned = OwnedPermits(CFG)
    for tick in range(20):
        other = Lease("permits/any", "n2", "n2")
        owned.observed(status(tick / 2), other, LIMITS, tick / 2)
    assert answer(owned, 9.6, other) is Denial.NOT_OWNER
    for at, denied in ((10.0, Denial.SETTLING), (11.0, Denial.SETTLING), (11.5, None)):
        owned.observed(status(at), LEASE, LIMITS, at)
        assert answer(owned, at) is denied


def test_limit_applies_while_the_endpoint_reports_that_it_is_cold():
    owned = OwnedPermits(CFG)
    read_until(owned, 5.5)
    assert answer(owned, 5.6) is None
    req = PermitRequest("r2", "e", "i1")
    assert isinstance(owned.answer(req, LEASE, 5.6), PermitDenial)
