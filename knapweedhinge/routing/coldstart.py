"""Limit on concurrent requests at a cold endpoint, raised as requests succeed.

The owner of an endpoint is the node that holds its lease. It counts the permits that it
granted. Other requests may run at the endpoint too: those permitted by an earlier
owner, and those sent before the endpoint turned cold. Once no more of them can start,
the owner counts them by reading the number of requests from the endpoint itself.
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
PERMIT_RETRY_S = 0.2  # shortest time after which a denied request may be repeated


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
class GrantedPermit:
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

    ``settled_at`` is the time from which no request without a permit of this owner can
    start any more; reads that start before it are ignored. ``without_permit`` bounds
    the number of such requests that still run. ``granted_permits`` holds the permits
    that count: those neither released nor expired.

    The number of requests at the endpoint has two upper bounds, of which the lower one
    applies:

    * ``without_permit`` plus all permits in ``granted_permits``;
    * ``read_in_flight``, the number at the last read, plus the permits whose requests
      could start after that read.
    """

    endpoint_id: str
    incarnation: str
    fencing_token: int
    limit: int
    settled_at: float
    read_at: float = float("-inf")
    read_in_flight: int | None = None
    without_permit: int = 0
    granted_permits: tuple[GrantedPermit, ...] = ()
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
        """Return an owner that grants nothing until a read counts earlier requests.

        Only a read that starts when these can no longer start is used. ``cold_since``
        is the time when this node learned that the endpoint is cold. Other nodes may
        act on reports that it is warm for up to ``news_s`` after that.
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
        permit = GrantedPermit(req.id, self.incarnation, start_by, start_by + cfg.run_s)
        granted_permits = (*owner._without(req.id).granted_permits, permit)
        return OwnerStep(replace(owner, granted_permits=granted_permits), grant)

    def released(self, release: PermitRelease, limits: VotedLimits) -> "PermitOwner":
        """Return the owner after a release, with the limit adapted to its result.

        A repeated or unknown release has no effect.
        """
        ids = {
            permit.request_id
            for permit in self.granted_permits
            if permit.incarnation == self.incarnation
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
        could_start = sum(
            permit.start_by >= self.read_at for permit in self.granted_permits
        )
        return min(
            self.without_permit + len(self.granted_permits),
            self.read_in_flight + could_start,
        )

    def warm_state(self, slots: int) -> WarmState:
        """Return WARM once the limit has reached ``slots``, the batch size."""
        return WarmState.WARM if self.limit >= slots else WarmState.COLD

    def _without(self, request_id: str) -> "PermitOwner":
        kept = tuple(
            permit for permit in self.granted_permits if permit.request_id != request_id
        )
        return (
            self
            if len(kept) == len(self.granted_permits)
            else replace(self, granted_permits=kept)
        )

    def _denial(self, req, lease: FencedLease, now: float) -> PermitDenial | None:
        if not lease.holds(self.fencing_token, now):
            return PermitDenial(req.id, Denial.NOT_OWNER, PERMIT_RETRY_S)
        if req.incarnation != self.incarnation:
            return PermitDenial(req.id, Denial.OTHER_INCARNATION, PERMIT_RETRY_S)
        outstanding = self._without(req.id).outstanding()
        if outstanding is None:
            wait_s = max(self.settled_at - now, PERMIT_RETRY_S)
            return PermitDenial(req.id, Denial.SETTLING, wait_s)
        if outstanding >= self.limit:
            return PermitDenial(req.id, Denial.FULL, PERMIT_RETRY_S)
        return None

    def _expired(self, now: float) -> "PermitOwner":
        kept = tuple(permit for permit in self.granted_permits if permit.ended_by > now)
        return (
            self
            if len(kept) == len(self.granted_permits)
            else replace(self, granted_permits=kept)
        )

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
        without_permit = min(self.without_permit, reading.in_flight)
        without_permit = max(
            without_permit, reading.in_flight - len(self.granted_permits)
        )
        return replace(
            self,
            read_in_flight=reading.in_flight,
            without_permit=without_permit,
            read_at=reading.started_at,
            cold=reading.cold,
        )
