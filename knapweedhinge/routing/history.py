"""Ratings of sealed buckets, folded into aged sums at several half-lives.

A bucket is sealed once it no longer takes ratings, see ``BucketTable``. It is then
folded once into a single row for each key and half-life. Folding decays the row by the
elapsed time, so memory and time don't grow with the length of the history.
"""

from collections.abc import Iterable
from copy import copy

import msgspec

from knapweedhinge.routing.ageing import AgedSums, weight_of
from knapweedhinge.routing.evidence import BucketTable
from knapweedhinge.routing.sums import EvidenceKey, QualitySums

QUALITY_HALF_LIVES_S = (3600.0, 900.0, 225.0)  # longest first
MIN_KEPT_WEIGHT = 0.01  # aged number of ratings and checks below which a key is dropped


class FoldedRow(msgspec.Struct, array_like=True):
    """Aged sums of all buckets before ``bucket``, decayed to the start of ``bucket``.

    ``squared_weights`` holds the same sums with squared weights, from which the
    effective sample size follows.
    """

    key: EvidenceKey
    half_life_s: float
    bucket: int
    sums: QualitySums
    squared_weights: QualitySums

    def advance(self, bucket: int, width_s: float) -> None:
        """Decay the sums to a later bucket; ``width_s`` is the width of a bucket."""
        decay = 0.5 ** ((bucket - self.bucket) * width_s / self.half_life_s)
        self.sums.scale(decay)
        self.squared_weights.scale(decay * decay)
        self.bucket = bucket

    def add(self, sums: QualitySums, weight: float) -> None:
        """Add the sums of one bucket with the given weight."""
        self.sums.add(sums, weight)
        self.squared_weights.add(sums, weight * weight)

    def copied(self) -> "FoldedRow":
        """Return a copy that shares no mutable state with this row."""
        return FoldedRow(
            self.key,
            self.half_life_s,
            self.bucket,
            copy(self.sums),
            copy(self.squared_weights),
        )


class QualityHistory:
    """Folded rows of the sealed buckets of one table of ratings."""

    def __init__(self, table: BucketTable[EvidenceKey, QualitySums]):
        self.table = table
        self._rows: dict[EvidenceKey, tuple[FoldedRow, ...]] = {}
        self._folded_to = -1

    def fold(self, now: float) -> None:
        """Fold buckets sealed since the last call; to be called before they expire."""
        oldest_open = self.table.oldest_open(now)
        if oldest_open == self._folded_to:
            return
        self._folded_to = oldest_open
        for key in self.known_keys():
            rows = self._rows.get(key) or self._new_rows(key)
            for row in rows:
                self._fold_row(row, oldest_open)
            self._rows[key] = rows
            if self._is_negligible(key):
                del self._rows[key]

    def known_keys(self) -> set[EvidenceKey]:
        """Return every key with ratings or checks."""
        return set(self._rows) | set(self.table.known_keys())

    def aged(self, key: EvidenceKey, half_life_s: float, now: float) -> AgedSums:
        """Return the aged sums of a key at ``now``, of folded and open buckets."""
        present = self.table.bucket(now)
        rows = self._rows.get(key, ())
        folded = next((row for row in rows if row.half_life_s == half_life_s), None)
        row = folded.copied() if folded else self._new_row(key, half_life_s)
        first_open = row.bucket
        row.advance(max(present, first_open), self.table.width_s)
        for bucket, sums in self.table.totals(key).items():
            if bucket >= first_open:
                row.add(sums, weight_of(self.table, bucket, half_life_s, now))
        return AgedSums(row.sums, row.squared_weights)

    def rows(self) -> tuple[FoldedRow, ...]:
        """Return copies of the folded rows, to send to a node that starts."""
        return tuple(row.copied() for rows in self._rows.values() for row in rows)

    def adopt(self, rows: Iterable[FoldedRow]) -> None:
        """Take over a peer's folded rows of the keys that it has more ratings of.

        The aged numbers of ratings are compared, at the longest half-life. Open buckets
        are kept; ``aged`` leaves out those that the peer has folded. Groups without
        exactly the half-lives used here are ignored.
        """
        rows_by_key: dict[EvidenceKey, list[FoldedRow]] = {}
        for row in rows:
            rows_by_key.setdefault(row.key, []).append(row)
        for key, key_rows in rows_by_key.items():
            half_lives_s = {row.half_life_s for row in key_rows}
            if half_lives_s != set(QUALITY_HALF_LIVES_S):
                continue
            if self._weight(key) < key_rows[0].sums.ratings:
                self._rows[key] = tuple(key_rows)

    def _fold_row(self, row: FoldedRow, oldest_open: int) -> None:
        first_bucket = row.bucket
        width_s = self.table.width_s
        row.advance(max(first_bucket, oldest_open), width_s)
        for bucket, sums in self.table.totals(row.key).items():
            if first_bucket <= bucket < oldest_open:
                age_s = (oldest_open - bucket) * width_s
                row.add(sums, 0.5 ** (age_s / row.half_life_s))

    def _new_rows(self, key: EvidenceKey) -> tuple[FoldedRow, ...]:
        return tuple(
            self._new_row(key, half_life_s) for half_life_s in QUALITY_HALF_LIVES_S
        )

    def _new_row(self, key: EvidenceKey, half_life_s: float) -> FoldedRow:
        first_bucket = min(self.table.totals(key), default=0)
        return FoldedRow(key, half_life_s, first_bucket, QualitySums(), QualitySums())

    def _weight(self, key: EvidenceKey) -> float:
        rows = self._rows.get(key)
        return rows[0].sums.ratings if rows else 0.0

    def _is_negligible(self, key: EvidenceKey) -> bool:
        sums = self._rows[key][0].sums
        weight = sums.ratings + sums.checked
        return weight < MIN_KEPT_WEIGHT and not self.table.totals(key)
