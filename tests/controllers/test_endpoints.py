"""Test how VM lists and status reports change the state of endpoints."""

from dataclasses import replace

import pytest

from knapweedhinge.backing.types import Vm
from knapweedhinge.controllers.endpoints import (
    EndpointTable,
    StatusRead,
    VmsListed,
    fold,
)
from knapweedhinge.endpoints import EndpointStatus
from knapweedhinge.routing.load import EndpointState, LoadReport, WarmState

VM = Vm("e1", "127.0.0.1", 1, "endpoint", "engine", failure_domain="a")
STATUS = EndpointStatus("e1", "i1", frozenset({"v1"}), False, LoadReport())


def table_of(*events):
    table = EndpointTable()
    for event in events:
        table = fold(event, table)
    return table


def test_endpoint_is_dead_until_its_first_status():
    listed = table_of(VmsListed((VM,)))
    assert listed.get("e1").state is EndpointState.DEAD
    answered = fold(StatusRead(STATUS), listed)
    assert answered.get("e1").state is EndpointState.LIVE


@pytest.mark.parametrize(
    "changed",
    [
        pytest.param({"port": 2}, id="another port"),
        pytest.param({"ip": "127.0.0.2"}, id="another ip"),
        pytest.param({"failure_domain": "b"}, id="another failure domain"),
    ],
)
def test_replaced_vm_with_the_same_name_is_dead_and_cold(changed):
    new = replace(VM, **changed)
    view = table_of(VmsListed((VM,)), StatusRead(STATUS), VmsListed((new,))).get("e1")
    assert view.url == f"http://{new.ip}:{new.port}"
    assert view.failure_domain == new.failure_domain
    assert (view.state, view.warm_state) == (EndpointState.DEAD, WarmState.COLD)


def test_vm_listed_as_leaving_makes_its_endpoint_leave():
    leaving = VmsListed((replace(VM, state="leaving"),))
    view = table_of(VmsListed((VM,)), StatusRead(STATUS), leaving).get("e1")
    assert view.state is EndpointState.LEAVING


def test_vm_missing_from_the_list_is_removed():
    assert table_of(VmsListed((VM,)), VmsListed(())).get("e1") is None
