"""Tests of the rows that nodes send to each other, and of failing subscribers."""

import random
import zlib

import msgspec
import pytest

from knapweedhinge.peers.topics import ROW_CHANGES, policy_of
from knapweedhinge.platform.eras import Version
from knapweedhinge.platform.feeds import RowChange
from knapweedhinge.platform.gossip import MAX_DECOMPRESSED_BYTES, pack, unpack
from knapweedhinge.platform.store import Row
from knapweedhinge.test.replica import Replica
from tests.platform.world import World, catalog, request, route

NOISE = random.Random(1).randbytes(300_000)
ROWS = [
    # value, whether it is sent to peers
    (None, True),
    (b"", True),
    (b"small", True),
    (b"x" * 1_000_000, True),
    (NOISE[:60_000], True),
    (NOISE, False),
]


@pytest.mark.parametrize("value,sent", ROWS)
def test_rows_are_decoded_as_they_were_encoded(value, sent):
    change = RowChange(
        "op", Row("config", Version(3, 7), value), lapsed=True, is_new=True
    )
    packed = pack(change)
    assert (packed is not None) is sent
    if packed is not None:
        assert unpack(packed) == change
        assert len(packed) <= policy_of(ROW_CHANGES).max_payload_bytes


MALFORMED = [
    b"",
    b"\xff",
    msgspec.msgpack.encode(["op", "config", 1, b"not compressed", False, True]),
    msgspec.msgpack.encode(["op", "config", "x", None]),
]


@pytest.mark.parametrize("payload", MALFORMED)
def test_malformed_rows_are_an_error(payload):
    with pytest.raises((msgspec.MsgspecError, zlib.error, ValueError)):
        unpack(payload)


def test_a_value_too_large_after_decompression_is_an_error():
    bomb = pack(
        RowChange(
            "op", Row("config", Version(0, 1), b"0" * (MAX_DECOMPRESSED_BYTES + 1))
        )
    )
    with pytest.raises(ValueError, match="too long"):
        unpack(bomb)


async def test_a_failing_subscriber_does_not_stop_changes():
    def fail(change):
        raise RuntimeError("subscriber")

    async with World([Replica("shop-0", "shop")], catalog()) as world:
        world.node.feeds.outgoing.subscribe(fail)
        for name in ("one", "two"):
            world.change(routes=[route(name, "safe")])
            revision = world.catalog["version"]
            await world.until(
                lambda wanted=revision: world.node.fleet.view.catalog.revision == wanted
            )
            assert (await world.ask(request(f"/{name}/x"))).status == 200


async def test_a_catalog_of_many_routes_takes_effect_soon():
    async with World([Replica("shop-0", "shop")], catalog()) as world:
        many = [route(f"r{n}", "safe") for n in range(1500)]
        world.change(routes=many)
        await world.until(lambda: world.node.fleet.view.catalog.revision == 4)
        assert (await world.ask(request("/r1499/x"))).status == 200
