"""Test LeaseKeeper with the real table client, lost answers and outages."""

import pytest

from knapweedhinge.conf import LeaseSettings
from knapweedhinge.controllers.leases import TABLE, Lease, LeaseKeeper
from tests.controllers.faulty_tables import (
    Fault,
    Operation,
    Service,
    SteppedTables,
    run,
)

CFG = LeaseSettings(term_s=3.0, margin_s=0.5)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def service():
    return Service()


def keeper_of(vm, clock, handover_s=0.0):
    lease = Lease("permits/any", f"{vm}-1", vm, handover_s)
    return LeaseKeeper(lease, SteppedTables(), CFG, clock)


def keep(keeper, service, wanted=True):
    run(keeper.keep(wanted), service)


def fencing_of(keeper, clock):
    return keeper.lease.fencing if keeper.lease.is_held(clock()) else 0


def test_free_lease_is_acquired_at_once_and_renewed_each_third_of_a_term(
    clock, service
):
    keeper = keeper_of("a", clock)
    keep(keeper, service)
    assert fencing_of(keeper, clock) == 1
    for tick in range(1, 121):
        clock.now = tick * 0.25
        keep(keeper, service)
        assert fencing_of(keeper, clock) == 1
    assert keeper.writes == 31
    assert keeper.reads == 1


def test_successor_waits_a_term_unless_the_lease_was_released(clock, service):
    first, second = keeper_of("a", clock), keeper_of("b", clock)
    keep(first, service)
    keep(second, service)
    clock.now = 3.4
    keep(second, service)
    assert fencing_of(second, clock) == 0
    clock.now = 3.5
    keep(second, service)
    assert fencing_of(second, clock) == 2
    keep(second, service, wanted=False)
    assert fencing_of(second, clock) == 0
    keep(first, service)
    assert fencing_of(first, clock) == 3


def test_successor_waits_for_work_without_fencing_checks(clock, service):
    keep(keeper_of("a", clock), service)
    second = keeper_of("b", clock, handover_s=10.0)
    keep(second, service)
    clock.now = 13.4
    keep(second, service)
    assert fencing_of(second, clock) == 0
    clock.now = 13.5
    keep(second, service)
    assert fencing_of(second, clock) == 2
    assert not second.lease.holds(2, clock(), stop_s=3.0)


def test_paused_holder_loses_the_lease(clock, service):
    first, second = keeper_of("a", clock), keeper_of("b", clock)
    keep(first, service)
    keep(second, service)
    clock.now = 3.5
    keep(second, service)
    assert fencing_of(first, clock) == 0
    keep(first, service)
    assert fencing_of(first, clock) == 0
    assert fencing_of(second, clock) == 2


@pytest.mark.parametrize(
    ("fault", "fencing"),
    [
        (Fault.NONE, 1),
        (Fault.LOST_AFTER, 1),
        (Fault.LOST_BEFORE, 1),
        (Fault.LATE, 1),
        (Fault.DOWN, 1),
    ],
)
def test_retried_renewal_counts_from_when_it_was_first_sent(
    clock, service, fault, fencing
):
    keeper = keeper_of("a", clock)
    keep(keeper, service)
    clock.now = 1.0
    renewal = Operation(keeper.keep(True), service)
    clock.now = 2.0
    renewal.run_on([fault])
    assert fencing_of(keeper, clock) == fencing
    clock.now = 3.9
    assert keeper.lease.holds(1, 3.9)
    assert not keeper.lease.holds(1, 4.0)


@pytest.mark.parametrize("fault", [Fault.LOST_AFTER, Fault.LOST_BEFORE, Fault.LATE])
def test_renewal_with_unknown_outcome_does_not_extend_the_lease(clock, service, fault):
    keeper = keeper_of("a", clock)
    keep(keeper, service)
    clock.now = 1.0
    renewal = Operation(keeper.keep(True), service)
    renewal.advance(fault)
    while not renewal.done:
        renewal.advance(Fault.DOWN)
    assert keeper.lease.holds(1, 2.9)
    assert not keeper.lease.holds(1, 3.0)
    for call in service.late:
        service.execute(call)
    clock.now = 5.0
    keep(keeper, service)
    assert fencing_of(keeper, clock) == 1
    assert service.store.get(TABLE, "permits/any").value["fencing"] == 1


def test_holder_that_crashes_in_a_write_does_not_extend_the_lease(clock, service):
    keeper = keeper_of("a", clock)
    keep(keeper, service)
    clock.now = 1.0
    Operation(keeper.keep(True), service).crash()
    assert not keeper.lease.holds(1, 3.0)
    keep(keeper, service, wanted=False)
    assert service.store.get(TABLE, "permits/any").value["holder"] == ""
