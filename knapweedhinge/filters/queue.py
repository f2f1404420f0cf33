"""Queue chat requests for free engine capacity, shared by weight of organisation.

A request that can't be served in time is refused at once.
"""

import asyncio
import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from knapweedhinge.conf import ClassOfWork
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters.place import balance_view
from knapweedhinge.filters.types import (
    AnyAnswer,
    ChatCall,
    Context,
    EndHook,
    Handler,
    Request,
    StreamAnswer,
    Write,
)
from knapweedhinge.routing.admission import FairAdmission
from knapweedhinge.routing.admissiontypes import (
    AdmissionRequest,
    Admit,
    Capacity,
    Refuse,
)
from knapweedhinge.routing.eligibility import BalanceView, exclusion, needs_permit
from knapweedhinge.routing.load import EndpointView, corrected_load

DRAIN_INTERVAL_S = 0.02  # between two checks whether queued requests can start
CAPACITY_REFRESH_S = 0.05  # age from which the endpoints' capacity is read again
DEFAULT_OUTPUT_TOKENS = 200  # answer length expected without a class of work


@dataclass
class ClassQueue:
    """The queue of one class of work, or of one version that callers name.

    ``fair_queue`` decides the order, ``waiting`` holds the future of each queued
    request by its id. ``free_tokens`` is the capacity that was free when the endpoints'
    reports were last read, less the requests admitted since. ``admitted`` counts
    requests that were admitted and haven't ended. ``drain_task`` runs while requests
    are queued.
    """

    fair_queue: FairAdmission = field(default_factory=FairAdmission)
    waiting: dict[str, asyncio.Future] = field(default_factory=dict)
    capacity: Capacity = field(default_factory=lambda: Capacity(0.0, 0.0, 0.0))
    free_tokens: float = 0.0
    capacity_read_at: float = float("-inf")
    admitted: int = 0
    drain_task: asyncio.Task | None = None

    def capacity_left(self) -> Capacity:
        """Return the capacity last read, less what admitted requests have taken."""
        return replace(self.capacity, free_tokens=max(0.0, self.free_tokens))

    def admit(self, admission_request: AdmissionRequest) -> None:
        """Take the request's tokens from the free capacity."""
        self.admitted += 1
        self.free_tokens -= admission_request.cost_tokens

    def end(self, admission_request: AdmissionRequest) -> None:
        """Give the tokens of a request that ended back to the free capacity."""
        self.admitted -= 1
        self.free_tokens += admission_request.cost_tokens


