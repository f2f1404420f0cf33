"""Organisations share scarce engines by weight, and requests too late are refused."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest

from knapweedhinge.conf import VotedLimits
from knapweedhinge.controllers.domains import DomainTracker
from knapweedhinge.controllers.quarantinetracker import QuarantineTracker
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters import CHAIN, Answer, ChatCall, Request, StreamAnswer
from knapweedhinge.filters.choose import ChoosePlan
from knapweedhinge.filters.queue import Queue
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointView, LoadReport, LocalLedger

SLOTS = 2
RUN_S = 0.5
pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


class Node:
    """A node with ``engines`` engines, where each request takes ``RUN_S`` seconds.

    All requests run at the first engine.
    """

    def __init__(self, *, tokens_per_s=1000.0, engines=1):
        self.clock = asyncio.get_running_loop().time
        self.rng = random.Random(1)
        self.ledger = LocalLedger()
        self.domains = DomainTracker()
        self.quarantine = QuarantineTracker()
        report = LoadReport(slots=SLOTS, tokens_per_s=tokens_per_s, reported_at=-1.0)
        views = [
            EndpointView(
                f"e{n}", "", "sj-1", "c", versions=frozenset({"oak@1"}), report=report
            )
            for n in range(engines)
        ]
        cfg = SimpleNamespace(
            limits=VotedLimits(), domains_out=frozenset(), class_of_work=lambda _: None
        )
        self.snapshot = SimpleNamespace(
            endpoints=SimpleNamespace(index=EndpointIndex(views)),
            configuration=cfg,
            addresses=("n1",),
        )
        self.state = SimpleNamespace(current=self.snapshot)
        self.max_running = self.running = 0
        self.done: Counter = Counter()
        self.queue = Queue(self, self.run)

    async def run(self, req: Request):
        self.ledger.dispatched("e0", self.clock())
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(RUN_S)
        finally:
            self.running -= 1
            self.ledger.completed("e0", self.clock())
        self.done[req.organisation.id] += 1
        return Answer(200, b"")

    def request(self, organisation="a", weight=1.0, deadline_s=60.0) -> Request:
        return Request(
            "r",
            ChatCall("oak@1", {}),
            self.snapshot,
            self.clock(),
            SimpleNamespace(id=organisation, weight=weight),
            deadline_at=self.clock() + deadline_s,
        )

    def send_requests(self, count=1, **fields) -> list[asyncio.Task]:
        return [
            asyncio.create_task(self.queue(self.request(**fields)))
            for _ in range(count)
        ]


async def test_queue_comes_right_before_the_choice_of_plan():
    assert CHAIN.index(Queue) == CHAIN.index(ChoosePlan) - 1


async def test_running_requests_stay_within_the_endpoint_slots():
    node = Node(tokens_per_s=1e6)
    tasks = node.send_requests(20)
    await asyncio.gather(*tasks)
    assert node.max_running == SLOTS
    assert node.done["a"] == 20


async def test_large_backlog_delays_its_own_organisation_only():
    node = Node(tokens_per_s=1e6)
    large = node.send_requests(200, organisation="large")
    await asyncio.sleep(0.1)
    small = node.send_requests(5, organisation="small")
    await asyncio.gather(*small)
    assert node.done["large"] <= 12
    for task in large:
        task.cancel()
    await asyncio.gather(*large, return_exceptions=True)


@pytest.mark.parametrize(
    ("tokens_per_s", "deadline_s", "code"),
    [
        pytest.param(100.0, 3.0, ResultCode.DEADLINE_UNMEETABLE, id="at once"),
        pytest.param(1e6, 3.0, ResultCode.DEADLINE_UNMEETABLE, id="while queued"),
        pytest.param(1e6, 1e6, ResultCode.OVERLOADED, id="queue full"),
    ],
)
async def test_refusals_come_early_and_say_when_to_retry(
    tokens_per_s, deadline_s, code
):
    node = Node(tokens_per_s=tokens_per_s)
    tasks = node.send_requests(400, deadline_s=deadline_s)
    await asyncio.sleep(deadline_s + 1.0 if deadline_s < 10 else 0.1)
    failed = [task.exception() for task in tasks if task.done()]
    refused = [exc for exc in failed if isinstance(exc, RefusedError)]
    assert code in {exc.code for exc in refused}
    assert all(exc.retry_after_s > 0 for exc in refused)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_cancelled_requests_free_their_capacity():
    node = Node(tokens_per_s=1e6)
    tasks = node.send_requests(10)
    await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.gather(*node.send_requests(SLOTS))
    assert node.done["a"] == SLOTS


async def test_stream_uses_capacity_until_its_end():
    node = Node(tokens_per_s=1e6)

    async def pump(write, on_end):
        await asyncio.sleep(RUN_S)

    async def stream(req):
        return StreamAnswer(pump, "oak@1", "e0")

    queue = Queue(node, stream)
    first = [await queue(node.request()) for _ in range(SLOTS)]
    third = asyncio.create_task(queue(node.request()))
    await asyncio.sleep(RUN_S)
    assert not third.done()
    await first[0].pump(None, ())
    await third


async def test_requests_skip_the_queue_when_there_are_no_endpoints():
    node = Node(engines=0)
    await node.queue(node.request())
    assert node.done["a"] == 1
