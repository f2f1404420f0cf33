"""Search for sequences that break the guarantees of claims.

A request with an idempotency key must run at most once, and a request that was reported
as not run must not have run.
"""

from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace

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

from knapweedhinge.backing.channel import LostAnswerError
from knapweedhinge.controllers.claims import ClaimStore, keyed_request_id
from knapweedhinge.controllers.reserved import ReservedKeys
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    EndpointError,
    KnapweedhingeError,
    OutcomeUnknownError,
    PeerError,
    PlatformUnavailableError,
)
from knapweedhinge.core.tokens import TokenSigner
from knapweedhinge.filters.deduplicate import Deduplicate
from knapweedhinge.filters.types import Answer, ServiceCall
from tests.controllers.faulty_tables import (
    Call,
    Fault,
    Operation,
    Service,
    SteppedTables,
    _answer,
    _suspend,
)

DISPATCH = "/dispatch/write"
FORWARD = "/forward/write"
WAIT = "/wait"
KEYS = ("k1", "k2", "reserved")
NODES = 3


class Inline:
    """Run a request in its caller's task, so that the test can step through it."""

    async def run(self, coroutine):
        return await coroutine


def crash(operation):
    """Stop an operation without any further call taking effect.

    Closing its coroutine raises RuntimeError each time that the coroutine makes a call
    in its cleanup; that call is dropped and the coroutine closed again.
    """
    while not operation.done or operation._coroutine.cr_frame:
        try:
            operation.crash()
        except RuntimeError:
            continue


class World(Service):
    """The table service, and an endpoint that counts what it runs."""

    def execute(self, call):
        if call.path == FORWARD:
            call.params["sent"] = call.params["deliver"]()
            return None
        if call.path == WAIT:
            call.params["sent"].operation.advance()
            return None
        if call.path != DISPATCH:
            return super().execute(call)
        self.ran[call.params["key"]] += 1
        self.ran_calls.add(call.params["call"])
        return _answer(call.params["key"])


def new_world():
    world = World()
    world.ran, world.ran_calls = Counter(), set()
    return world


def new_node(vm, incarnation, forward):
    claims = ClaimStore(incarnation, SteppedTables())
    claims.detached = Inline()
    tables = SteppedTables()
    reserved = ReservedKeys(vm, incarnation, TokenSigner(("key",)), tables, claims)
    reserved.forward = forward
    ctx = SimpleNamespace(claims=claims, reserved=reserved, clock=lambda: 0.0)
    return Node(incarnation, claims, reserved, Deduplicate(ctx, run_at_endpoint))


async def run_at_endpoint(req):
    call = Call(DISPATCH, {"key": req.idempotency_key, "call": req.call_id}, None)
    try:
        answer = await _suspend(call)
    except PlatformUnavailableError as exc:
        raise EndpointError(code=ResultCode.ENDPOINT_REFUSED) from exc
    except LostAnswerError as exc:
        raise EndpointError(code=ResultCode.ENDPOINT_TIMEOUT) from exc
    return Answer(200, answer.body)


def request(key, call_id):
    return SimpleNamespace(
        request_id=keyed_request_id("o", key),
        idempotency_key=key,
        call=ServiceCall("s", "POST", "p", "", "", b"body"),
        call_id=call_id,
        route=SimpleNamespace(idempotent=False, require_key=True),
        organisation=SimpleNamespace(id="o"),
        deadline_at=10.0,
    )


@dataclass
class Node:
    """One incarnation of a node."""

    incarnation: str
    claims: ClaimStore
    reserved: ReservedKeys
    filter: Deduplicate


@dataclass
class Sent:
    """A call that a node handles."""

    node: int
    key: str
    call_id: int
    operation: Operation
    checked: bool = False


faults = st.sampled_from(list(Fault))


