import asyncio

import pytest

from knapweedhinge.controllers import billkeeper, ownbills
from knapweedhinge.controllers.billcopies import HeldBills, Owner
from knapweedhinge.controllers.billing import Bill, BillBatch, decode_batch
from knapweedhinge.controllers.billkeeper import BillKeeper
from knapweedhinge.controllers.billmerge import merge_bills
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PeerError, PlatformUnavailableError

OWNER = Owner("n1", 1)


class Objects:
    def __init__(self):
        self.objects = {}
        self.down = False

    async def put_if_absent(self, name, data):
        if self.down:
            raise PlatformUnavailableError("down")
        self.objects[name] = data
        return True

    async def get(self, name):
        return self.objects.get(name)

    def merged(self):
        return merge_bills(decode_batch(data) for data in self.objects.values())


class Peers:
    """Holders of copies by VM, which raise in ``failing`` and hang in ``hanging``."""

    def __init__(self, *names):
        self.held = {name: HeldBills(name) for name in names}
        self.names = list(names)
        self.failing = set()
        self.hanging = set()

    def holder(self):
        return self.names[0] if self.names else None

    def avoid(self, vm):
        self.names.remove(vm)

    async def send(self, vm, request):
        await asyncio.sleep(0.001)
        if vm in self.hanging:
            await asyncio.sleep(60)
        if vm in self.failing:
            raise PeerError("down")
        return self.held[vm].take(OWNER, request, 0.0)


def bill(number):
    return Bill(f"r{number}", "o", "c", "v", 1, 2, number)


def new_keeper(peers=None):
    objects = Objects()
    keeper = BillKeeper("n1.1", objects, asyncio.get_running_loop().time)
    if peers is not None:
        keeper.copy_to(peers)
    return keeper, objects


async def keep_each(keeper, numbers, every_s):
    async def keep(number, delay_s):
        await asyncio.sleep(delay_s)
        await keeper.keep(bill(number))

    await asyncio.gather(*(keep(n, n * every_s) for n in numbers))


@pytest.mark.looptime
async def test_copies_at_full_load_are_batched_into_few_messages():
    peers = Peers("a")
    keeper, _ = new_keeper(peers)
    await keep_each(keeper, range(57), 1 / 57)
    assert peers.held["a"].count == 57
    assert keeper.copy_messages <= 1 / billkeeper.COPY_SPACING_S + 1
    assert keeper.uncopied == 0


@pytest.mark.looptime
async def test_new_holder_gets_all_unstored_bills():
    peers = Peers("a", "b")
    keeper, _ = new_keeper(peers)
    await keeper.keep(bill(1))
    peers.failing.add("a")
    await keeper.keep(bill(2))
    assert peers.held["b"].count == 2
    assert keeper.uncopied == 0


@pytest.mark.looptime
async def test_restarted_holder_gets_all_unstored_bills():
    peers = Peers("a")
    keeper, _ = new_keeper(peers)
    await keeper.keep(bill(1))
    peers.held["a"] = HeldBills("a again")
    await keeper.keep(bill(2))
    assert peers.held["a"].count == 2


@pytest.mark.looptime
async def test_answer_is_sent_uncopied_when_the_holder_hangs():
    peers = Peers("a")
    peers.hanging.add("a")
    keeper, _ = new_keeper(peers)
    began = asyncio.get_running_loop().time()
    await asyncio.gather(keeper.keep(bill(1)), keeper.keep(bill(2)))
    waited_s = asyncio.get_running_loop().time() - began
    assert waited_s == pytest.approx(billkeeper.COPY_WAIT_S)
    assert keeper.uncopied == 2


@pytest.mark.looptime
@pytest.mark.parametrize("peers", [None, Peers()])
async def test_without_a_peer_bills_are_stored_at_once(peers):
    keeper, objects = new_keeper(peers)
    await keeper.keep(bill(1))
    assert set(objects.merged().bills) == {"r1"}
    objects.down = True
    await keeper.keep(bill(2))
    assert (keeper.uncopied, keeper.unflushed) == (1, 1)


@pytest.mark.looptime
async def test_holder_drops_copies_of_stored_bills():
    peers = Peers("a")
    keeper, objects = new_keeper(peers)
    await keeper.keep(bill(1))
    await keeper.flush()
    keeper.refresh_copies()
    await asyncio.sleep(1.0)
    assert peers.held["a"].count == 0
    await keeper.stop()
    assert set(objects.merged().bills) == {"r1"}


@pytest.mark.looptime
async def test_holder_stores_the_bills_of_a_dead_node():
    peers = Peers("a")
    keeper, objects = new_keeper(peers)
    await keeper.keep(bill(1))
    held = peers.held["a"]
    await held.flush_orphans(frozenset({OWNER}), objects, 0.0)
    assert objects.objects == {}
    assert await held.flush_orphans(frozenset({Owner("n1", 2)}), objects, 0.0) == 0
    assert set(objects.merged().bills) == {"r1"}


async def test_bills_beyond_the_limit_are_counted_as_lost(monkeypatch):
    monkeypatch.setattr(ownbills, "MAX_UNSTORED_BILLS", 3)
    own_bills = ownbills.OwnBills("n1.1")
    for number in range(5):
        own_bills.add(bill(number))
    assert (len(own_bills.unstored), own_bills.lost) == (3, 2)


def test_holder_without_room_raises(monkeypatch):
    own_bills = ownbills.OwnBills("n1.1")
    own_bills.add(bill(1))
    held = HeldBills("a")
    monkeypatch.setattr("knapweedhinge.controllers.billcopies.MAX_HELD_BILLS", 0)
    with pytest.raises(PeerError) as caught:
        held.take(OWNER, own_bills.copy_request("a"), 0.0)
    assert caught.value.code is ResultCode.OVERLOADED


MERGES = [
    # batches as (incarnation, bills by serial), sum, differing, missing
    ([("i", {1: 5, 2: 6})], 11, set(), {}),
    ([("i", {1: 5}), ("i", {1: 5, 2: 6})], 11, set(), {}),
    ([("i", {1: 5, 4: 6})], 11, set(), {"i": 2}),
    ([("i", {1: 5}), ("j", {1: 5})], 5, set(), {}),
]


@pytest.mark.parametrize("batches,micros,differing,missing", MERGES)
def test_merge_of_batches(batches, micros, differing, missing):
    found = merge_bills(
        BillBatch(name, {serial: bill(n) for serial, n in bills.items()})
        for name, bills in batches
    )
    assert (found.micros, found.differing) == (micros, differing)
    assert found.missing == missing


@pytest.mark.parametrize("order", [(5, 7), (7, 5)])
def test_lower_of_two_unequal_bills_counts(order):
    batches = [
        BillBatch(f"i{micros}", {1: Bill("r", "o", "c", "v", 1, micros, micros)})
        for micros in order
    ]
    found = merge_bills(batches)
    assert (found.micros, found.differing) == (5, {"r"})
