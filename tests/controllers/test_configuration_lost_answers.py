"""An append reports the true outcome whichever writes or answers are lost."""

from itertools import product

import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.conf.changes import SetFailureDomain, SetLimits
from knapweedhinge.controllers.configuration import REVISIONS_TABLE, ConfigurationStore
from knapweedhinge.controllers.configuration_records import (
    Accepted,
    ChangeRequest,
    RevisionConflict,
)
from knapweedhinge.core.exceptions import (
    PlatformUnavailableError,
    WriteUnsettledError,
)
from tests.controllers.faulty_tables import (
    Fault,
    Operation,
    Service,
    SteppedTables,
    run,
)
from tests.controllers.samples import CONFIGURATION

MINE = ChangeRequest("mine", "a", SetLimits(VotedLimits(retry_share=0.3)), voted=True)
OTHER = ChangeRequest("other", "b", SetFailureDomain("sj-1", True))


def founded():
    service = Service()
    run(
        ConfigurationStore(SteppedTables()).append_first_revision(
            CONFIGURATION, "f", "op", 0
        ),
        service,
    )
    return service


def change_ids(service):
    return [
        row.value["change_id"]
        for row in service.store.scan(REVISIONS_TABLE, "", "", 99)
    ]


@pytest.mark.parametrize("rival_before_write", [None, 0, 1])
def test_append_reports_the_true_outcome_under_every_sequence_of_faults(
    rival_before_write,
):
    for faults in product(Fault, repeat=3):
        service = founded()
        store = ConfigurationStore(SteppedTables())
        operation = Operation(store.append(MINE, 1, 1.0), service)
        writes = 0
        while not operation.done:
            if operation.at_write and writes == rival_before_write:
                rival = ConfigurationStore(SteppedTables())
                try:
                    run(rival.append(OTHER, 1, 1.0), service)
                except RevisionConflict as exc:
                    assert exc.winner.change_id == "mine"
            at_write = operation.at_write
            operation.advance(faults[writes] if at_write else Fault.NONE)
            writes += at_write
        change_ids_at_return = change_ids(service)
        for call in service.late:
            service.execute(call)
        final_change_ids = change_ids(service)
        assert final_change_ids.count("mine") + final_change_ids.count("other") <= 1
        if operation.error is None:
            assert isinstance(operation.result, Accepted)
            assert "mine" in change_ids_at_return
        elif isinstance(operation.error, RevisionConflict):
            assert operation.error.winner.change_id == "other"
            assert "mine" not in final_change_ids
        elif isinstance(operation.error, PlatformUnavailableError):
            assert "mine" not in final_change_ids
        else:
            assert isinstance(operation.error, WriteUnsettledError)
            assert {Fault.LATE, Fault.LOST_BEFORE, Fault.LOST_AFTER} & set(faults)
