"""Steps of ``planned_stop.feature``."""

import asyncio
import signal
from collections import Counter

import pytest
from pytest_bdd import given, scenarios, then, when
from pytest_bdd.parsers import parse

from tests.processes import eventually
from tests.scenarios.callers import under_load
from tests.scenarios.conftest import start_world

MS_PER_S = 1_000
MIN_CALLS_SENT = 5  # by each caller before a node stops
pytestmark = pytest.mark.usefixtures("world")


@pytest.fixture(scope="module")
def shared_world(loop_runner, tmp_path_factory):
    """Start a cluster of one example, since each stop takes seconds."""
    yield from start_world("guanacaste", loop_runner, tmp_path_factory)


scenarios("planned_stop.feature")


@given(parse("every engine takes {ms:d} ms for a token"))
def _(world, ms):
    for engine_id in world.engines:
        world.run(world.fault(engine_id, token_s=ms / MS_PER_S))


@when("a node is asked to stop")
def _(world):
    world.node(0).signal(signal.SIGTERM)


@then(parse("it says that it takes no new work, code {code:d}"))
def _(world, code):
    async def says_unready():
        reply = await world.send("GET", "/readyz")
        return reply.status == 503 and reply.code == code

    world.run(eventually(says_unready))


@then("it still answers callers that were told its address")
def _(world):
    assert world.run(world.lookup()).status == 200


@then(
    parse("a caller that connects {ms:d} ms after its address has expired is answered")
)
def _(world, ms):
    async def connect_late():
        await asyncio.sleep(world.cluster.address_ttl_s + ms / MS_PER_S)
        ip, port = world.cluster.node_url(0).removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return line

    assert world.run(connect_late()).startswith(b"HTTP/1.1 200")


@then("it exits with status 0")
def _(world):
    assert world.run(world.node(0).stop()) == 0


async def all_callers_busy(callers) -> bool:
    """Return whether every caller has sent MIN_CALLS_SENT calls."""
    return all(caller.sent >= MIN_CALLS_SENT for caller in callers)


@when(parse("{count:d} node(s) stop while callers use the addresses they are told"))
def _(world, context, count):
    async def stop():
        async with under_load(world) as callers:
            await eventually(lambda: all_callers_busy(callers))
            nodes = [world.node(index) for index in range(count)]
            context["statuses"] = await asyncio.gather(*(node.stop() for node in nodes))
            sent = sum(caller.sent for caller in callers)
            await eventually(lambda: more_sent(callers, sent))
        context["callers"] = callers

    world.run(stop())


async def more_sent(callers, sent: int) -> bool:
    """Return whether the callers sent more than one call each, on average, since then.

    ``sent`` is the number of calls that all callers had sent together until then.
    """
    return sum(caller.sent for caller in callers) > sent + len(callers)


@when("all nodes are replaced in turn while callers use the addresses they are told")
def _(world, context):
    async def replace_all():
        context["statuses"] = []
        cluster = world.cluster
        async with under_load(world) as callers:
            await eventually(lambda: all_callers_busy(callers))
            for vm in cluster.deployment.entry_vms[: cluster.node_count]:
                context["statuses"].append(await cluster.nodes[vm.id].stop())
                cluster.nodes[vm.id] = await cluster.start_node(vm)
                await eventually(cluster.all_addresses_known)
        context["callers"] = callers

    world.run(replace_all())


@then("every stopped node exits with status 0")
def _(context):
    assert set(context["statuses"]) == {0}


@then("no call failed")
def _(context):
    failed = [failure for caller in context["callers"] for failure in caller.failed]
    assert failed == []


@then("every call that may not be repeated ran once")
def _(world, context):
    ran = Counter(call["key"] for call in world.run(world.calls(*world.replicas)))
    sent = {
        f"{caller.name}-{number}"
        for caller in context["callers"]
        if "-once-" in caller.name
        for number in range(caller.sent)
    }
    assert {key: count for key, count in ran.items() if key} == dict.fromkeys(sent, 1)
