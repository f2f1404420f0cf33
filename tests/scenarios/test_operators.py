"""Steps of ``operators.feature``.

A node is paused with SIGSTOP and goes on with SIGCONT.
"""

import asyncio
import json
import signal
import time

import pytest
from pytest_bdd import given, scenarios, then, when
from pytest_bdd.parsers import parse

from knapweedhinge.core.codes import ResultCode
from tests.processes import Cluster, eventually
from tests.scenarios.conftest import SHORT_TIMES, load_example
from tests.scenarios.operators_world import (
    NODES,
    PROPAGATION_LIMIT_S,
    OperatorsWorld,
    add_trial_versions,
    is_withdrawn,
)
from tests.scenarios.world import keep_replicated_endpoints

PAUSED_NODE = 3
WAITING_CALLERS = 5
FIRST_RUN_TIMEOUT_S = 20.0  # until engines in cold start run the first request
WARM_UP_S = 1.0  # under load before the change
RECOVERY_TIMEOUT_S = 10.0  # after an outage until changes are accepted again
scenarios("operators.feature")


@pytest.fixture(scope="module")
def shared_world(loop_runner, tmp_path_factory):
    """Start a cluster of six nodes for all scenarios of this module."""
    configuration, deployment = load_example("guanacaste")
    configuration, deployment = add_trial_versions(
        configuration, keep_replicated_endpoints(deployment)
    )
    cluster = Cluster(
        tmp_path_factory.mktemp("operators"),
        configuration,
        deployment,
        NODES,
        **SHORT_TIMES,
    )
    loop_runner.run(cluster.__aenter__())
    yield OperatorsWorld(loop_runner, cluster)
    loop_runner.run(cluster.__aexit__())


@pytest.fixture(autouse=True)
def world(shared_world):
    """Give the shared cluster with faults switched off and an unused trial version."""
    shared_world.run(shared_world.reset())
    return shared_world


def domain_change(out, domain="david"):
    """Return the change that takes a failure domain out or brings it back.

    The default is a failure domain of the guanacaste example.
    """
    return {"type": "set-failure-domain", "failure_domain": domain, "out": out}


@given("callers ask all nodes for a version without a pause")
def _(world):
    async def begin():
        world.start_load()
        await eventually(world.run_times_of_version, FIRST_RUN_TIMEOUT_S)
        await asyncio.sleep(WARM_UP_S)

    world.run(begin())


@given("callers asked all nodes for a version")
def _(world):
    async def ask():
        for node in range(NODES):
            assert (await world.ask(world.version, node)).status == 200

    world.run(ask())


@given("the platform takes the next write but loses its answer")
def _(world):
    cluster = world.cluster
    world.run(cluster.set_faults(cluster.platform_url, lose_writes=1))


@given("a version withdrawn everywhere")
def _(world):
    world.run(world.withdraw())
    world.run(world.wait_until_in_force())


@when("an operator withdraws the version at one node")
def _(world):
    world.run(world.withdraw(node=1))


@when("an operator takes the failure domain of an engine out at one node")
def _(world, context, request):
    async def take_out():
        context["domain"] = domain = world.first_engine_domain
        await world.make_change(domain_change(True, domain))

    async def bring_in():
        assert (
            await world.try_change(domain_change(False, context["domain"]))
        ).status == 200

    request.addfinalizer(lambda: world.run(bring_in()))
    world.run(take_out())


@when(parse("callers go on for {seconds:d} s"))
def _(world, context, seconds):
    async def go_on():
        await world.wait_until_in_force()
        context["held_at"] = time.time()
        await asyncio.sleep(world.sent_at + seconds - time.time())
        await world.end_load()

    world.run(go_on())


@when("a node is killed and started again")
def _(world):
    async def restart():
        cluster = world.cluster
        vm = cluster.deployment.entry_vms[NODES - 1]
        await cluster.nodes[vm.id].kill()
        cluster.nodes[vm.id] = await cluster.start_node(vm)

    world.run(restart())


@when(parse("the platform is down for {seconds:d} s"))
def _(world, seconds):
    async def go_down():
        await world.cluster.set_faults(world.cluster.platform_url, outage=True)
        await asyncio.sleep(seconds)

    world.run(go_down())


