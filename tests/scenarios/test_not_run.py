"""Steps of ``not_run.feature``."""

import asyncio

import pytest
from pytest_bdd import scenarios, then, when
from pytest_bdd.parsers import parse

from knapweedhinge.test.fleet import bearer_key
from tests.scenarios.world import Reply, World

CHAT = "/v1/chat/completions"
# A body and a header value above the limits of a node.
TOO_LARGE = b"x" * (5 * 1024 * 1024)
TOO_LONG = "k" * 300
CHUNK_PAUSE_S = 1.5  # longer than the body timeout of the cluster
pytestmark = pytest.mark.usefixtures("world")
scenarios("not_run.feature")


async def chat(world: World, headers=None, **fields) -> Reply:
    """Send a chat request with some fields and headers replaced."""
    return await world.chat(world.chat_body("an oak shelf", **fields), **headers or {})


async def raw_chat(world: World, data) -> Reply:
    """Send a chat request with ``data`` as its body."""
    return await world.send("POST", CHAT, data=data)


async def chunks(count: int, pause_s: float = 0):
    """Yield chunks of 64 KiB with a pause after each."""
    for _ in range(count):
        yield b"{" * 1024 * 64
        await asyncio.sleep(pause_s)


async def version_not_allowed(world: World) -> Reply:
    """Ask for a version as an organisation that may not use it."""
    configuration = world.cluster.configuration
    for member in configuration.organisations:
        for version in configuration.versions:
            if version.id not in member.allowed_versions:
                headers = {"Authorization": f"Bearer {bearer_key(member.id)}"}
                return await chat(world, headers, model=version.id)
    raise AssertionError("every organisation allows every version")


async def unserved_version(world: World) -> Reply:
    """Ask for an allowed version that no engine of the cluster serves."""
    member = world.cluster.configuration.organisation(world.organisation)
    unserved = [
        version for version in member.allowed_versions if version != world.version
    ]
    return await chat(world, model=unserved[0])


async def once_in_outage(world: World) -> Reply:
    """Make a call that runs at most once while the platform is down."""
    await world.platform_fault(outage=True)
    try:
        return await world.run_once("in-outage")
    finally:
        await world.platform_fault(outage=False)


async def passed_deadline(world: World) -> Reply:
    """Make a call whose deadline passes while the platform writes its claim."""
    await world.platform_fault(slow_s=0.05)
    try:
        return await world.run_once("late", **{"X-Deadline-Ms": "1"})
    finally:
        await world.platform_fault(slow_s=0)


def session_id(value: str):
    """Return a function that sends a chat request with a session id."""
    return lambda world: chat(world, {"X-Session-Id": value})


# Functions that send a request to be refused, by its name in the feature file.
REFUSALS = {
    "a chat request with a bad key": lambda world: chat(
        world, {"Authorization": "Bearer no-such-key"}
    ),
    "a chat request without a key": lambda world: chat(world, {"Authorization": ""}),
    "a chat request for an unknown class": lambda world: chat(world, model="no-class"),
    "a chat request for a version not allowed": version_not_allowed,
    "a chat request with malformed JSON": lambda world: raw_chat(world, b'{"model'),
    "a chat request with a wrong field": lambda world: chat(world, stream="yes"),
    "a chat request without messages": lambda world: chat(world, messages=[]),
    "a chat request that is too large": lambda world: raw_chat(world, TOO_LARGE),
    "a chunked body that is too large": lambda world: raw_chat(world, chunks(80)),
    "a body that arrives too slowly": lambda world: raw_chat(
        world, chunks(2, CHUNK_PAUSE_S)
    ),
    "a session id that is too long": session_id(TOO_LONG),
    "a session id with control characters": session_id("a\tb"),
    "a session token that was altered": lambda world: chat(
        world, {"X-Session-Token": "kwABAg.AAAA"}
    ),
    "an event id that was altered": lambda world: chat(
        world, {"Last-Event-ID": "kwABAg.AAAA:4"}, stream=True
    ),
    "an idempotency key that is too long": lambda world: world.run_once(TOO_LONG),
    "a deadline that is no number": lambda world: chat(
        world, {"X-Deadline-Ms": "soon"}
    ),
    "a deadline that has passed": passed_deadline,
    "a version that no engine serves": unserved_version,
    "a call to an unknown service": lambda world: world.send(
        "POST", "/services/no-service/x"
    ),
    "a call to an unknown route": lambda world: world.send(
        "POST", f"/services/{world.service}/no-route"
    ),
    "a call that needs a key and has none": lambda world: world.run_once(None),
    "a call that runs once, while the platform is down": once_in_outage,
}


@when(parse("a caller sends {refusal}"))
def _(world, context, refusal):
    context["reply"] = world.run(REFUSALS[refusal](world))


@then(parse('the reply is code {code:d} with run state "{state}"'))
def _(context, code, state):
    reply = context["reply"]
    assert (reply.code, reply.run_state) == (code, state), reply.body
    assert reply.status >= 400


@then("no endpoint ran anything")
def _(world):
    assert world.run(world.calls()) == []


@then("the node answers the next request")
def _(world):
    assert world.run(world.lookup()).status == 200
