"""Connection pools of endpoints, whose limit all nodes share."""

import pytest

from knapweedhinge.core.codes import RunState
from knapweedhinge.endpoints.pools import MIN_CONNECTIONS, EndpointPools
from knapweedhinge.http1 import PoolFullError
from knapweedhinge.routing.load import EndpointView

ENDPOINT = EndpointView("e-1", "http://127.0.0.1:9", "a", "r", incarnation="1")


def test_pool_limit_follows_the_number_of_nodes():
    pools = EndpointPools()
    pool = pools.get(ENDPOINT, max_connections=96, nodes=10)
    before = pool.max_open
    assert pools.get(ENDPOINT, max_connections=96, nodes=1) is pool
    assert pool.max_open > before


@pytest.mark.parametrize("nodes", [1, 6, 20])
def test_all_nodes_together_stay_within_the_endpoint_limit(nodes):
    pool = EndpointPools().get(ENDPOINT, max_connections=96, nodes=nodes)
    assert pool.max_open * nodes <= 96
    assert pool.max_open >= MIN_CONNECTIONS


def test_pools_belong_to_a_process_and_not_to_an_address():
    pools = EndpointPools()
    first = pools.get(ENDPOINT, 96, 6)
    restarted = EndpointView("e-1", ENDPOINT.url, "a", "r", incarnation="2")
    other = EndpointView("e-2", ENDPOINT.url, "a", "r", incarnation="1")
    assert len({first, pools.get(restarted, 96, 6), pools.get(other, 96, 6)}) == 3
    pools.keep_only({"e-1": restarted})
    assert pools.get(restarted, 96, 6) is not first


async def test_full_pool_raises_pool_full_error():
    pool = EndpointPools().get(ENDPOINT, 96, 6)
    pool.max_open = 0
    with pytest.raises(PoolFullError) as raised:
        await pool.acquire(0.0)
    assert raised.value.run_state is RunState.NOT_RUN
