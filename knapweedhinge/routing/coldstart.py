"""Limit on concurrent requests at a cold endpoint, raised as requests succeed.

The owner counts a slot for each permit that it granted. Other requests at the endpoint,
permitted by an earlier owner or sent before the endpoint turned cold, are counted by
reading the endpoint's own number of requests, once no such request can start any more.
"""

from dataclasses import dataclass, replace
from typing import Protocol

from knapweedhinge.conf import PermitSettings, VotedLimits
from knapweedhinge.routing.load import WarmState
from knapweedhinge.routing.permits import (
    Denial,
    PermitDenial,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)

LIMIT_GROWTH_FACTOR = 2  # factor by which the limit on concurrent requests grows
FULL_RETRY_S = 0.2  # shortest time after which a denied request may be repeated


@dataclass(frozen=True, slots=True)
class EndpointReading:
    """Number of requests in flight as reported by an endpoint to the owner.

    ``started_at`` is the time on the owner's clock when it sent the read. ``cold`` is
    set if the endpoint reports itself to be cold.
    """

    endpoint_id: str
    incarnation: str
    in_flight: int
    started_at: float
    cold: bool = False


@dataclass(frozen=True, slots=True)
class Slot:
    """Granted permit, counted until it is released or ``ended_by`` is reached.

    Its request starts before ``start_by`` or not at all.
    """

    request_id: str
    incarnation: str
    start_by: float
    ended_by: float


class FencedLease(Protocol):
    """Lease under which an owner grants permits; ``fencing`` is its fencing token."""

    @property
    def fencing(self) -> int:
        """Return this node's fencing token, 0 if it isn't the holder."""

    def holds(self, fencing: int, now: float) -> bool:
        """Return whether this node still holds the lease with this fencing token."""


@dataclass(frozen=True, slots=True)
class OwnerStep:
    """State of an owner after a permit request, and its answer to the request."""

    owner: "PermitOwner"
    answer: PermitGrant | PermitDenial


