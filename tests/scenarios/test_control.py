"""Steps of ``control.feature``.

A node is frozen with SIGSTOP and woken with SIGCONT.
"""

import asyncio
import signal
import time

import pytest
from pytest_bdd import given, scenarios, then, when
from pytest_bdd.parsers import parse

from knapweedhinge.test.fleet import bearer_key
from tests.processes import eventually
from tests.scenarios.callers import under_load
from tests.scenarios.conftest import start_world

ALL_CALLS = 1_000  # more calls than a scenario makes, so that a fault hits all
MS_PER_S = 1_000
PROPAGATION_LIMIT_S = 4.0  # from the acceptance of a change until every node applies it
LOAD_AFTER_CHANGE_S = 4.5  # a little longer than PROPAGATION_LIMIT_S
SETTLE_S = 0.4  # for a node to learn of a restart, or a request to start waiting
ORDINALS = {"first": 0, "second": 1, "third": 2}
pytestmark = pytest.mark.usefixtures("world")


@pytest.fixture(scope="module")
def shared_world(loop_runner, tmp_path_factory):
    """Start a cluster for this module alone, since withdrawals are not undone."""
    paths = tmp_path_factory
    yield from start_world(
        "binh-minh", loop_runner, paths, lambda deployment: deployment
    )


@pytest.fixture(autouse=True)
def _first_organisation(world):
    """Call as the organisation that allows every version."""
    world.organisation = world.cluster.configuration.organisations[0].id


scenarios("control.feature")


def version_id(world, ordinal: str) -> str:
    """Return the id of the first, second or third configured version."""
    return world.cluster.configuration.versions[ORDINALS[ordinal]].id


def engines(world, ordinal: str) -> list[str]:
    """Return the ids of the engines that serve the version given by its ordinal."""
    version = version_id(world, ordinal)
    specs = world.cluster.deployment.endpoints
    return [spec.id for spec in specs if version in spec.versions]


def domain_endpoints(world, domain: str) -> list[str]:
    """Return the ids of the endpoints in a failure domain."""
    specs = world.cluster.deployment.endpoints
    return [spec.id for spec in specs if spec.failure_domain == domain]


def domain_change(domain: str, out: bool) -> dict:
    """Return the change that takes a failure domain out or brings it back."""
    return {"type": "set-failure-domain", "failure_domain": domain, "out": out}


async def make_change(world, node: int = 0, **change) -> float:
    """Make a change; return the wall-clock time just after it was accepted."""
    reply = await world.change(node, **change)
    assert reply.status == 200, reply.body
    return time.time()


async def change_under_load(world, context, endpoint_ids, act) -> None:
    """Call ``act`` under load and keep up the load for LOAD_AFTER_CHANGE_S.

    ``act`` makes a change and returns the time of it. ``context`` gets that time as
    ``changed_at``, the callers, and the calls that the endpoints ran.
    """
    async with under_load(world) as callers:
        await eventually(lambda: all_got_calls(world, endpoint_ids))
        context["changed_at"] = await act()
        await asyncio.sleep(LOAD_AFTER_CHANGE_S)
    context["callers"] = callers
    context["calls"] = await world.calls(*endpoint_ids)


async def all_got_calls(world, endpoint_ids) -> bool:
    """Return whether each of the endpoints has run a call."""
    return all([await world.calls(endpoint_id) for endpoint_id in endpoint_ids])


@when("a failure domain is taken out while callers use all nodes")
def _(world, context):
    domain = world.cluster.deployment.endpoints[0].failure_domain
    context["domain"] = domain
    change = domain_change(domain, True)
    world.run(
        change_under_load(
            world,
            context,
            domain_endpoints(world, domain),
            lambda: make_change(world, **change),
        )
    )


@when("the failure domain is brought back")
def _(world, context):
    change = domain_change(context["domain"], False)
    context["changed_at"] = world.run(make_change(world, **change))


@then("its endpoints get work again")
def _(world, context):
    async def send_until_worked():
        async with under_load(world):
            await eventually(worked)

    async def worked():
        calls = await world.calls(*domain_endpoints(world, context["domain"]))
        return any(call["at"] > context["changed_at"] for call in calls)

    world.run(send_until_worked())


@when("an endpoint is listed as leaving while callers use all nodes")
def _(world, context):
    endpoint_id = world.engines[-1]

    async def leave():
        await world.cluster.publish_vms(frozenset({endpoint_id}))
        return time.time()

    world.run(change_under_load(world, context, [endpoint_id], leave))


@then("no endpoint of the domain gets new work later than 4 s after the acceptance")
@then("the endpoint gets no new work later than 4 s after the listing")
def _(context):
    assert context["calls"]
    late = [
        call
        for call in context["calls"]
        if call["at"] > context["changed_at"] + PROPAGATION_LIMIT_S
    ]
    assert late == []


@then("no call failed")
def _(context):
    assert [failure for caller in context["callers"] for failure in caller.failed] == []


@given("an engine is warm")
def _(world):
    """Send requests until an engine is warm, since cold ones need the platform.

    Its permits for the cold start come with the platform's leases.
    """

    async def warm():
        await world.chat(world.chat_body("a toaster"))
        return not all([await world.is_cold(engine_id) for engine_id in world.engines])

    world.run(eventually(warm, 30.0))


@when(parse("the platform is down for {seconds:d} s"))
def _(world, seconds):
    async def outage():
        await world.platform_fault(outage=True)
        await asyncio.sleep(seconds)

    world.run(outage())


@then("every node answers chat requests and lookups")
def _(world):
    async def ask(node):
        chat = await world.chat(world.chat_body("a toaster"), node)
        return chat.code, (await world.lookup(node)).code

    assert set(world.run(world.at_every_node(ask))) == {(0, 0)}


