"""A store that comes back from a copy that is some seconds old."""

import asyncio

import msgspec
import pytest

from knapweedhinge.platform import wire
from knapweedhinge.platform.eras import ABSENT, Version
from knapweedhinge.platform.store import EraChangedError, Put
from knapweedhinge.routing.releases import Stage
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, request, route, two_nodes

CONFIG_S = 2.0  # the users' bound for a configuration to be in force
GONE_S = 2.3  # time after its departure in which an endpoint gets no more calls
FILLER_ROWS = 20  # written after the copy was taken, so that versions are given again


def shops(count: int = 3) -> list[Replica]:
    return [Replica(f"shop-{n}", "shop") for n in range(count)]


def fill(world: World) -> None:
    """Write rows that a copy taken before lacks."""
    for number in range(FILLER_ROWS):
        world.store.put("op", f"filler/{number}", b"{}")


async def settled(world: World, *nodes) -> None:
    """Wait until the nodes have seen all rows."""
    newest = world.store.version
    await world.until(
        lambda: all(
            node.feeds.newest_versions().get("op", Version()).number >= newest
            or node.feeds.mirror.row("op", f"filler/{FILLER_ROWS - 1}")
            for node in nodes
        )
    )


def revisions(*nodes) -> list[int]:
    return [node.fleet.view.catalog.revision for node in nodes]


def known(node) -> set[str]:
    """Return the endpoints that a node may choose."""
    return {
        endpoint.id
        for endpoint in node.fleet.view.endpoints.by_id.values()
        if endpoint.state == "live"
    }


async def returned(world: World, *nodes, taken) -> None:
    """Let the store come back from a copy, and wait until the nodes know its era."""
    world.store.return_from(taken)
    for replica in world.replicas.values():
        row = replica.record(seq=world.store.version + 100)
        world.store.put("servers", replica.id, row)
    era = world.store.era
    await world.until(lambda: all(n.store.eras.current == era for n in nodes), CONFIG_S)


@pytest.mark.parametrize("first_era", [None, 7])
async def test_a_configuration_acknowledged_after_a_return_is_in_force(first_era):
    """Its version had been given out before, so that no node took it."""
    async with two_nodes(shops()) as (world, other):
        world.store.era = first_era
        taken = world.store.copy()
        fill(world)
        await settled(world, world.node, other)
        await returned(world, world.node, other, taken=taken)
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(
            lambda: revisions(world.node, other) == [wanted, wanted], CONFIG_S
        )
        assert (await world.ask(request("/new/x"))).status == 200


async def test_an_endpoint_that_leaves_after_a_return_gets_no_more_calls():
    """Its removal had a version that was given out before, and no node took it."""
    async with two_nodes(shops()) as (world, other):
        taken = world.store.copy()
        fill(world)
        await settled(world, world.node, other)
        await returned(world, world.node, other, taken=taken)
        world.store.put("servers", "shop-0", None)
        await world.until(
            lambda: all("shop-0" not in known(node) for node in (world.node, other)),
            GONE_S,
        )


async def test_a_configuration_does_not_go_back_with_the_store():
    """The copy's configuration is older by the operator's own number."""
    async with two_nodes(shops()) as (world, other):
        taken = world.store.copy()
        fill(world)
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(lambda: revisions(world.node, other) == [wanted, wanted])
        await returned(world, world.node, other, taken=taken)
        await asyncio.sleep(1.0)
        assert revisions(world.node, other) == [wanted, wanted]
        assert (await world.ask(request("/new/x"))).status == 200


async def test_what_had_left_does_not_come_back_with_the_store():
    """The copy lists an endpoint that had left, and one in its earlier state."""
    replicas = shops(4)
    async with two_nodes(replicas) as (world, other):
        taken = world.store.copy()
        fill(world)
        gone, draining = replicas[0], replicas[1]
        world.store.put("servers", gone.id, None)
        row = draining.record(state="draining", seq=2)
        world.store.put("servers", draining.id, row)
        left = {"shop-2", "shop-3"}
        await world.until(lambda: known(world.node) == known(other) == left)
        world.store.return_from(taken)
        seen = []
        for _ in range(60):
            await asyncio.sleep(0.05)
            seen += [known(world.node) == left, known(other) == left]
        assert all(seen)
        assert world.node.store.eras.current == 1


async def test_endpoints_that_the_copy_lacks_stay_for_a_moment_and_no_longer():
    """A live one writes its row again; one that doesn't is gone two seconds later."""
    late = Replica("shop-9", "shop")
    async with two_nodes(shops(2)) as (world, other):
        taken = world.store.copy()
        fill(world)
        await late.start()
        try:
            world.store.put("servers", late.id, late.record())
            await world.until(lambda: late.id in known(world.node) & known(other))
            world.store.return_from(taken)
            await world.until(lambda: other.store.eras.current == 1, CONFIG_S)
            await asyncio.sleep(1.0)
            assert late.id in known(world.node) & known(other)
            await world.until(
                lambda: late.id not in known(world.node) | known(other), 2.5
            )
        finally:
            await late.stop()


