"""Quarantine of prompt parts that crash the engines which begin to answer them.

Calls that share such a part differ otherwise, so :mod:`quarantine` can't recognise them
by their content. Sound calls share the caller and other parts of the prompt. Designed
for engines that run tens of calls at once, of which a node knows only its own: each
crash makes suspects of the parts of all calls that it left unanswered, and answers
clear them.

Some parts crash engines only in the middle of an answer. A second quarantine takes the
crashes that cut off answers, and is told of complete answers only. Crashes for which
the first one suspects a part don't count there: they cut off many sound answers.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.routing.crashes import CutCall

MAX_CRASHES = 1024  # number of crashes kept, the latest ones
MAX_PARTS_PER_CALL = 32  # number of suspected parts kept for each call
MAX_ANSWERED = 8192  # number of parts whose last answer is remembered
MAX_RECORDED_ANSWERS = 128  # of them in a crash's record, which the store limits
# Crashes without an answer in between before a part is blamed, and the fewest different
# calls among them: a call that crashes engines alone is blamed for its whole content.
STRIKES = 3
MIN_CALLS = 2
# A part in wide use is in many of the calls that crashes leave unanswered. One that was
# answered this many seconds ago or less is blamed only after more crashes.
RECENT_ANSWER_S = 30.0
STRIKES_AFTER_RECENT_ANSWER = 5
PRESUMED_SOUND_S = 1.0  # time after an answer in which a part is no suspect
REVIEW_INTERVAL_S = 0.25  # longest time between two reviews of the evidence


def part_key(service: str, part_id: str) -> str:
    """Return the key of a prompt's part at the engines of a service, 16 hex digits."""
    name = service.encode()
    prefix = len(name).to_bytes(4, "big")
    return xxhash.xxh3_64_hexdigest(prefix + name + part_id.encode())


@dataclass(frozen=True, slots=True)
class _KnownCrash:
    """A crash with the calls that it left unanswered; ``at`` is when it was learned."""

    at: float
    calls: frozenset[CutCall]

    @property
    def parts(self) -> frozenset[str]:
        return frozenset(part for call in self.calls for part in call.parts)

    def parts_beside(self, part: str) -> frozenset[str]:
        """Return the parts of all calls that contain this one."""
        calls = (call.parts for call in self.calls if part in call.parts)
        return frozenset(key for parts in calls for key in parts)