@when(
    parse(
        "a node is paused for {seconds:d} s while the version is withdrawn and callers"
        " wait for the node"
    )
)
def _(world, context, seconds):
    async def pause():
        vm = world.cluster.deployment.entry_vms[PAUSED_NODE]
        node = world.cluster.nodes[vm.id]
        node.signal(signal.SIGSTOP)
        paused_at = time.time()
        try:
            await world.withdraw()
            waiting = [
                asyncio.create_task(world.ask(world.version, PAUSED_NODE))
                for _ in range(WAITING_CALLERS)
            ]
            await asyncio.sleep(paused_at + seconds - time.time())
        finally:
            node.signal(signal.SIGCONT)
        context["replies"] = await asyncio.gather(*waiting)
        context["replies"] += [await world.ask(world.version, PAUSED_NODE)]

    world.run(pause())


@when("two operators send a change against one revision, at two nodes")
def _(world, context):
    async def race():
        revision = await world.revision(0)
        withdrawal = {"type": "withdraw-version", "version": world.version}
        context["replies"] = await asyncio.gather(
            world.try_change(withdrawal, 1, revision),
            world.try_change(domain_change(True), 2, revision),
        )
        world.accepted_revision = revision + 1

    world.run(race())


@then("every node held the change 4 s after it was sent")
def _(world, context):
    world.run(world.wait_until_in_force())
    assert context.get("held_at", time.time()) <= world.sent_at + PROPAGATION_LIMIT_S


@then("no engine ran the version later than 4 s after the change was sent")
def _(world):
    runs = world.run(world.run_times_of_version())
    assert runs
    assert max(runs) <= world.sent_at + PROPAGATION_LIMIT_S


@then("no endpoint of the domain ran anything later than 4 s after the change was sent")
def _(world, context):
    runs = world.run(world.run_times_in_domain(context["domain"]))
    assert runs
    assert max(runs) <= world.sent_at + PROPAGATION_LIMIT_S


@then("the entry VMs of the failure domain are not in the address answers")
def _(world, context):
    async def ask():
        for node in range(NODES):
            answer = await world.cluster.addresses(node)
            assert answer
            assert context["domain"] not in {
                address["failure_domain"] for address in answer
            }

    world.run(ask())


@then("the change is accepted once")
def _(world):
    async def check():
        cluster = world.cluster
        url = f"{cluster.platform_url}/standin/faults"
        async with cluster.http.post(url, json={}) as resp:
            assert (await resp.json())["lose_writes"] == 0
        before = world.accepted_revision
        assert await world.revision(1) == before

    world.run(check())


@then('every node refuses the version with run state "not-run"')
def _(world):
    async def ask():
        replies = [await world.ask(world.version, node) for node in range(NODES)]
        assert [is_withdrawn(reply) for reply in replies] == [True] * NODES
        assert not await world.run_times_of_version()

    world.run(ask())


@then("every node answers for another version")
def _(world):
    async def ask():
        replies = [
            await world.ask(world.permanent_version, node) for node in range(NODES)
        ]
        assert [reply.status for reply in replies] == [200] * NODES, replies

    world.run(ask())


@then("every node still holds the change")
def _(world):
    world.run(world.wait_until_in_force())


@then("when the platform is back every node still holds the change")
def _(world):
    world.run(world.cluster.set_faults(world.cluster.platform_url, outage=False))
    world.run(world.wait_until_in_force())


@then("an operator's change is refused")
def _(world):
    reply = world.run(world.try_change(domain_change(True)))
    assert reply.code == ResultCode.PLATFORM_UNAVAILABLE.number
    assert reply.run_state == "not-run"


@then("an operator's change is accepted")
def _(world):
    async def until_accepted():
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while (await world.try_change(domain_change(False))).status != 200:
                await asyncio.sleep(0.1)

    world.run(until_accepted())


@then('the callers that waited are refused with run state "not-run"')
def _(context):
    for reply in context["replies"]:
        assert reply.run_state == "not-run", reply


@then("one change is accepted and the other is refused and names the accepted one")
def _(context):
    accepted, refused = sorted(context["replies"], key=lambda reply: reply.status)
    assert (accepted.status, refused.status) == (200, 412), context["replies"]
    assert refused.code == ResultCode.REVISION_CONFLICT.number
    # The operator is named by the first digits of the SHA-256 digest of "operator-key".
    assert "operator c9736463" in json.loads(refused.body)["error"]["winner"]
