"""Decide which records of crashes a node writes to the store, and which it deletes.

Evidence of crashes lives in the memory of the nodes. Records of it outlive a loss of
all nodes at once. Made for at most 1,024 open crashes, as many as a node knows.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from knapweedhinge.routing.crashes import NO_ANSWERS, Crash, CutCall, PartAnswers

# Shortest time in seconds between a write of a record and one that only removes
# suspects from it: they are cleared one after another.
TRIM_INTERVAL_S = 5.0
# Age of the oldest copy from which the store may return.
COPY_MAX_AGE_S = 60.0


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The suspects of one crash as one node knows them.

    ``writer`` is the VM of that node, ``at`` the wall-clock time of the crash in
    seconds. ``suspects`` maps fingerprints to whether the request was answering,
    ``calls`` holds fingerprint, parts and whether it was answering of each call with
    suspected parts in its prompt. ``answered`` and ``completed`` hold the wall-clock
    time of the last answer of each suspected part: that began, and that was complete.
    """

    writer: str
    endpoint_id: str
    incarnation: str
    at: float
    suspects: dict[str, bool]
    calls: tuple[tuple[str, tuple[str, ...], bool], ...] = ()
    answered: dict[str, float] = {}
    completed: dict[str, float] = {}

    @property
    def answers(self) -> PartAnswers:
        """Return when the suspected parts were last answered before this record."""
        return PartAnswers(self.answered, self.completed)

    @property
    def crash(self) -> Crash:
        """Return the crash with these suspects."""
        answering = frozenset(name for name, began in self.suspects.items() if began)
        calls = frozenset(CutCall(*call) for call in self.calls)
        return Crash(
            self.endpoint_id,
            self.incarnation,
            self.at,
            frozenset(self.suspects),
            calls,
            answering,
        )


def record_of(
    crash: Crash, writer: str, answers: PartAnswers = NO_ANSWERS
) -> CrashRecord:
    """Return the record of a crash that the VM ``writer`` keeps.

    ``answers`` are those that it knows of the parts that the crash makes suspects.
    """
    return CrashRecord(
        writer,
        crash.endpoint_id,
        crash.incarnation,
        crash.at,
        {name: name in crash.answering for name in sorted(crash.fingerprints)},
        tuple(
            sorted(
                (call.fingerprint, call.parts, call.answering) for call in crash.calls
            )
        ),
        answers.begun,
        answers.complete,
    )


def record_key(crash_id: str, writer: str) -> str:
    """Return the row key of a record, 32 hex digits.

    Each writer has rows of its own, so that none overwrites what it doesn't know.
    """
    return xxhash.xxh3_128_hexdigest(f"{crash_id}\0{writer}".encode())


@dataclass(frozen=True, slots=True)
class _Stored:
    """A record in the store; ``crash`` is None once it was deleted."""

    crash: Crash | None
    version: Any
    written_at: float


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A record to write, or to delete if ``crash`` is None.

    ``version`` is that of the stored row, the one of an absent row if there is none,
    None if it isn't known.
    """

    crash_id: str
    crash: Crash | None
    version: Any


class CrashRecords:
    """The records that this node has in the store, and what has to change in them.

    Times are in seconds on the node's monotonic clock. Versions are the store's;
    ``absent`` is that of a row that doesn't exist.
    """

    def __init__(self, absent: Any = 0):
        self._absent = absent
        self._stored: dict[str, _Stored] = {}
        self._deleted_at: dict[str, float] = {}

    def __contains__(self, crash_id: str) -> bool:
        known = self._stored.get(crash_id)
        return known is not None and known.crash is not None

    @property
    def crash_ids(self) -> tuple[str, ...]:
        """Return the ids of the crashes of which a record is stored."""
        return tuple(crash_id for crash_id in self._stored if crash_id in self)

    def note(
        self, crash_id: str, crash: Crash | None, version: Any, now: float
    ) -> None:
        """Note what the store holds: the row's content and version.

        Neither is given if that isn't known.
        """
        if crash is None and version == self._absent:
            if self._stored.pop(crash_id, None) is not None:
                self._deleted_at[crash_id] = now
        else:
            self._stored[crash_id] = _Stored(crash, version, now)

    def forget_stored(self, now: float) -> None:
        """Note that the store may have lost, changed or restored each record.

        All are due again, whatever the store holds of them, also those that were
        deleted ``COPY_MAX_AGE_S`` ago or less.
        """
        self._deleted_at = {
            crash_id: at
            for crash_id, at in self._deleted_at.items()
            if now - at <= COPY_MAX_AGE_S
        }
        names = (*self._stored, *self._deleted_at)
        self._stored = dict.fromkeys(names, _Stored(None, None, float("-inf")))

    @property
    def unknown_ids(self) -> tuple[str, ...]:
        """Return the ids of the records whose state in the store isn't known."""
        return tuple(name for name, row in self._stored.items() if row.version is None)

    def due(
        self, crash_ids: Iterable[str], open_crashes: dict[str, Crash], now: float
    ) -> tuple[RecordChange, ...]:
        """Return the changes that bring the records of these crashes up to date.

        ``open_crashes`` holds the crashes with the suspects that aren't cleared; the
        record of any other crash is deleted. New suspects are due at once.
        """
        changes = []
        for crash_id in crash_ids:
            wanted, known = open_crashes.get(crash_id), self._stored.get(crash_id)
            if known is None and wanted is None:
                continue
            known = known or _Stored(None, self._absent, float("-inf"))
            rested = now - known.written_at >= TRIM_INTERVAL_S
            unknown = known.version is None
            differs = wanted != known.crash and rested
            if unknown or differs or _adds(wanted, known.crash):
                changes.append(RecordChange(crash_id, wanted, known.version))
        return tuple(changes)


def _adds(wanted: Crash | None, stored: Crash | None) -> bool:
    """Return whether a crash has evidence that its stored record lacks."""
    if wanted is None or stored is None:
        return wanted is not None
    return not (
        wanted.fingerprints <= stored.fingerprints
        and wanted.unanswered <= stored.unanswered
        and wanted.calls <= stored.calls
    )
