"""Agree with the other nodes on the sessions that take part in a release's trial.

The node that owns a service's roll-out decides. The others send it their recently
active sessions when a trial begins or the owner changes, and ask it for each session
that they don't know.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import xxhash
from loguru import logger

from knapweedhinge.controllers.fleet import FleetTracker
from knapweedhinge.controllers.session_tracker import SessionTracker
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import Member, Peers
from knapweedhinge.routing.releases import Release, Stage, in_trial, trial_share
from knapweedhinge.routing.trialsessions import (
    EARLY_SHARE_FACTOR,
    TrialSessions,
    early_sessions,
)

RELEASE_ROLE = "releases"  # role of the node that advances a service's roll-outs
REPORT_METHOD = "trial-report"
JOIN_METHOD = "trial-join"
T = TypeVar("T")
# Time limits of the two peer calls. A call to a model waits for the second one.
REPORT_TIMEOUT_S = 0.4
JOIN_TIMEOUT_S = 0.2
UNKNOWN_TRIAL_KEPT_S = 5.0  # a trial whose order this node has not seen yet


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """Message to the owner: sessions of the trial that were recently active at a node.

    Sessions are hashed, and listed by the release that they last ran on.
    """

    service: str
    version: str
    on_old: tuple[int, ...] = ()
    on_new: tuple[int, ...] = ()


class JoinRequest(msgspec.Struct, frozen=True, array_like=True):
    """Message to the owner: ask whether a hashed session takes part in a trial.

    ``early`` marks a session beyond the trial's share.
    """

    service: str
    version: str
    session: int
    early: bool = False


class JoinAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The owner's answer on a session.

    ``early`` holds the hashes of all sessions beyond the share that joined, once no
    more may; None before.
    """

    joins: bool
    early: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class ReportTarget:
    """The trial and the owner's process that a report was delivered for."""

    version: str
    vm: str
    incarnation: int


def session_hash(session: str) -> int:
    """Return the 64-bit hash that stands for a session in messages."""
    return xxhash.xxh3_64_intdigest(session.encode())


