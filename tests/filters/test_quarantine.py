"""Suspected requests run alone, and only proven crashes count against a request."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import aiohttp
import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.controllers.domains import DomainTracker
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import EndpointError, RefusedError
from knapweedhinge.filters.place import acquire_engine_slot
from knapweedhinge.filters.quarantine import check_for_crash
from knapweedhinge.filters.types import ChatCall, Request
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointView, LocalLedger, WarmState

VERSIONS = frozenset({"oak@1"})
E1 = EndpointView("e1", "", "sj-1", "central", versions=VERSIONS, incarnation="i1")
E2 = EndpointView("e2", "", "sj-1", "central", versions=VERSIONS, incarnation="i1")


class FakePermits:
    """Grant every permit asked for."""

    def is_known_warm(self, endpoint):
        return endpoint.warm_state is not WarmState.COLD

    async def acquire(self, endpoint):
        return endpoint.id

    def start(self, permit, endpoint):
        return permit

    def release(self, permit, ok):
        pass


class Node:
    """The parts of a node's context that the choice of an endpoint uses."""

    def __init__(self, *views):
        loop = asyncio.get_running_loop()
        self.clock = loop.time
        self.rng = random.Random(1)
        self.ledger = LocalLedger()
        self.domains = DomainTracker()
        self.quarantine = QuarantineTracker()
        self.permits = FakePermits()
        listen = SimpleNamespace(failure_domain="sj-1", region="central")
        self.settings = SimpleNamespace(listen=listen)
        index = EndpointIndex(views)
        table = SimpleNamespace(index=index, get=index.by_id.get)
        cfg = SimpleNamespace(limits=VotedLimits(), domains_out=frozenset())
        current = SimpleNamespace(endpoints=table, configuration=cfg)
        events = SimpleNamespace(on_next=lambda _: None)
        self.state = SimpleNamespace(current=current, endpoint_events=events)

    def request(self, name: str, *, alone: bool = False, wait_s=5.0, **fields):
        return Request(
            name,
            ChatCall("oak@1", {}),
            None,
            self.clock(),
            SimpleNamespace(id="o"),
            deadline_at=self.clock() + wait_s,
            version=SimpleNamespace(id="oak@1"),
            fingerprint=name,
            alone=alone,
            **fields,
        )


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_suspect_runs_apart_from_other_requests():
    node = Node(E1, E2)
    first_slot = await acquire_engine_slot(node.request("a"), node)
    suspect_slot = await acquire_engine_slot(node.request("s", alone=True), node)
    assert suspect_slot.endpoint.id != first_slot.endpoint.id
    other_slots = [
        await acquire_engine_slot(node.request(f"b{n}"), node) for n in range(4)
    ]
    assert {other.endpoint.id for other in other_slots} == {first_slot.endpoint.id}
    suspect_slot.close()
    assert node.quarantine.isolated(node.clock()) == frozenset()


@pytest.mark.asyncio
@pytest.mark.looptime
@pytest.mark.parametrize("warm", [WarmState.WARM, WarmState.COLD])
@pytest.mark.parametrize(("held_alone", "next_alone"), [(True, False), (False, True)])
async def test_only_endpoint_is_waited_for_until_free(held_alone, next_alone, warm):
    node = Node(replace(E1, warm_state=warm))
    held_slot = await acquire_engine_slot(node.request("a", alone=held_alone), node)
    asyncio.get_running_loop().call_later(1.0, held_slot.close)
    began = node.clock()
    await acquire_engine_slot(node.request("b", alone=next_alone), node)
    assert node.clock() - began >= 1.0


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_suspect_is_refused_if_no_endpoint_can_come_free():
    node = Node(E1)
    began = node.clock()
    req = node.request("s", alone=True, avoid=frozenset({"e1"}))
    with pytest.raises(RefusedError):
        await acquire_engine_slot(req, node)
    assert node.clock() == began


def broken_off(**kwargs) -> EndpointError:
    return EndpointError(code=ResultCode.ENDPOINT_FAILED, **kwargs)


@pytest.mark.asyncio
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("exc", "incarnation", "crashes"),
    [
        pytest.param(broken_off(), "i2", 1, id="new incarnation"),
        pytest.param(broken_off(), ConnectionRefusedError(), 1, id="VM without engine"),
        pytest.param(broken_off(), TimeoutError(), 0, id="silent VM"),
        pytest.param(broken_off(), "i1", 0, id="lost connection"),
        pytest.param(
            broken_off(run_state=RunState.NOT_RUN), "i2", 0, id="never reached"
        ),
    ],
)
async def test_what_counts_as_a_crash(exc, incarnation, crashes):
    node = Node(E1)

    async def status(endpoint, now):
        if isinstance(incarnation, OSError):
            cause = aiohttp.ClientConnectorError(None, incarnation)
            raise broken_off(run_state=RunState.NOT_RUN) from cause
        return SimpleNamespace(incarnation=incarnation)

    node.engines = SimpleNamespace(status=status)
    slot = await acquire_engine_slot(node.request("a"), node)
    await check_for_crash(slot.endpoint, exc, node)
    found = node.quarantine.crashes()
    assert len(found) == crashes
    assert all(crash.fingerprints == {"a"} for crash in found)


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_vm_that_left_is_not_a_crash():
    node = Node()

    async def status(endpoint, now):
        cause = aiohttp.ClientConnectorError(None, ConnectionRefusedError())
        raise broken_off(run_state=RunState.NOT_RUN) from cause

    node.engines = SimpleNamespace(status=status)
    await check_for_crash(E1, broken_off(), node)
    assert node.quarantine.crashes() == ()
