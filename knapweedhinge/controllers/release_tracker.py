"""Count how calls to each release of a service turned out, on all nodes."""

from collections import Counter

import msgspec

from knapweedhinge.routing.releases import Release, Stage
from knapweedhinge.routing.releaseverdict import (
    AnswerStats,
    CallKind,
    Verdict,
    compare_releases,
)


class AnswerStatsRow(msgspec.Struct, frozen=True, array_like=True):
    """Statistics of the answers of one version to calls of one kind."""

    service: str
    version: str
    kind: CallKind
    tally: AnswerStats


class ReleaseReport(msgspec.Struct, frozen=True, array_like=True):
    """Everything a node counted since it started, as it is sent to peers.

    A newer report replaces an older one. ``in_use`` holds tuples of service, version
    and number of calls that are running.
    """

    tallies: tuple[AnswerStatsRow, ...] = ()
    in_use: tuple[tuple[str, str, int], ...] = ()


class ReleaseTracker:
    """Count answers of each release on this node and merge the counts of peers.

    The merged counts decide whether a release under roll-out is good or bad.
    """

    def __init__(self):
        # Keys are service and version.
        self._own_tallies: dict[tuple[str, str], dict[CallKind, AnswerStats]] = {}
        self._running_calls: Counter[tuple[str, str]] = Counter()
        self._peer_reports: dict[str, ReleaseReport] = {}  # by the peer's VM

    def began(self, service: str, version: str) -> None:
        """Count a call that was started on a release."""
        self._running_calls[service, version] += 1

    def ended(self, service: str, version: str) -> None:
        """Count a call that has ended, whatever its outcome."""
        self._running_calls[service, version] -= 1

    def answered(
        self, service: str, version: str, kind: CallKind, tally: AnswerStats
    ) -> None:
        """Add the outcome of one call to a release."""
        tallies = self._own_tallies.setdefault((service, version), {})
        tallies[kind] = tallies.get(kind, AnswerStats()).plus(tally)

    def forget(self, service: str, version: str) -> None:
        """Drop this node's counts of a release that was rolled back."""
        self._own_tallies.pop((service, version), None)

    def report(self, services: frozenset[str]) -> bytes:
        """Return this node's encoded report on ``services`` for its peers."""
        rows = tuple(
            AnswerStatsRow(service, version, kind, tally)
            for (service, version), tallies in self._own_tallies.items()
            if service in services
            for kind, tally in tallies.items()
        )
        in_use = tuple(
            (service, version, count)
            for (service, version), count in self._running_calls.items()
            if service in services and count > 0
        )
        return msgspec.msgpack.encode(ReleaseReport(rows, in_use))

    def merge(self, vm: str, payload: bytes) -> None:
        """Replace a peer's report; raise MsgspecError if the payload is malformed."""
        self._peer_reports[vm] = msgspec.msgpack.decode(payload, type=ReleaseReport)

    def drop_peer(self, vm: str) -> None:
        """Drop the running calls of a peer that has left or failed.

        The outcomes that it reported still count.
        """
        report = self._peer_reports.get(vm)
        if report is not None:
            self._peer_reports[vm] = msgspec.structs.replace(report, in_use=())

    def verdict(self, release: Release) -> Verdict:
        """Judge a release against the other versions of its service, over all nodes."""
        new: dict[CallKind, AnswerStats] = {}
        old: dict[CallKind, AnswerStats] = {}
        for service, version, kind, tally in self._all_tallies():
            if service == release.service:
                side = new if version == release.version else old
                side[kind] = side.get(kind, AnswerStats()).plus(tally)
        return compare_releases(new, old, moved=release.stage is Stage.MOVING)

    def old_in_use(self, release: Release) -> int:
        """Return how many calls run on other versions of the service, on all nodes."""
        own = [(*key, count) for key, count in self._running_calls.items()]
        peers = [
            entry for report in self._peer_reports.values() for entry in report.in_use
        ]
        return sum(
            count
            for service, version, count in [*own, *peers]
            if service == release.service and version != release.version
        )

    def _all_tallies(self):
        for (service, version), tallies in self._own_tallies.items():
            for kind, tally in tallies.items():
                yield service, version, kind, tally
        for report in self._peer_reports.values():
            for row in report.tallies:
                yield row.service, row.version, row.kind, row.tally
