"""Track the outstanding work at each endpoint, summed over a region's proxy nodes.

Each node reports its own outstanding work to its region's aggregating node, which sends
the sums to all. Traffic therefore grows linearly with the number of nodes; reports from
each node to each other would make it grow quadratically.
"""

from functools import lru_cache

import msgspec
import xxhash

from knapweedhinge.controllers.fleetsums import (
    REPORT_MAX_AGE_S,
    FleetSums,
    Sections,
    checked_sections,
    sum_sections,
)
from knapweedhinge.routing.fleetsums import KNOWN_KEYS, Table

# Remaining work up to this many seconds is a rounding error and counts as none.
ROUNDING_ERROR_S = 1e-6
# Work below this many seconds is left out of reports; it is also their resolution.
MIN_REPORTED_S = 0.01


class WorkReport(msgspec.Struct, frozen=True, array_like=True):
    """Message with the outstanding work by endpoint, in hundredths of a second.

    Keys are endpoint ids hashed to 32 bits, which keeps messages small. ``sections``
    holds further tables (``routing.fleetsums``) by their number, and ``nodes`` how many
    nodes were summed up. Nodes of earlier releases skip these fields.
    """

    work: dict[int, int] = {}
    sections: dict[int, dict[int, tuple[int, ...]]] = {}
    nodes: int = 1


class LoadTracker:
    """Track outstanding work by endpoint: this node's own and the other nodes'.

    Work is the time in seconds that an endpoint is expected to spend on the calls sent
    to it. The other nodes' part comes from the aggregator's sums. ``tables`` are the
    further sums that travel with them. ``now`` is in seconds on the node's monotonic
    clock.
    """

    def __init__(self):
        self.tables = FleetSums()
        self._own: dict[str, float] = {}
        self._last_report: dict[int, int] = {}
        self._others: dict[int, float] = {}
        self._others_at = float("-inf")

    def began(self, endpoint_id: str, work_s: float) -> None:
        """Add the work of a call that was sent to an endpoint."""
        self._own[endpoint_id] = self._own.get(endpoint_id, 0.0) + work_s

    def ended(self, endpoint_id: str, work_s: float) -> None:
        """Subtract the work of a call that no longer runs at an endpoint."""
        left = self._own.get(endpoint_id, 0.0) - work_s
        if left > ROUNDING_ERROR_S:
            self._own[endpoint_id] = left
        else:
            self._own.pop(endpoint_id, None)

    def work_s(self, endpoint_id: str) -> float:
        """Return the region's outstanding work at an endpoint, in seconds."""
        others = self._others.get(short_id(endpoint_id), 0.0) if self._others else 0.0
        return self._own.get(endpoint_id, 0.0) + others

    def report(self, now: float, *, complete: bool = True) -> bytes:
        """Return the encoded report of this node for the aggregator.

        Without ``complete``, tables are left out that are exchanged less often; the
        aggregator goes on with those that it has.
        """
        self._last_report = {
            short_id(key): round(value * 100)
            for key, value in self._own.items()
            if value >= MIN_REPORTED_S
        }
        sections = self.tables.report(now, complete=complete)
        return _encode(self._last_report, sections, 1)

    def take_sums(self, payload: bytes, now: float) -> None:
        """Set the other nodes' work from the aggregator's sums.

        This node's own last report is subtracted from them. Raise
        msgspec.MsgspecError, and change nothing, for a malformed message.
        """
        message = msgspec.msgpack.decode(payload, type=WorkReport)
        try:
            self.tables.take(message.sections, message.nodes, now)
        except ValueError as exc:
            raise msgspec.ValidationError(str(exc)) from exc
        sums = message.work
        others = {key: sums[key] - self._last_report.get(key, 0) for key in sums}
        self._others = {
            key: hundredths / 100
            for key, hundredths in others.items()
            if hundredths > 0
        }
        self._others_at = now

    def expire(self, now: float) -> None:
        """Drop the aggregator's sums if they are too old."""
        if now - self._others_at > REPORT_MAX_AGE_S:
            self._others = {}


class LoadAggregator:
    """Sum up the reports of a region's nodes, on its aggregating node."""

    def __init__(self):
        # Time of the last report and its work, by node.
        self._nodes: dict[str, tuple[float, dict[int, int]]] = {}
        # The last table of each section and its time, by node.
        self._tables: dict[str, dict[int, tuple[float, Table]]] = {}

    def take(self, vm: str, payload: bytes, now: float) -> None:
        """Replace the report of the node at ``vm``.

        Raise msgspec.MsgspecError for a malformed message.
        """
        report = msgspec.msgpack.decode(payload, type=WorkReport)
        try:
            sections = checked_sections(report.sections)
        except ValueError as exc:
            raise msgspec.ValidationError(str(exc)) from exc
        self._nodes[vm] = now, report.work
        tables = self._tables.setdefault(vm, {})
        tables.update((number, (now, table)) for number, table in sections.items())

    def sums(self, now: float, *, complete: bool = True) -> bytes:
        """Return the encoded sums over all nodes with a recent report.

        Without ``complete``, tables are left out that are exchanged less often; nodes
        go on with the sums that they have.
        """
        self._nodes = {
            vm: report
            for vm, report in self._nodes.items()
            if now - report[0] <= REPORT_MAX_AGE_S
        }
        total: dict[int, int] = {}
        for _, work in self._nodes.values():
            for key, value in work.items():
                total[key] = total.get(key, 0) + value
        self._tables = {
            vm: {
                number: (at, table)
                for number, (at, table) in tables.items()
                if now - at <= REPORT_MAX_AGE_S
            }
            for vm, tables in self._tables.items()
            if vm in self._nodes
        }
        recent = [
            {number: table for number, (_, table) in tables.items()}
            for tables in self._tables.values()
        ]
        sections = sum_sections(recent, complete=complete)
        return _encode(total, sections, len(self._nodes))


def _encode(work: dict[int, int], sections: Sections, nodes: int) -> bytes:
    """Return an encoded message, without the later fields if there are no sections."""
    if not sections:
        return msgspec.msgpack.encode((work,))
    return msgspec.msgpack.encode(WorkReport(work, dict(sections), nodes))


@lru_cache(KNOWN_KEYS)
def short_id(endpoint_id: str) -> int:
    """Return the 32-bit hash that stands for an endpoint's id in reports."""
    return xxhash.xxh32_intdigest(endpoint_id.encode())
