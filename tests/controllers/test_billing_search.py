"""Search for sequences in which one crash loses a bill or a bill is counted twice."""

from dataclasses import dataclass

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from knapweedhinge.controllers.billcopies import CopyReply, HeldBills, Owner
from knapweedhinge.controllers.billflush import store_bills
from knapweedhinge.controllers.billing import Bill, decode_batch
from knapweedhinge.controllers.billmerge import merge_bills
from knapweedhinge.controllers.ownbills import OwnBills
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError
from tests.controllers.faulty_tables import Fault, Operation, _suspend

NODES = 3


@dataclass(frozen=True)
class ObjectCall:
    name: str
    data: bytes | None

    @property
    def writes(self):
        return self.data is not None


class SteppedObjects:
    async def put_if_absent(self, name, data):
        if not await _suspend(ObjectCall(name, data)):
            raise PlatformError(name, code=ResultCode.OBJECT_EXISTS)
        return True

    async def get(self, name):
        return await _suspend(ObjectCall(name, None))


class ObjectStore:
    """In-memory object store with puts that take effect late."""

    def __init__(self):
        self.objects = {}
        self.late = []
        self.lost = 0

    def execute(self, call):
        if not call.writes:
            return self.objects.get(call.name)
        return self.objects.setdefault(call.name, call.data) == call.data

    def batches(self):
        return [decode_batch(data) for data in self.objects.values()]


@dataclass
class Process:
    """One incarnation of a node."""

    vm: str
    number: int

    def __post_init__(self):
        name = f"{self.vm}.{self.number}"
        self.owner = Owner(self.vm, self.number)
        self.own_bills = OwnBills(name)
        self.held = HeldBills(name)

    def holds(self, request_id):
        bill_sets = [self.own_bills.unstored, *self.held.orphans(frozenset(), 0.0)]
        return any(
            bill.request_id == request_id
            for unstored in bill_sets
            for bill in unstored.bills.values()
        )


@dataclass
class Copy:
    """A message to a holder, which may be delivered late, repeatedly or never."""

    sender: Process
    holder: int
    request: object


def bill(number):
    return Bill(f"r{number}", "o", "c", "v", 1, 2, number)


faults = st.sampled_from(list(Fault))
indexes = st.integers(0, NODES - 1)


