"""Refusals with 421, by which an endpoint says that a call is not for it."""

import asyncio

import pytest

from knapweedhinge.node.identity_checker import CHECK_TIMEOUT_S, FIRST_PAUSE_S
from knapweedhinge.test.replica import Replica, ReplicaFaults
from tests.platform.world import World, catalog, chat, request, route

WRONG = b"m9"
# A route whose models the node doesn't know
UNSIZED = route("free", "stream", sizes=[])


def engines(count: int = 3) -> list[Replica]:
    faults = ReplicaFaults(unknown_model=WRONG)
    return [Replica(f"e-{n}", "engine", faults=faults) for n in range(count)]


def ask_for(model: str, name: str, request_id: str) -> bytes:
    data = chat(request_id, Knapweedhinge_Model=model)
    return data.replace(b"/chat/x", f"/{name}/x".encode())


MISTAKES = [
    # route, whether endpoints are asked, since the node can't tell that they refuse
    pytest.param("chat", False, id="models known"),
    pytest.param("free", True, id="models unknown"),
]


@pytest.mark.parametrize("name,asked", MISTAKES)
async def test_calls_for_an_unknown_model_take_no_endpoint_from_other_callers(
    name, asked
):
    """Each endpoint that refused such a call got no more calls from anyone."""
    replicas = engines()
    async with World(replicas, catalog(routes=[route("chat", "stream"), UNSIZED])) as w:
        for number in range(6):
            reply = await w.ask(ask_for(WRONG.decode(), name, f"wrong-{number}"))
            assert reply.status == (503 if asked else 421)
            sound = [w.ask(ask_for("small", name, f"r{number}-{n}")) for n in range(4)]
            replies = await asyncio.gather(*sound)
            assert [(reply.status, reply.whole) for reply in replies] == [
                (200, True)
            ] * 4
        assert not any(w.node.ctx.health.waits(r.id, w.node.clock()) for r in replicas)
    assert any(replica.refused for replica in replicas) == asked


async def test_endpoints_are_not_paused_for_refusing_calls_for_an_unknown_model():
    """Each refusal counted as a failure, and three in a row pause an endpoint."""
    async with World(engines(), catalog(routes=[UNSIZED])) as world:
        for number in range(20):
            await world.ask(ask_for(WRONG.decode(), "free", f"wrong-{number}"))
        assert (await world.ask(ask_for("small", "free", "r1"))).status == 200


async def test_a_call_for_an_unknown_model_is_refused_with_a_code_of_its_own():
    async with World(engines(), catalog()) as world:
        reply = await world.ask(ask_for(WRONG.decode(), "chat", "r1"))
    assert (reply.status, b"1025" in reply.body) == (421, True)
    assert "retry-after" not in reply.headers  # no later call would be served either


async def test_an_endpoint_whose_address_another_one_has_returns_without_a_new_row():
    """It was out of use until its row changed, and a row of a live endpoint may not."""
    first, second = Replica("s-0", "shop"), Replica("s-1", "shop")
    async with World([first, second], catalog()) as world:
        health, clock = world.node.ctx.health, world.node.clock
        first.id = "another"
        world.node.ctx.loads.began("s-1", 9.0)  # calls prefer the first one
        assert (await world.ask(request("/look/x"))).status == 200
        await world.until(lambda: health.waits("s-0", clock()))
        replies = [await world.ask(request("/look/x")) for _ in range(5)]
        assert [reply.status for reply in replies] == [200] * 5
        targets = [call.target for call in first.refused]
        assert targets.count(b"/look/x") == 1  # later calls keep away from it
        first.id = "s-0"
        await world.until(
            lambda: not health.waits("s-0", clock()),
            2 * FIRST_PAUSE_S + 2 * CHECK_TIMEOUT_S,
        )
        await world.ask(request("/look/x"))
    assert first.calls