@then(parse("every node refuses calls that run once with code {code:d}"))
def _(world, code):
    ask = world.at_every_node(lambda node: world.run_once(f"outage-{node}", node))
    replies = world.run(ask)
    assert {(reply.code, reply.run_state) for reply in replies} == {(code, "not-run")}
    assert [call for call in world.run(world.calls()) if call["key"]] == []


@when("the members vote that an organisation no longer allows a version")
def _(world, context):
    organisations = world.cluster.configuration.organisations
    context["member"] = organisations[-1]
    context["version"] = context["member"].allowed_versions[0]

    async def vote():
        proposal = await world.propose(
            type="set-organisation-limits",
            organisation=context["member"].id,
            allowed_versions=context["member"].allowed_versions[1:],
            allowed_services=context["member"].allowed_services,
            cost_limit_micros_per_day=context["member"].cost_limit_micros_per_day,
        )
        for member in organisations:
            reply = await world.vote(proposal, member.id)
            if reply["state"] == "accepted":
                return
        raise AssertionError(reply)

    world.run(vote())


@then(
    parse(
        "every node refuses the version to the organisation with code {code:d}"
        " within 4 s"
    )
)
def _(world, context, code):
    headers = {"Authorization": f"Bearer {bearer_key(context['member'].id)}"}
    body = world.chat_body("a toaster", model=context["version"])

    async def refused():
        replies = await world.at_every_node(
            lambda node: world.chat(body, node, **headers)
        )
        return {reply.code for reply in replies} == {code}

    world.run(eventually(refused, PROPAGATION_LIMIT_S))


@given(parse("the engine of the {ordinal} version is cold and takes {ms:d} ms"))
def _(world, ordinal, ms):
    async def restart_cold():
        for engine_id in engines(world, ordinal):
            await world.fault(engine_id, slow_s=ms / MS_PER_S)
            url = world.cluster.endpoint_url(engine_id)
            async with world.cluster.http.post(f"{url}/standin/restart") as resp:
                assert resp.status == 200
        await asyncio.sleep(SETTLE_S)

    world.run(restart_cold())


@given(parse("the engines of the {ordinal} version fail after {ms:d} ms"))
def _(world, ordinal, ms):
    for engine_id in engines(world, ordinal):
        faults = {"slow_s": ms / MS_PER_S, "cut_before_answer": ALL_CALLS}
        world.run(world.fault(engine_id, **faults))


@when(parse("two requests for the {ordinal} version come to one node"))
def _(world, context, ordinal):
    world.run(send_requests(world, context, ordinal, 2))


@when(parse("a request for the {ordinal} version comes to one node"))
def _(world, context, ordinal):
    world.run(send_requests(world, context, ordinal, 1))


async def send_requests(world, context, ordinal: str, count: int) -> None:
    """Send requests one after another and leave them running.

    After sending each, wait until an engine runs the first, and SETTLE_S more for the
    others to queue behind it. ``context["tasks"]`` gets the tasks of all.
    """
    body = world.chat_body("a toaster", model=version_id(world, ordinal))
    context["tasks"] = []

    async def first_request_runs():
        return await world.calls(*engines(world, ordinal))

    for number in range(count):
        request = world.chat(body, **{"X-Session-Id": f"session-{number}"})
        context["tasks"].append(asyncio.create_task(request))
        await eventually(first_request_runs)
        await asyncio.sleep(SETTLE_S)


@when(parse("the {ordinal} version is withdrawn at another node"))
def _(world, ordinal):
    version = version_id(world, ordinal)
    world.run(make_change(world, 1, type="withdraw-version", version=version))


@then("the first request is answered")
def _(world, context):
    reply = world.run(await_reply(context["tasks"][0]))
    assert reply.code == 0
    context["token"] = reply.headers["X-Session-Token"]
    context["first_version"] = reply.headers["X-Model-Version"]


async def await_reply(task):
    """Return the result of a task, for use with ``world.run``."""
    return await task


@then(parse('the {ordinal} request ends with code {code:d} and run state "{state}"'))
def _(world, context, ordinal, code, state):
    reply = world.run(await_reply(context["tasks"][ORDINALS[ordinal]]))
    assert (reply.code, reply.run_state) == (code, state)


@then(parse("the {ordinal} version ran {count:d} request"))
@then(parse("the {ordinal} version ran {count:d} requests"))
def _(world, ordinal, count):
    assert len(world.run(world.calls(*engines(world, ordinal)))) == count


@then("the session of the first request moves to another version and the reply says so")
def _(world, context):
    class_id = world.cluster.configuration.classes[0].id
    body = world.chat_body("and then?", model=class_id)
    reply = world.run(world.chat(body, 2, **{"X-Session-Token": context["token"]}))
    assert reply.code == 0, reply.body
    assert reply.headers["X-Model-Version"] != context["first_version"]
    assert reply.headers["X-Session-Moved"] == "true"


@given("a node is frozen")
def _(world):
    world.node(0).signal(signal.SIGSTOP)


@when(
    parse(
        "the node is woken after {seconds:d} s and asked for the first version at once"
    )
)
def _(world, context, seconds):
    body = world.chat_body("a toaster", model=version_id(world, "first"))

    async def wake():
        requests = [asyncio.create_task(world.chat(body)) for _ in range(3)]
        await asyncio.sleep(seconds)
        world.node(0).signal(signal.SIGCONT)
        requests += [asyncio.create_task(world.chat(body)) for _ in range(3)]
        return await asyncio.gather(*requests)

    context["replies"] = world.run(wake())


@then("every reply says that the request was not run")
def _(context):
    assert {reply.run_state for reply in context["replies"]} == {"not-run"}