class Bills(RuleBasedStateMachine):
    """Nodes that add, copy and store bills and crash, with a faulty object store."""

    @initialize()
    def start(self):
        self.store = ObjectStore()
        self.nodes = [Process(f"n{index}", 0) for index in range(NODES)]
        self.operations: list[tuple[Process, Operation]] = []
        self.copies: list[Copy] = []
        self.safe: dict[str, int] = {}
        self.added: dict[str, tuple[Process, int]] = {}
        self.count = 0
        self.crashes = 0

    @rule(node=indexes)
    def answer(self, node):
        self.count += 1
        process = self.nodes[node]
        serial = process.own_bills.add(bill(self.count))
        self.added[f"r{self.count}"] = (process, serial)

    @precondition(lambda self: self.count)
    @rule(node=indexes, data=st.data())
    def answer_again(self, node, data):
        number = data.draw(st.integers(1, self.count))
        self.nodes[node].own_bills.add(bill(number))

    @rule(node=indexes, step=st.integers(1, NODES - 1))
    def send_copies(self, node, step):
        holder = (node + step) % NODES
        sender = self.nodes[node]
        request = sender.own_bills.copy_request(f"n{holder}")
        self.copies.append(Copy(sender, holder, request))

    @precondition(lambda self: self.copies)
    @rule(data=st.data(), answered=st.booleans(), repeated=st.booleans())
    def deliver(self, data, answered, repeated):
        copy = data.draw(st.sampled_from(self.copies))
        if not repeated:
            self.copies.remove(copy)
        wire = msgspec.msgpack.encode(copy.request)
        request = msgspec.msgpack.decode(wire, type=type(copy.request))
        reply = self.nodes[copy.holder].held.take(copy.sender.owner, request, 0.0)
        assert isinstance(reply, CopyReply)
        if answered and copy.sender in self.nodes:
            copy.sender.own_bills.acknowledge(f"n{copy.holder}", copy.request, reply)
            self.note_safe()

    @rule(node=indexes, data=st.data())
    def exchange(self, node, data):
        """Send and deliver copies without a fault."""
        self.send_copies(node, data.draw(st.integers(1, NODES - 1)))
        copy = self.copies.pop()
        reply = self.nodes[copy.holder].held.take(copy.sender.owner, copy.request, 0.0)
        copy.sender.own_bills.acknowledge(f"n{copy.holder}", copy.request, reply)
        self.note_safe()
        for request_id, (process, serial) in self.added.items():
            # A bill copied anew must again survive one crash from now on.
            if process is copy.sender and process.own_bills.is_safe(serial):
                self.safe[request_id] = self.crashes

    @rule(node=indexes)
    def flush(self, node):
        process = self.nodes[node]
        self.begin(process, store_bills(process.own_bills.unstored, SteppedObjects()))

    @rule(node=indexes, alive=st.frozensets(indexes))
    def flush_orphans(self, node, alive):
        """Store the bills of peers that are taken for dead, rightly or wrongly."""
        process = self.nodes[node]
        living = frozenset(self.nodes[index].owner for index in alive)
        self.begin(process, process.held.flush_orphans(living, SteppedObjects(), 0.0))

    @precondition(lambda self: self.running())
    @rule(data=st.data(), first=st.lists(faults, max_size=3))
    def finish(self, data, first):
        data.draw(st.sampled_from(self.running())).run_on(first)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), fault=faults)
    def step(self, data, fault):
        data.draw(st.sampled_from(self.running())).advance(fault)

    @precondition(lambda self: self.store.late)
    @rule()
    def arrive_late(self):
        self.store.execute(self.store.late.pop(0))

    @rule(node=indexes)
    def crash(self, node):
        self.crashes += 1
        process = self.nodes[node]
        for owner, operation in self.operations:
            if owner is process and not operation.done:
                operation.crash()
        self.nodes[node] = Process(process.vm, process.number + 1)

    def begin(self, process, coroutine):
        self.operations.append((process, Operation(coroutine, self.store)))

    def running(self):
        return [operation for _, operation in self.operations if not operation.done]

    def note_safe(self):
        """Record which bills are safe now, with the number of crashes so far."""
        for request_id, (process, serial) in self.added.items():
            if process in self.nodes and process.own_bills.is_safe(serial):
                self.safe.setdefault(request_id, self.crashes)

    def stored(self):
        return merge_bills(self.store.batches())

    @invariant()
    def one_crash_loses_no_bill(self):
        stored = self.stored().bills
        for request_id, crashes in self.safe.items():
            if request_id in stored or self.crashes - crashes > 1:
                continue
            assert any(node.holds(request_id) for node in self.nodes), request_id

    def teardown(self):
        if not hasattr(self, "store"):
            return
        for operation in self.running():
            operation.run_on()
        for process in self.nodes:
            own = store_bills(process.own_bills.unstored, SteppedObjects())
            Operation(own, self.store).run_on()
            held = process.held.flush_orphans(frozenset(), SteppedObjects(), 0.0)
            Operation(held, self.store).run_on()
            assert not process.own_bills.unstored.bills
            assert process.held.count == 0
        merged = self.stored()
        assert merged.differing == set()
        assert (
            merged.bills.items() <= {f"r{n}": bill(n) for n in self.numbers()}.items()
        )
        for request_id, (process, _) in self.added.items():
            if process in self.nodes:
                assert request_id in merged.bills
        self.one_crash_loses_no_bill()

    def numbers(self):
        return range(1, self.count + 1)


@pytest.mark.parametrize("steps,examples", [(15, 200), (50, 60)])
def test_one_crash_loses_no_bill(steps, examples):
    run_state_machine_as_test(
        Bills,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
        ),
    )
