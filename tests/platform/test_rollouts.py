"""Tests of rollouts at a node, from the order to the state that operators read."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from itertools import count, islice

import pytest

from knapweedhinge.conf.relay import Promises
from knapweedhinge.node.relay import RelayNode
from knapweedhinge.routing.releases import Release, in_trial, trial_share
from knapweedhinge.routing.trialsessions import early_sessions
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, exchange, request, two_nodes

PERIOD_S = 4.0
CALLERS = 6  # concurrent callers, each sending one call after the other
EXPOSURE = 0.15  # voted share of all calls that a bad release may get
SLACK = 30  # calls above the voted share that the users' rules allow
PROMISES = Promises(grace_s=1.0, exposure=EXPOSURE)


def shops() -> tuple[list[Replica], list[Replica]]:
    """Return endpoints of the old and of the new release."""
    old = [Replica(f"old-{n}", "shop", version="v1") for n in range(2)]
    new = [Replica(f"new-{n}", "shop", version="v2") for n in range(2)]
    return old, new


def order(world: World) -> None:
    body = {"service": "shop", "to": "v2", "periodS": PERIOD_S}
    world.store.put("op", "rollout/shop", body)


def state(world: World) -> str | None:
    found = world.status("shop")
    return found["state"] if found else None


async def call_until(world: World, until: str) -> None:
    """Send calls until the rollout reaches a state that operators read."""
    ids = count()

    async def ask() -> None:
        while state(world) != until:
            await world.ask(request("/look/x", request_id=f"r{next(ids)}"))

    async with asyncio.timeout(PERIOD_S + 2), asyncio.TaskGroup() as group:
        for _ in range(CALLERS):
            group.create_task(ask())


async def test_a_good_release_gets_all_calls_in_the_end():
    old, new = shops()
    async with World([*old, *new], catalog(), promises=PROMISES) as world:
        order(world)
        await call_until(world, "complete")
        before = sum(len(replica.calls) for replica in old)
        for n in range(10):
            reply = await world.ask(request("/look/x", request_id=f"after{n}"))
            assert reply.status == 200
    assert sum(len(replica.calls) for replica in old) == before


BAD = [
    # faults of the new endpoints
    {"fail": True},
    {"reset": True},
    {"late_s": 0.2},
    {"mute": True},
]


@pytest.mark.parametrize("faults", BAD)
async def test_a_bad_release_is_rolled_back_within_the_voted_share(faults):
    old, new = shops()
    for replica in old:
        replica.faults.late_s = 0.02
    for replica in new:
        for name, value in faults.items():
            setattr(replica.faults, name, value)
    async with World([*old, *new], catalog(), promises=PROMISES) as world:
        order(world)
        await call_until(world, "rolled_back")
        new_calls = sum(len(replica.calls) for replica in new)
        all_calls = new_calls + sum(len(replica.calls) for replica in old)
        assert new_calls <= EXPOSURE * all_calls + SLACK
        for n in range(30):
            reply = await world.ask(request("/look/x", request_id=f"after{n}"))
            assert reply.status == 200
    assert sum(len(replica.calls) for replica in new) == new_calls


async def test_a_call_that_fails_wherever_it_runs_counts_once():
    old, new = shops()
    for replica in new:
        replica.faults.fail = True
    release = Release("shop", "v2", PERIOD_S)
    names = (f"r{n}" for n in count())
    chosen = [next(n for n in names if in_trial(n, release, trial_share(EXPOSURE)))]
    chosen += [next(n for n in names if in_trial(n, release, trial_share(EXPOSURE)))]
    async with World([*old, *new], catalog(), promises=PROMISES) as world:
        order(world)
        await world.until(lambda: state(world) == "running")
        for name in chosen:
            await world.ask(request("/look/x", request_id=name))
        report = world.node.ctx.releases.report("shop")
    assert sum(len(replica.calls) for replica in new) > len(chosen)
    tallies = [row.tally for row in report.tallies if row.version == "v2"]
    assert sum(tally.bad for tally in tallies) == len(chosen)


def trial_sessions(prefix: str, number: int) -> list[str]:
    """Return sessions that the hash assigns to the trial of the new release."""
    release, share = Release("shop", "v2", PERIOD_S), trial_share(EXPOSURE)
    names = (f"{prefix}{n}" for n in count())
    return list(
        islice((name for name in names if in_trial(name, release, share)), number)
    )


async def ask(node: RelayNode, session: str, request_id: str) -> str:
    """Send a call of a session to a node; return the endpoint that answered."""
    data = request("/look/x", request_id=request_id, Session=session)
    reply = await exchange(node.caller_server.port, data)
    assert reply.status == 200
    return reply.body.split()[0].decode()


@asynccontextmanager
async def running_trial(world: World, *nodes: RelayNode):
    """Start the new endpoints, order the rollout and wait until the trial has begun."""
    _, new = shops()
    async with AsyncExitStack() as stack:
        for replica in new:
            await replica.start()
            stack.push_async_callback(replica.stop)
            world.store.put("servers", replica.id, replica.record())
        order(world)
        for node in nodes:
            await world.until(lambda node=node: node.fleet.view.stages.get("shop"))
        opening = iter(trial_sessions("opening", 100))
        async with asyncio.timeout(PERIOD_S / 2):
            while (name := next(opening)) and not (
                await ask(nodes[0], name, name)
            ).startswith("new"):
                await asyncio.sleep(0.05)
        yield


@pytest.mark.parametrize("other_node", [False, True])
async def test_a_session_that_ran_on_the_old_release_does_not_join_the_trial(
    other_node,
):
    old, _ = shops()
    async with two_nodes(old, promises=PROMISES) as (world, second):
        sessions = trial_sessions("s", 6)
        for session in sessions:
            assert (await ask(world.node, session, session)).startswith("old")
        async with running_trial(world, world.node, second):
            node = second if other_node else world.node
            answered_by = [await ask(node, name, f"{name}-2") for name in sessions]
    assert all(endpoint.startswith("old") for endpoint in answered_by), answered_by


async def test_a_session_of_the_trial_stays_on_the_new_release_at_every_node():
    old, _ = shops()
    async with (
        two_nodes(old, promises=PROMISES) as (world, second),
        running_trial(world, world.node, second),
    ):
        for session in trial_sessions("s", 6):
            answered_by = [
                await ask(node, session, f"{session}-{turn}")
                for turn, node in enumerate((world.node, second, world.node))
            ]
            assert all(endpoint.startswith("new") for endpoint in answered_by)


async def test_a_trial_goes_on_at_the_next_owner_with_the_same_sessions():
    old, _ = shops()
    async with two_nodes(old, promises=PROMISES) as (world, second):
        owner = world.node.trials.owner("shop").vm
        leaving, staying = (
            (world.node, second) if owner == "vm-1" else (second, world.node)
        )
        async with running_trial(world, world.node, second):
            joined = trial_sessions("s", 3)
            for session in joined:
                assert (await ask(staying, session, session)).startswith("new")
            await leaving.peers.leave()
            await world.until(lambda: len(staying.peers.members) == 1)
            for session in joined:
                endpoint = await ask(staying, session, f"{session}-2")
                assert endpoint.startswith("new")


async def test_an_early_session_of_the_trial_stays_there_at_every_node():
    old, _ = shops()
    async with (
        two_nodes(old, promises=replace(PROMISES, exposure_allowance=10.0)) as (
            world,
            second,
        ),
        running_trial(world, world.node, second),
    ):
        release, share = Release("shop", "v2", PERIOD_S), trial_share(EXPOSURE)
        names = (name for n in count() if not in_trial(name := f"e{n}", release, share))
        sessions = list(islice(names, 60))
        first = [await ask(world.node, name, f"{name}-1") for name in sessions]
        again = [await ask(second, name, f"{name}-2") for name in sessions]
    joined = [
        name
        for name, place in zip(sessions, first, strict=True)
        if place.startswith("new")
    ]
    rejoined = [
        name
        for name, place in zip(sessions, again, strict=True)
        if place.startswith("new")
    ]
    assert joined == rejoined
    assert len(joined) == early_sessions(10.0)
