"""Send the evidence on running roll-outs to the nodes that advance them.

Only the owner of a service's roll-out judges it, so only the owner gets the evidence,
and of each report only what changed. If every node sent all of it to all others, a
roll-out would fill slow links.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from loguru import logger

from knapweedhinge.controllers.release_tracker import (
    AnswerStatsRow,
    ReleaseReport,
    ReleaseTracker,
    RowKey,
)
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers import Member, Peers

REPORT_METHOD = "release-report"
REPORT_TIMEOUT_S = 0.4


@dataclass(frozen=True)
class Delivered:
    """What the owner of a roll-out has of this node's counts.

    ``vm`` and ``incarnation`` identify the owner's process, and ``in_use`` is the
    number of running calls by version.
    """

    vm: str
    incarnation: int
    rows: Mapping[RowKey, AnswerStatsRow] = field(default_factory=dict)
    in_use: tuple[tuple[str, int], ...] = ()


class ReleaseReporter:
    """Report evidence to the owners of roll-outs, and take that of other nodes."""

    def __init__(self, release_tracker: ReleaseTracker):
        self._release_tracker = release_tracker
        self._peers: Peers | None = None
        self._delivered: dict[str, Delivered] = {}  # by service

    def attach(self, peers: Peers) -> None:
        """Exchange reports with the peers."""
        self._peers = peers
        peers.handle(REPORT_METHOD, self._receive)

    async def report(self, service: str, owner: Member) -> None:
        """Send the owner of a service's roll-out what changed since the last report."""
        if owner.vm == self._peers.me.vm:
            self._delivered.pop(service, None)
            return
        delivered = self._delivered.get(service)
        process = owner.vm, owner.incarnation
        if delivered is None or (delivered.vm, delivered.incarnation) != process:
            delivered = Delivered(*process)
        rows = self._release_tracker.rows(service)
        report = self._release_tracker.report(service, delivered.rows)
        if not report.tallies and report.in_use == delivered.in_use:
            return
        payload = msgspec.msgpack.encode(report)
        try:
            await self._peers.call(owner.vm, REPORT_METHOD, payload, REPORT_TIMEOUT_S)
        except PeerError as exc:
            # Whether the owner has it is unknown, so the next report is a whole one.
            self._delivered.pop(service, None)
            logger.bind(peer=owner.vm, code=exc.code.number).debug(
                f"release report not sent: {exc}"
            )
            return
        self._delivered[service] = Delivered(*process, rows, report.in_use)

    async def _receive(self, caller: Member, payload: bytes) -> bytes:
        try:
            report = msgspec.msgpack.decode(payload, type=ReleaseReport)
        except msgspec.MsgspecError as exc:
            raise PeerError(f"malformed release report from {caller.vm}") from exc
        self._release_tracker.merge(caller.vm, report)
        return b""
