"""A call runs a second time only if every route that it has had allows that."""

import asyncio

import pytest

from knapweedhinge.conf.escalation import EscalationSettings
from knapweedhinge.conf.switches import OFF, ON
from knapweedhinge.filters.relay import run
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, chat, request, route

CONFIDENCE = {"small": 10, "large": 90}
HELD_S = 0.4  # in which an endpoint holds the call, while its route changes
REFUSALS = {408, 421, 429, 503}  # they promise that the call has not run


def replicas() -> list[Replica]:
    engines = [
        Replica(f"engine-{n}", "engine", confidence=CONFIDENCE) for n in range(3)
    ]
    return engines + [Replica(f"shop-{n}", "shop") for n in range(3)]


def runs(world: World, request_id: str = "r1") -> list[str]:
    """Return the endpoints that ran a call, once for each run."""
    name = request_id.encode()
    return [
        replica.id
        for replica in world.replicas.values()
        for call in replica.calls
        if call.get(b"knapweedhinge-request-id") == name
    ]


def asked(path: str, streams: bool) -> bytes:
    data = chat() if streams else request("/chat/x")
    return data.replace(b"/chat/x", path.encode(), 1)


ONCE = {
    # kind of a route whose calls may run once, its other fields
    "unsafe": ("unsafe", {}),
    "stream that can't be resumed": ("stream", {"resumable": False}),
}
FAULTS = {
    # what ends the first run, or asks for another: faults of the endpoints
    "low confidence": {},
    "server error": {"fail": True},
    "reset": {"reset": True},
    "half a head": {"close_in_head": 30},
    "no length, cut": {"unframed": True},
    "cut in its first event": {"cut_in_event": 1},
    "cut in a later event": {"cut_in_event": 3},
    "bare 503": {"unproven": 503},
    "bare 429": {"unproven": 429},
    "silence": {"mute": True},
    "stall": {"stall_before_event": 1},
}
SETTINGS = {
    "second asks unweighed": EscalationSettings(switch=OFF),
    "second asks weighed": EscalationSettings(switch=ON),
}


@pytest.mark.parametrize("escalation", SETTINGS.values(), ids=SETTINGS)
@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS)
@pytest.mark.parametrize("kind,fields", ONCE.values(), ids=ONCE)
async def test_a_call_that_may_run_once_runs_once(kind, fields, faults, escalation):
    """A doubtful answer of a stream that can't be resumed was asked of two models."""
    times = {"timeoutMs": 1500, "targetLatencyMs": 500}
    routes = [route("chat", kind, **fields, **times)]
    async with World(
        replicas(), catalog(routes=routes), escalation=escalation
    ) as world:
        for replica in world.replicas.values():
            for name, value in faults.items():
                setattr(replica.faults, name, value)
        reply = await world.ask(asked("/chat/x", kind == "stream"))
        await asyncio.sleep(0.1)
        assert len(runs(world)) == 1
    assert reply.status not in REFUSALS
    if not faults:
        assert (reply.status, reply.whole) == (200, True)


CHANGES = {
    # kind and fields of the route that admits the call, the routes that follow, faults
    "safe to unsafe, error": ("safe", {}, [route("chat", "unsafe")], {"fail": True}),
    "safe to unsafe, reset": ("safe", {}, [route("chat", "unsafe")], {"reset": True}),
    "unsafe to safe": ("unsafe", {}, [route("chat", "safe")], {"reset": True}),
    "a longer prefix, unsafe": (
        "safe",
        {},
        [route("chat", "safe"), route("once", "unsafe", prefix="/chat/x")],
        {"reset": True},
    ),
    "safe, fewer attempts": (
        "safe",
        {},
        [route("chat", "safe", attempts=1)],
        {"reset": True},
    ),
    "no longer resumable, reset": (
        "stream",
        {},
        [route("chat", "stream", resumable=False)],
        {"reset": True},
    ),
    "no longer resumable, low confidence": (
        "stream",
        {},
        [route("chat", "stream", resumable=False)],
        {},
    ),
    "resumable from now on": (
        "stream",
        {"resumable": False},
        [route("chat", "stream")],
        {"reset": True},
    ),
}


@pytest.mark.parametrize("escalation", SETTINGS.values(), ids=SETTINGS)
@pytest.mark.parametrize("kind,fields,routes,faults", CHANGES.values(), ids=CHANGES)
async def test_a_call_runs_once_if_its_route_changes_meanwhile(
    kind, fields, routes, faults, escalation
):
    """A call ran again by its old route when the new one no longer allowed that."""
    first = catalog(routes=[route("chat", kind, **fields)])
    async with World(replicas(), first, escalation=escalation) as world:
        for replica in world.replicas.values():
            replica.faults.late_s = HELD_S
            for name, value in faults.items():
                setattr(replica.faults, name, value)
        asking = asyncio.create_task(world.ask(asked("/chat/x", kind == "stream")))
        await world.until(lambda: runs(world))
        world.change(routes=routes)
        node = world.node
        await world.until(lambda: node._revision() == world.catalog["version"], HELD_S)
        reply = await asking
        assert len(runs(world)) == 1
    assert reply.status not in REFUSALS
    if not faults:
        assert (reply.status, reply.whole) == (200, True)


async def test_a_call_is_not_sent_again_if_its_route_changes_after_that_was_decided(
    monkeypatch,
):
    """The decision to send it again was not looked at once more before it was sent."""
    sends = []
    async with World(replicas(), catalog()) as world:

        async def change_and_open(execution):
            sends.append(execution)
            if len(sends) > 1:
                world.change(routes=[route("look", "unsafe")])
                version = world.catalog["version"]
                await world.until(lambda: world.node._revision() == version)
            return await open_attempt(execution)

        open_attempt = run.open_attempt
        monkeypatch.setattr(run, "open_attempt", change_and_open)
        for replica in world.replicas.values():
            replica.faults.reset = True
        reply = await world.ask(request("/look/x"))
        assert len(runs(world)) == 1
    assert len(sends) == 2
    assert (reply.status, reply.whole) == (502, True)


STILL = {
    # kind, faults of the first endpoint that is asked: these calls may run again
    "safe": ("safe", {"reset": True}),
    "safe, server error": ("safe", {"fail": True}),
    "stream that can be resumed": ("stream", {"cut_in_event": 3}),
}


@pytest.mark.parametrize("kind,faults", STILL.values(), ids=STILL)
async def test_a_call_that_may_run_again_still_does_after_a_change_of_its_route(
    kind, faults
):
    first = catalog(routes=[route("chat", kind)])
    async with World(replicas(), first) as world:
        for replica in world.replicas.values():
            replica.confidence = {}
            replica.faults.late_s = HELD_S
            for name, value in faults.items():
                setattr(replica.faults, name, value)
        asking = asyncio.create_task(world.ask(asked("/chat/x", kind == "stream")))
        await world.until(lambda: runs(world))
        for replica in world.replicas.values():
            if replica.id not in runs(world):
                for name in faults:
                    setattr(replica.faults, name, type(replica.faults)().__dict__[name])
        world.change(routes=[route("chat", kind, timeoutMs=2900)])
        reply = await asking
        assert len(runs(world)) == 2
    assert (reply.status, reply.whole) == (200, True)
