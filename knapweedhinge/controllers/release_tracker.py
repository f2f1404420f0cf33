"""Count how calls to each release of a service turned out, on all nodes."""

from collections import Counter
from collections.abc import Collection, Mapping
from itertools import chain
from types import MappingProxyType

import msgspec

from knapweedhinge.routing.releases import Release, Stage
from knapweedhinge.routing.releaseverdict import (
    AnswerStats,
    CallKind,
    Verdict,
    compare_releases,
)

# Answers of a new release after which its later answers are judged by themselves too.
LATER_STARTS_AT = (16, 64, 256)

RowKey = tuple[str, str, CallKind]  # service, version and kind of call
NO_ROWS: Mapping[RowKey, "AnswerStatsRow"] = MappingProxyType({})


class AnswerStatsRow(msgspec.Struct, frozen=True, array_like=True):
    """Statistics of the answers of one version to calls of one kind."""

    service: str
    version: str
    kind: CallKind
    tally: AnswerStats


class ReleaseReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node counted of one service, as it is sent to the roll-out's owner.

    ``tallies`` holds the rows that changed since the report before, with their counts
    since the node started, or all rows if ``whole`` is set. ``in_use`` holds each
    version with the number of calls that are running on it.
    """

    service: str
    whole: bool
    tallies: tuple[AnswerStatsRow, ...] = ()
    in_use: tuple[tuple[str, int], ...] = ()


class ReleaseTracker:
    """Count answers of each release on this node and merge the counts of peers.

    The merged counts decide whether a release under roll-out is good or bad.
    """

    def __init__(self):
        # Keys are service and version.
        self._own_tallies: dict[tuple[str, str], dict[CallKind, AnswerStats]] = {}
        self._running_calls: Counter[tuple[str, str]] = Counter()
        # What peers reported, by the peer's VM and the service.
        self._peer_rows: dict[tuple[str, str], dict[RowKey, AnswerStatsRow]] = {}
        self._peer_running_calls: dict[tuple[str, str], dict[str, int]] = {}
        # What was known of a release at later points of its roll-out, by service,
        # version and point: a number of answers, or the stage that moves all calls.
        self._known_at: dict[
            tuple[str, str, int | Stage], dict[CallKind, AnswerStats]
        ] = {}

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
        """Drop the counts of a release that was rolled back."""
        self._own_tallies.pop((service, version), None)
        for key in [key for key in self._known_at if key[:2] == (service, version)]:
            del self._known_at[key]
        for rows in self._peer_rows.values():
            for key in [key for key in rows if key[:2] == (service, version)]:
                del rows[key]

    def keep_starts(self, running: Collection[tuple[str, str]]) -> None:
        """Drop what was known at later points of roll-outs that have ended.

        ``running`` holds the service and version of those that go on.
        """
        self._known_at = {
            key: known for key, known in self._known_at.items() if key[:2] in running
        }

    def report(
        self, service: str, known: Mapping[RowKey, AnswerStatsRow] = NO_ROWS
    ) -> ReleaseReport:
        """Return this node's report on a service, without the rows in ``known``.

        ``known`` holds the rows that the receiver got before, empty for none.
        """
        rows = self.rows(service)
        whole = not known or not rows.keys() >= known.keys()
        changed = (row for key, row in rows.items() if whole or known.get(key) != row)
        return ReleaseReport(
            service, whole, tuple(changed), tuple(self._in_use(service))
        )

    def rows(self, service: str) -> dict[RowKey, AnswerStatsRow]:
        """Return this node's counts of a service."""
        return {
            (name, version, kind): AnswerStatsRow(name, version, kind, tally)
            for (name, version), tallies in self._own_tallies.items()
            if name == service
            for kind, tally in tallies.items()
        }

    def merge(self, vm: str, report: ReleaseReport) -> None:
        """Add a peer's report to those before, or replace them by a whole one."""
        rows = self._peer_rows.setdefault((vm, report.service), {})
        if report.whole:
            rows.clear()
        for row in report.tallies:
            rows[row.service, row.version, row.kind] = row
        self._peer_running_calls[vm, report.service] = dict(report.in_use)

    def drop_peer(self, vm: str) -> None:
        """Drop the running calls of a peer that has left or failed.

        The outcomes that it reported still count.
        """
        for key in [key for key in self._peer_running_calls if key[0] == vm]:
            del self._peer_running_calls[key]

    def verdict(self, release: Release) -> Verdict:
        """Judge a release against the other versions of its service, over all nodes."""
        new: dict[CallKind, AnswerStats] = {}
        old: dict[CallKind, AnswerStats] = {}
        for service, version, kind, tally in self._all_tallies():
            if service == release.service:
                side = new if version == release.version else old
                side[kind] = side.get(kind, AnswerStats()).plus(tally)
        moved = release.stage is Stage.MOVING
        return compare_releases(new, old, moved=moved, later=self._later(release, new))

    def _later(
        self, release: Release, new: dict[CallKind, AnswerStats]
    ) -> list[dict[CallKind, AnswerStats]]:
        """Return the answers of a release since each later point that was reached."""
        answers = sum(stats.answers for stats in new.values())
        points = [number for number in LATER_STARTS_AT if answers >= number]
        if release.stage is Stage.MOVING:
            points.append(release.stage)
        later = []
        for point in points:
            key = release.service, release.version, point
            known = self._known_at.setdefault(key, new)
            if any(
                kind not in new or new[kind].answers < stats.answers
                for kind, stats in known.items()
            ):  # a node has restarted, and its counts with it
                known = self._known_at[key] = new
            later.append(
                {
                    kind: stats.since(known.get(kind, AnswerStats()))
                    for kind, stats in new.items()
                }
            )
        return later

    def calls(self, service: str) -> Counter[str]:
        """Return how many answers of each version are known, over all nodes."""
        counts: Counter[str] = Counter()
        for name, version, _, tally in self._all_tallies():
            if name == service:
                counts[version] += tally.answers
        return counts

    def old_in_use(self, release: Release) -> int:
        """Return how many calls run on other versions of the service, on all nodes."""
        peers = (
            counts.items()
            for (_, service), counts in self._peer_running_calls.items()
            if service == release.service
        )
        return sum(
            count
            for version, count in chain(self._in_use(release.service), *peers)
            if version != release.version
        )

    def _in_use(self, service: str) -> list[tuple[str, int]]:
        """Return this node's running calls to a service by version."""
        return [
            (version, count)
            for (name, version), count in self._running_calls.items()
            if name == service and count > 0
        ]

    def _all_tallies(self):
        for (service, version), tallies in self._own_tallies.items():
            for kind, tally in tallies.items():
                yield service, version, kind, tally
        for rows in self._peer_rows.values():
            for row in rows.values():
                yield row.service, row.version, row.kind, row.tally
