"""Unit costs, computed from the reports of the measurements."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from bench.capacity import target
from bench.control.measure import SizeReport
from bench.control.report import Report
from bench.control.windows import Scope, Window
from knapweedhinge.peers.traffic import CALL_OVERHEAD_BYTES

BEACON_HOLDERS = 2  # nodes that publish each beacon
BEACON_INTERVAL_S = 1.0
ENTRY_OVERHEAD_BYTES = 60  # bytes of a pushed entry besides its payload
CPU_QUANTILE = 0.9


class PathReport(msgspec.Struct, frozen=True):
    """The figures of ``bench.path`` that the page needs; None if not measured."""

    cpu_s_per_request: float | None = None
    cpu_s_per_1k_tokens: float | None = None
    bytes_per_open_stream: float | None = None
    tokens_per_s_per_core: float | None = None
    rss_bytes_idle: float | None = None


class DecisionCost(msgspec.Struct, frozen=True):
    """CPU microseconds of one routing decision among this many versions."""

    versions: int
    decision_us: float


class PolicyReport(msgspec.Struct, frozen=True):
    """The part of the report of ``bench.policy`` that the page needs."""

    decision_costs: tuple[DecisionCost, ...] = ()


@dataclass(frozen=True)
class Units:
    """Measured costs of a node, most of them for one event.

    CPU is in seconds of a core, and traffic counts bytes sent and received.
    ``node_cpu_s`` is the CPU time a second of an idle node, ``call_cpu_s`` that of one
    call made or served, ``kilobyte_cpu_s`` that of 1,000 bytes, ``poll_cpu_s`` that of
    one HTTP read at its client and ``cpu_residual_s`` the error of the fit of the first
    three. ``change_bytes``, ``entry_bytes`` and ``restart_bytes`` are the traffic of
    each node for one such event in the fleet. ``push_calls_per_s`` are the pushes of a
    node under a load of entries, ``rss_bytes`` the memory of a process. ``largest`` is
    the number of nodes of the largest fleet, ``copies`` the number of times that a node
    passes an entry on and ``hop_s`` the time of one step of a push.
    """

    largest: int
    node_cpu_s: float
    call_cpu_s: float
    kilobyte_cpu_s: float
    cpu_residual_s: float
    push_calls_per_s: float
    copies: float
    change_bytes: float
    entry_bytes: float
    restart_bytes: float
    rss_bytes: float
    poll_cpu_s: float
    hop_s: float

    def cpu_s(self, calls_per_s: float, bytes_per_s: float) -> float:
        """Return the CPU share of calls, made or served, and of their bytes."""
        kilobytes = bytes_per_s / 1000
        return self.call_cpu_s * calls_per_s + self.kilobyte_cpu_s * kilobytes


def load(path: str, kind: type) -> object:
    """Read a report of type ``kind`` from a JSON file.

    Raises ``OSError`` if it can't be read and ``msgspec.ValidationError`` if it is of
    another type.
    """
    return msgspec.json.decode(Path(path).read_bytes(), type=kind)


def units(report: Report) -> Units:
    """Return the unit costs, measured on the largest fleet with one region."""
    single_region = [size for size in report.sizes if size.regions == 1]
    size = max(single_region, key=lambda size_report: size_report.nodes)
    idle, entries = window(size, "idle"), window(size, "entries")
    changes, restarts = window(size, "changes"), window(size, "restarts")
    slopes = dict(zip(report.cpu.causes, report.cpu.slopes, strict=True))
    steps = next(
        p.steps_most
        for p in report.pure
        if p.members == nearest_in_process_members(size)
    )
    return Units(
        largest=max(size_report.nodes for size_report in report.sizes),
        node_cpu_s=slopes["node"],
        call_cpu_s=slopes["call"],
        kilobyte_cpu_s=slopes["kilobyte"],
        cpu_residual_s=report.cpu.residual,
        push_calls_per_s=entries.calls["push"],
        copies=_copies(size, idle),
        change_bytes=(changes.bytes_per_s - idle.bytes_per_s) / changes.events_per_s,
        entry_bytes=(entries.bytes_per_s - idle.bytes_per_s) / entries.events_per_s,
        restart_bytes=_per_event(restarts, idle),
        rss_bytes=max(
            size_report.rss_bytes_per_process for size_report in report.sizes
        ),
        poll_cpu_s=min(size_report.poll_cpu_s for size_report in report.sizes),
        hop_s=max(size.change_to_last_s) / steps,
    )


def nearest_in_process_members(size: SizeReport) -> int:
    """Return the members of the measurement without nodes that is nearest to a fleet.

    Its number of steps of a push is taken as that of the fleet.
    """
    return 48 if size.nodes <= 48 else 136


def window(size: SizeReport, name: str, scope: Scope = Scope.ALL) -> Window:
    """Return the window of a fleet with this name and scope."""
    found = (
        candidate
        for candidate in size.windows
        if candidate.name == name and candidate.scope is scope
    )
    return next(found)


def _per_event(busy: Window, idle: Window) -> float:
    return max(0.0, busy.bytes_per_s - idle.bytes_per_s) / busy.events_per_s


def _copies(size: SizeReport, idle: Window) -> float:
    """Return how often a node passes an entry on, from the bytes of beacons."""
    beacons = BEACON_HOLDERS * (size.failure_domains + size.regions) / BEACON_INTERVAL_S
    pushed = idle.topic_bytes["domain-beacon"] + idle.topic_bytes["region-beacon"]
    return pushed / (beacons * BEACON_ENTRY_BYTES)


BEACON_ENTRY_BYTES = 44  # of a beacon, as Entry.size_bytes counts them


def beacons_per_s_at_target() -> float:
    """Return the beacons that a node receives each second at the target size."""
    domains = target.FAILURE_DOMAINS / target.REGIONS
    return BEACON_HOLDERS * (domains + target.REGIONS) / BEACON_INTERVAL_S


def piggyback_bytes_per_s(
    u: Units, entries_per_s: float, payload_bytes: float
) -> float:
    """Return the bytes a second of entries sent within pushes that happen anyway.

    ``entries_per_s`` is the rate of new entries, ``payload_bytes`` the size of one. A
    node receives as many copies of an entry as it sends.
    """
    return 2 * u.copies * entries_per_s * (ENTRY_OVERHEAD_BYTES + payload_bytes)


def call_bytes(payload_bytes: float) -> float:
    """Return the bytes of a call and its answer, headers included."""
    return CALL_OVERHEAD_BYTES + payload_bytes