class TrialCoordinator:
    """Decide for this node's calls whether they go to a release on trial.

    ``exposure`` is the voted share of calls that a release on trial may receive, and
    ``allowance`` the number of calls beyond it.
    """

    def __init__(
        self,
        fleet: FleetTracker,
        sessions: SessionTracker,
        clock: Callable[[], float],
        exposure: float,
        allowance: float = 0.0,
    ):
        self._fleet = fleet
        self._sessions = sessions
        self._clock = clock
        self._share = trial_share(exposure)
        self._early_sessions = early_sessions(allowance)
        self._early_share = min(1.0, EARLY_SHARE_FACTOR * self._share)
        # By service whose trial takes no more early sessions: those that joined.
        self._early_joined: dict[str, frozenset[int]] = {}
        self._peers: Peers | None = None
        # What this node decides as the owner, by service and version.
        self._trials: dict[tuple[str, str], TrialSessions] = {}
        self._reported: dict[str, ReportTarget] = {}  # by service

    def attach(self, peers: Peers) -> None:
        """Exchange sessions with the peers; until then this node decides alone."""
        self._peers = peers
        peers.handle(REPORT_METHOD, self._receive_report)
        peers.handle(JOIN_METHOD, self._receive_join_request)

    def owner(self, service: str) -> Member | None:
        """Return the node that advances a service's roll-outs; None if it is alone."""
        if self._peers is None:
            return None
        owners = self._peers.assignments.owners(RELEASE_ROLE, service, 1)
        return owners[0] if owners else None

    async def joins(self, service: str, session: str, request_id: str) -> bool:
        """Return whether a call goes to the release on trial, False without a trial.

        A call without a session is assigned by its own id. If the owner doesn't answer,
        the session stays on the old release.
        """
        release = self._fleet.view.release(service)
        if release is None or release.stage is not Stage.TRIAL:
            self._sessions.arrived(service, session, "", self._clock())
            return False
        in_share = in_trial(session or request_id, release, self._share)
        if not session:
            return in_share
        known = self._sessions.version(service, session, self._clock())
        if known is not None:
            joined = known == release.version
        elif in_share:
            joined = await self._ask(release, session, early=False)
        else:
            joined = await self._joins_early(release, session)
        version = release.version if joined else ""
        self._sessions.arrived(service, session, version, self._clock())
        return joined

    async def report(self) -> None:
        """Send the sessions of each trial to its owner, unless it has them already."""
        trials = self._running_trials()
        self._forget_ended(trials)
        for release in trials:
            await self._report(release)

    def _running_trials(self) -> list[Release]:
        view = self._fleet.view
        releases = (view.release(service) for service in view.orders)
        return [item for item in releases if item and item.stage is Stage.TRIAL]

    def _forget_ended(self, running: list[Release]) -> None:
        """Drop data of ended trials, so that it can't affect a later one.

        A trial that another node reported may not be known here yet, so it is kept for
        a while.
        """
        now = self._clock()
        keys = {(release.service, release.version) for release in running}
        self._trials = {
            key: trial
            for key, trial in self._trials.items()
            if key in keys or now - trial.began_at < UNKNOWN_TRIAL_KEPT_S
        }
        services = {release.service for release in running}
        for by_service in (self._reported, self._early_joined):
            for service in by_service.keys() - services:
                del by_service[service]

    async def _report(self, release: Release) -> None:
        owner = self.owner(release.service)
        if owner is None:
            return
        target = ReportTarget(release.version, owner.vm, owner.incarnation)
        if self._reported.get(release.service) == target:
            return
        report = self._session_report(release)
        try:
            await self._peers.call(
                owner.vm,
                REPORT_METHOD,
                msgspec.msgpack.encode(report),
                REPORT_TIMEOUT_S,
            )
        except PeerError as exc:
            logger.bind(peer=owner.vm, code=exc.code.number).info(
                f"sessions of a trial not reported yet: {exc}"
            )
            return
        self._reported[release.service] = target
        logger.bind(
            peer=owner.vm,
            service=release.service,
            version=release.version,
            on_old=len(report.on_old),
            on_new=len(report.on_new),
        ).info("sessions of a trial reported")

    def _session_report(self, release: Release) -> TrialReport:
        by_release: dict[bool, list[int]] = {True: [], False: []}
        for session, version in self._sessions.active(release.service, self._clock()):
            if in_trial(session, release, self._early_share):
                by_release[version == release.version].append(session_hash(session))
        return TrialReport(
            release.service,
            release.version,
            tuple(by_release[False]),
            tuple(by_release[True]),
        )

    async def _joins_early(self, release: Release, session: str) -> bool:
        """Return whether a session beyond the trial's share takes part."""
        if not self._early_sessions or not in_trial(
            session, release, self._early_share
        ):
            return False
        joined = self._early_joined.get(release.service)
        if joined is not None:
            return session_hash(session) in joined
        return await self._ask(release, session, early=True)

    async def _ask(self, release: Release, session: str, *, early: bool) -> bool:
        owner = self.owner(release.service)
        req = JoinRequest(
            release.service, release.version, session_hash(session), early
        )
        if owner is None:
            return self._decide(req, ()).joins
        try:
            answer = await self._peers.call(
                owner.vm, JOIN_METHOD, msgspec.msgpack.encode(req), JOIN_TIMEOUT_S
            )
            decision = msgspec.msgpack.decode(answer, type=JoinAnswer)
        except (PeerError, msgspec.MsgspecError) as exc:
            # The owner must learn that the session stays on the old release.
            self._reported.pop(release.service, None)
            logger.bind(peer=owner.vm, service=release.service).info(
                f"session kept on the old release, its owner doesn't answer: {exc}"
            )
            return False
        if decision.early is not None:
            self._early_joined[release.service] = frozenset(decision.early)
        return decision.joins

    def _decide(self, req: JoinRequest, members: tuple[Member, ...]) -> JoinAnswer:
        trial = self._trial(req.service, req.version)
        vms = [member.vm for member in members]
        joins = trial.joins(req.session, vms, self._clock(), early=req.early)
        return JoinAnswer(joins, trial.early_joined)

    def _trial(self, service: str, version: str) -> TrialSessions:
        key = service, version
        if key not in self._trials:
            self._trials[key] = TrialSessions(self._clock(), self._early_sessions)
        return self._trials[key]

    async def _receive_report(self, caller: Member, payload: bytes) -> bytes:
        report = _decode(payload, TrialReport, caller)
        trial = self._trial(report.service, report.version)
        trial.report(caller.vm, report.on_old, report.on_new)
        return b""

    async def _receive_join_request(self, caller: Member, payload: bytes) -> bytes:
        req = _decode(payload, JoinRequest, caller)
        return msgspec.msgpack.encode(self._decide(req, self._peers.membership.active))


def _decode(payload: bytes, kind: type[T], caller: Member) -> T:
    """Return a decoded message; raise PeerError if it is malformed."""
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as exc:
        raise PeerError(f"malformed {kind.__name__} from {caller.vm}") from exc
