"""Collect statistics from answers and ratings, and build routing snapshots of them."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from knapweedhinge.backing.types import Rating
from knapweedhinge.conf import ClassOfWork, Configuration, VotedLimits
from knapweedhinge.controllers.cuts import (
    CutTracker,
    Watch,
    responsible_version,
    watch_of,
)
from knapweedhinge.controllers.snapshot import Snapshot
from knapweedhinge.routing.eligibility import BalanceView, exclusion
from knapweedhinge.routing.evidence import unit_hash
from knapweedhinge.routing.exposure import (
    Allowance,
    ExposureLedger,
    OwnedSlots,
    slot_owners,
)
from knapweedhinge.routing.load import LocalLedger, corrected_load, expected_wait_s
from knapweedhinge.routing.plans import PlanDecision, RoutingSnapshot
from knapweedhinge.routing.records import (
    AnswerRecord,
    Outcome,
    RatingRecord,
    bad_rating,
)
from knapweedhinge.routing.sequential import WatchRow
from knapweedhinge.routing.statistics import (
    Statistics,
    StatisticsDelta,
    StatisticsView,
)

SNAPSHOT_MAX_AGE_S = 0.5  # seconds for which a routing snapshot is reused
RATED_SHARE = 0.1  # share of all answers that are sent for rating as a random sample
MAX_AWAITED_RATINGS = 20_000  # answers with a pending rating; the oldest are dropped
MAX_WAIT_ENDPOINTS = 4  # endpoints looked at for the expected wait of a version


@dataclass(frozen=True)
class AwaitedRating:
    """An answer that was sent for rating and whose rating is pending."""

    class_id: str
    plan: str
    prompt_tokens: int
    version: str


@dataclass(frozen=True)
class RatingWanted:
    """An answer that is still to be sent for rating."""

    request_id: str
    plan: str
    class_id: str


class Evidence(msgspec.Struct, array_like=True):
    """Message with a node's statistics for its peers; merging it is idempotent.

    ``watched`` holds the node's observations for the tests that may cut a version (see
    ``cuts``).
    """

    statistics: StatisticsDelta
    watched: tuple[WatchRow, ...] = ()


class Learning:
    """Aggregate answers and ratings into statistics and routing snapshots.

    Evidence slots bound the unrated requests of a roll-out. They are divided among the
    member nodes, of which this node is ``vm``. ``rating_queue`` holds the answers that
    are still to be sent for rating. Times are in seconds on the node's monotonic clock.
    ``epoch_s`` is added to them to get wall-clock time, since statistics are kept in
    buckets of wall time, which all nodes share.
    """

    def __init__(
        self, vm: str, incarnation: str, ledger: LocalLedger, epoch_s: float = 0.0
    ):
        self._vm = vm
        self._epoch_s = epoch_s
        self._ledger = ledger
        self.statistics = Statistics(incarnation)
        self._exposure = ExposureLedger()
        self._owned_slots: dict[str, OwnedSlots] = {}
        self._awaited: OrderedDict[str, AwaitedRating] = OrderedDict()
        self.cuts = CutTracker(incarnation)
        self._members: tuple[str, ...] = (vm,)
        self._last_snapshot: RoutingSnapshot | None = None
        self._snapshot_at = -math.inf
        self.rating_queue: list[RatingWanted] = []

    def set_members(self, vms: tuple[str, ...]) -> None:
        """Set the VMs of the members that share the evidence slots."""
        self._members = vms

    def routing_snapshot(self, snapshot: Snapshot, now: float) -> RoutingSnapshot:
        """Return the input for choosing plans.

        It is reused for ``SNAPSHOT_MAX_AGE_S`` unless the configuration or the set of
        cut versions changes.
        """
        last = self._last_snapshot
        current = last is not None and last.cfg is snapshot.configuration
        current = current and last.cuts is self.cuts.versions
        if current and now - self._snapshot_at < SNAPSHOT_MAX_AGE_S:
            return last
        self._last_snapshot = RoutingSnapshot(
            cfg=snapshot.configuration,
            statistics=self.view(now),
            cuts=self.cuts.versions,
            waits_s=self._waits(snapshot),
        )
        self._snapshot_at = now
        self._refresh_slots(snapshot.configuration, now)
        self._resend_overdue(now)
        return self._last_snapshot

    def view(self, now: float) -> StatisticsView:
        """Return the statistics of this node and its peers, weighted by age."""
        return self.statistics.view(self._wall(now))

    def allowance(
        self, work: ClassOfWork, configuration: Configuration, now: float
    ) -> Allowance:
        """Return the roll-outs that the next request of a class may be part of.

        The result also says whether the request may be used for exploration.
        """
        slots = {
            roll_out_id: owned.usable(now)
            for roll_out_id, owned in self._owned_slots.items()
        }
        limits: VotedLimits = configuration.limits
        return self._exposure.allowance(
            work, configuration.roll_outs, slots, limits.exploration_share
        )

    def decided(
        self, request_id: str, class_id: str, decision: PlanDecision, now: float
    ) -> None:
        """Count a request towards the exposure and exploration limits."""
        self._exposure.record_request(class_id)
        if decision.roll_out:
            roll_out = decision.roll_out
            self._exposure.record_exposed(class_id, roll_out, request_id, now)
        if decision.explores:
            self._exposure.record_explored(class_id)

    def not_run(self, request_id: str) -> None:
        """Stop waiting for the rating of a request that was refused or failed."""
        self._exposure.ratings.settle(request_id)

    def answered(
        self, request_id: str, decision: PlanDecision, answer: AnswerRecord, now: float
    ) -> None:
        """Record the end of an attempt and queue its answer for rating if wanted.

        Answers are rated when the decision asks for it, and as a random sample.
        """
        version = responsible_version(decision, answer)
        failed = answer.outcome is Outcome.FAILED
        self.statistics.record_answer(answer, self._wall(now))
        watch = self._watch(answer.class_id, version)
        if watch is not None:
            self.cuts.answered(watch, failed, answer.slow, self._wall(now))
        if failed:
            self.not_run(request_id)
            return
        sampled = unit_hash("rate", request_id) < RATED_SHARE
        if not decision.wants_rating and not sampled:
            return
        self._awaited[request_id] = AwaitedRating(
            answer.class_id, answer.plan, answer.prompt_tokens, version
        )
        self.rating_queue.append(RatingWanted(request_id, answer.plan, answer.class_id))
        if len(self._awaited) > MAX_AWAITED_RATINGS:
            self._awaited.popitem(last=False)

    def rated(self, rating: Rating, now: float) -> bool:
        """Record a rating; return False when this node doesn't await it."""
        awaited = self._awaited.pop(rating.request_id, None)
        if awaited is None:
            return False
        work = (
            self._last_snapshot.cfg.class_of_work(awaited.class_id)
            if self._last_snapshot
            else None
        )
        bad = work is not None and rating.score < bad_rating(work)
        record = RatingRecord(
            awaited.class_id, awaited.plan, awaited.prompt_tokens, rating.score, bad
        )
        self.statistics.record_rating(record, self._wall(now))
        self._exposure.ratings.settle(rating.request_id)
        watch = self._watch(awaited.class_id, awaited.version)
        if watch is not None:
            self.cuts.rated(watch, rating.score, self._wall(now))
        return True

    def encoded_delta(self, now: float) -> bytes:
        """Return the encoded statistics of this node for its peers."""
        wall = self._wall(now)
        rows = self.cuts.own_rows(wall)
        return msgspec.msgpack.encode(Evidence(self.statistics.delta(wall), rows))

    def merge(self, data: bytes, now: float) -> None:
        """Merge a peer's statistics; raise msgspec.MsgspecError if malformed."""
        evidence = msgspec.msgpack.decode(data, type=Evidence)
        self.statistics.merge(evidence.statistics, self._wall(now))
        self.cuts.merge(evidence.watched, self._wall(now))

    def _wall(self, now: float) -> float:
        return now + self._epoch_s

    def _watch(self, class_id: str, version: str) -> Watch | None:
        """Return the watch that a version's answers count towards, or None.

        The configuration and statistics are those of the last routing snapshot.
        """
        last = self._last_snapshot
        work = last.cfg.class_of_work(class_id) if last else None
        if work is None or not version:
            return None
        return watch_of(last.cfg, last.statistics, work, version)

    def _resend_overdue(self, now: float) -> None:
        """Queue answers whose rating is overdue for rating again."""
        for request_id in self._exposure.ratings.overdue(now):
            awaited = self._awaited.get(request_id)
            if awaited is not None:
                wanted = RatingWanted(request_id, awaited.plan, awaited.class_id)
                self.rating_queue.append(wanted)

    def _refresh_slots(self, configuration: Configuration, now: float) -> None:
        running = [
            candidate
            for candidate in configuration.roll_outs
            if candidate.state == "running"
        ]
        held = {}
        for roll_out in running:
            owners = slot_owners(roll_out.id, self._members, roll_out.max_unrated)
            known = self._owned_slots.get(roll_out.id, OwnedSlots())
            held[roll_out.id] = known.refresh(self._vm, owners, now)
        self._owned_slots = held

    def _waits(self, snapshot: Snapshot) -> Mapping[str, float]:
        versions = snapshot.configuration.versions
        return {version.id: self._wait_s(version.id, snapshot) for version in versions}

    def _wait_s(self, version_id: str, snapshot: Snapshot) -> float:
        """Return the least expected wait in seconds at a version's endpoints.

        At most ``MAX_WAIT_ENDPOINTS`` are looked at; infinity if none is usable.
        """
        index = snapshot.endpoints.index
        view = BalanceView(
            index,
            self._ledger,
            domains_out=snapshot.configuration.domains_out,
        )
        ids = index.by_version.get(version_id, ())
        candidates = (index.by_id[endpoint_id] for endpoint_id in ids)
        eligible = [
            candidate
            for candidate in candidates
            if exclusion(candidate, view, permits=frozenset(ids)) is None
        ]
        waits = [
            expected_wait_s(
                endpoint.report, corrected_load(endpoint, self._ledger), 0.0
            )
            for endpoint in eligible[:MAX_WAIT_ENDPOINTS]
        ]
        return min(waits, default=math.inf)
