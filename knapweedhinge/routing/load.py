"""Describe endpoints as a node sees them, and estimate their load and waiting time.

Load reports arrive with a delay. Each node corrects them by the requests that it sent
itself since the report.
"""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from math import exp

# Dispatches and completions kept for one endpoint; the oldest are dropped first.
MAX_LEDGER_EVENTS = 4096
# Free share of the KV cache below which an engine takes no more requests into its
# batch, so that further ones queue.
MIN_KV_FREE_SHARE = 0.05
# The other requests in a batch slow the generation of a new one; this share of the
# slowdown counts as delay.
BATCH_DELAY_SHARE = 0.5
# Decay rate of a report's weight, per drain time of the reported requests.
REPORT_DECAY = 8.0
# Weight below which a report is ignored.
MIN_REPORT_WEIGHT = 0.02
# Lower bound of the drain time, in seconds.
MIN_DRAIN_S = 0.1
# Defaults of the report fields of the same names, used until an endpoint reports.
DEFAULT_TOKENS_PER_S = 1000.0
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0
DEFAULT_SLOTS = 8
DEFAULT_OUTPUT_TOKENS = 200.0


class EndpointKind(StrEnum):
    """Whether an endpoint reports its status as an inference engine or as a service."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(StrEnum):
    """Whether an endpoint may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


class WarmState(StrEnum):
    """How much work an endpoint may receive after its start.

    A cold endpoint takes requests only by permit, a ramping one up to its warm limit,
    and a warm one without a limit.
    """

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint reported.

    ``running`` and ``waiting`` count requests. ``kv_free`` is the free share of the KV
    cache. ``tokens_per_s`` and ``prefill_tokens_per_s`` are rates with a full batch of
    ``slots`` requests. ``reported_at`` is the time of the report in seconds on the
    receiving node's monotonic clock.
    """

    running: int = 0
    waiting: int = 0
    kv_free: float = 1.0
    tokens_per_s: float = DEFAULT_TOKENS_PER_S
    reported_at: float = float("-inf")
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    slots: int = DEFAULT_SLOTS
    mean_output_tokens: float = DEFAULT_OUTPUT_TOKENS


@dataclass(frozen=True, slots=True)
class EndpointView:
    """One endpoint as a node sees it.

    ``warm_limit`` bounds the concurrent requests of all nodes while ``warm_state`` is
    ramping: the most that the endpoint is known to handle. None stands for no limit.
    ``versions`` are the model versions, or the release of the service, that it runs.
    ``incarnation`` changes when its process restarts. ``slots`` is how many calls it
    says that it runs at once, 0 if unknown.
    """

    id: str
    url: str
    failure_domain: str
    region: str
    kind: EndpointKind = EndpointKind.ENGINE
    versions: frozenset[str] = frozenset()
    service: str | None = None
    incarnation: str = ""
    state: EndpointState = EndpointState.LIVE
    warm_state: WarmState = WarmState.WARM
    warm_limit: int | None = None
    report: LoadReport = field(default_factory=LoadReport)
    slots: int = 0


class _EventKind(Enum):
    DISPATCHED = 1
    COMPLETED = -1


class _EndpointLedger:
    """This node's dispatches and completions at one endpoint, oldest first."""

    __slots__ = ("changes", "in_flight", "times")

    def __init__(self):
        self.times: deque[float] = deque(maxlen=MAX_LEDGER_EVENTS)
        self.changes: deque[int] = deque(maxlen=MAX_LEDGER_EVENTS)
        self.in_flight = 0

    def add(self, kind: _EventKind, at: float) -> None:
        self.times.append(at)
        self.changes.append(kind.value)
        self.in_flight = max(0, self.in_flight + kind.value)

    def forget_until(self, reported_at: float) -> None:
        for _ in range(bisect_right(self.times, reported_at)):
            self.times.popleft()
            self.changes.popleft()

    def net(self) -> int:
        return sum(self.changes)


