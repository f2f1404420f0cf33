"""How answers of each release turned out, on this node and on its peers."""

from collections import Counter

import msgspec

from knapweedhinge.routing.releases import Release, Stage
from knapweedhinge.routing.releaseverdict import (
    AnswerStats,
    CallKind,
    Verdict,
    compare_releases,
)


class TallyRow(msgspec.Struct, frozen=True, array_like=True):
    """The answers of one version to calls of one kind."""

    service: str
    version: str
    kind: CallKind
    tally: AnswerStats


class ReleaseReport(msgspec.Struct, frozen=True, array_like=True):
    """All a node counted since it started; a newer one replaces it.

    ``in_use`` holds (service, version, calls running).
    """

    tallies: tuple[TallyRow, ...] = ()
    in_use: tuple[tuple[str, str, int], ...] = ()


class ReleaseBook:
    """Count answers by release while a roll-out runs, and judge over all nodes."""

    def __init__(self):
        self._own: dict[tuple[str, str], dict[CallKind, AnswerStats]] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._peers: dict[str, ReleaseReport] = {}

    def began(self, service: str, version: str) -> None:
        """Count a call that runs at a release."""
        self._running[service, version] += 1

    def ended(self, service: str, version: str) -> None:
        """Count a call that runs no more."""
        self._running[service, version] -= 1

    def answered(
        self, service: str, version: str, kind: CallKind, tally: AnswerStats
    ) -> None:
        """Add what one call told of a release."""
        known = self._own.setdefault((service, version), {})
        known[kind] = known.get(kind, AnswerStats()).plus(tally)

    def forget(self, service: str, version: str) -> None:
        """Drop what this node counted of a release that was taken back."""
        self._own.pop((service, version), None)

    def report(self, services: frozenset[str]) -> bytes:
        """Return the report on some services for peers."""
        rows = tuple(
            TallyRow(service, version, kind, tally)
            for (service, version), tallies in self._own.items()
            if service in services
            for kind, tally in tallies.items()
        )
        in_use = tuple(
            (service, version, count)
            for (service, version), count in self._running.items()
            if service in services and count > 0
        )
        return msgspec.msgpack.encode(ReleaseReport(rows, in_use))

    def merge(self, vm: str, payload: bytes) -> None:
        """Take a peer's report in place of its last; MsgspecError if malformed."""
        self._peers[vm] = msgspec.msgpack.decode(payload, type=ReleaseReport)

    def drop_peer(self, vm: str) -> None:
        """Forget a peer whose calls have ended with it."""
        report = self._peers.get(vm)
        if report is not None:
            self._peers[vm] = msgspec.structs.replace(report, in_use=())

    def verdict(self, release: Release) -> Verdict:
        """Judge a release by all that is known."""
        new: dict[CallKind, AnswerStats] = {}
        old: dict[CallKind, AnswerStats] = {}
        for service, version, kind, tally in self._all():
            if service == release.service:
                side = new if version == release.version else old
                side[kind] = side.get(kind, AnswerStats()).plus(tally)
        return compare_releases(new, old, moved=release.stage is Stage.MOVING)

    def old_in_use(self, release: Release) -> int:
        """Return how many calls run on other versions of the service, on all nodes."""
        own = [(*key, count) for key, count in self._running.items()]
        peers = [one for report in self._peers.values() for one in report.in_use]
        return sum(
            count
            for service, version, count in [*own, *peers]
            if service == release.service and version != release.version
        )

    def _all(self):
        for (service, version), tallies in self._own.items():
            for kind, tally in tallies.items():
                yield service, version, kind, tally
        for report in self._peers.values():
            for row in report.tallies:
                yield row.service, row.version, row.kind, row.tally