@pytest.mark.parametrize("stage", [Stage.ROLLED_BACK, Stage.COMPLETE, Stage.MOVING])
@pytest.mark.parametrize("copied", [Stage.TRIAL, None])
async def test_a_stage_that_the_store_lost_is_written_again(stage, copied):
    """The roll-out went on from the stage in the copy."""

    def row(value: Stage) -> bytes:
        return wire.encode(wire.StageBody("v2", str(value), 1.0))

    key = wire.STAGE_PREFIX + "shop"
    async with two_nodes(shops()) as (world, other):
        order = {"service": "shop", "to": "v2", "periodS": 600}
        if copied is not None:
            world.store.put("op", "rollout/shop", order)
            world.store.put("status", key, row(copied))
        taken = world.store.copy()
        fill(world)
        world.store.put("op", "rollout/shop", order)
        version = world.store.put("status", key, row(stage))
        nodes = (world.node, other)
        for node in nodes:
            await node.feeds.load(wire.STATUS_TABLE)
        assert version == world.store.version
        await world.until(
            lambda: all(n.fleet.view.release("shop").stage == stage for n in nodes)
        )
        world.store.return_from(taken)
        world.store.put("op", "rollout/shop", order)

        def stored() -> Stage | None:
            found = world.store.get("status", key)
            return (
                msgspec.json.decode(found, type=wire.StageBody).stage if found else None
            )

        seen = set()
        async with asyncio.timeout(4.0):
            while stored() != stage:
                seen |= {n.fleet.view.stages["shop"].stage for n in nodes}
                await asyncio.sleep(0.02)
        assert seen <= {stage}
        assert world.status("shop")["state"] == wire.OPERATOR_STATES[stage]


async def test_an_expected_version_of_an_earlier_era_is_not_used():
    """A version that is given out again may belong to another value."""
    async with World(shops(1), catalog()) as world:
        store, node = world.store, world.node
        version = store.put("status", "x", b"before")
        found = await node.store.read("status")
        expected = next(row.version for row in found.rows if row.key == "x")
        assert expected.number == version
        store.put("status", "x", None)
        taken = store.copy()
        taken = type(taken)(version - 1, taken.rows, taken.history)
        store.return_from(taken)
        store.put("status", "x", b"another")
        assert store.rows["status", "x"][0] == version  # given out again
        await world.until(lambda: node.store.eras.current == 1)
        with pytest.raises(EraChangedError):
            await node.store.write((Put("status", "x", b"mine", expected),))
        assert store.get("status", "x") == b"another"
        written = await node.store.compare_and_set("status", "y", b"mine", ABSENT)
        assert written.version.era == 1


HEADERS = [
    # values of the header, the era that counts after era 4
    ([], 4),
    ([b""], 4),
    ([b"x"], 4),
    ([b"-1"], 4),
    ([b"4.0"], 4),
    ([b"0x5"], 4),
    ([b"5", b"5"], 4),
    ([b"9" * 40], 4),
    ([b" 5 "], 5),
    ([b"4"], 4),
]


@pytest.mark.parametrize("values,era", HEADERS)
async def test_an_era_that_cannot_be_read_counts_as_absent(values, era):
    async with World(shops(1), catalog()) as world:
        world.store.era = 4
        await world.until(lambda: world.node.store.eras.current == 4)
        world.store.era_headers = values
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(lambda: revisions(world.node) == [wanted])
        assert world.node.store.eras.current == era


@pytest.mark.parametrize("mode", ["busy", "many", "ok"])
async def test_an_era_is_noted_in_any_answer(mode):
    async with World(shops(1), catalog()) as world:
        world.store.era = 4
        await world.until(lambda: world.node.store.eras.current == 4)
        world.store.faults.mode = mode
        world.store.return_from(world.store.copy())
        await world.until(lambda: world.node.store.eras.current == 5)


async def test_one_impossible_era_makes_no_node_deaf():
    """Every later answer would count as one of an earlier era."""
    async with two_nodes(shops()) as (world, other):
        world.store.era = 4
        nodes = (world.node, other)
        await world.until(lambda: all(n.store.eras.current == 4 for n in nodes), 3.0)
        world.store.era_headers = [b"4000"]
        await world.until(lambda: any(n.store.eras.current == 4000 for n in nodes))
        world.store.era_headers = None
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(lambda: revisions(*nodes) == [wanted, wanted], 6.0)
        await world.until(lambda: any(n.store.eras.current == 4 for n in nodes), 6.0)


async def test_returns_in_series_leave_all_nodes_with_what_is_written_after_them():
    async with two_nodes(shops()) as (world, other):
        taken = world.store.copy()
        for _ in range(4):
            fill(world)
            world.store.return_from(taken)
            await asyncio.sleep(0.15)
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        nodes = (world.node, other)
        await world.until(lambda: revisions(*nodes) == [wanted, wanted], CONFIG_S)


async def test_a_node_that_starts_after_a_return_takes_what_its_peers_know():
    """It had only the copy, whose configuration is older."""
    async with two_nodes(shops()) as (world, other):
        taken = world.store.copy()
        fill(world)
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(lambda: revisions(world.node, other) == [wanted, wanted])
        await returned(world, world.node, other, taken=taken)
        again = await world.restarted(other)
        try:
            await world.until(lambda: revisions(again) == [wanted], 4.0)
        finally:
            await again.close()
