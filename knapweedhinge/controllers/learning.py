"""What answers and ratings teach, and the routing snapshot made of it."""

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

SNAPSHOT_MAX_AGE_S = 0.5
RATED_SHARE = 0.1
MAX_AWAITED_RATINGS = 20_000
WAIT_SAMPLE = 4


@dataclass(frozen=True)
class Awaited:
    """An answer handed in for rating."""

    class_id: str
    plan: str
    prompt_tokens: int
    version: str


@dataclass(frozen=True)
class RatingWanted:
    """An answer to hand in for rating."""

    request_id: str
    plan: str
    class_id: str


class Evidence(msgspec.Struct, array_like=True):
    """What a node tells its peers of what it learnt; idempotent to take in."""

    statistics: StatisticsDelta
    watched: tuple[WatchRow, ...] = ()


class Learning:
    """Fold answers and ratings into statistics; give routing snapshots out.

    ``vm`` is the node's own name among the members that own evidence slots. Times are
    on the node's monotonic clock; ``epoch_s`` is the wall clock's lead over it, since
    evidence is kept in buckets of wall time, which all nodes share.
    """

    def __init__(
        self, vm: str, incarnation: str, ledger: LocalLedger, epoch_s: float = 0.0
    ):
        self._vm = vm
        self._epoch_s = epoch_s
        self._ledger = ledger
        self.statistics = Statistics(incarnation)
        self._exposure = ExposureLedger()
        self._holdings: dict[str, OwnedSlots] = {}
        self._awaited: OrderedDict[str, Awaited] = OrderedDict()
        self.cuts = CutTracker(incarnation)
        self._members: tuple[str, ...] = (vm,)
        self._made: RoutingSnapshot | None = None
        self._made_at = -math.inf
        self.to_rate: list[RatingWanted] = []

    def set_members(self, vms: tuple[str, ...]) -> None:
        """Take over which members share the evidence slots."""
        self._members = vms

    def routing_snapshot(self, snapshot: Snapshot, now: float) -> RoutingSnapshot:
        """Return what plan choice reads; a made one is used for a short time."""
        made = self._made
        current = made is not None and made.cfg is snapshot.configuration
        current = current and made.cuts is self.cuts.versions
        if current and now - self._made_at < SNAPSHOT_MAX_AGE_S:
            return made
        self._made = RoutingSnapshot(
            cfg=snapshot.configuration,
            statistics=self.view(now),
            cuts=self.cuts.versions,
            waits_s=self._waits(snapshot),
        )
        self._made_at = now
        self._refresh_slots(snapshot.configuration, now)
        self._ask_again(now)
        return self._made

    def view(self, now: float) -> StatisticsView:
        """Return the aged evidence of this node and its peers."""
        return self.statistics.view(self._wall(now))

    def allowance(
        self, work: ClassOfWork, configuration: Configuration, now: float
    ) -> Allowance:
        """Return what the next request of a class may be used for."""
        slots = {key: item.usable(now) for key, item in self._holdings.items()}
        limits: VotedLimits = configuration.limits
        return self._exposure.allowance(
            work, configuration.roll_outs, slots, limits.exploration_share
        )

    def decided(
        self, request_id: str, class_id: str, decision: PlanDecision, now: float
    ) -> None:
        """Count a request towards the voted shares."""
        self._exposure.record_request(class_id)
        if decision.roll_out:
            roll_out = decision.roll_out
            self._exposure.record_exposed(class_id, roll_out, request_id, now)
        if decision.explores:
            self._exposure.record_explored(class_id)

    def not_run(self, request_id: str) -> None:
        """Expect no rating of a request that was refused or failed after all."""
        self._exposure.ratings.settle(request_id)

    def answered(
        self, request_id: str, decision: PlanDecision, answer: AnswerRecord, now: float
    ) -> None:
        """Take an attempt's end in, and hand some answers in for rating."""
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
        self._awaited[request_id] = Awaited(
            answer.class_id, answer.plan, answer.prompt_tokens, version
        )
        self.to_rate.append(RatingWanted(request_id, answer.plan, answer.class_id))
        if len(self._awaited) > MAX_AWAITED_RATINGS:
            self._awaited.popitem(last=False)

    def rated(self, rating: Rating, now: float) -> bool:
        """Take a rating in; return whether the answer was this node's."""
        awaited = self._awaited.pop(rating.request_id, None)
        if awaited is None:
            return False
        work = self._made.cfg.class_of_work(awaited.class_id) if self._made else None
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
        """Return what peers should know of this node's evidence."""
        wall = self._wall(now)
        rows = self.cuts.own_rows(wall)
        return msgspec.msgpack.encode(Evidence(self.statistics.delta(wall), rows))

    def merge(self, data: bytes, now: float) -> None:
        """Take a peer's evidence in; malformed data raises msgspec's errors."""
        evidence = msgspec.msgpack.decode(data, type=Evidence)
        self.statistics.merge(evidence.statistics, self._wall(now))
        self.cuts.merge(evidence.watched, self._wall(now))

    def _wall(self, now: float) -> float:
        return now + self._epoch_s

    def _watch(self, class_id: str, version: str) -> Watch | None:
        """Return what a version's answer counts towards, as of the last snapshot."""
        made = self._made
        work = made.cfg.class_of_work(class_id) if made else None
        if work is None or not version:
            return None
        return watch_of(made.cfg, made.statistics, work, version)

    def _ask_again(self, now: float) -> None:
        """Hand answers in again whose rating is overdue."""
        for request_id in self._exposure.ratings.overdue(now):
            awaited = self._awaited.get(request_id)
            if awaited is not None:
                wanted = RatingWanted(request_id, awaited.plan, awaited.class_id)
                self.to_rate.append(wanted)

    def _refresh_slots(self, configuration: Configuration, now: float) -> None:
        running = [one for one in configuration.roll_outs if one.state == "running"]
        held = {}
        for roll_out in running:
            owners = slot_owners(roll_out.id, self._members, roll_out.max_unrated)
            known = self._holdings.get(roll_out.id, OwnedSlots())
            held[roll_out.id] = known.refresh(self._vm, owners, now)
        self._holdings = held

    def _waits(self, snapshot: Snapshot) -> Mapping[str, float]:
        versions = snapshot.configuration.versions
        return {one.id: self._wait_s(one.id, snapshot) for one in versions}

    def _wait_s(self, version_id: str, snapshot: Snapshot) -> float:
        """Return the least expected wait among some endpoints of a version."""
        index = snapshot.endpoints.index
        view = BalanceView(
            index,
            self._ledger,
            domains_out=snapshot.configuration.domains_out,
        )
        ids = index.by_version.get(version_id, ())
        usable = (index.by_id[one] for one in ids)
        open_to_all = [
            one
            for one in usable
            if exclusion(one, view, permits=frozenset(ids)) is None
        ]
        waits = [
            expected_wait_s(one.report, corrected_load(one, self._ledger), 0.0)
            for one in open_to_all[:WAIT_SAMPLE]
        ]
        return min(waits, default=math.inf)
