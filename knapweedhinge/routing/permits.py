"""Messages about permits for requests to cold endpoints, and the state of a holder.

A cold endpoint is owned by one node, which holds its lease and grants a permit for each
request that any node wants to send there.
"""

from dataclasses import dataclass, replace
from enum import StrEnum

from knapweedhinge.conf import PermitSettings


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Message that asks for a permit for one request to a cold endpoint.

    ``id`` is never reused. ``incarnation`` is that of the endpoint.
    """

    id: str
    endpoint_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Message of the owner that lets the request ``request_id`` start."""

    request_id: str
    endpoint_id: str
    incarnation: str


class Denial(StrEnum):
    """Reason why an owner denies a permit at present.

    ``SETTLING`` means that the owner does not know how many requests run at the
    endpoint: earlier ones may still start, or no recent read has counted them. ``FULL``
    means that the endpoint runs as many requests as it may.
    """

    NOT_OWNER = "not-owner"
    SETTLING = "settling"
    OTHER_INCARNATION = "other-incarnation"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class PermitDenial:
    """Message of the owner that denies a permit; retry after ``retry_after_s``."""

    request_id: str
    reason: Denial
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Message that the request ended, or that its permit will not be used.

    ``ran`` is set if the request was sent, and ``ok`` if the endpoint answered
    completely and within the limits of the class.
    """

    request_id: str
    endpoint_id: str
    ran: bool
    ok: bool


class HeldState(StrEnum):
    """State of a permit at its holder; states only advance in this order."""

    ASKED = "asked"
    GRANTED = "granted"
    USED = "used"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """Permit at the node that requested it.

    The request must start within ``PermitSettings.start_s`` seconds of ``asked_at``.
    Times are of the holder's own monotonic clock, which must advance while the process
    is paused.
    """

    request: PermitRequest
    asked_at: float
    state: HeldState = HeldState.ASKED

    def granted(self, grant: PermitGrant) -> "HeldPermit":
        """Return the permit after a grant.

        A repeated grant, or one for another request or incarnation, has no effect.
        """
        if self.state is not HeldState.ASKED or grant.request_id != self.request.id:
            return self
        if grant.incarnation != self.request.incarnation:
            return self
        return replace(self, state=HeldState.GRANTED)

    def usable(self, incarnation: str, now: float, cfg: PermitSettings) -> bool:
        """Return whether the request may start at ``now`` on this incarnation."""
        if self.state is not HeldState.GRANTED:
            return False
        if incarnation != self.request.incarnation:
            return False
        return now < self.asked_at + cfg.start_s

    def used(self) -> "HeldPermit":
        """Return the permit once the first byte of its request has been sent."""
        return replace(self, state=HeldState.USED)

    def closed(self) -> "HeldPermit":
        """Return the permit after its end; it can no longer be used."""
        return replace(self, state=HeldState.CLOSED)

    def release(self, ok: bool) -> PermitRelease:
        """Return the message that releases the permit at its owner."""
        ran = self.state is HeldState.USED
        return PermitRelease(self.request.id, self.request.endpoint_id, ran, ok)
