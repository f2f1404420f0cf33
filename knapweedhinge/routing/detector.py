"""Detection of bad versions from the evidence of a node and its peers.

A cut takes a bad version out of use. The returned ``CutVersion`` takes effect
immediately on the node that found it; the caller then tells peers and records the
withdrawal.
"""

from dataclasses import dataclass

from knapweedhinge.routing.baselines import Baseline
from knapweedhinge.routing.evidence import BucketTable
from knapweedhinge.routing.sequential import (
    ALL_FIELDS,
    TESTS,
    FoldedEvidence,
    Stream,
    WatchKey,
    WatchRow,
    WatchSums,
    log_limit,
    log_mean,
    record_badness,
)

BUCKET_S = 10.0  # width of an evidence bucket
BUCKETS_KEPT = 60  # number of buckets


@dataclass(frozen=True)
class CutVersion:
    """Version found bad; sent to peers immediately, then recorded as withdrawn.

    ``stream`` is the observed quantity by which it was found. ``log_evidence`` is the
    natural logarithm of the value of its test, and ``log_limit`` the limit that it
    reached. ``answers`` and ``ratings`` count the observations of the version.
    ``found_at`` is the wall-clock time in seconds and ``found_by`` the incarnation of
    the node.
    """

    version: str
    roll_out: str
    stream: Stream
    log_evidence: float
    log_limit: float
    answers: int
    ratings: int
    found_at: float
    found_by: str


class Detector:
    """Sequential tests of all watched versions, over evidence of a node and its peers.

    ``incarnation`` identifies the present run of this node. ``now`` is wall-clock time
    in seconds, since bucket numbers must agree between nodes.
    """

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self.table: BucketTable[WatchKey, WatchSums] = BucketTable(
            incarnation, WatchSums, BUCKET_S, BUCKETS_KEPT
        )
        self._folded: dict[WatchKey, FoldedEvidence] = {}
        self._folded_to = -1

    def observe_answer(
        self, key: WatchKey, failed: bool, slow: bool, baseline: Baseline, now: float
    ) -> CutVersion | None:
        """Record one answer; return a cut if a test now shows the version to be bad."""
        sums = WatchSums(answers=1, failures=int(failed))
        record_badness(sums, Stream.FAILURE, float(failed), baseline.failure)
        if not failed:
            record_badness(sums, Stream.SLOW, float(slow), baseline.slow)
        self._add(key, sums, now)
        if failed:
            return self.verdict(key, now, (Stream.FAILURE,))
        return self.verdict(key, now, (Stream.SLOW,)) if slow else None

    def observe_rating(
        self, key: WatchKey, rating: float, baseline: Baseline, now: float
    ) -> CutVersion | None:
        """Record one rating in [0, 1]; return a cut if a test shows a bad version."""
        badness = 1.0 - rating
        sums = WatchSums(ratings=1)
        record_badness(
            sums, Stream.BAD, float(rating < baseline.bad_rating), baseline.bad
        )
        record_badness(sums, Stream.QUALITY, badness, baseline.badness)
        self._add(key, sums, now)
        if badness <= baseline.badness:
            return None
        return self.verdict(key, now, (Stream.BAD, Stream.QUALITY))

    def own_rows(self, now: float) -> tuple[WatchRow, ...]:
        """Return the unsealed rows of this incarnation, to send to peers."""
        self._fold(now)
        return self.table.own_rows(now)

    def merge(self, rows: tuple[WatchRow, ...], now: float) -> tuple[CutVersion, ...]:
        """Merge a peer's rows and return the versions that are cut as a result."""
        self._fold(now)
        if not self.table.merge(rows, now):
            return ()
        keys = sorted({row.key for row in rows}, key=_key_order)
        found = (self.verdict(key, now) for key in keys)
        return tuple(cut for cut in found if cut is not None)

    def verdict(
        self, key: WatchKey, now: float, streams: tuple[Stream, ...] = tuple(Stream)
    ) -> CutVersion | None:
        """Return a cut if one of the version's tests has reached its limit."""
        self._fold(now)
        for stream in streams:
            test = TESTS[stream]
            state = self._current_evidence(key, test.fields)
            evidence = log_mean(state.values, test.fields)
            limit = log_limit(key, stream)
            if evidence >= limit:
                return self._cut(key, stream, evidence, limit, state, now)
        return None

    def forget(self, key: WatchKey) -> None:
        """Drop the folded evidence of a version that is no longer watched."""
        self._folded.pop(key, None)

    def _add(self, key: WatchKey, sums: WatchSums, now: float) -> None:
        self._fold(now)
        self.table.add(key, sums, now)

    def _current_evidence(
        self, key: WatchKey, names: tuple[str, ...]
    ) -> FoldedEvidence:
        """Return the folded evidence extended by the buckets not folded yet."""
        state = self._folded.get(key) or FoldedEvidence()
        for bucket, sums in sorted(self.table.totals(key).items()):
            if bucket > state.last_bucket:
                state = state.extended(key, sums, names)
        return state

    def _fold(self, now: float) -> None:
        """Fold buckets sealed since the last call; to be called before they expire."""
        oldest_open = self.table.oldest_open(now)
        if oldest_open == self._folded_to:
            return
        self._folded_to = oldest_open
        for key in self.table.known_keys():
            self._folded[key] = self._folded_evidence(key, oldest_open)

    def _folded_evidence(self, key: WatchKey, oldest_open: int) -> FoldedEvidence:
        state = self._folded.get(key) or FoldedEvidence()
        for bucket, sums in sorted(self.table.totals(key).items()):
            if state.last_bucket < bucket < oldest_open:
                state = state.extended(key, sums, ALL_FIELDS)
                state.last_bucket = bucket
        return state

    def _cut(
        self,
        key: WatchKey,
        stream: Stream,
        evidence: float,
        limit: float,
        state: FoldedEvidence,
        now: float,
    ) -> CutVersion:
        return CutVersion(
            version=key.version,
            roll_out=key.roll_out,
            stream=stream,
            log_evidence=evidence,
            log_limit=limit,
            answers=int(state.answers),
            ratings=int(state.ratings),
            found_at=now,
            found_by=self.incarnation,
        )


def _key_order(key: WatchKey) -> tuple[str, str]:
    return key.version, key.roll_out