class Queue:
    """Admit chat requests as endpoints have free capacity, before a plan is chosen.

    Each node decides alone, on the capacity that it sees. When several nodes admit
    requests for the same free slots, the engines queue what exceeds them.
    """

    def __init__(self, ctx: Context, call_next: Handler):
        self._ctx = ctx
        self._next = call_next
        self._class_queues: dict[str, ClassQueue] = {}
        self._numbers = itertools.count()

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on when it is its organisation's turn.

        Raise RefusedError if the queue is full or the deadline can't be met.
        """
        if not isinstance(req.call, ChatCall) or req.resumption is not None:
            return await self._next(req)
        class_queue = self._class_queues.setdefault(req.call.model, ClassQueue())
        self._refresh_capacity(class_queue, req)
        if not class_queue.capacity.total_tokens:
            return await self._next(req)
        admission_request = self._admission_request(req)
        await self._wait_for_admission(class_queue, admission_request, req)
        try:
            answer = await self._next(req)
        except BaseException:
            class_queue.end(admission_request)
            raise
        if isinstance(answer, StreamAnswer):
            return _release_at_end(answer, class_queue, admission_request)
        class_queue.end(admission_request)
        return answer

    async def _wait_for_admission(
        self, class_queue: ClassQueue, admission_request: AdmissionRequest, req: Request
    ):
        """Return once the request is admitted; raise RefusedError if it is refused."""
        decision = class_queue.fair_queue.offer(
            admission_request, class_queue.capacity_left(), self._ctx.clock()
        )
        if isinstance(decision, Refuse):
            raise _refused_error(decision)
        if isinstance(decision, Admit):
            class_queue.admit(admission_request)
            return
        admitted_fut = asyncio.get_running_loop().create_future()
        class_queue.waiting[admission_request.id] = admitted_fut
        if class_queue.drain_task is None or class_queue.drain_task.done():
            class_queue.drain_task = asyncio.create_task(self._drain(class_queue, req))
        try:
            await admitted_fut
        except asyncio.CancelledError:
            # The request may have been admitted before the cancellation arrived.
            if (
                not class_queue.fair_queue.cancel(admission_request.id)
                and admitted_fut.done()
                and not admitted_fut.cancelled()
            ):
                class_queue.end(admission_request)
            raise
        finally:
            class_queue.waiting.pop(admission_request.id, None)

    async def _drain(self, class_queue: ClassQueue, req: Request) -> None:
        """Admit queued requests as capacity comes free, until the queue is empty.

        ``req`` is any request of the queue; the capacity is read for requests like it.
        """
        while len(class_queue.fair_queue):
            await asyncio.sleep(DRAIN_INTERVAL_S)
            self._refresh_capacity(class_queue, req)
            drained = class_queue.fair_queue.drain(
                class_queue.capacity_left(), self._ctx.clock()
            )
            for admission in drained.admitted:
                admitted_fut = class_queue.waiting.get(admission.request.id)
                if admitted_fut is not None and not admitted_fut.done():
                    class_queue.admit(admission.request)
                    admitted_fut.set_result(None)
            for refusal in drained.refused:
                admitted_fut = class_queue.waiting.get(refusal.request.id)
                if admitted_fut is not None and not admitted_fut.done():
                    admitted_fut.set_exception(_refused_error(refusal))

    def _admission_request(self, req: Request) -> AdmissionRequest:
        work_class = self._class_of_work(req)
        return AdmissionRequest(
            id=f"{req.request_id}/{next(self._numbers)}",
            organisation=req.organisation.id,
            weight=req.organisation.weight,
            cost_tokens=req.call.prompt_tokens + _output_tokens(work_class),
            run_s=0.0,
            deadline=req.deadline_at,
            priority=work_class.priority if work_class else 0,
        )

    def _refresh_capacity(self, class_queue: ClassQueue, req: Request) -> None:
        """Read the endpoints' reports again if older than ``CAPACITY_REFRESH_S``.

        A slot counts as the tokens of one request like ``req``. Requests that were
        admitted but not sent yet are subtracted, since no report can show them. The
        generation rate is divided among the nodes.
        """
        now = self._ctx.clock()
        if now - class_queue.capacity_read_at < CAPACITY_REFRESH_S:
            return
        class_queue.capacity_read_at = now
        snapshot = self._ctx.state.current
        work_class = snapshot.configuration.class_of_work(req.call.model)
        versions = work_class.versions if work_class else (req.call.model,)
        view = balance_view(self._ctx)
        endpoints = _usable_endpoints(view, versions)
        tokens_per_request = _output_tokens(work_class) + req.call.prompt_tokens
        ledger = self._ctx.ledger
        slots = sum(endpoint.report.slots for endpoint in endpoints)
        free = sum(self._free_slots(endpoint, view) for endpoint in endpoints)
        undispatched = class_queue.admitted - sum(
            ledger.in_flight(endpoint.id) for endpoint in endpoints
        )
        nodes = max(1, len(snapshot.addresses))
        class_queue.free_tokens = float(
            tokens_per_request * (free - max(0, undispatched))
        )
        class_queue.capacity = Capacity(
            total_tokens=float(tokens_per_request * slots),
            free_tokens=class_queue.free_tokens,
            tokens_per_s=sum(endpoint.report.tokens_per_s for endpoint in endpoints)
            / nodes,
        )

    def _free_slots(self, endpoint: EndpointView, view: BalanceView) -> int:
        load = corrected_load(endpoint, self._ctx.ledger)
        limits = self._ctx.state.current.configuration.limits
        cold = needs_permit(endpoint, view)
        slots = limits.cold_concurrency if cold else endpoint.report.slots
        return max(0, slots - load)

    def _class_of_work(self, req: Request) -> ClassOfWork | None:
        return req.snapshot.configuration.class_of_work(req.call.model)


def _usable_endpoints(view: BalanceView, versions: Iterable[str]) -> list[EndpointView]:
    """Return the endpoints that serve any of the versions and may take work."""
    index = view.endpoints
    ids = {
        endpoint_id
        for version in versions
        for endpoint_id in index.by_version.get(version, ())
    }
    permits = frozenset(ids)
    endpoints = (index.by_id[endpoint_id] for endpoint_id in sorted(ids))
    return [
        endpoint
        for endpoint in endpoints
        if exclusion(endpoint, view, permits=permits) is None
    ]


def _output_tokens(work_class: ClassOfWork | None) -> int:
    return work_class.expected_output_tokens if work_class else DEFAULT_OUTPUT_TOKENS


def _refused_error(refusal: Refuse) -> RefusedError:
    return RefusedError(code=refusal.code, retry_after_s=refusal.retry_after_s)


def _release_at_end(
    answer: StreamAnswer, class_queue: ClassQueue, admission_request: AdmissionRequest
) -> StreamAnswer:
    """Return the answer with a pump that gives back its capacity at the end."""

    async def pump(write: Write, on_end: tuple[EndHook, ...]) -> None:
        try:
            await answer.pump(write, on_end)
        finally:
            class_queue.end(admission_request)

    return replace(answer, pump=pump)