@dataclass(frozen=True, slots=True)
class PermitOwner:
    """Permits of one cold endpoint while this node holds its lease.

    ``fencing_token`` is that of the lease. ``limit`` is the present maximum of
    concurrent requests; it isn't raised while the endpoint reports itself to be cold.
    ``good_answers`` counts the good answers since the limit changed.

    Two upper bounds of the requests at the endpoint are known, and the lower one
    applies: the requests ``without_slot`` plus the slots not yet released, or the
    number of the last read, ``read_in_flight``, plus the slots that could start after
    it. Reads that start before ``settled_at`` are ignored.
    """

    endpoint_id: str
    incarnation: str
    fencing_token: int
    limit: int
    settled_at: float
    read_at: float = float("-inf")
    read_in_flight: int | None = None
    without_slot: int = 0
    slots: tuple[Slot, ...] = ()
    good_answers: int = 0
    cold: bool = False

    @classmethod
    def begin(
        cls,
        endpoint_id: str,
        incarnation: str,
        lease: FencedLease,
        limits: VotedLimits,
        cold_since: float,
        now: float,
        cfg: PermitSettings,
    ) -> "PermitOwner":
        """Return an owner that grants nothing while earlier requests may still start.

        ``cold_since`` is the time when this node learned that the endpoint is cold.
        Other nodes may act on reports that it is warm for up to ``news_s`` after that.
        """
        permits_end = now + cfg.start_s + cfg.margin_s
        known_by = cold_since + cfg.news_s + cfg.margin_s
        return cls(
            endpoint_id,
            incarnation,
            lease.fencing,
            limits.cold_concurrency,
            settled_at=max(permits_end, known_by),
        )

    def grant(
        self, req: PermitRequest, lease: FencedLease, now: float, cfg: PermitSettings
    ) -> OwnerStep:
        """Answer a permit request.

        A repeated request gets its grant again and is counted only once.
        """
        owner = self._expired(now)
        denial = owner._denial(req, lease, now)
        if denial is not None:
            return OwnerStep(owner, denial)
        grant = PermitGrant(req.id, self.endpoint_id, self.incarnation)
        start_by = now + cfg.start_s + cfg.margin_s
        slot = Slot(req.id, self.incarnation, start_by, start_by + cfg.run_s)
        slots = (*owner._without(req.id).slots, slot)
        return OwnerStep(replace(owner, slots=slots), grant)

    def released(self, release: PermitRelease, limits: VotedLimits) -> "PermitOwner":
        """Return the owner after a release, with the limit adapted to its result.

        A repeated or unknown release has no effect.
        """
        ids = {
            slot.request_id
            for slot in self.slots
            if slot.incarnation == self.incarnation
        }
        owner = self._without(release.request_id)
        if not release.ran or release.request_id not in ids:
            return owner
        return owner._with_adapted_limit(release, limits)

    def observed(self, reading: EndpointReading, limits: VotedLimits) -> "PermitOwner":
        """Return the owner after a read of the endpoint.

        A read started before ``settled_at`` or not after the last one is ignored.
        """
        if reading.endpoint_id != self.endpoint_id:
            return self
        if reading.started_at < self.settled_at or reading.started_at <= self.read_at:
            return self
        owner = self._restarted(reading, limits)
        return owner._recounted(reading)

    def outstanding(self) -> int | None:
        """Return the upper bound of requests at the endpoint, None before a read."""
        if self.read_in_flight is None:
            return None
        could_start = sum(slot.start_by >= self.read_at for slot in self.slots)
        return min(
            self.without_slot + len(self.slots), self.read_in_flight + could_start
        )

    def warm_state(self, slots: int) -> WarmState:
        """Return WARM once the limit has reached the endpoint's number of ``slots``."""
        return WarmState.WARM if self.limit >= slots else WarmState.COLD

    def _without(self, request_id: str) -> "PermitOwner":
        kept = tuple(slot for slot in self.slots if slot.request_id != request_id)
        return self if len(kept) == len(self.slots) else replace(self, slots=kept)

    def _denial(self, req, lease: FencedLease, now: float) -> PermitDenial | None:
        if not lease.holds(self.fencing_token, now):
            return PermitDenial(req.id, Denial.NOT_OWNER, FULL_RETRY_S)
        if req.incarnation != self.incarnation:
            return PermitDenial(req.id, Denial.OTHER_INCARNATION, FULL_RETRY_S)
        outstanding = self._without(req.id).outstanding()
        if outstanding is None:
            wait_s = max(self.settled_at - now, FULL_RETRY_S)
            return PermitDenial(req.id, Denial.SETTLING, wait_s)
        if outstanding >= self.limit:
            return PermitDenial(req.id, Denial.FULL, FULL_RETRY_S)
        return None

    def _expired(self, now: float) -> "PermitOwner":
        kept = tuple(slot for slot in self.slots if slot.ended_by > now)
        return self if len(kept) == len(self.slots) else replace(self, slots=kept)

    def _with_adapted_limit(
        self, release: PermitRelease, limits: VotedLimits
    ) -> "PermitOwner":
        if not release.ok:
            return replace(self, limit=limits.cold_concurrency, good_answers=0)
        if self.cold:
            return self
        good_answers = self.good_answers + 1
        if good_answers < self.limit:
            return replace(self, good_answers=good_answers)
        return replace(self, limit=self.limit * LIMIT_GROWTH_FACTOR, good_answers=0)

    def _restarted(self, reading: EndpointReading, limits) -> "PermitOwner":
        if reading.incarnation == self.incarnation:
            return self
        return replace(
            self,
            incarnation=reading.incarnation,
            limit=limits.cold_concurrency,
            good_answers=0,
        )

    def _recounted(self, reading: EndpointReading) -> "PermitOwner":
        without_slot = min(self.without_slot, reading.in_flight)
        without_slot = max(without_slot, reading.in_flight - len(self.slots))
        return replace(
            self,
            read_in_flight=reading.in_flight,
            without_slot=without_slot,
            read_at=reading.started_at,
            cold=reading.cold,
        )
