"""Permits for sending requests to cold endpoints.

An endpoint is cold after its start, while it can run only few requests at once. The
node that holds the lease for it, its owner, grants permits; other nodes request them,
so that all nodes together keep within the endpoint's concurrency limit.
"""

import uuid
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace

from knapweedhinge.conf import PermitSettings, VotedLimits
from knapweedhinge.controllers.leases import Lease
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.endpoints.types import EndpointStatus
from knapweedhinge.routing.coldstart import (
    PERMIT_RETRY_S,
    EndpointReading,
    PermitOwner,
)
from knapweedhinge.routing.load import EndpointView, WarmState
from knapweedhinge.routing.permits import (
    Denial,
    HeldPermit,
    PermitDenial,
    PermitGrant,
    PermitRelease,
    PermitRequest,
)

SendRequest = Callable[[PermitRequest], Awaitable[PermitGrant | PermitDenial]]
SendRelease = Callable[[PermitRelease], None]


class ColdPermits:
    """Request permits from the owners of cold endpoints and release them.

    A node requests one permit of an endpoint at a time, and after a denial waits for
    the retry delay that the owner returned.
    """

    def __init__(self, cfg: PermitSettings, clock: Callable[[], float]):
        self._cfg = cfg
        self._clock = clock
        self._send_request: SendRequest | None = None
        self._send_release: SendRelease | None = None
        self._next_request_at: dict[str, float] = {}

    def connect(self, send_request: SendRequest, send_release: SendRelease) -> None:
        """Set how messages reach the owners; until then no permit is available."""
        self._send_request, self._send_release = send_request, send_release

    def is_known_warm(self, endpoint: EndpointView) -> bool:
        """Return whether a recent report of the endpoint says that it is warm."""
        if endpoint.warm_state is WarmState.COLD:
            return False
        age_s = self._clock() - endpoint.report.reported_at
        return age_s < self._cfg.news_s

    async def acquire(self, endpoint: EndpointView) -> HeldPermit | None:
        """Request a permit and return it, or None if there is none now.

        The caller must pass it to ``start`` or ``release``.
        """
        now = self._clock()
        if self._send_request is None or now < self._next_request_at.get(
            endpoint.id, now
        ):
            return None
        self._next_request_at[endpoint.id] = now + self._cfg.start_s
        req = PermitRequest(uuid.uuid4().hex, endpoint.id, endpoint.incarnation)
        return await self._request_from_owner(HeldPermit(req, now))

    def start(
        self, held: HeldPermit, endpoint: EndpointView | None
    ) -> HeldPermit | None:
        """Mark the permit as used, right before its request is sent.

        Release it and return None if it is no longer valid. ``endpoint`` is its
        current state, None if it takes no new requests.
        """
        now = self._clock()
        if endpoint and held.usable(endpoint.incarnation, now, self._cfg):
            return held.used()
        self.release(held, ok=False)
        return None

    def release(self, held: HeldPermit, ok: bool) -> None:
        """Release a permit.

        ``ok`` is whether the permitted request was answered completely and in time.
        """
        self._next_request_at.pop(held.request.endpoint_id, None)
        self._send_release(held.release(ok))

    async def _request_from_owner(self, held: HeldPermit) -> HeldPermit | None:
        """Send the permit's request; return the granted permit, or None.

        After an error the permit is released, since the owner may have granted it.
        """
        endpoint_id = held.request.endpoint_id
        try:
            answer = await self._send_request(held.request)
        except BaseException as exc:
            self.release(held, ok=False)
            if not isinstance(exc, PeerError):
                raise
            self._next_request_at[endpoint_id] = self._clock() + PERMIT_RETRY_S
            return None
        if isinstance(answer, PermitDenial):
            self._next_request_at[endpoint_id] = self._clock() + answer.retry_after_s
            return None
        self._next_request_at.pop(endpoint_id, None)
        return held.granted(answer)


@dataclass(frozen=True, slots=True)
class ColdStart:
    """A cold start of an endpoint as observed by its owner.

    ``since`` is when the owner first knew of it and ``read_at`` when the last health
    check was sent, in seconds on the owner's monotonic clock.
    """

    incarnation: str
    since: float
    read_at: float


