"""Versions of the store's rows, and the eras in which they mean something.

The store may come back from a copy that is some seconds old. Its versions go back then
and are given out again, and its era rises by one. This module is the only place where
eras are compared.
"""

from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger
from reactivex.subject import Subject

MAX_ERA_DIGITS = 15
LOG_INTERVAL_S = 60.0  # between log lines about eras that can't be read or believed
# Largest rise of the era that is believed of a peer: returns that a node missed while
# it was cut off.
MAX_HEARD_RISE = 16
# Answers in a row of a lower era, all to requests sent after the era was learnt, by
# which it is refuted: the store never goes back in its eras, so it was damaged.
REFUTING_ANSWERS = 3


class Version(NamedTuple):
    """A version of a row or table, ordered by era and then by number."""

    era: int = 0
    number: int = 0

    def is_of_era_before(self, other: "Version") -> bool:
        """Return whether the store returned from a copy between the two."""
        return self.era < other.era

    def is_of_era_of(self, other: "Version") -> bool:
        """Return whether the numbers of the two may be compared."""
        return self.era == other.era


# Expected version of a row that must not exist; it holds in every era.
ABSENT = Version()


class Eras:
    """The newest era of the store that this node knows.

    ``current`` is 0 at a store that names no era. ``returns`` counts its rises since
    the first answer. ``first_numbers`` holds, by era, the store's version in the first
    answer of that era that this node got: rows with higher numbers were written in it.
    ``changes`` emits pairs of the era before and after, also when an era is refuted.
    """

    def __init__(self):
        self.current = 0
        self.returns = 0
        self.changes: Subject = Subject()
        self.first_numbers: dict[int, int] = {}
        self._answered = False
        self._learnt_at = float("-inf")
        self._refuting = 0
        self._logged_at = float("-inf")

    def answered(self, headers: Sequence[bytes], began_at: float, now: float) -> int:
        """Return the era of an answer, and note a higher one.

        ``headers`` are the values of the header that names it. An answer without a
        readable one is of the current era. ``began_at`` is when its request was sent,
        in seconds on the same clock as ``now``.
        """
        era = self._parse(headers, now)
        first, self._answered = not self._answered, True
        if era is None or era == self.current:
            self._refuting = 0
            return self.current
        if era > self.current:
            self._change(era, now, first=first)
        elif began_at > self._learnt_at:
            self._refuting += 1
            if self._refuting >= REFUTING_ANSWERS:
                self._change(era, now)
        return era

    def heard(self, era: int, now: float) -> bool:
        """Note an era that a peer names; return whether it is believed.

        The store's own answers refute it if it is wrong.
        """
        if era > self.current + MAX_HEARD_RISE and self._answered:
            self._log(now, f"era {era} of a peer is far above {self.current}")
            return False
        if era > self.current:
            self._change(era, now, first=not self._answered)
        return True

    @property
    def newest(self) -> Version:
        """Return a version of the current era, to compare others with."""
        return Version(self.current)

    def note_version(self, version: Version) -> None:
        """Note the store's version in an answer."""
        self.first_numbers.setdefault(version.era, version.number)

    def is_new(self, version: Version) -> bool:
        """Return whether a row of this version was written in its era for certain."""
        first = self.first_numbers.get(version.era)
        return first is not None and version.number > first

    def _change(self, era: int, now: float, *, first: bool = False) -> None:
        before, self.current = self.current, era
        self._learnt_at, self._refuting = now, 0
        if first:
            return
        self.first_numbers = {
            known: number
            for known, number in self.first_numbers.items()
            if known == era
        }
        self.returns += era > before
        log = logger.bind(before=before, after=era)
        if era > before:
            log.warning("store returned from a copy")
        else:
            log.warning("era refuted by the store")
        self.changes.on_next((before, era))

    def _parse(self, headers: Sequence[bytes], now: float) -> int | None:
        if not headers:
            return None
        text = headers[0].strip()
        if len(headers) > 1 or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            self._log(now, f"era not readable: {headers[0][:40]!r}")
            return None
        return int(text)

    def _log(self, now: float, message: str) -> None:
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            logger.warning(message)
