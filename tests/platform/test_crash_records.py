"""What nodes know of calls that crash endpoints outlives the nodes."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import msgspec
import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.controllers.crashrecords import (
    COPY_MAX_AGE_S,
    TRIM_INTERVAL_S,
    CrashRecord,
    CrashRecords,
    record_key,
    record_of,
)
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.core.exceptions import PlatformUnavailableError
from knapweedhinge.node.relay import RelayNode
from knapweedhinge.routing.crashes import Crash, CutCall
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.test.replica import Replica
from tests.platform.test_crashes import FATAL, crashes, engines, tainted
from tests.platform.world import chat, exchange, request, two_nodes

LIMITS = VotedLimits()
TABLE, PREFIX = "secrets", "crash/"


@asynccontextmanager
async def nodes_that_are_killed(replicas: list[Replica]):
    """Run two nodes; yield the world, a list of them and a function that kills them.

    It starts them again: all after the last was killed, or each before the next.
    """
    async with two_nodes(replicas) as (world, second):
        nodes = [world.node, second]

        async def kill(how: str) -> None:
            started = []
            if how == "at once":
                for node in nodes:
                    await node.close()
            for node in tuple(nodes):
                if how == "one by one":
                    await node.close()
                started.append(RelayNode(node.settings))
                await started[-1].start()
            nodes[:] = started

        try:
            yield world, nodes, kill
        finally:
            for node in nodes:
                await node.close()


def is_record(table: str, key: str) -> bool:
    return table == TABLE and key.startswith(PREFIX)


def recorded(world) -> set[str]:
    """Return the ids of the crashes of which the store has a record."""
    values = [row[1] for name, row in world.store.rows.items() if is_record(*name)]
    records = [msgspec.msgpack.decode(value, type=CrashRecord) for value in values]
    return {record.crash.id for record in records}


FATAL_CALLS = {
    # the endpoints and calls that crash them, of which some are the same
    "one call": (Replica, lambda n: request("/pay/x", body=FATAL, request_id=f"f{n}")),
    "a part of prompts": (None, tainted),
}


@pytest.mark.parametrize("how", ["at once", "one by one"])
@pytest.mark.parametrize("kind,fatal", FATAL_CALLS.values(), ids=FATAL_CALLS)
async def test_calls_refused_before_all_nodes_were_killed_are_refused_after(
    kind, fatal, how
):
    """Evidence against a request was kept in the memory of nodes only (review/5)."""
    replicas = engines(10)
    if kind is Replica:
        replicas = [Replica(f"shop-{n}", "shop") for n in range(8)]
        for replica in replicas:
            replica.faults.crash_body = FATAL
    async with nodes_that_are_killed(replicas) as (world, nodes, kill):
        for number in range(4):
            await exchange(nodes[0].caller_server.port, fatal(number))
        before = crashes(replicas)
        await world.until(lambda: len(recorded(world)) >= before)
        for number in range(2):
            await kill(how)
            for node in nodes:
                reply = await exchange(node.caller_server.port, fatal(10 + number))
                assert reply.status == 503
    assert crashes(replicas) == before <= 5


STORE_TROUBLE = {
    # fault of the store, while the crashes happen
    "slow": {"slow_s": 0.3},
    "turns calls away": {"mode": "busy"},
    "resets": {"mode": "reset"},
    "silent": {"mode": "silent"},
    "loses answers": {"lose_writes": 2},
}


@pytest.mark.parametrize("trouble", STORE_TROUBLE.values(), ids=STORE_TROUBLE)
async def test_crashes_are_recorded_once_the_store_is_back(trouble):
    replicas = [Replica(f"shop-{n}", "shop") for n in range(6)]
    for replica in replicas:
        replica.faults.crash_body = FATAL
    async with nodes_that_are_killed(replicas) as (world, nodes, kill):
        faults = world.store.faults
        world.store.faults = replace(faults, **trouble)
        for number in range(3):
            data = request("/pay/x", body=FATAL, request_id=f"f{number}")
            await exchange(nodes[0].caller_server.port, data)
        await asyncio.sleep(0.5)
        world.store.faults = faults
        await world.until(lambda: len(recorded(world)) >= 2, 6)
        await kill("at once")
        reply = await exchange(nodes[1].caller_server.port, data)
    assert reply.status == 503
    assert crashes(replicas) == 2


async def test_one_crash_before_a_kill_counts_with_one_after_it():
    replicas = [Replica(f"shop-{n}", "shop") for n in range(6)]
    for replica in replicas:
        replica.faults.crash_body = FATAL
    data = request("/pay/x", body=FATAL)
    async with nodes_that_are_killed(replicas) as (world, nodes, kill):
        for _ in range(4):
            await exchange(nodes[0].caller_server.port, data)
            await asyncio.sleep(0.3)
            await kill("at once")
    assert crashes(replicas) == 2


async def test_records_of_calls_that_were_answered_since_are_deleted(monkeypatch):
    monkeypatch.setattr("knapweedhinge.controllers.crashrecords.TRIM_INTERVAL_S", 0.1)
    monkeypatch.setattr("knapweedhinge.node.crash_recorder.SCAN_INTERVAL_S", 0.2)
    replicas = [Replica(f"e-{n}", "engine", events=60) for n in range(3)]
    async with nodes_that_are_killed(replicas) as (world, nodes, _):
        port = nodes[0].caller_server.port
        asking = asyncio.create_task(exchange(port, chat()))
        await world.until(lambda: any(replica.calls for replica in replicas))
        hit = next(replica for replica in replicas if replica.calls)
        hit.crashed = True
        await hit.stop()
        await asking
        await exchange(port, chat(request_id="r2"))
        assert any(is_record(*change[1:3]) for change in world.store.history)
        await world.until(lambda: not recorded(world))


async def test_malformed_records_are_ignored():
    async with two_nodes([Replica("shop-0", "shop")]) as (world, second):
        for number, value in enumerate((b"", b"\x93\x01", b"\xc1" * 99, {"a": 1})):
            world.store.put(TABLE, f"{PREFIX}odd{number}", value)
        again = await world.restarted(second)
        try:
            reply = await exchange(again.caller_server.port, request("/look/x"))
        finally:
            await again.close()
    assert reply.status == 200


CRASH = Crash("e1", "i1", 5.0, frozenset("pq"), answering=frozenset("q"))
CHANGES = {
    # what is stored, what is known, seconds since the write, is a change due
    "new": (None, CRASH, 0.0, True),
    "the same": (CRASH, CRASH, 99.0, False),
    "one suspect more": (replace(CRASH, fingerprints=frozenset("p")), CRASH, 0.0, True),
    "stronger evidence": (CRASH, replace(CRASH, answering=frozenset()), 0.0, True),
    "a call with parts": (
        CRASH,
        replace(CRASH, calls=frozenset({CutCall("p", ("x",))})),
        0.0,
        True,
    ),
    "one cleared just now": (
        CRASH,
        replace(CRASH, fingerprints=frozenset("p")),
        1,
        False,
    ),
    "one cleared": (
        CRASH,
        replace(CRASH, fingerprints=frozenset("p")),
        TRIM_INTERVAL_S,
        True,
    ),
    "all cleared": (CRASH, None, TRIM_INTERVAL_S, True),
    "nothing known or stored": (None, None, 0.0, False),
}


@pytest.mark.parametrize("stored,known,age_s,due", CHANGES.values(), ids=CHANGES)
def test_a_record_is_written_when_evidence_is_new_and_trimmed_later(
    stored, known, age_s, due
):
    records = CrashRecords()
    if stored is not None:
        records.note(CRASH.id, stored, 7, 0.0)
    open_crashes = {CRASH.id: known} if known else {}
    changes = records.due([CRASH.id], open_crashes, float(age_s))
    assert [change.crash for change in changes] == ([known] if due else [])
    assert all(change.version == (7 if stored else 0) for change in changes)


RETURNS = {
    # what the node did with its record before the store returned from a copy, seconds
    # since then, what it still knows of the crash, the change that is due
    "written": ([CRASH], 1.0, CRASH, [CRASH]),
    "written, all cleared since": ([CRASH], 1.0, None, [None]),
    "deleted": ([CRASH, None], 1.0, None, [None]),
    "deleted long before": ([CRASH, None], COPY_MAX_AGE_S + 1.0, None, []),
}


@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("writes,age_s,known,due", RETURNS.values(), ids=RETURNS)
def test_records_that_the_copy_may_lack_or_bring_back_are_settled(
    writes, age_s, known, due, twice
):
    """Records that nodes had deleted came back with the store, and nobody knew."""
    records = CrashRecords()
    for crash in writes:
        records.note(CRASH.id, crash, 7 if crash else 0, 0.0)
    for _ in range(1 + twice):
        records.forget_stored(age_s)
    open_crashes = {CRASH.id: known} if known else {}
    changes = records.due(records.unknown_ids, open_crashes, age_s)
    assert [change.crash for change in changes] == due
    assert all(change.version is None for change in changes)
    for change in changes:
        records.note(CRASH.id, change.crash, 9 if change.crash else 0, age_s)
    assert records.unknown_ids == ()


def test_a_record_holds_the_whole_evidence():
    crash = replace(CRASH, calls=frozenset({CutCall("p", ("x", "y"))}))
    assert record_of(crash, "vm-1").crash == crash
    assert record_key(crash.id, "vm-1") != record_key(crash.id, "vm-2")


@pytest.mark.parametrize("away", [0, 1])
async def test_another_node_records_what_the_store_lets_one_not_write(away):
    replicas = [Replica(f"shop-{n}", "shop") for n in range(6)]
    for replica in replicas:
        replica.faults.crash_body = FATAL
    async with nodes_that_are_killed(replicas) as (world, nodes, kill):

        async def turned_away(puts):
            raise PlatformUnavailableError("store: unavailable")

        nodes[away].store.write = turned_away
        for number in range(3):
            data = request("/pay/x", body=FATAL, request_id=f"f{number}")
            await exchange(nodes[0].caller_server.port, data)
        await world.until(lambda: len(recorded(world)) >= 2)
        await kill("at once")
        reply = await exchange(nodes[0].caller_server.port, data)
    assert reply.status == 503
    assert crashes(replicas) == 2


def test_evidence_that_expired_is_not_restored():
    tracker = QuarantineTracker()
    tracker.restore(CRASH, LIMITS, CRASH.at + LIMITS.quarantine_s)
    assert tracker.crashes() == ()
    endpoint = EndpointView("e1", "", "a", "here", incarnation="i1")
    tracker.broke_off(endpoint, "p", 1.0)
    tracker.crashed(endpoint, LIMITS, 1.0)
    assert set(tracker.open_crashes(LIMITS, 2.0)) == {"e1/i1"}
    tracker.completed("p", 2.0)
    assert tracker.open_crashes(LIMITS, 2.0) == {}


ANSWERED_BETWEEN = {
    # crashes that cut off calls with a part, whether it was answered after each, and
    # whether a node that starts refuses it
    "answered after each": (3, True, False),
    "answered after each of many": (6, True, False),
    "never answered": (3, False, True),
}


@pytest.mark.parametrize("answering", [False, True])
@pytest.mark.parametrize("backwards", [False, True])
@pytest.mark.parametrize(
    "count,answered,refused", ANSWERED_BETWEEN.values(), ids=ANSWERED_BETWEEN
)
def test_a_part_answered_between_crashes_is_not_refused_by_a_node_that_starts(
    count, answered, refused, backwards, answering
):
    """Records of crashes that an answer had cleared counted together after a start."""
    epoch_s, now, records = 1_000_000.0, 0.0, []
    tracker = QuarantineTracker(epoch_s)
    for number in range(count):
        engine = EndpointView(f"e{number}", "", "a", "here", incarnation="i1")
        tracker.broke_off(engine, f"c{number}", now, ("part",), answering=answering)
        crash = tracker.crashed(engine, LIMITS, now)
        kept = tracker.open_crashes(LIMITS, now)[crash.id]
        records.append(record_of(kept, "vm-1", tracker.last_answers(kept)))
        if answered:
            tracker.answered(("part",), now + 2.0, complete=True)
        now += 4.0
    assert bool(tracker.blamed_parts(("part",), LIMITS, now)) is refused
    started = QuarantineTracker(epoch_s - 50.0)  # of a node whose clock began later
    for record in reversed(records) if backwards else records:
        packed = msgspec.msgpack.encode(record)
        restored = msgspec.msgpack.decode(packed, type=CrashRecord)
        started.restore(restored.crash, LIMITS, now + 50.0, restored.answers)
    assert bool(started.blamed_parts(("part",), LIMITS, now + 50.0)) is refused


def test_deleted_records_are_remembered_for_a_bounded_time():
    """Ids of deleted records were forgotten only when the store returned."""
    records = CrashRecords()
    for number in range(1_000):
        records.note(f"e{number}/i1", CRASH, 7, float(number))
        records.note(f"e{number}/i1", None, 0, float(number))
    assert len(records._deleted_at) <= COPY_MAX_AGE_S + 1
