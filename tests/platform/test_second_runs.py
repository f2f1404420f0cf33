"""A call runs a second time only if its route allows that."""

import asyncio

import pytest

from knapweedhinge.conf.escalation import EscalationSettings
from knapweedhinge.conf.switches import OFF, ON
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, chat, request, route

CONFIDENCE = {"small": 10, "large": 90}
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
