"""Permits for work on endpoints in cold start: of their holder, and of their owner."""

import uuid
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace

from knapweedhinge.conf import PermitSettings, VotedLimits
from knapweedhinge.controllers.leases import Lease
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.endpoints.types import EndpointStatus
from knapweedhinge.routing.coldstart import (
    FULL_RETRY_S,
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

Ask = Callable[[PermitRequest], Awaitable[PermitGrant | PermitDenial]]
Tell = Callable[[PermitRelease], None]


class ColdPermits:
    """Ask the owners for permits of this node's requests and give them back.

    A node asks for one permit of an endpoint at a time, and not before the owner's
    denial says that asking again makes sense.
    """

    def __init__(self, cfg: PermitSettings, clock: Callable[[], float]):
        self._cfg = cfg
        self._clock = clock
        self._ask: Ask | None = None
        self._tell: Tell | None = None
        self._ask_from: dict[str, float] = {}

    def connect(self, ask: Ask, tell: Tell) -> None:
        """Use the peers; until then no permit can be had."""
        self._ask, self._tell = ask, tell

    def known_warm(self, endpoint: EndpointView) -> bool:
        """Return whether the endpoint said recently enough that it is warm."""
        if endpoint.warm_state is WarmState.COLD:
            return False
        age_s = self._clock() - endpoint.report.reported_at
        return age_s < self._cfg.news_s

    async def acquire(self, endpoint: EndpointView) -> HeldPermit | None:
        """Ask for a permit; it must be started or released."""
        now = self._clock()
        if self._ask is None or now < self._ask_from.get(endpoint.id, now):
            return None
        self._ask_from[endpoint.id] = now + self._cfg.start_s
        req = PermitRequest(uuid.uuid4().hex, endpoint.id, endpoint.incarnation)
        return await self._granted(HeldPermit(req, now))

    def start(
        self, held: HeldPermit, endpoint: EndpointView | None
    ) -> HeldPermit | None:
        """Use the permit right before its request is sent, if it is still good.

        ``endpoint`` is as known now, None if it takes no new work any more.
        """
        now = self._clock()
        if endpoint and held.usable(endpoint.incarnation, now, self._cfg):
            return held.used()
        self.release(held, ok=False)
        return None

    def release(self, held: HeldPermit, ok: bool) -> None:
        """Give a permit back; ``ok`` says the answer was whole and in time."""
        self._ask_from.pop(held.request.endpoint_id, None)
        self._tell(held.release(ok))

    async def _granted(self, held: HeldPermit) -> HeldPermit | None:
        endpoint_id = held.request.endpoint_id
        try:
            answer = await self._ask(held.request)
        except BaseException as exc:
            self.release(held, ok=False)
            if not isinstance(exc, PeerError):
                raise
            self._ask_from[endpoint_id] = self._clock() + FULL_RETRY_S
            return None
        if isinstance(answer, PermitDenial):
            self._ask_from[endpoint_id] = self._clock() + answer.retry_after_s
            return None
        self._ask_from.pop(endpoint_id, None)
        return held.granted(answer)


@dataclass(frozen=True, slots=True)
class ColdSpell:
    """An endpoint's cold start as its owner reads it, in the owner's seconds.

    ``since`` is when the owner first knew of it, ``read_at`` when the last read was
    sent.
    """

    incarnation: str
    since: float
    read_at: float


class OwnedPermits:
    """The permits of the cold endpoints in the scope of one lease."""

    def __init__(self, cfg: PermitSettings):
        self._cfg = cfg
        self._spells: dict[str, ColdSpell] = {}
        self._owners: dict[str, PermitOwner] = {}

    @property
    def cold(self) -> Iterable[str]:
        """Return the ids of the endpoints known to be cold."""
        return self._spells.keys()

    def observed(
        self, status: EndpointStatus, lease: Lease, limits: VotedLimits, now: float
    ) -> None:
        """Take in a read of an endpoint that was answered at ``now``.

        After a restart, or when no read came for so long that the endpoint may have
        been warm for others meanwhile, all starts again.
        """
        if not status.cold:
            self._forget(status.endpoint_id)
            return
        self._note_cold(status, now)
        self._begin(status.endpoint_id, lease, limits, now)
        owner = self._owners.get(status.endpoint_id)
        if owner is not None:
            reading = _reading(status)
            self._owners[status.endpoint_id] = owner.observed(reading, limits)

    def answer(
        self, req: PermitRequest, lease: Lease, now: float
    ) -> PermitGrant | PermitDenial:
        """Grant or deny a request."""
        if not lease.is_held(now):
            return PermitDenial(req.id, Denial.NOT_OWNER, FULL_RETRY_S)
        owner = self._owners.get(req.endpoint_id)
        spell = self._spells.get(req.endpoint_id)
        if owner is None or now - spell.read_at >= self._cfg.news_s:
            return PermitDenial(req.id, Denial.SETTLING, FULL_RETRY_S)
        step = owner.grant(req, lease, now, self._cfg)
        self._owners[req.endpoint_id] = step.owner
        return step.answer

    def released(self, release: PermitRelease, limits: VotedLimits) -> None:
        """Take a permit back."""
        owner = self._owners.get(release.endpoint_id)
        if owner is not None:
            self._owners[release.endpoint_id] = owner.released(release, limits)

    def _note_cold(self, status: EndpointStatus, now: float) -> None:
        endpoint_id, read_at = status.endpoint_id, status.report.reported_at
        spell = self._spells.get(endpoint_id)
        if spell is not None and self._goes_on(spell, status):
            read_at = max(read_at, spell.read_at)
            self._spells[endpoint_id] = replace(spell, read_at=read_at)
            return
        self._forget(endpoint_id)
        self._spells[endpoint_id] = ColdSpell(status.incarnation, now, read_at)

    def _goes_on(self, spell: ColdSpell, status: EndpointStatus) -> bool:
        gap_s = status.report.reported_at - spell.read_at
        return spell.incarnation == status.incarnation and gap_s < self._cfg.news_s

    def _begin(
        self, endpoint_id: str, lease: Lease, limits: VotedLimits, now: float
    ) -> None:
        owner = self._owners.get(endpoint_id)
        if not lease.is_held(now):
            return
        if owner is not None and owner.fencing_token == lease.fencing:
            return
        spell = self._spells[endpoint_id]
        self._owners[endpoint_id] = PermitOwner.begin(
            endpoint_id,
            spell.incarnation,
            lease,
            limits,
            spell.since,
            now,
            self._cfg,
        )

    def _forget(self, endpoint_id: str) -> None:
        self._spells.pop(endpoint_id, None)
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
