"""A store that comes back from a copy that is some seconds old."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

import msgspec
import pytest

from knapweedhinge.conf import ListenSettings
from knapweedhinge.conf.relay import Promises
from knapweedhinge.core.exceptions import PlatformUnavailableError
from knapweedhinge.node.relay import RelayNode
from knapweedhinge.platform import mirror, wire
from knapweedhinge.platform.eras import ABSENT, MAX_HEARD_RISE, Eras, Version
from knapweedhinge.platform.feeds import (
    LONG_POLL_S,
    STARTING_S,
    ReaderStatus,
    RowChange,
)
from knapweedhinge.platform.gossip import pack, unpack
from knapweedhinge.platform.mirror import Mirror
from knapweedhinge.platform.store import EraChangedError, Put, Row
from knapweedhinge.routing.releases import Stage
from knapweedhinge.test.replica import Replica
from tests.platform.world import (
    World,
    catalog,
    exchange,
    request,
    route,
    two_nodes,
)
from tests.processes import free_port

CONFIG_S = 2.0  # the users' bound for a configuration to be in force
CATCH_UP_S = 6.0  # the users' bound for a node that was cut off
GONE_S = 2.3  # time after its departure in which an endpoint gets no more calls
FILLER_ROWS = 20  # written after the copy was taken, so that versions are given again


def shops(count: int = 3) -> list[Replica]:
    return [Replica(f"shop-{n}", "shop") for n in range(count)]


def fill(world: World) -> None:
    """Write rows that a copy taken before lacks, the catalog and endpoints last."""
    for number in range(FILLER_ROWS):
        world.store.put("op", f"filler/{number}", b"{}")
    for replica in world.replicas.values():
        world.store.put("servers", replica.id, replica.record(seq=2))
    world.change()


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


async def returned_from_older_configuration(world: World, other) -> int:
    """Let the store return without a configuration; return the version of that."""
    taken = world.store.copy()
    fill(world)
    world.change(routes=[route("new", "safe")])
    wanted = world.catalog["version"]
    await world.until(lambda: revisions(world.node, other) == [wanted, wanted])
    await returned(world, world.node, other, taken=taken)
    return wanted


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


async def test_a_configuration_written_right_at_a_return_reaches_all_nodes():
    """The reader's first read of the era held it, and the reader told nobody."""
    async with two_nodes(shops()) as (world, other):
        taken = world.store.copy()
        fill(world)
        await settled(world, world.node, other)
        await asyncio.sleep(STARTING_S + LONG_POLL_S)  # until one of them reads
        world.store.return_from(taken)
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(
            lambda: revisions(world.node, other) == [wanted, wanted], CONFIG_S
        )


CATALOGS = {
    # value of the row in the store after a return, is it passed on and in force
    "newer": (b'{"version": 7}', True),
    "the same": (b'{"version": 4}', False),
    "older": (b'{"version": 1}', False),
    "unreadable": (b"{", False),
    "missing": (None, False),
}


@pytest.mark.parametrize("number", [31, 60])
@pytest.mark.parametrize("value,counts", CATALOGS.values(), ids=CATALOGS)
def test_a_configuration_counts_by_the_operators_own_version(value, counts, number):
    held, before = Mirror(), Row("config", Version(0, 50), b'{"version": 4}')
    held.apply("op", before, is_new=False, now=0.0)
    row = Row("config", Version(1, number), value)
    assert held.apply("op", row, is_new=False, now=1.0) is counts
    found = held.lost("op", "config", 2.0) or held.row("op", "config")
    assert found.value == (value if counts else before.value)


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
        wanted = await returned_from_older_configuration(world, other)
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
        row = draining.record(state="draining", seq=3)
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


@pytest.mark.parametrize("cut_from", ["store", "peers"])
async def test_a_node_cut_off_from_store_or_peers_follows_a_return(cut_from):
    async def turned_away(*args) -> None:
        raise PlatformUnavailableError("store: unavailable")

    async with two_nodes(shops()) as (world, other):
        nodes = (world.node, other)
        taken = world.store.copy()
        fill(world)
        await settled(world, *nodes)
        if cut_from == "store":
            other.store._exchange = turned_away
        else:
            await other.peers.stop()
        await returned(world, world.node, taken=taken)
        world.change(routes=[route("new", "safe")])
        world.store.put("servers", "shop-0", None)
        wanted = world.catalog["version"]
        await world.until(lambda: revisions(*nodes) == [wanted, wanted], CATCH_UP_S)
        await world.until(
            lambda: all("shop-0" not in known(node) for node in nodes), CATCH_UP_S
        )


