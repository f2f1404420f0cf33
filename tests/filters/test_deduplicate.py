"""A request with an idempotency key runs at most once, across nodes and outages."""

import asyncio
from types import SimpleNamespace

import pytest

from knapweedhinge.backing import Write
from knapweedhinge.backing.tables import row_conflict_error
from knapweedhinge.controllers.claims import (
    MAX_RECORDED_BYTES,
    ClaimState,
    ClaimStore,
    claim_key,
    fingerprint,
    keyed_request_id,
)
from knapweedhinge.controllers.reserved import PREFIX, ReservedKeys
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    EndpointError,
    KnapweedhingeError,
    PeerError,
    PlatformUnavailableError,
    RefusedError,
    WriteUnsettledError,
)
from knapweedhinge.core.tokens import TokenSigner
from knapweedhinge.filters.deduplicate import Deduplicate
from knapweedhinge.filters.types import Answer, ServiceCall
from knapweedhinge.test.tablestore import TableStore


class Tables:
    """An in-memory table store; setting ``error`` simulates an outage."""

    def __init__(self):
        self.store = TableStore()
        self.error = None

    async def get(self, table, key):
        self._fail()
        return self.store.get(table, key)

    async def insert(self, table, key, value, write_id):
        return self._write(Write(table, key, value, 0, write_id))

    async def update(self, table, key, value, expected_version, write_id):
        return self._write(Write(table, key, value, expected_version, write_id))

    def _write(self, write):
        self._fail()
        (outcome,) = self.store.write((write,), False)
        if not outcome.applied:
            raise row_conflict_error(outcome.row)
        return outcome.row

    def _fail(self):
        if self.error is not None:
            raise self.error


class Endpoint:
    """Stands in for the rest of the chain: returns or raises ``outcome``.

    Clear ``may_continue`` to make it wait before that.
    """

    def __init__(self, outcome):
        self.outcome = outcome
        self.calls = 0
        self.may_continue = asyncio.Event()
        self.may_continue.set()

    async def __call__(self, req):
        self.calls += 1
        await self.may_continue.wait()
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return Answer(200, self.outcome)


class Fixture:
    def __init__(self, outcome=b"done"):
        self.tables = Tables()
        self.wall = 1_000.0
        self.endpoint = Endpoint(outcome)
        self.filters, self.reserved = {}, {}
        self.claims, self.filter = self.node("n1")

    def node(self, incarnation):
        claims = ClaimStore(incarnation, self.tables, wall=lambda: self.wall)
        tokens = TokenSigner(("key",))
        reserved = ReservedKeys(
            incarnation, incarnation, tokens, self.tables, claims, lambda: self.wall
        )
        reserved.forward = self.forward
        ctx = SimpleNamespace(claims=claims, reserved=reserved, clock=lambda: 0.0)
        self.filters[incarnation] = Deduplicate(ctx, self.endpoint)
        self.reserved[incarnation] = reserved
        return claims, self.filters[incarnation]

    async def forward(self, req, vm):
        if vm not in self.filters:
            raise PeerError("gone", run_state=RunState.NOT_RUN)
        return await self.filters[vm](req)

    def die(self, vm):
        del self.filters[vm]


def request(body=b"body", key="k"):
    return SimpleNamespace(
        request_id=keyed_request_id("o", key),
        idempotency_key=key,
        call=ServiceCall("s", "POST", "p", "", "", body),
        route=SimpleNamespace(idempotent=False, require_key=True),
        organisation=SimpleNamespace(id="o"),
        deadline_at=10.0,
    )


async def code_of(awaitable):
    with pytest.raises(KnapweedhingeError) as caught:
        await awaitable
    return caught.value.code


TIMED_OUT = EndpointError(code=ResultCode.ENDPOINT_TIMEOUT)
REFUSED = EndpointError(code=ResultCode.ENDPOINT_REFUSED)
TOO_LONG = b"x" * (MAX_RECORDED_BYTES + 1)

