"""Admit requests by weighted fair queueing between organisations, within deadlines.

This is start-time fair queueing. A request's start tag, on a virtual clock, is the
finish tag of the organisation's previous request; its finish tag is the start tag plus
its cost divided by the organisation's weight. The request with the lowest start tag
runs next, so a large backlog delays only its own organisation.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, heapreplace

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.admissiontypes import (
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    Capacity,
    Drained,
    Refuse,
    Wait,
)

# Number of known organisations above which the idle ones are forgotten.
ORGANISATIONS_BEFORE_CLEANUP = 1024
# The expiry heap keeps entries of requests that have left the queue. It is rebuilt when
# it has more entries than this plus two for each queued request.
MAX_STALE_ENTRIES = 1024
# Bounds of the retry time given with a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class _Backlog:
    """The queued requests of one organisation, and its tags on the virtual clock.

    ``start_tag`` belongs to the next request, ``finish_tag`` to the last one admitted.
    ``tokens`` is the total cost of the queued requests.
    """

    weight: float = 1.0
    finish_tag: float = 0.0
    start_tag: float = 0.0
    tokens: float = 0.0
    by_priority: dict[int, deque[AdmissionRequest]] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.by_priority.values())

    def push(self, req: AdmissionRequest) -> None:
        self.by_priority.setdefault(req.priority, deque()).append(req)
        self.tokens += req.cost_tokens

    def head(self) -> AdmissionRequest:
        return self.by_priority[max(self.by_priority)][0]

    def remove(self, req: AdmissionRequest) -> None:
        queue = self.by_priority[req.priority]
        queue.remove(req)
        if not queue:
            del self.by_priority[req.priority]
        self.tokens -= req.cost_tokens


class FairAdmission:
    """Admit, queue or refuse requests so that organisations share capacity by weight.

    Call :meth:`offer` for each new request, :meth:`drain` whenever capacity is freed
    and periodically, and :meth:`settle` when a request ended. No method blocks or
    reads a clock.
    """

    def __init__(self, settings: AdmissionSettings | None = None):
        self._settings = settings or AdmissionSettings()
        self._backlogs: dict[str, _Backlog] = {}
        self._start_heap: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._queued: dict[str, AdmissionRequest] = {}
        self._expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return len(self._queued)

    def offer(
        self, req: AdmissionRequest, capacity: Capacity, now: float
    ) -> Admit | Wait | Refuse:
        """Admit, queue or refuse a new request, whose ``id`` must not be queued yet.

        A request that cannot end before its deadline is refused at once, as is one
        for which the queues have no room.
        """
        backlog = self._backlog(req)
        if now + req.run_s > req.deadline:
            return _refuse(req, ResultCode.DEADLINE_UNMEETABLE, MIN_RETRY_AFTER_S)
        if not self._queued and _fits(req, capacity):
            self._charge_start(backlog, req)
            return Admit(req)
        wait_s = self._expected_wait_s(backlog, capacity)
        late_s = now + wait_s + req.run_s - req.deadline
        if late_s > 0:
            return _refuse(req, ResultCode.DEADLINE_UNMEETABLE, late_s)
        if self._is_full(backlog):
            return _refuse(req, ResultCode.OVERLOADED, wait_s)
        position = len(backlog)
        self._push(backlog, req)
        return Wait(position, wait_s)

    def drain(self, capacity: Capacity, now: float) -> Drained:
        """Remove the queued requests that may run now or can't meet their deadlines."""
        refused = self._expire(now)
        admitted = []
        while self._queued:
            req = self._next_backlog().head()
            if not _fits(req, capacity):
                break
            self._dequeue(req)
            self._charge_start(self._backlogs[req.organisation], req)
            admitted.append(Admit(req))
            capacity = _remaining(capacity, req)
        self._forget_idle()
        return Drained(tuple(admitted), refused)

    def cancel(self, request_id: str) -> bool:
        """Drop a queued request whose client is gone; return whether it was queued."""
        req = self._queued.get(request_id)
        if req is None:
            return False
        self._dequeue(req)
        return True

    def settle(self, req: AdmissionRequest, actual_tokens: float) -> None:
        """Charge the organisation the actual cost of an ended request.

        Its finish tag moves by the difference from the estimated cost, divided by the
        organisation's weight.
        """
        backlog = self._backlog(req)
        surplus = (actual_tokens - req.cost_tokens) / backlog.weight
        backlog.finish_tag += surplus

    def _backlog(self, req: AdmissionRequest) -> _Backlog:
        backlog = self._backlogs.setdefault(req.organisation, _Backlog())
        backlog.weight = req.weight
        return backlog

    def _push(self, backlog: _Backlog, req: AdmissionRequest) -> None:
        if not backlog.by_priority:
            backlog.start_tag = self._start_tag(backlog)
            heappush(self._start_heap, (backlog.start_tag, req.organisation))
        backlog.push(req)
        self._queued[req.id] = req
        heappush(self._expiry_heap, (req.deadline - req.run_s, req.id))
        if len(self._expiry_heap) > MAX_STALE_ENTRIES + 2 * len(self._queued):
            kept = [entry for entry in self._expiry_heap if entry[1] in self._queued]
            heapify(kept)
            self._expiry_heap = kept

    def _next_backlog(self) -> _Backlog:
        """Return the backlog with the lowest start tag.

        Outdated heap entries on the way are updated or removed.
        """
        while True:
            start_tag, organisation = self._start_heap[0]
            backlog = self._backlogs.get(organisation)
            if (
                backlog is None
                or not backlog.by_priority
                or start_tag != backlog.start_tag
            ):
                heappop(self._start_heap)
            elif backlog.finish_tag > start_tag:
                backlog.start_tag = backlog.finish_tag
                heapreplace(self._start_heap, (backlog.start_tag, organisation))
            else:
                return backlog

    def _dequeue(self, req: AdmissionRequest) -> None:
        del self._queued[req.id]
        self._backlogs[req.organisation].remove(req)

    def _charge_start(self, backlog: _Backlog, req: AdmissionRequest) -> None:
        start_tag = self._start_tag(backlog)
        backlog.finish_tag = start_tag + req.cost_tokens / backlog.weight
        self._virtual_time = start_tag

    def _start_tag(self, backlog: _Backlog) -> float:
        """Return the start tag of the organisation's next request."""
        return max(self._virtual_time, backlog.finish_tag)

    def _expire(self, now: float) -> tuple[Refuse, ...]:
        refused = []
        while self._expiry_heap and self._expiry_heap[0][0] < now:
            _, request_id = heappop(self._expiry_heap)
            req = self._queued.get(request_id)
            if req is None:
                continue
            self._dequeue(req)
            code = ResultCode.DEADLINE_UNMEETABLE
            refused.append(_refuse(req, code, MIN_RETRY_AFTER_S))
        return tuple(refused)

    def _expected_wait_s(self, backlog: _Backlog, capacity: Capacity) -> float:
        """Return the seconds until a new request of the organisation would start.

        Two upper bounds are known, and the smaller one is returned: the time to serve
        the organisation's own queue at its share of the rate, and the time to serve all
        queues at the full rate.
        """
        rate = max(capacity.tokens_per_s, 1.0)
        waiting = [other for other in self._backlogs.values() if other.by_priority]
        weights = sum(other.weight for other in waiting if other is not backlog)
        share = backlog.weight / (backlog.weight + weights)
        all_tokens = sum(other.tokens for other in waiting)
        return min(backlog.tokens / (rate * share), all_tokens / rate)

    def _is_full(self, backlog: _Backlog) -> bool:
        if len(backlog) >= self._settings.max_queued_per_organisation:
            return True
        return len(self._queued) >= self._settings.max_queued

    def _forget_idle(self) -> None:
        if len(self._backlogs) <= ORGANISATIONS_BEFORE_CLEANUP:
            return
        idle = [
            organisation
            for organisation, backlog in self._backlogs.items()
            if not backlog.by_priority and backlog.finish_tag <= self._virtual_time
        ]
        for organisation in idle:
            del self._backlogs[organisation]


def _fits(req: AdmissionRequest, capacity: Capacity) -> bool:
    needed = min(req.cost_tokens, capacity.total_tokens)
    return capacity.free_tokens >= needed


def _remaining(capacity: Capacity, req: AdmissionRequest) -> Capacity:
    free = capacity.free_tokens - req.cost_tokens
    return Capacity(capacity.total_tokens, free, capacity.tokens_per_s)


def _refuse(req: AdmissionRequest, code: ResultCode, after_s: float) -> Refuse:
    bounded = min(max(after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return Refuse(req, code, bounded)
