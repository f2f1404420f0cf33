"""Mergeable sums in time buckets, with a row for each incarnation (run) of a node.

Only the incarnation that owns a row writes it, and it raises the row's counter with
every change. A receiver keeps the row with the greater counter, so messages between
nodes may be repeated, reordered or lost. A bucket is sealed once it isn't among the
``OPEN_BUCKETS`` newest ones: from then on only its total over all incarnations is kept
and late rows are ignored. Memory is bounded by keys x (kept totals + open buckets x
incarnations).
"""

from collections.abc import Hashable, Iterable
from copy import copy
from typing import Generic, TypeVar

import msgspec
import xxhash
from msgspec.structs import replace

MAX_INCARNATIONS = 128  # other incarnations with rows in open buckets; more are ignored
OPEN_BUCKETS = 2  # number of buckets not sealed yet, including the present one


class Sums(msgspec.Struct, array_like=True):
    """Base class of additive sums; every field is a number with default zero."""

    def add(self, other: "Sums", weight: float = 1.0) -> None:
        """Add ``other`` multiplied by ``weight``, which may be negative, in place."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + weight * getattr(other, name))

    def scale(self, factor: float) -> None:
        """Multiply every sum by ``factor`` in place."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) * factor)


S = TypeVar("S", bound=Sums)
K = TypeVar("K", bound=Hashable)


class Row(msgspec.Struct, Generic[K, S], array_like=True):
    """Sums of one incarnation for one key and bucket.

    ``counter`` grows with every change of the sums.
    """

    incarnation: str
    key: K
    bucket: int
    counter: int
    sums: S


class BucketTable(Generic[K, S]):
    """Totals of each key and bucket over all known incarnations.

    ``width_s`` is the width of a bucket in seconds and ``kept`` the number of buckets
    whose totals are kept. ``now`` is wall-clock time in seconds, since the nodes must
    number buckets alike.
    """

    def __init__(self, incarnation: str, sums_type: type[S], width_s: float, kept: int):
        self.incarnation = incarnation
        self.width_s = width_s
        self.kept = kept
        self._sums_type = sums_type
        self._totals: dict[K, dict[int, S]] = {}
        self._rows: dict[int, dict[tuple[str, K], Row]] = {}
        self._peers: set[str] = set()
        self._changed: set[tuple[int, K]] = set()

    def bucket(self, now: float) -> int:
        """Return the number of the bucket that holds ``now``."""
        return int(now // self.width_s)

    def oldest_open(self, now: float) -> int:
        """Return the number of the oldest bucket that isn't sealed yet."""
        return self.bucket(now) - OPEN_BUCKETS + 1

    def add(self, key: K, sums: S, now: float) -> None:
        """Add ``sums`` to this incarnation's row of the present bucket."""
        bucket = self.bucket(now)
        row = self._row(self.incarnation, key, bucket)
        row.counter += 1
        row.sums.add(sums)
        self._changed.add((bucket, key))
        self._total(key, bucket).add(sums)

    def own_rows(self, now: float) -> tuple[Row, ...]:
        """Return copies of this incarnation's unsealed rows, to send to peers."""
        self.expire(now)
        return tuple(
            replace(row, sums=copy(row.sums))
            for rows in self._rows.values()
            for (incarnation, _), row in rows.items()
            if incarnation == self.incarnation
        )

    def changed_rows(self, now: float) -> tuple[Row, ...]:
        """Return copies of own rows that changed since the previous call.

        Peers that miss a message with changes get the rows from ``own_rows`` later.
        """
        changed, self._changed = self._changed, set()
        return tuple(
            row for row in self.own_rows(now) if (row.bucket, row.key) in changed
        )

    def merge(self, rows: Iterable[Row], now: float) -> int:
        """Merge rows of peers and return how many were new or newer than known ones."""
        self.expire(now)
        return sum(self._merge_row(row, now) for row in rows)

    def known_keys(self) -> tuple[K, ...]:
        """Return every key with evidence."""
        return tuple(self._totals)

    def totals(self, key: K) -> dict[int, S]:
        """Return the totals of a key by bucket number; callers must not modify them."""
        return self._totals.get(key, {})

    def expire(self, now: float) -> None:
        """Seal buckets that are no longer open and drop those older than ``kept``."""
        oldest_open = self.oldest_open(now)
        for bucket in [number for number in self._rows if number < oldest_open]:
            del self._rows[bucket]
        oldest_kept = self.bucket(now) - self.kept + 1
        for key in list(self._totals):
            buckets = self._totals[key]
            for bucket in [number for number in buckets if number < oldest_kept]:
                del buckets[bucket]
            if not buckets:
                del self._totals[key]
        self._forget_peers()

    def _merge_row(self, row: Row, now: float) -> bool:
        if row.incarnation == self.incarnation:
            return False
        if not self.oldest_open(now) <= row.bucket <= self.bucket(now) + 1:
            return False
        if not self._admit_peer(row.incarnation):
            return False
        known = self._row(row.incarnation, row.key, row.bucket)
        if row.counter <= known.counter:
            return False
        total = self._total(row.key, row.bucket)
        total.add(known.sums, -1.0)
        total.add(row.sums)
        self._rows[row.bucket][row.incarnation, row.key] = row
        return True

    def _admit_peer(self, incarnation: str) -> bool:
        if incarnation in self._peers:
            return True
        if len(self._peers) < MAX_INCARNATIONS:
            self._peers.add(incarnation)
            return True
        return False

    def _forget_peers(self) -> None:
        incarnations = {key[0] for rows in self._rows.values() for key in rows}
        self._peers &= incarnations

    def _row(self, incarnation: str, key: K, bucket: int) -> Row:
        rows = self._rows.setdefault(bucket, {})
        row = rows.get((incarnation, key))
        if row is None:
            row = Row(incarnation, key, bucket, 0, self._sums_type())
            rows[incarnation, key] = row
        return row

    def _total(self, key: K, bucket: int) -> S:
        buckets = self._totals.setdefault(key, {})
        total = buckets.get(bucket)
        if total is None:
            total = buckets[bucket] = self._sums_type()
        return total


def unit_hash(*parts: str) -> float:
    """Return a hash of the parts in [0, 1), the same on every node."""
    digest = xxhash.xxh3_64_intdigest("\x1f".join(parts).encode())
    return (digest >> 11) / (1 << 53)