SECOND_CALLS = [
    # first outcome, code of the second call (None: replay), calls made to the endpoint
    (b"done", None, 1),
    (TOO_LONG, ResultCode.ANSWER_NOT_KEPT, 1),
    (TIMED_OUT, ResultCode.OUTCOME_UNKNOWN, 1),
    (ValueError("bug in the node"), ResultCode.OUTCOME_UNKNOWN, 1),
    (REFUSED, ResultCode.ENDPOINT_REFUSED, 2),
    (RefusedError(code=ResultCode.DEADLINE_UNMEETABLE), ResultCode.OVERLOADED, 2),
]


@pytest.mark.parametrize("at_other_node", [False, True])
@pytest.mark.parametrize("outcome,code,calls", SECOND_CALLS)
async def test_second_call_under_a_key(outcome, code, calls, at_other_node):
    fixture = Fixture(outcome)
    await asyncio.gather(fixture.filter(request()), return_exceptions=True)
    if code is ResultCode.OVERLOADED:
        fixture.endpoint.outcome = RefusedError()
    second = fixture.node("n2")[1] if at_other_node else fixture.filter
    if code is None:
        answer = await second(request())
        assert (answer.body, answer.headers["X-Replayed"]) == (outcome, "true")
    else:
        assert await code_of(second(request())) is code
    assert fixture.endpoint.calls == calls


async def test_another_body_under_the_key_is_refused():
    fixture = Fixture()
    await fixture.filter(request())
    code = await code_of(fixture.filter(request(b"other")))
    assert code is ResultCode.IDEMPOTENCY_KEY_REUSED


async def test_outcome_is_recorded_when_the_caller_leaves():
    fixture = Fixture()
    fixture.endpoint.may_continue.clear()
    task = asyncio.create_task(fixture.filter(request()))
    while not fixture.endpoint.calls:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert await code_of(fixture.filter(request())) is ResultCode.IN_PROGRESS
    fixture.endpoint.may_continue.set()
    await fixture.claims.detached.drain(1.0)
    assert (await fixture.filter(request())).body == b"done"
    assert fixture.endpoint.calls == 1


async def test_stop_ends_an_open_claim_as_unknown():
    fixture = Fixture()
    fixture.endpoint.may_continue.clear()
    task = asyncio.create_task(fixture.filter(request()))
    while not fixture.endpoint.calls:
        await asyncio.sleep(0)
    await fixture.claims.detached.drain(0.0)
    await asyncio.gather(task, return_exceptions=True)
    record = await fixture.claims.find("o", request().request_id)
    assert record.state is ClaimState.UNKNOWN


async def test_store_outage_after_dispatch():
    fixture = Fixture()
    fixture.endpoint.may_continue.clear()
    task = asyncio.create_task(fixture.filter(request()))
    while not fixture.endpoint.calls:
        await asyncio.sleep(0)
    fixture.tables.error = WriteUnsettledError("lost")
    fixture.endpoint.may_continue.set()
    await task
    assert fixture.claims.pending == 1
    assert (await fixture.filter(request())).body == b"done"
    other = fixture.node("n2")[1]
    assert await code_of(other(request())) is ResultCode.CLAIM_UNAVAILABLE
    fixture.tables.error = None
    assert await fixture.claims.settle() == 0
    assert (await other(request())).body == b"done"
    assert fixture.endpoint.calls == 1


async def test_store_outage_before_the_claim():
    fixture = Fixture()
    fixture.tables.error = PlatformUnavailableError("down")
    assert await code_of(fixture.filter(request())) is ResultCode.CLAIM_UNAVAILABLE
    assert (fixture.claims.pending, fixture.endpoint.calls) == (0, 0)


