"""Steps of ``at_most_once.feature``.

Before a node runs a call it writes a claim on the call's idempotency key to the
platform, so that no other node runs it. A node is frozen with SIGSTOP and woken with
SIGCONT.
"""

import asyncio
import signal

import aiohttp
import pytest
from pytest_bdd import given, scenarios, then, when
from pytest_bdd.parsers import parse

from knapweedhinge.controllers.claims import CLAIMS_TABLE
from tests.processes import eventually

ALL_CALLS = 1_000  # more calls than a scenario makes, so that a fault hits all
MS_PER_S = 1_000
pytestmark = pytest.mark.usefixtures("world")
scenarios("at_most_once.feature")


@pytest.fixture
def key(request):
    """Return an idempotency key for the scenario; it may have 200 characters."""
    return request.node.name[:150]


def set_service_faults(world, **faults):
    """Set the same fault switches of all replicas of plain services."""
    for endpoint_id in world.replicas:
        world.run(world.fault(endpoint_id, **faults))


async def claims_received(world) -> set[str]:
    """Return the keys of the claims whose writes the platform received."""
    counts = await world.cluster.platform_calls()
    return {key for table, key in counts["received_rows"] if table == CLAIMS_TABLE}


@given(parse("the platform loses the answers to its next {count:d} writes"))
def _(world, count):
    world.run(world.platform_fault(lose_writes=count))


@given("the platform is down")
def _(world):
    world.run(world.platform_fault(outage=True))


@when("the platform is up again")
def _(world):
    world.run(world.platform_fault(outage=False))


@given(parse("the platform takes {ms:d} ms"))
def _(world, ms):
    world.run(world.platform_fault(slow_s=ms / MS_PER_S))


@when("the platform answers at once again")
def _(world):
    world.run(world.platform_fault(slow_s=0))


@given("every service replica cuts the connection before its answer")
def _(world):
    set_service_faults(world, cut_before_answer=ALL_CALLS)


@given("every service replica refuses its calls")
def _(world):
    set_service_faults(world, refuse=True)


@when("every service replica takes calls again")
def _(world):
    set_service_faults(world, refuse=False)


@then(parse("the reply has status {status:d}"))
def _(context, status):
    assert context["replies"][0].status == status


@given(parse("every service replica takes {ms:d} ms"))
def _(world, ms):
    set_service_faults(world, slow_s=ms / MS_PER_S)


@when("a caller sends a call")
def _(world, context, key):
    context["replies"] = [world.run(world.run_once(key))]


@when("a caller sends a call without a key")
def _(world, context):
    context["replies"] = [world.run(world.run_once(None))]


@when("the caller sends another body under the same key")
def _(world, context, key):
    context["replies"] = [world.run(world.run_once(key, json={"amount": 6}))]


@when("a caller sends the same call to every node at once")
@when("the caller sends the same call to every node")
def _(world, context, key):
    ask = world.at_every_node(lambda node: world.run_once(key, node))
    context["replies"] = world.run(ask)


@when("a caller sends a call to a node that is killed while the call runs")
def _(world, key):
    async def ask():
        task = asyncio.create_task(world.run_once(key))
        await eventually(lambda: world.runs_of(key))
        await world.node(0).kill()
        with pytest.raises(aiohttp.ClientError):
            await task

    world.run(ask())


@when("the caller sends the same call to the other nodes")
def _(world, context, key):
    async def ask():
        return [await world.run_once(key, node) for node in (1, 2)]

    context["replies"] = world.run(ask())


@when("a node is frozen while it writes its claim")
def _(world, context, key):
    before = set()

    async def is_claim_received():
        return await claims_received(world) - before

    async def ask():
        nonlocal before
        before = await claims_received(world)
        context["task"] = asyncio.create_task(world.run_once(key))
        # The platform has received the write and, being slow, has not answered it.
        await eventually(is_claim_received)
        world.node(0).signal(signal.SIGSTOP)

    world.run(ask())


@when("a node is frozen while its call runs")
def _(world, context, key):
    async def ask():
        context["task"] = asyncio.create_task(world.run_once(key))
        await eventually(lambda: world.runs_of(key))
        world.node(0).signal(signal.SIGSTOP)

    world.run(ask())


@when("the caller sends the same call to another node and is told that it is running")
def _(world, context, key):
    async def ask():
        await asyncio.sleep(1)
        return await world.run_once(key, node=1)

    context["replies"] = [world.run(ask())]
    assert context["replies"][0].code == 3003


@when(parse("the node is woken after {seconds:d} s"))
def _(world, context, seconds):
    async def wake():
        await asyncio.sleep(seconds)
        world.node(0).signal(signal.SIGCONT)
        context["replies"].append(await context["task"])

    world.run(wake())


@when("the caller sends the call again until it is answered")
def _(world, context, key):
    async def answered():
        reply = await world.run_once(key, node=2)
        return reply.run_state == "completed"

    world.run(eventually(answered))


@then("the reply is the whole answer")
def _(context):
    (reply,) = context["replies"]
    assert (reply.status, reply.run_state) == (200, "completed")
    assert reply.body


@then("each reply is the same answer or says that the call is running")
def _(context):
    answers = {reply.body for reply in context["replies"] if reply.code == 0}
    assert len(answers) == 1
    others = [reply for reply in context["replies"] if reply.code != 0]
    assert {(other.status, other.code, other.run_state) for other in others} <= {
        (409, 3003, "running")
    }


@then(parse('the reply is code {code:d} with run state "{state}"'))
@then(parse('every reply is code {code:d} with run state "{state}"'))
def _(context, code, state):
    assert {(reply.code, reply.run_state) for reply in context["replies"]} == {
        (code, state)
    }


@then("no reply is a new answer")
def _(context):
    assert {reply.run_state for reply in context["replies"]} <= {"running", "unknown"}


@then("the call ran once")
def _(world, key):
    assert len(world.run(world.runs_of(key))) == 1


@then("the call never ran")
def _(world, key):
    assert world.run(world.runs_of(key)) == []


@then("no endpoint ran anything")
def _(world):
    assert world.run(world.calls()) == []