async def test_nodes_that_all_restart_during_a_return_serve_what_the_store_has():
    """None of them remembers anything; what is written after the return counts."""
    async with two_nodes(shops()) as (world, other):
        taken = world.store.copy()
        fill(world)
        settings = [world.node.settings, other.settings]
        await settled(world, world.node, other)
        await world.node.close()
        await other.close()
        async with AsyncExitStack() as stack:
            started = []
            for cfg in settings:
                node = RelayNode(cfg)
                stack.push_async_callback(node.close)
                started.append(node)
            starting = [asyncio.create_task(node.start()) for node in started]
            world.store.return_from(taken)
            await asyncio.gather(*starting)
            assert {node.store.eras.current for node in started} == {1}
            world.change(routes=[route("new", "safe")])
            wanted = world.catalog["version"]
            await world.until(lambda: revisions(*started) == [wanted] * 2, CONFIG_S)


async def test_calls_in_flight_are_answered_by_a_node_that_stops_during_a_return():
    slow = Replica("shop-0", "shop")
    slow.faults.late_s = 0.5
    async with two_nodes([slow], promises=Promises(grace_s=2.0)) as (world, other):
        taken = world.store.copy()
        fill(world)
        await settled(world, world.node, other)
        port = other.caller_server.port
        calls = [
            asyncio.create_task(exchange(port, request("/pay/x", request_id=f"{n}")))
            for n in range(3)
        ]
        await world.until(lambda: len(slow.calls) == len(calls))
        stopping = asyncio.create_task(other.stop(other.clock()))
        world.store.return_from(taken)
        replies = await asyncio.gather(*calls)
        await stopping
    assert [(reply.status, reply.whole) for reply in replies] == 3 * [(200, True)]


async def test_the_era_is_shown_to_operators():
    world = World(shops(1), catalog())
    world.store.era = 4
    async with world:
        await world.until(lambda: world.node.fleet.era == 4)
        world.store.return_from(world.store.copy())
        await world.until(lambda: world.node.fleet.era == 5)
        reply = await world.ask_server(world.node.metrics_server, "/metrics")
        lines = reply.body.decode().splitlines()
        assert "knapweedhinge_store_era 5" in lines
        assert 'knapweedhinge_store_era_changes_total{label=""} 1' in lines
        assert world.node.dump()["store"]["era"] == 5


async def test_a_node_that_starts_after_a_return_takes_what_its_peers_know():
    """It had only the copy, whose configuration is older."""
    async with two_nodes(shops()) as (world, other):
        wanted = await returned_from_older_configuration(world, other)
        again = await world.restarted(other)
        try:
            await world.until(lambda: revisions(again) == [wanted], 4.0)
        finally:
            await again.close()


DOMAINS = {
    # whether the domain was out when the copy was taken, and when the store returned
    "put out since": (False, True),
    "put back since": (True, False),
}


@pytest.mark.parametrize("copied,now", DOMAINS.values(), ids=DOMAINS)
async def test_a_failure_domain_does_not_change_with_the_copy(copied, now):
    """A domain that operators had emptied got calls again."""
    name = "evacuate/a"
    async with two_nodes(shops()) as (world, other):
        nodes = (world.node, other)

        def out() -> list[bool]:
            return ["a" in node.fleet.view.domains_out for node in nodes]

        world.store.put("op", name, b"{}" if copied else None)
        await world.until(lambda: out() == [copied, copied])
        taken = world.store.copy()
        fill(world)
        world.store.put("op", name, b"{}" if now else None)
        await world.until(lambda: out() == [now, now])
        await returned(world, *nodes, taken=taken)
        seen = []
        for _ in range(20):
            await asyncio.sleep(0.05)
            seen.append(out())
        assert seen == 20 * [[now, now]]
        # Operators write it again, and it counts at once.
        world.store.put("op", name, None if now else b"{}")
        if not now:
            await world.until(lambda: out() == [True, True], CONFIG_S)


async def test_operators_rows_count_as_stored_when_the_grace_is_over(monkeypatch):
    """A row that operators don't write again must not stay in force for good."""
    monkeypatch.setattr(mirror, "OPERATOR_GRACE_S", 1.0)
    async with two_nodes(shops()) as (world, other):
        nodes = (world.node, other)
        taken = world.store.copy()
        fill(world)
        world.store.put("op", "evacuate/a", b"{}")
        await world.until(lambda: all("a" in n.fleet.view.domains_out for n in nodes))
        await returned(world, *nodes, taken=taken)
        await world.until(
            lambda: not any("a" in n.fleet.view.domains_out for n in nodes), 4.0
        )


