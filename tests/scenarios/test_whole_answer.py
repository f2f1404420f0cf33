"""Steps of ``whole_answer.feature``."""

import json

import pytest
from pytest_bdd import given, scenarios, then, when
from pytest_bdd.parsers import parse

from tests.scenarios.world import LOOKUP_ROUTES

PROMPT = "draft a walnut shelf"
ALL_CALLS = 1_000  # more calls than a scenario makes, so that a fault hits all
pytestmark = pytest.mark.usefixtures("world")


@pytest.fixture
def expected(world):
    """Return the words of the answer without faults.

    Steps that set faults of engines request this fixture only so that the answer is
    fetched before.
    """

    async def ask():
        reply = await world.chat(world.chat_body(PROMPT))
        assert reply.status == 200, reply.body
        await world.reset()
        answer = json.loads(reply.body)
        return answer["choices"][0]["message"]["content"].split()

    return world.run(ask())


scenarios("whole_answer.feature")


def set_faults(world, endpoint_ids, **faults):
    """Set the same fault switches of several endpoints."""
    for endpoint_id in endpoint_ids:
        world.run(world.fault(endpoint_id, **faults))


@given(parse("every engine falls silent once, after {count:d} events"))
def _(world, expected, count):
    set_faults(world, world.engines, hang_after=count)


@given(parse("every engine cuts one connection, after {count:d} events"))
def _(world, expected, count):
    set_faults(world, world.engines, cut_after=count)


@given("every engine sends one answer under the id of another request")
def _(world, expected):
    set_faults(world, world.engines, cross_next=1)


@given("one engine sends its answers under the id of another request")
def _(world, expected):
    set_faults(world, world.engines[:1], cross_next=ALL_CALLS)


@given("one engine truncates its answers")
def _(world, expected):
    set_faults(world, world.engines[:1], truncate_next=ALL_CALLS)


@given(parse("every engine takes {ms:d} ms for a token"))
def _(world, expected, ms):
    set_faults(world, world.engines, token_s=ms / 1000)


@given("one service replica truncates its answers")
def _(world):
    set_faults(world, world.replicas[:1], truncate_next=ALL_CALLS)


@given("one service replica answers under the id of another request")
def _(world):
    set_faults(world, world.replicas[:1], cross_next=ALL_CALLS)


@given("one service replica answers empty")
def _(world):
    set_faults(world, world.replicas[:1], empty_next=ALL_CALLS)


@given("every service replica truncates its answers")
def _(world):
    set_faults(world, world.replicas, truncate_next=ALL_CALLS)


@given("every service replica answers empty")
def _(world):
    set_faults(world, world.replicas, empty_next=ALL_CALLS)


@when("a caller streams an answer")
def _(world, context):
    async def ask():
        stream = await world.stream(world.chat_body(PROMPT))
        return await stream.read()

    context["stream"] = world.run(ask())


@when(
    parse("a caller streams an answer and its engine is killed after {count:d} events")
)
def _(world, context, count):
    async def ask():
        stream = await world.stream(world.chat_body(PROMPT))
        await stream.read(count)
        (running,) = [
            engine_id for engine_id in world.engines if await world.calls(engine_id)
        ]
        (other,) = [engine_id for engine_id in world.engines if engine_id != running]
        await world.fault(other, hang_after=0)
        ran = await world.calls(running)
        await world.cluster.endpoints[running].kill()
        await stream.read()
        context["ran"] = ran + await world.calls(other)
        return stream

    context["stream"] = world.run(ask())


@when(parse("a caller streams an answer and its node is killed after {count:d} events"))
def _(world, context, count):
    async def ask():
        stream = await world.stream(world.chat_body(PROMPT))
        await stream.read(count)
        await world.node(0).kill()
        return stream

    context["stream"] = world.run(ask())


@when("the caller resumes at another node with its last event id")
def _(world, context):
    async def resume():
        stream = context["stream"]
        headers = {"Last-Event-ID": stream.ids[-1]}
        again = await world.stream(world.chat_body(PROMPT), node=1, **headers)
        stream.resp = again.resp
        await stream.read()

    world.run(resume())


@when("callers ask for whole answers")
def _(world, context):
    async def ask():
        return [await world.chat(world.chat_body(PROMPT), node) for node in (0, 1, 2)]

    context["replies"] = world.run(ask())


@when("callers send lookups to every node")
def _(world, context):
    async def ask():
        return [await world.lookup(node) for node in (0, 1, 2) * 3]

    context["replies"] = world.run(ask())


@when("a caller makes a call that runs at most once")
def _(world, context, request):
    context["key"] = request.node.name
    context["replies"] = [world.run(world.run_once(context["key"]))]


@then("the caller has every token once and the end of the stream")
def _(context, expected):
    assert context["stream"].words == expected
    assert context["stream"].ended


@then("each caller has every token once")
def _(context, expected):
    for reply in context["replies"]:
        assert reply.status == 200, reply.body
        assert reply.code == 0
        answer = json.loads(reply.body)
        assert answer["id"] != "another-request"
        assert answer["choices"][0]["message"]["content"].split() == expected


@then("one engine call is in the call logs")
def _(world):
    assert len(world.run(world.calls(*world.engines))) == 1


@then("two engine calls of the same version are in the call logs")
def _(world, context):
    assert [call["version"] for call in context["ran"]] == [world.version] * 2


@then("no event names another request")
def _(context):
    assert "another-request" not in "".join(
        context["stream"].ids + context["stream"].data
    )


@then("every lookup is answered whole, or empty if its route allows that")
def _(world, context):
    (service,) = world.cluster.configuration.services
    (lookup,) = [route for route in service.routes if route.idempotent]
    empty = [reply for reply in context["replies"] if not reply.body]
    assert all(reply.status == 200 for reply in context["replies"])
    assert bool(empty) == lookup.may_be_empty


@then("every lookup is answered whole")
def _(world, context):
    path = f"/{LOOKUP_ROUTES[world.service]}"
    for reply in context["replies"]:
        assert reply.status == 200, reply.body
        assert json.loads(reply.body)["path"] == path


@then("the caller is told that the outcome is unknown")
def _(context):
    (reply,) = context["replies"]
    assert (reply.code, reply.run_state) == (3001, "unknown")


@then("the call is once in the call logs")
def _(world, context):
    assert len(world.run(world.runs_of(context["key"]))) == 1


@then("the event ids count up without a gap")
def _(context):
    positions = [int(event_id.rpartition(":")[2]) for event_id in context["stream"].ids]
    assert positions == list(range(1, len(positions) + 1))
