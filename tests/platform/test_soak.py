"""A short soak of two seeds; ``tests.platform.soak`` runs many by hand."""

import os

import pytest

from knapweedhinge.core.codes import ResultCode
from tests.platform.soak import MIN_ANSWERS, endpoints, soak
from tests.processes import worker_ports


@pytest.mark.parametrize("seed", [1, 2])
async def test_callers_get_true_answers_while_everything_fails_in_turn(seed):
    outcome = await soak(seed, 6.0)
    assert outcome.wrong == []
    for kind, count in MIN_ANSWERS.items():
        assert outcome.ends[kind, 200] > count
    assert outcome.ends["refused", ResultCode.NO_ROOM.number] > 0


async def test_an_endpoint_of_the_soak_never_gives_its_port_to_another_worker():
    """A node of another worker answered calls to an endpoint that had crashed."""
    ports = worker_ports(os.environ.get("PYTEST_XDIST_WORKER", ""))
    for endpoint in endpoints():
        await endpoint.start()
        await endpoint.stop()
        await endpoint.restart()
        assert int(endpoint.record()["addr"].rpartition(":")[2]) in ports
        await endpoint.stop()