async def test_what_nodes_keep_in_the_store_is_written_again():
    """Crash records, the roster and the peers' key were lost with the copy."""
    replicas = [Replica(f"shop-{n}", "shop") for n in range(6)]
    for replica in replicas:
        replica.faults.crash_body = b"fatal"
    async with two_nodes(replicas) as (world, other):
        store = world.store
        taken = type(store.copy())(
            store.version,
            {name: row for name, row in store.rows.items() if name[0] == "op"},
            [],
        )
        fill(world)
        for number in range(3):
            data = request("/pay/x", body=b"fatal", request_id=f"f{number}")
            await world.ask(data)

        def kept() -> set[tuple[str, str]]:
            return {name for name in store.rows if name[0] in ("secrets", "roster")}

        await world.until(lambda: sum("crash/" in key for _, key in kept()) >= 2, 6.0)
        before, key = kept(), store.get("secrets", "peers")
        store.return_from(taken)
        assert kept() == set()
        await world.until(lambda: kept() >= before, 8.0)
        assert store.get("secrets", "peers") == key


@pytest.mark.parametrize("nodes", [2, 8])
async def test_few_nodes_read_the_tables_after_a_return(nodes):
    """All nodes would read all tables at once."""
    async with AsyncExitStack() as stack:
        world = await stack.enter_async_context(
            World(
                shops(),
                catalog(),
                listen=ListenSettings("vm-1", "127.0.0.1", 0, "a", "here", free_port()),
            )
        )
        started = [world.node]
        for number in range(2, nodes + 1):
            listen = ListenSettings(
                f"vm-{number}", "127.0.0.1", 0, "a", "here", free_port()
            )
            node = RelayNode(replace(world.settings(), listen=listen))
            stack.push_async_callback(node.close)
            await node.start()
            started.append(node)
        await world.until(
            lambda: all(len(node.peers.members) == nodes for node in started), 10.0
        )
        await asyncio.sleep(STARTING_S + LONG_POLL_S)
        taken = world.store.copy()
        fill(world)
        await settled(world, *started)
        world.store.calls.clear()
        await returned(world, started[0], taken=taken)
        world.change(routes=[route("new", "safe")])
        wanted = world.catalog["version"]
        await world.until(lambda: set(revisions(*started)) == {wanted}, CONFIG_S)
        reads = world.store.calls.count("/knapweedhinge/rows-get")
    # The reader reads two tables; the owner of audits reads the roster.
    assert reads <= 4


OLD_ROWS = [
    # a row as nodes send it that know no eras, whether it counts beside version 5
    (["op", "config", 9, b"{}"], True),
    (["op", "config", 4, b"{}", False, False], False),
]


@pytest.mark.parametrize("body,counts", OLD_ROWS)
def test_rows_of_nodes_that_know_no_eras_are_of_era_0(body, counts):
    change = unpack(msgspec.msgpack.encode(body))
    held = Mirror()
    held.apply("op", Row("config", Version(0, 5), b"x"), is_new=False, now=0.0)
    applied = held.apply("op", change.row, is_new=change.is_new, now=1.0)
    assert applied is counts


def test_a_node_that_knows_no_eras_reads_rows_that_name_one():
    """It skips the fields that it doesn't know."""
    row = Row("config", Version(7, 5), b"{}")
    packed = pack(RowChange("op", row, is_new=True))
    assert msgspec.msgpack.decode(packed)[:6] == [
        "op",
        "config",
        5,
        b"{}",
        False,
        False,
    ]
    status = ReaderStatus(0, True, {"op": 5}, {"op": 7})
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(status))[:3] == [
        0,
        True,
        {"op": 5},
    ]


ANSWERS = [
    # (era in an answer, when its request began) in turn from 1 s, era at the end
    ([(3, 0.0), (4, 1.0)], 4),
    ([(3, 0.0), (5, 1.0), (4, 1.0)], 5),
    ([(3, 0.0), (5, 1.0), (4, 1.5), (4, 1.6)], 5),
    ([(3, 0.0), (900, 1.0), (3, 9.0), (3, 9.1), (3, 9.2)], 3),
    ([(3, 0.0), (900, 1.0), (3, 9.0), (900, 9.1), (3, 9.2), (3, 9.3)], 900),
]


@pytest.mark.parametrize("answers,expected", ANSWERS)
def test_an_era_falls_only_if_the_store_refutes_it(answers, expected):
    eras = Eras()
    for number, (era, began_at) in enumerate(answers):
        eras.answered([b"%d" % era], began_at, 1.0 + number / 10)
    assert eras.current == expected


HEARD = [
    # own era, era of a peer, whether it is believed
    (3, 3, True),
    (3, 4, True),
    (3, 2, True),
    (3, 3 + MAX_HEARD_RISE, True),
    (3, 4 + MAX_HEARD_RISE, False),
    (3, 10**15, False),
    (0, MAX_HEARD_RISE, True),
    (0, 10**6, False),
]


@pytest.mark.parametrize("own,heard,believed", HEARD)
def test_a_peer_cannot_raise_the_era_without_measure(own, heard, believed):
    eras = Eras()
    eras.answered([b"%d" % own] if own else [], 0.0, 1.0)
    assert eras.heard(heard, 2.0) is believed
    assert eras.current == (max(own, heard) if believed else own)
