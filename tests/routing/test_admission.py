import pytest

from bench.balance.fairness import FairnessCase, run_fairness
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.routing.admission import FairAdmission
from knapweedhinge.routing.admissiontypes import (
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Capacity,
    Refuse,
    Wait,
)

FREE = Capacity(1000.0, 1000.0, 100.0)
BUSY = Capacity(1000.0, 0.0, 100.0)


def request(name, organisation="oak", cost=100.0, deadline=60.0, **fields):
    fields.setdefault("weight", 1.0)
    return AdmissionRequest(
        name, organisation, cost_tokens=cost, run_s=1.0, deadline=deadline, **fields
    )


def admitted(admission, capacity=FREE, now=0.0):
    return [admit.request.id for admit in admission.drain(capacity, now).admitted]


def test_free_capacity_admits_at_once_and_busy_queues():
    admission = FairAdmission()
    assert isinstance(admission.offer(request("1"), FREE, 0.0), Admit)
    assert admission.offer(request("2"), BUSY, 0.0) == Wait(0, 0.0)
    assert admission.offer(request("3"), BUSY, 0.0) == Wait(1, 1.0)
    assert admission.cancel("2")
    assert not admission.cancel("2")
    assert admitted(admission) == ["3"]
    assert len(admission) == 0


def test_request_above_all_capacity_runs_when_all_is_free():
    admission = FairAdmission()
    admission.offer(request("1", cost=5000.0), BUSY, 0.0)
    assert admitted(admission, Capacity(1000.0, 900.0, 100.0)) == []
    assert admitted(admission) == ["1"]


@pytest.mark.parametrize(
    ("queued", "deadline", "settings", "code"),
    [
        (0, 0.5, AdmissionSettings(), ResultCode.DEADLINE_UNMEETABLE),
        (9, 5.0, AdmissionSettings(), ResultCode.DEADLINE_UNMEETABLE),
        (3, 60.0, AdmissionSettings(3, 99), ResultCode.OVERLOADED),
        (3, 60.0, AdmissionSettings(99, 3), ResultCode.OVERLOADED),
    ],
)
def test_refuses_at_once_and_never_admits_later(queued, deadline, settings, code):
    admission = FairAdmission(settings)
    for index in range(queued):
        admission.offer(request(str(index)), BUSY, 0.0)
    answer = admission.offer(request("x", deadline=deadline), BUSY, 0.0)
    assert isinstance(answer, Refuse)
    assert answer.code is code
    assert answer.code.value.run_state is RunState.NOT_RUN
    assert answer.retry_after_s > 0
    assert "x" not in admitted(admission)


def test_queued_request_that_cannot_meet_its_deadline_is_refused():
    admission = FairAdmission()
    admission.offer(request("late", deadline=3.0), BUSY, 0.0)
    admission.offer(request("fine"), BUSY, 0.0)
    drained = admission.drain(FREE, 2.5)
    assert [refuse.request.id for refuse in drained.refused] == ["late"]
    assert [admit.request.id for admit in drained.admitted] == ["fine"]


def test_weights_priorities_and_actual_cost():
    admission = FairAdmission()
    for index in range(6):
        admission.offer(request(f"o{index}", "oak", weight=2.0), BUSY, 0.0)
        admission.offer(request(f"e{index}", "elm", priority=index), BUSY, 0.0)
    order = admitted(admission, Capacity(1000.0, 600.0, 100.0))
    assert sum(name.startswith("o") for name in order) == 4
    assert [name for name in order if name.startswith("e")] == ["e5", "e4"]
    admission.settle(request("o0", "oak", weight=2.0), 2000.0)
    order = admitted(admission, Capacity(1000.0, 400.0, 100.0))
    assert [name[0] for name in order] == ["e", "e", "e", "e"]


@pytest.mark.parametrize("small_share", [0.02, 0.09, 0.11])
def test_large_organisation_cannot_starve_small_ones(small_share):
    for seed in range(4):
        case = FairnessCase(small_share=small_share, duration_s=600.0)
        result = run_fairness(case, seed)
        assert result.worst_small >= 0.9
        assert result.late == 0
        assert result.utilisation > 0.9