class PromptQuarantine:
    """Decide which combinations of prompt parts are refused.

    Parts are named by their keys. A part is blamed after several crashes that left
    different calls with it unanswered, if no call with it was answered in between. What
    is refused is its combination with all parts that came with it in each of these
    crashes and that no answer has cleared since, because any of them may be at fault.
    A crash doesn't count against a part if another part with more crashes explains it.

    All times are in seconds on the node's monotonic clock. Crashes that are at most
    ``min_gap_s`` apart count as one.
    """

    def __init__(self, min_gap_s: float = 0.0):
        self._min_gap_s = min_gap_s
        self._crashes: dict[str, _KnownCrash] = {}
        # Ids of the crashes since its last answer, by part.
        self._strikes: dict[str, set[str]] = {}
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._blamed: tuple[frozenset[str], ...] = ()
        self._explained: frozenset[str] = frozenset()
        self._reviewed_at = float("-inf")
        self._excused: frozenset[str] = frozenset()  # crashes, at the last review

    def suspects(self, parts: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Return those of a call's parts that a crash of its engine makes suspects."""
        return tuple(
            part for part in parts if now - self._last_answer(part) > PRESUMED_SOUND_S
        )[:MAX_PARTS_PER_CALL]

    def add_crash(self, crash_id: str, calls: frozenset[CutCall], at: float) -> None:
        """Add a crash, or replace the unanswered calls of a known one.

        ``at`` is when this node learned of it; the first time is kept.
        """
        known = self._crashes.get(crash_id, _KnownCrash(at, frozenset()))
        if calls <= known.calls:
            return
        if crash_id in self._crashes:
            self._drop(crash_id)
        crash = self._crashes[crash_id] = _KnownCrash(known.at, calls)
        for part in crash.parts:
            if crash.at > self._last_answer(part):
                self._strikes.setdefault(part, set()).add(crash_id)
        if len(self._crashes) > MAX_CRASHES:
            self._drop(next(iter(self._crashes)))
        self._reviewed_at = float("-inf")

    def answered(self, parts: tuple[str, ...], at: float) -> tuple[str, ...]:
        """Note that an engine began to answer a call with these parts.

        Crashes after the time ``at`` still count; a peer's news of an answer may come
        later than that of a crash. Return the parts that peers may suspect, because of
        several crashes since the answer before.
        """
        cleared = tuple(part for part in parts if self._clear(part, at) >= MIN_CALLS)
        while len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        if cleared:
            self._reviewed_at = float("-inf")
        return cleared

    def blamed(
        self,
        parts: tuple[str, ...],
        limits: VotedLimits,
        now: float,
        excused: frozenset[str] = frozenset(),
    ) -> frozenset[str]:
        """Return a blamed combination that a call's parts include, empty if none.

        ``excused`` holds the ids of crashes that have another explanation.
        """
        if not any(len(self._strikes.get(part, ())) >= STRIKES for part in parts):
            return frozenset()
        self._review(limits, now, excused)
        return next((found for found in self._blamed if found <= {*parts}), frozenset())

    def explained(
        self, limits: VotedLimits, now: float, excused: frozenset[str] = frozenset()
    ) -> frozenset[str]:
        """Return the ids of the crashes that blamed parts explain."""
        self._review(limits, now, excused)
        return self._explained

    def suspected_parts(self, crash_id: str) -> frozenset[str]:
        """Return the parts that a crash still counts against."""
        known = self._crashes.get(crash_id)
        return frozenset(
            part
            for part in (known.parts if known else ())
            if crash_id in self._strikes.get(part, ())
        )

    def last_answers(self, parts: Iterable[str]) -> dict[str, float]:
        """Return when each of these parts was last answered, without those never seen.

        Only the ``MAX_RECORDED_ANSWERS`` latest answers are returned.
        """
        known = {
            part: at
            for part in parts
            if (at := self._answered_at.get(part)) is not None
        }
        latest = sorted(known, key=known.__getitem__)[-MAX_RECORDED_ANSWERS:]
        return {part: known[part] for part in latest}

    def suspected_since(self, parts: tuple[str, ...]) -> float | None:
        """Return when the last crash happened that suspects a part, None if none does.

        A part is suspected if at least two crashes left different calls with it
        unanswered, and no call with it was answered since. More crashes or an answer
        may soon show whether it is at fault.
        """
        times = [
            max(self._crashes[crash_id].at for crash_id in ids)
            for part in parts
            if len(ids := self._strikes.get(part, ())) >= MIN_CALLS
            and self._different(part, ids) >= MIN_CALLS
        ]
        return max(times, default=None)

    def suspected_crashes(self) -> frozenset[str]:
        """Return the ids of the crashes for which a part of another one is suspected.

        Two crashes are enough, before any part is blamed.
        """
        return frozenset(
            crash_id
            for ids in self._strikes.values()
            if len(ids) >= MIN_CALLS
            for crash_id in ids
        )

    def _review(
        self, limits: VotedLimits, now: float, excused: frozenset[str] = frozenset()
    ) -> None:
        """Find the blamed combinations, unless that was done just now.

        Crashes in ``excused`` count for no part. Parts with the most crashes come
        first, of equal ones that answered longest ago, then that of the most calls.
        """
        if now - self._reviewed_at <= REVIEW_INTERVAL_S and excused == self._excused:
            return
        self._excused = excused
        self._expire(now - limits.quarantine_s)
        self._reviewed_at = now
        ranked = sorted(
            (part for part, ids in self._strikes.items() if len(ids) >= STRIKES),
            key=lambda part: (
                -len(self._strikes[part]),
                self._last_answer(part),
                -self._different(part, self._strikes[part]),
                part,
            ),
        )
        blamed, explained = [], set(excused)
        for part in ranked:
            unexplained = self._strikes[part] - explained
            if (
                self._separate(unexplained) < self._needed(part, now)
                or self._different(part, unexplained) < MIN_CALLS
            ):
                continue
            blamed.append(self._companions(part, unexplained))
            explained |= self._strikes[part]
        self._blamed, self._explained = tuple(blamed), frozenset(explained - excused)

    def _clear(self, part: str, at: float) -> int:
        """Drop the crashes that count against a part until ``at``; return how many."""
        self._answered_at[part] = max(at, self._last_answer(part))
        self._answered_at.move_to_end(part)
        ids = self._strikes.pop(part, set())
        later = {crash_id for crash_id in ids if self._crashes[crash_id].at > at}
        if later:
            self._strikes[part] = later
        return len(ids) - len(later)

    def _expire(self, oldest: float) -> None:
        expired = [key for key, crash in self._crashes.items() if crash.at <= oldest]
        for crash_id in expired:
            self._drop(crash_id)

    def _companions(self, part: str, crash_ids: set[str]) -> frozenset[str]:
        """Return a part and all that come with it in some call of each crash.

        Parts that were answered since are left out.
        """
        common = frozenset.intersection(
            *(self._crashes[crash_id].parts_beside(part) for crash_id in crash_ids)
        )
        return frozenset(
            key for key in common if crash_ids <= self._strikes.get(key, set())
        )

    def _different(self, part: str, crash_ids) -> int:
        """Return how many different calls with a part these crashes left unanswered."""
        return len(
            {
                call.fingerprint
                for crash_id in crash_ids
                for call in self._crashes[crash_id].calls
                if part in call.parts
            }
        )

    def _separate(self, crash_ids) -> int:
        """Return how many of these crashes are at least ``min_gap_s`` apart."""
        if not self._min_gap_s:
            return len(crash_ids)
        count, last = 0, float("-inf")
        for at in sorted(self._crashes[crash_id].at for crash_id in crash_ids):
            if at - last > self._min_gap_s:
                count += 1
                last = at
        return count

    def _needed(self, part: str, now: float) -> int:
        if now - self._last_answer(part) <= RECENT_ANSWER_S:
            return STRIKES_AFTER_RECENT_ANSWER
        return STRIKES

    def _last_answer(self, part: str) -> float:
        return self._answered_at.get(part, float("-inf"))

    def _drop(self, crash_id: str) -> None:
        for part in self._crashes.pop(crash_id).parts:
            ids = self._strikes.get(part)
            if ids is not None:
                ids.discard(crash_id)
                if not ids:
                    del self._strikes[part]
        self._reviewed_at = float("-inf")