class OwnedPermits:
    """Grant permits for the cold endpoints that one lease covers."""

    def __init__(self, cfg: PermitSettings):
        self._cfg = cfg
        self._cold_starts: dict[str, ColdStart] = {}
        self._owners: dict[str, PermitOwner] = {}

    @property
    def cold(self) -> Iterable[str]:
        """The ids of the endpoints known to be cold."""
        return self._cold_starts.keys()

    def observed(
        self, status: EndpointStatus, lease: Lease, limits: VotedLimits, now: float
    ) -> None:
        """Record the status of an endpoint from a health check answered at ``now``.

        The cold start begins anew after a restart, or when the gap since the last
        status is so long that other nodes may have seen the endpoint warm meanwhile.
        """
        if not status.cold:
            self._forget(status.endpoint_id)
            return
        self._record_cold_start(status, now)
        self._begin(status.endpoint_id, lease, limits, now)
        owner = self._owners.get(status.endpoint_id)
        if owner is not None:
            reading = _reading(status)
            self._owners[status.endpoint_id] = owner.observed(reading, limits)

    def answer(
        self, req: PermitRequest, lease: Lease, now: float
    ) -> PermitGrant | PermitDenial:
        """Grant or deny a request for a permit."""
        if not lease.is_held(now):
            return PermitDenial(req.id, Denial.NOT_OWNER, PERMIT_RETRY_S)
        owner = self._owners.get(req.endpoint_id)
        cold_start = self._cold_starts.get(req.endpoint_id)
        if owner is None or now - cold_start.read_at >= self._cfg.news_s:
            return PermitDenial(req.id, Denial.SETTLING, PERMIT_RETRY_S)
        step = owner.grant(req, lease, now, self._cfg)
        self._owners[req.endpoint_id] = step.owner
        return step.answer

    def released(self, release: PermitRelease, limits: VotedLimits) -> None:
        """Record the release of a permit."""
        owner = self._owners.get(release.endpoint_id)
        if owner is not None:
            self._owners[release.endpoint_id] = owner.released(release, limits)

    def _record_cold_start(self, status: EndpointStatus, now: float) -> None:
        endpoint_id, read_at = status.endpoint_id, status.report.reported_at
        cold_start = self._cold_starts.get(endpoint_id)
        if cold_start is not None and self._is_same_cold_start(cold_start, status):
            read_at = max(read_at, cold_start.read_at)
            self._cold_starts[endpoint_id] = replace(cold_start, read_at=read_at)
            return
        self._forget(endpoint_id)
        self._cold_starts[endpoint_id] = ColdStart(status.incarnation, now, read_at)

    def _is_same_cold_start(
        self, cold_start: ColdStart, status: EndpointStatus
    ) -> bool:
        gap_s = status.report.reported_at - cold_start.read_at
        return cold_start.incarnation == status.incarnation and gap_s < self._cfg.news_s

    def _begin(
        self, endpoint_id: str, lease: Lease, limits: VotedLimits, now: float
    ) -> None:
        """Start granting a cold endpoint's permits if the lease is held.

        It starts anew for each fencing number.
        """
        owner = self._owners.get(endpoint_id)
        if not lease.is_held(now):
            return
        if owner is not None and owner.fencing_token == lease.fencing:
            return
        cold_start = self._cold_starts[endpoint_id]
        self._owners[endpoint_id] = PermitOwner.begin(
            endpoint_id,
            cold_start.incarnation,
            lease,
            limits,
            cold_start.since,
            now,
            self._cfg,
        )

    def _forget(self, endpoint_id: str) -> None:
        self._cold_starts.pop(endpoint_id, None)
        self._owners.pop(endpoint_id, None)


def _reading(status: EndpointStatus) -> EndpointReading:
    report = status.report
    return EndpointReading(
        status.endpoint_id,
        status.incarnation,
        report.running + report.waiting,
        report.reported_at,
        status.cold,
    )