class Claims(RuleBasedStateMachine):
    """Nodes, clients and a table service with any sequence of faults."""

    @initialize()
    def start(self):
        self.world = new_world()
        self.nodes = [self.new_node(index, index) for index in range(NODES)]
        self.sent: list[Sent] = []
        reserved = self.nodes[0].reserved
        Operation(reserved.reserve(), self.world).run_on()
        self.keys = {key: key for key in KEYS}
        (self.keys["reserved"],) = reserved.hand_out(1)
        self.settling: list[tuple[int, Operation]] = []
        self.count = 0
        self.crashes = 0

    @rule(node=st.integers(0, NODES - 1), key=st.sampled_from(KEYS))
    def send(self, node, key):
        self.begin(node, self.keys[key])

    def begin(self, node, key):
        self.count += 1
        coroutine = self.nodes[node].filter(request(key, self.count))
        sent = Sent(node, key, self.count, Operation(coroutine, self.world))
        self.sent.append(sent)
        return sent

    def new_node(self, index, number):
        return new_node(f"{index}", f"incarnation {number}", self.forward)

    def deliver(self, node, key):
        reserved = self.nodes[node].reserved
        owned = reserved.owns(reserved.parse(key))
        return self.begin(node, key) if owned else None

    async def forward(self, req, vm):
        """Forward a call to a node; the call or its answer may be lost."""
        call = Call(FORWARD, {}, None)
        call.params["deliver"] = lambda: self.deliver(int(vm), req.idempotency_key)
        try:
            await _suspend(call)
        except PlatformUnavailableError as exc:
            raise PeerError("down", run_state=RunState.NOT_RUN) from exc
        except LostAnswerError as exc:
            raise OutcomeUnknownError() from exc
        sent = call.params["sent"]
        if sent is None:
            raise PeerError("another process", run_state=RunState.NOT_RUN)
        while not sent.operation.done:
            try:
                await _suspend(Call(WAIT, call.params, None))
            except PlatformUnavailableError as exc:
                raise OutcomeUnknownError() from exc
        if sent.operation.error is not None:
            raise sent.operation.error
        if sent.operation.result is None:
            raise OutcomeUnknownError()
        return sent.operation.result

    @precondition(lambda self: self.running())
    @rule(data=st.data(), fault=faults)
    def step(self, data, fault):
        data.draw(st.sampled_from(self.running())).advance(fault)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), first=st.lists(faults, max_size=4))
    def finish(self, data, first):
        data.draw(st.sampled_from(self.running())).run_on(first)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), fault=faults)
    def meet_outage(self, data, fault):
        """Run an operation to its end, with one fault and then an outage."""
        operation = data.draw(st.sampled_from(self.running()))
        operation.advance(fault)
        while not operation.done:
            operation.advance(Fault.DOWN)

    @rule(node=st.integers(0, NODES - 1))
    def settle(self, node):
        operation = Operation(self.nodes[node].claims.settle(), self.world)
        self.settling.append((node, operation))

    @rule(node=st.integers(0, NODES - 1))
    def close_ranges(self, node):
        operation = Operation(self.nodes[node].reserved.close_all(), self.world)
        self.settling.append((node, operation))

    @precondition(lambda self: self.world.late)
    @rule(data=st.data())
    def arrive_late(self, data):
        index = data.draw(st.integers(0, len(self.world.late) - 1))
        self.world.execute(self.world.late.pop(index))

    @rule(node=st.integers(0, NODES - 1))
    def crash(self, node):
        self.crashes += 1
        for sent in self.sent:
            if sent.node == node and not sent.operation.done:
                crash(sent.operation)
                sent.checked = True
        for owner, operation in self.settling:
            if owner == node and not operation.done:
                crash(operation)
        self.nodes[node] = self.new_node(node, NODES + self.crashes)

    def running(self):
        operations = [sent.operation for sent in self.sent]
        operations += [operation for _, operation in self.settling]
        return [started for started in operations if not started.done]

    @invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.world.ran.values())

    @invariant()
    def answers_are_true(self):
        for sent in self.sent:
            if sent.checked or not sent.operation.done:
                continue
            error = sent.operation.error
            if error is None:
                assert sent.operation.result.body == msgspec.json.encode(sent.key)
                assert self.world.ran[sent.key] == 1
                sent.checked = True
                continue
            assert isinstance(error, KnapweedhingeError), repr(error)
            if error.run_state is RunState.NOT_RUN:
                assert sent.call_id not in self.world.ran_calls

    def teardown(self):
        if not hasattr(self, "world"):
            return
        for operation in self.running():
            operation.run_on()
        while self.world.late:
            self.world.execute(self.world.late.pop())
        for node in self.nodes:
            Operation(node.claims.settle(), self.world).run_on()
            assert node.claims.pending == 0
            Operation(node.reserved.close_all(), self.world).run_on()
        self.runs_at_most_once()
        self.answers_are_true()
        for key in self.keys.values():
            self.check_last_call(key)

    def check_last_call(self, key):
        """Check that a key that never ran can still run after all failures."""
        ran_before = self.world.ran[key]
        last = Operation(self.nodes[0].filter(request(key, -1)), self.world)
        last.run_on()
        self.runs_at_most_once()
        if last.error is None:
            assert self.world.ran[key] == 1
        elif not ran_before and not self.crashes and not self.lost_dispatch(key):
            raise AssertionError(f"{key} can't run any more") from last.error

    def lost_dispatch(self, key):
        """Return whether a call with the key ended with an unknown outcome."""
        return any(
            sent.key == key
            and getattr(sent.operation.error, "run_state", None) is RunState.UNKNOWN
            for sent in self.sent
        )


@pytest.mark.parametrize("steps,examples", [(12, 300), (40, 60)])
def test_runs_at_most_once(steps, examples):
    run_state_machine_as_test(
        Claims,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
        ),
    )