@pytest.mark.parametrize(
    "after_s,state,code",
    [
        (1.0, RunState.RUNNING, ResultCode.IN_PROGRESS),
        (60.0, RunState.UNKNOWN, ResultCode.OUTCOME_UNKNOWN),
    ],
)
async def test_claim_of_a_crashed_node(after_s, state, code):
    fixture = Fixture()
    req = request()
    expected_fingerprint = fingerprint(b"s", b"POST", b"p", b"", req.call.body)
    await fixture.claims.take(
        claim_key("o", req.request_id), expected_fingerprint, "r", 10.0
    )
    fixture.wall += after_s
    claims, other = fixture.node("n2")
    assert await code_of(other(request())) is code
    found = await claims.find("o", request().request_id)
    running = found.state is ClaimState.CLAIMED
    assert running == (state is RunState.RUNNING)


async def reserved_key(fixture, vm="n1"):
    await fixture.reserved[vm].reserve()
    (key,) = fixture.reserved[vm].hand_out(1)
    assert key not in fixture.reserved[vm].hand_out(100)
    return key


@pytest.mark.parametrize("first,second", [("n1", "n1"), ("n1", "n2"), ("n2", "n1")])
async def test_reserved_key_runs_once_while_the_store_is_down(first, second):
    fixture = Fixture()
    fixture.node("n2")
    key = await reserved_key(fixture)
    fixture.tables.error = PlatformUnavailableError("down")
    answers = [
        await fixture.filters[vm](request(key=key)) for vm in (first, second, first)
    ]
    assert {answer.body for answer in answers} == {b"done"}
    assert fixture.endpoint.calls == 1


RESERVED_KEY_CASES = [
    # what the node that owns the key does, first outcome (None: not sent),
    # code of the second call (None: answered), calls made to the endpoint
    ("alive", REFUSED, None, 2),
    ("dies", None, ResultCode.OUTCOME_UNKNOWN, 0),
    ("dies", b"done", None, 1),
    ("dies unrecorded", b"done", ResultCode.OUTCOME_UNKNOWN, 1),
    ("leaves", None, None, 1),
    ("leaves", b"done", None, 1),
    ("leaves", TIMED_OUT, ResultCode.OUTCOME_UNKNOWN, 1),
    ("leaves unrecorded", b"done", ResultCode.OUTCOME_UNKNOWN, 1),
]


@pytest.mark.parametrize("owner,outcome,code,calls", RESERVED_KEY_CASES)
async def test_reserved_key_at_another_node(owner, outcome, code, calls):
    fixture = Fixture(outcome or b"done")
    other = fixture.node("n2")[1]
    key = await reserved_key(fixture)
    if "unrecorded" in owner:
        fixture.tables.error = PlatformUnavailableError("down")
    if outcome is not None:
        await asyncio.gather(fixture.filter(request(key=key)), return_exceptions=True)
    fixture.tables.error = None
    if owner.startswith("leaves"):
        await fixture.reserved["n1"].close_all()
    if owner != "alive":
        fixture.die("n1")
    fixture.endpoint.outcome = b"done"
    if code is None:
        assert (await other(request(key=key))).body == b"done"
    else:
        assert await code_of(other(request(key=key))) is code
    assert fixture.endpoint.calls == calls


@pytest.mark.parametrize("forged", [PREFIX, PREFIX + "abc.def", PREFIX + "!"])
async def test_forged_reserved_key_is_refused(forged):
    fixture = Fixture()
    code = await code_of(fixture.filter(request(key=forged)))
    assert code is ResultCode.INVALID_HEADER
    assert fixture.endpoint.calls == 0


async def test_altered_reserved_key_is_refused():
    fixture = Fixture()
    key = await reserved_key(fixture)
    altered = key[:-1] + ("A" if key[-1] != "A" else "B")
    code = await code_of(fixture.filter(request(key=altered)))
    assert code is ResultCode.INVALID_HEADER


async def test_key_of_a_closed_range_works_like_an_ordinary_key():
    fixture = Fixture()
    other = fixture.node("n2")[1]
    key = await reserved_key(fixture)
    fixture.wall += 4_000.0
    await fixture.reserved["n1"].close_old()
    assert fixture.reserved["n1"].left == 0
    for answerer in (other, fixture.filter):
        assert (await answerer(request(key=key))).body == b"done"
    assert fixture.endpoint.calls == 1