class LocalLedger:
    """Count the requests that this node sent to each endpoint and that ended there.

    The counts correct load reports, which lag. Events of one endpoint have to be
    recorded in the order of their times.
    """

    def __init__(self):
        self._ledgers: dict[str, _EndpointLedger] = {}

    def dispatched(self, endpoint_id: str, at: float) -> None:
        """Record that a request was sent to the endpoint."""
        self._ledger(endpoint_id).add(_EventKind.DISPATCHED, at)

    def completed(self, endpoint_id: str, at: float) -> None:
        """Record that a request ended at the endpoint, whether it succeeded or not."""
        self._ledger(endpoint_id).add(_EventKind.COMPLETED, at)

    def forget(self, endpoint_id: str) -> None:
        """Drop the counts of an endpoint that restarted or is gone."""
        self._ledgers.pop(endpoint_id, None)

    def in_flight(self, endpoint_id: str) -> int:
        """Return how many of this node's requests are in flight at the endpoint."""
        ledger = self._ledgers.get(endpoint_id)
        return ledger.in_flight if ledger else 0

    def net_since(self, endpoint_id: str, reported_at: float) -> int:
        """Return the dispatches less the completions after ``reported_at``.

        Earlier events are dropped for good, since the report includes their effect.
        """
        ledger = self._ledgers.get(endpoint_id)
        if ledger is None:
            return 0
        ledger.forget_until(reported_at)
        return ledger.net()

    def _ledger(self, endpoint_id: str) -> _EndpointLedger:
        ledger = self._ledgers.get(endpoint_id)
        if ledger is None:
            ledger = self._ledgers[endpoint_id] = _EndpointLedger()
        return ledger


def corrected_load(endpoint: EndpointView, ledger: LocalLedger) -> int:
    """Return the requests at an endpoint: those reported, corrected by own changes.

    The result is at least the number of this node's requests in flight.
    """
    report = endpoint.report
    net = ledger.net_since(endpoint.id, report.reported_at)
    own = ledger.in_flight(endpoint.id)
    return max(own, report.running + report.waiting + net)


@dataclass(frozen=True, slots=True)
class SplitLoad:
    """The requests at an endpoint, split by who sent them.

    ``own`` are this node's requests in flight now, ``others`` those of other nodes at
    the last report. ``age_s`` is the age of the report and ``drain_s`` the time the
    reported requests take to end, both in seconds.
    """

    own: int
    others: int
    age_s: float
    drain_s: float

    def current_load(self, mean_others: float) -> float:
        """Return the estimated requests at the endpoint now.

        The others' part moves from the reported value to ``mean_others``, the mean of
        the endpoints compared, as the report ages. All nodes see the same report and
        would send their work to the same endpoint, so the report loses weight well
        before the reported requests have ended. A small remaining weight would still
        make all nodes break ties alike, so it counts as zero below
        ``MIN_REPORT_WEIGHT``.
        """
        weight = exp(-max(self.age_s, 0.0) * REPORT_DECAY / self.drain_s)
        if weight < MIN_REPORT_WEIGHT:
            return self.own + mean_others
        return self.own + mean_others + (self.others - mean_others) * weight


def split_load(endpoint: EndpointView, ledger: LocalLedger, now: float) -> SplitLoad:
    """Split the requests of an endpoint's last report into own and others'."""
    report = endpoint.report
    own = ledger.in_flight(endpoint.id)
    own_at_report = own - ledger.net_since(endpoint.id, report.reported_at)
    others = max(0, report.running + report.waiting - max(own_at_report, 0))
    age_s = now - report.reported_at
    return SplitLoad(own, others, age_s, drain_s(report))


def drain_s(report: LoadReport) -> float:
    """Return the seconds in which the reported requests end.

    At least one full batch is assumed.
    """
    count = max(report.running + report.waiting, report.slots)
    drain = count * report.mean_output_tokens / max(report.tokens_per_s, 1.0)
    return max(drain, MIN_DRAIN_S)


def expected_wait_s(report: LoadReport, load: float, output_tokens: float) -> float:
    """Return the seconds that ``load`` requests at an endpoint delay a new one.

    Requests beyond the batch size queue for a slot; those within it slow the
    generation of the new request's ``output_tokens``.
    """
    rate = max(report.tokens_per_s, 1.0)
    slots = _usable_slots(report, load)
    queued = max(0.0, load + 1 - slots)
    queue_s = queued * report.mean_output_tokens / rate
    batch_delay_s = BATCH_DELAY_SHARE * output_tokens * min(load, slots) / rate
    return queue_s + batch_delay_s


def prefill_s(report: LoadReport, uncached_tokens: int) -> float:
    """Return the seconds to process the tokens of a prompt that aren't cached."""
    return uncached_tokens / max(report.prefill_tokens_per_s, 1.0)


def _usable_slots(report: LoadReport, load: float) -> float:
    """Return the batch size, limited to the present load if the KV cache is full."""
    slots = max(report.slots, 1)
    if report.kv_free < MIN_KV_FREE_SHARE:
        return min(slots, max(load, 1))
    return slots
