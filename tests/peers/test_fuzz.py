"""Malformed or unauthenticated messages are refused, counted and do no harm."""

import asyncio
import struct
from contextlib import suppress
from random import Random

import capnp
import msgspec
import pytest

from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import wire
from knapweedhinge.peers.members import encode_member
from tests.peers.conftest import QUICK, FakeTable, fleet, make_member, until

ROUNDS = 60


def count_refusals(node, *reasons):
    counted = node.state(0.0).faults
    return sum(counted[reason] for reason in reasons)


async def assert_working(nodes):
    nodes[0].publish("cut", "after", 1, b"")
    await until(lambda: all(node.entries("cut") for node in nodes))
    assert all(len(node.membership.active) == len(nodes) for node in nodes)


async def send_raw(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with suppress(ConnectionError):
        writer.write(data)
        writer.write_eof()
        await reader.read()
    writer.close()


def raw_message(rng):
    body = rng.randbytes(rng.randrange(0, 400))
    kind = rng.randrange(3)
    if kind == 0:
        return body
    words = 1 << 27 if kind == 1 else len(body) // 8
    return struct.pack("<II", 0, words) + body


async def test_random_bytes_on_the_port():
    rng = Random(1)
    async with fleet(2, **QUICK) as nodes:
        port = nodes[1].me.peer_port
        for _ in range(ROUNDS):
            await send_raw(port, raw_message(rng))
        await until(lambda: count_refusals(nodes[1], "malformed") == ROUNDS)
        await assert_working(nodes)


@pytest.mark.parametrize(
    ("fields", "code", "reason"),
    [
        ({"member": b"\xc1"}, ResultCode.PEER_MALFORMED, "malformed"),
        ({"member": b""}, ResultCode.PEER_MALFORMED, "malformed"),
        ({"version": 0}, ResultCode.PEER_VERSION, "version"),
        ({"minVersion": 9, "version": 9}, ResultCode.PEER_VERSION, "version"),
    ],
)
async def test_greetings_with_wrong_fields(fields, code, reason):
    values = {
        "version": 1,
        "minVersion": 1,
        "nonce": b"n" * 32,
        "member": encode_member(make_member(7)),
    }
    async with fleet(1) as (node,):
        gate, client = await dial(node)
        identity = wire.SCHEMA.Identity.new_message(**(values | fields))
        reply = await gate.hello(identity=identity)
        assert reply.code == code.number
        refused = await gate.authenticate(proof=b"x" * 32)
        assert refused.code == ResultCode.PEER_AUTHENTICATION_FAILED.number
        assert count_refusals(node, reason) == 1
        assert count_refusals(node, "stranger") == 1
        client.close()


async def dial(node):
    stream = await capnp.AsyncIoStream.create_connection("127.0.0.1", node.me.peer_port)
    client = capnp.TwoPartyClient(stream)
    return client.bootstrap().cast_as(wire.SCHEMA.Gate), client


async def test_an_unauthenticated_peer_gets_no_session():
    rng = Random(2)
    async with fleet(1) as (node,):
        gate, client = await dial(node)
        for _ in range(ROUNDS):
            proof = rng.randbytes(rng.choice([0, 31, 32, 64]))
            reply = await gate.authenticate(proof=proof)
            assert reply.code == ResultCode.PEER_AUTHENTICATION_FAILED.number
            with pytest.raises(capnp.KjException):
                await reply.session.probe()
        assert count_refusals(node, "stranger") == ROUNDS
        client.close()


async def test_nodes_with_different_keys_refuse_each_other():
    table = FakeTable()
    async with (
        fleet(1, table, keys=("a",)) as (first_node,),
        fleet(1, table, keys=("b",), first=1, expect=2) as (second_node,),
    ):
        with pytest.raises(PeerError) as info:
            await second_node.call("vm-000", "echo", b"", 0.5)
        assert info.value.code is ResultCode.PEER_AUTHENTICATION_FAILED
        assert "vm-001" not in first_node.membership.members


def mutated(rng, data):
    data = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.randrange(len(data) + 1)])


def random_exchange(rng):
    entry = wire.WireEntry(
        rng.choice(["member", "cut", "domain-beacon", "forgotten", "", "new"]),
        rng.choice(["vm-000", "vm-001", "k", "k" * 300]),
        rng.choice([-1, 0, 1 << 40, (1 << 63) - 1]),
        "vm-000",
        rng.choice([-5, 1]),
        rng.choice([-(1 << 60), 0, 1 << 60]),
        rng.choice([-3, 0, 99]),
        rng.choice([b"", b"\xc1\xff", encode_member(make_member(5))]),
    )
    message = rng.choice(
        [
            wire.Push((entry,)),
            wire.Summary({"member": 1, "cut": -1}),
            wire.Stamps("cut", (0, 5, -1, 1 << 40), {"k": wire.Stamp(1, 2)}),
            wire.Accepted(1, 2, 3),
        ]
    )
    data = wire.encode(message)
    return rng.choice([data, mutated(rng, data), rng.randbytes(rng.randrange(80))])


async def test_random_messages_of_an_authenticated_peer():
    rng = Random(3)
    async with fleet(2, **QUICK) as nodes:
        link = await nodes[0]._engine.links.get_or_dial(nodes[1].me, 1.0)
        for _ in range(4 * ROUNDS):
            await link.session.exchange(
                message=random_exchange(rng), sentAt=rng.random()
            )
        method = "".join(rng.choices("abc\0é", k=500))
        reply = await link.session.call(method=method, payload=rng.randbytes(100))
        assert reply.code == ResultCode.PEER_MALFORMED.number
        assert not (await link.session.probeIndirectly(vm=method)).reached
        assert count_refusals(nodes[1], "malformed") > ROUNDS
        members = nodes[1].membership.members
        assert members["vm-000"].active and members["vm-001"].active
        await assert_working(nodes)


async def test_payloads_over_the_limit_are_refused_both_ways():
    async def inflate(caller, payload):
        return b"x" * (wire.MAX_PAYLOAD_BYTES + 1)

    async with fleet(2, **QUICK) as nodes:
        nodes[1].handle("inflate", inflate)
        with pytest.raises(PeerError) as info:
            await nodes[0].call("vm-001", "inflate", b"", 1.0)
        assert info.value.run_state is RunState.UNKNOWN
        huge = b"x" * (wire.MAX_PAYLOAD_BYTES + 1)
        with pytest.raises(PeerError) as info:
            await nodes[0].call("vm-001", "inflate", huge, 1.0)
        assert info.value.run_state is RunState.NOT_RUN
        await assert_working(nodes)


def test_messages_of_other_releases_are_decoded():
    newer = msgspec.msgpack.encode(["push", [], True, "added later"])
    assert wire.decode(newer) == wire.Push((), True)
    older = msgspec.msgpack.encode(["push", []])
    assert wire.decode(older) == wire.Push((), False)
    with pytest.raises(msgspec.MsgspecError):
        wire.decode(msgspec.msgpack.encode(["unheard-of", 1]))
