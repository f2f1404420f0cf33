"""Evidence of engine crashes and of the requests that were in flight.

A request that was in flight when an engine crashed is a suspect. Nodes merge each
other's entries; order and repetition don't matter. All times are wall-clock seconds
because they are compared between nodes.
"""

from dataclasses import dataclass, field, replace

import xxhash

from knapweedhinge.conf.cooperative import VotedLimits

MAX_CRASHES = 1024  # number of crashes kept, the latest ones
MAX_REQUESTS_PER_CRASH = 512  # number of fingerprints kept for each crash
MAX_CALLS_PER_CRASH = 64  # number of calls with suspected parts kept for each crash
MAX_RECORDS = 8192  # number of clearances kept, and likewise of trials


def fingerprint(organisation: str, body: bytes) -> str:
    """Return the fingerprint of a request as 32 hex digits.

    It identifies repeated requests of an organisation with the same body, whatever
    their request ids.
    """
    name = organisation.encode()
    prefix = len(name).to_bytes(4, "big")
    return xxhash.xxh3_128_hexdigest(prefix + name + body)


@dataclass(frozen=True, slots=True)
class CutCall:
    """A call whose answer wasn't complete when its engine crashed.

    ``fingerprint`` is the same for all repetitions of the call. ``parts`` holds the
    keys of those parts of its prompt that are suspected of the crash. ``answering``
    says that a part of the answer had arrived.
    """

    fingerprint: str
    parts: tuple[str, ...]
    answering: bool = False


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of an engine process on a VM that is still alive.

    ``fingerprints`` names the requests in flight at the time ``at``, and ``calls``
    those among them that have suspected parts. ``answering`` names those of which all
    copies had sent a part of their answer before. A node records only its own
    requests; merging unites the sets of all nodes.
    """

    endpoint_id: str
    incarnation: str
    at: float
    fingerprints: frozenset[str] = frozenset()
    calls: frozenset[CutCall] = frozenset()
    answering: frozenset[str] = frozenset()

    @property
    def id(self) -> str:
        """Return the id of the crash, the same on all nodes."""
        return f"{self.endpoint_id}/{self.incarnation}"

    def merged(self, other: "Crash") -> "Crash":
        """Return the crash with the requests of both records and the earlier time.

        Only the first ``MAX_REQUESTS_PER_CRASH`` fingerprints in sorted order are kept,
        and likewise of the calls, so that nodes agree on them.
        """
        united = self.fingerprints | other.fingerprints
        if len(united) > MAX_REQUESTS_PER_CRASH:
            united = frozenset(sorted(united)[:MAX_REQUESTS_PER_CRASH])
        return replace(
            self,
            at=min(self.at, other.at),
            fingerprints=united,
            calls=_limited(self.calls | other.calls),
            answering=united - self.unanswered - other.unanswered,
        )

    @property
    def unanswered(self) -> frozenset[str]:
        """Return the requests of which a copy had sent nothing of its answer."""
        return self.fingerprints - self.answering


def _limited(calls: frozenset[CutCall]) -> frozenset[CutCall]:
    if len(calls) <= MAX_CALLS_PER_CRASH:
        return calls
    ordered = sorted(
        calls, key=lambda call: (call.fingerprint, call.parts, call.answering)
    )
    return frozenset(ordered[:MAX_CALLS_PER_CRASH])


@dataclass(frozen=True, slots=True)
class PartAnswers:
    """When calls with suspected parts in their prompts were last answered.

    Both map the keys of parts to wall-clock seconds: ``begun`` to the latest answer
    that began, ``complete`` to the latest complete one.
    """

    begun: dict[str, float] = field(default_factory=dict)
    complete: dict[str, float] = field(default_factory=dict)


NO_ANSWERS = PartAnswers()


@dataclass(frozen=True, slots=True)
class Clearance:
    """Record that a suspect request was answered completely at the time ``at``."""

    fingerprint: str
    at: float


@dataclass(frozen=True, slots=True)
class Trial:
    """Run of a suspect request alone at an endpoint since ``started_at``.

    ``ended`` is set once the run is over.
    """

    fingerprint: str
    started_at: float
    ended: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineEntries:
    """Message to peers with crashes, clearances and trials.

    ``answered_parts`` holds keys of suspected prompt parts to which an answer began,
    ``completed_parts`` those to which one was complete.
    """

    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    trials: tuple[Trial, ...] = ()
    answered_parts: tuple[str, ...] = ()
    completed_parts: tuple[str, ...] = ()


class CrashEvidence:
    """Mergeable records of crashes, clearances and trials, bounded in number.

    ``cleared_at`` and ``trials`` are by fingerprint.
    """

    def __init__(self):
        self.crashes: dict[str, Crash] = {}
        self.cleared_at: dict[str, float] = {}
        self.trials: dict[str, Trial] = {}
        self._crash_ids: dict[str, set[str]] = {}

    def of(self, request_fingerprint: str) -> list[Crash]:
        """Return the crashes during which a request was in flight, oldest first."""
        ids = self._crash_ids.get(request_fingerprint, ())
        return sorted((self.crashes[crash_id] for crash_id in ids), key=_time_and_id)

    def last_cleared(self, request_fingerprint: str) -> float:
        """Return when a request was last cleared, minus infinity if never."""
        return self.cleared_at.get(request_fingerprint, float("-inf"))

    def add_crash(self, crash: Crash) -> None:
        """Add a crash, or add requests in flight to a known crash."""
        known = self.crashes.get(crash.id, crash)
        merged = known.merged(crash)
        for request_fingerprint in known.fingerprints - merged.fingerprints:
            self._unlink(request_fingerprint, crash.id)
        self.crashes[crash.id] = merged
        for request_fingerprint in merged.fingerprints:
            self._crash_ids.setdefault(request_fingerprint, set()).add(crash.id)
        if len(self.crashes) > MAX_CRASHES:
            self._drop(min(self.crashes.values(), key=_time_and_id))

    def add_clearance(self, clearance: Clearance) -> None:
        """Add a clearance; only the latest one of a request is kept."""
        latest = max(self.last_cleared(clearance.fingerprint), clearance.at)
        _put_bounded(self.cleared_at, clearance.fingerprint, latest)

    def add_trial(self, trial: Trial) -> None:
        """Add a trial; only the latest one of a request is kept."""
        known = self.trials.get(trial.fingerprint)
        if known is not None and known.started_at > trial.started_at:
            return
        if known is not None and known.started_at == trial.started_at:
            trial = replace(trial, ended=trial.ended or known.ended)
        _put_bounded(self.trials, trial.fingerprint, trial)

    def entries(self) -> QuarantineEntries:
        """Return all records, to send to a peer."""
        clearances = (Clearance(*item) for item in self.cleared_at.items())
        return QuarantineEntries(
            tuple(self.crashes.values()),
            tuple(clearances),
            tuple(self.trials.values()),
        )

    def merge(self, entries: QuarantineEntries) -> None:
        """Merge a peer's records; order and repetition don't matter."""
        for crash in entries.crashes:
            self.add_crash(crash)
        for clearance in entries.clearances:
            self.add_clearance(clearance)
        for trial in entries.trials:
            self.add_trial(trial)

    def expire(self, limits: VotedLimits, now: float) -> None:
        """Drop records older than the voted ``quarantine_s``."""
        oldest = now - limits.quarantine_s
        for crash in [crash for crash in self.crashes.values() if crash.at <= oldest]:
            self._drop(crash)
        for expired in [key for key, at in self.cleared_at.items() if at <= oldest]:
            del self.cleared_at[expired]
        for expired in [
            key for key, trial in self.trials.items() if trial.started_at <= oldest
        ]:
            del self.trials[expired]

    def _drop(self, crash: Crash) -> None:
        del self.crashes[crash.id]
        for request_fingerprint in crash.fingerprints:
            self._unlink(request_fingerprint, crash.id)

    def _unlink(self, request_fingerprint: str, crash_id: str) -> None:
        ids = self._crash_ids.get(request_fingerprint, set())
        ids.discard(crash_id)
        if not ids:
            self._crash_ids.pop(request_fingerprint, None)


def _time_and_id(crash: Crash):
    return crash.at, crash.id


def _put_bounded(records: dict, request_fingerprint: str, record) -> None:
    records[request_fingerprint] = record
    if len(records) > MAX_RECORDS:
        del records[next(iter(records))]
