"""Quarantine of requests that crash endpoints.

Requests that were merely in flight at the same endpoint must not be refused. Verdicts
depend only on the merged evidence, so nodes with the same evidence agree.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from math import ceil

from knapweedhinge.conf.cooperative import VotedLimits
from knapweedhinge.routing.crashes import Clearance, Crash, CrashEvidence, Trial

STRIKES_TO_QUARANTINE = 2  # crashes blamed on a request before it may be refused
# The same if it was answering at some of them. Long answers are under way at more
# crashes of another cause, and each such crash is one more of at most a few runs.
STRIKES_WHILE_ANSWERING = 3
# A request that many callers send may be in flight at crashes of another cause, and if
# all copies are refused nothing clears it. One run may test it again: so long after its
# last crash or run, or this multiple of the time between its first and last crash.
RETRIAL_PAUSE_S = 5.0
RETRIAL_BACKOFF = 10.0
# Time between the first and the last crash from which on no run tests a request again.
MAX_RETRIAL_SPAN_S = 30.0
BURST_WINDOW_S = 30.0  # crashes at most this far apart may belong to the same burst
# Fewest other, unrelated crashes that make a crash part of a burst, as a share of the
# number of endpoints, and the lower limit of their number.
BURST_SHARE_OF_ENDPOINTS = 0.2
MIN_BURST_CRASHES = 2
MAX_TRIAL_S = 120.0  # longest time that a request may run alone on trial


class Standing(StrEnum):
    """Restriction on how a request may run.

    ``ALONE`` requests need an endpoint without other requests. ``ON_TRIAL`` means that
    such a run is in progress, and ``QUARANTINED`` requests are refused.
    """

    NORMAL = "normal"
    ALONE = "alone"
    ON_TRIAL = "on-trial"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Standing of a request.

    ``strikes`` holds the ids of the crashes that the request is blamed for. ``until``
    is the wall-clock time in seconds when the last of them expires, and ``retrial_at``
    that from which one run may test a quarantined request again, infinity for never.
    """

    standing: Standing
    strikes: tuple[str, ...] = ()
    until: float = 0.0
    retrial_at: float = float("inf")


class Quarantine:
    """Decide how requests may run, by the crashes at which they were in flight.

    Requests are named by their fingerprint. A request blamed for one crash runs alone.
    It is refused if it is blamed for at least two before any part of its answer, or
    three in all, and no other request is as suspect of all of them.
    If many endpoints without a request in common crashed at about the same time,
    another cause is more likely: one such crash isn't blamed on a request, but further
    ones are.
    """

    def __init__(self, evidence: CrashEvidence | None = None):
        self.evidence = evidence or CrashEvidence()

    def completed(self, fingerprint: str, now: float) -> Clearance | None:
        """Clear a suspect request that was answered.

        Return the clearance to send to peers, None if the request was no suspect.
        """
        crashes = self.evidence.of(fingerprint)
        if not crashes or crashes[-1].at <= self.evidence.last_cleared(fingerprint):
            return None
        clearance = Clearance(fingerprint, now)
        self.evidence.add_clearance(clearance)
        return clearance

    def trial_started(self, fingerprint: str, now: float) -> Trial:
        """Record that a suspect request starts to run alone; return it for peers."""
        trial = Trial(fingerprint, now)
        self.evidence.add_trial(trial)
        return trial

    def trial_ended(self, fingerprint: str) -> Trial | None:
        """Record that a suspect's run alone ended, with any result.

        Return the trial to send to peers, None if there was none.
        """
        trial = self.evidence.trials.get(fingerprint)
        if trial is None:
            return None
        ended = replace(trial, ended=True)
        self.evidence.add_trial(ended)
        return ended

    def verdict(
        self,
        fingerprint: str,
        limits: VotedLimits,
        endpoints: int,
        now: float,
        explained: frozenset[str] = frozenset(),
    ) -> Verdict:
        """Return the standing of a request.

        ``endpoints`` is the number of known endpoints; ``now`` is wall-clock time.
        ``explained`` holds the ids of crashes for which others are blamed.
        """
        crashes = self.evidence.of(fingerprint)
        if not crashes:
            return Verdict(Standing.NORMAL)
        since = max(self.evidence.last_cleared(fingerprint), now - limits.quarantine_s)
        recent = [
            crash for crash in crashes if crash.at > since and crash.id not in explained
        ]
        blamed = self._without_excused(recent, endpoints)
        if not blamed:
            return Verdict(Standing.NORMAL)
        return self._standing(fingerprint, blamed, limits, now)

    def _standing(
        self, fingerprint, blamed, limits: VotedLimits, now: float
    ) -> Verdict:
        strikes = tuple(crash.id for crash in blamed)
        until = blamed[-1].at + limits.quarantine_s
        enough = (
            _unanswered(fingerprint, blamed) >= STRIKES_TO_QUARANTINE
            or len(blamed) >= STRIKES_WHILE_ANSWERING
        )
        if enough and self._is_only_common_suspect(fingerprint, blamed):
            retrial_at = self._retrial_at(fingerprint, blamed)
            return Verdict(Standing.QUARANTINED, strikes, until, retrial_at)
        on_trial = self._on_trial(fingerprint, blamed[-1], now)
        standing = Standing.ON_TRIAL if on_trial else Standing.ALONE
        return Verdict(standing, strikes, until)

    def _retrial_at(self, fingerprint: str, blamed: list[Crash]) -> float:
        span_s = blamed[-1].at - blamed[0].at
        if span_s > MAX_RETRIAL_SPAN_S:
            return float("inf")
        trial = self.evidence.trials.get(fingerprint)
        last = max(blamed[-1].at, trial.started_at if trial else float("-inf"))
        return last + max(RETRIAL_PAUSE_S, RETRIAL_BACKOFF * span_s)

    def _is_only_common_suspect(self, fingerprint: str, blamed: list[Crash]) -> bool:
        """Return whether no other request is as suspect of all blamed crashes.

        Requests answered at or after the last of these crashes are no suspects, and
        one that was answering counts less than one that was not: streams that a crash
        cuts off go on at the next endpoint together with the request at fault.
        """
        shared = frozenset.intersection(*(crash.fingerprints for crash in blamed))
        last = blamed[-1].at
        unanswered = min(STRIKES_TO_QUARANTINE, _unanswered(fingerprint, blamed))
        return all(
            other == fingerprint
            or self.evidence.last_cleared(other) >= last
            or _unanswered(other, blamed) < unanswered
            for other in shared
        )

    def _without_excused(self, crashes: list[Crash], endpoints: int) -> list[Crash]:
        """Return a request's crashes, oldest first, without one for each burst.

        A burst explains one crash of a request. One that crashes endpoints goes on at
        the next endpoint, and the next, also while others fail for another cause.
        """
        blamed, excused_at = [], float("-inf")
        for crash in crashes:
            recently = crash.at - excused_at <= BURST_WINDOW_S
            if not recently and self._in_burst(crash, endpoints):
                excused_at = crash.at
            else:
                blamed.append(crash)
        return blamed

    def _in_burst(self, crash: Crash, endpoints: int) -> bool:
        """Return whether a crash is part of a burst of unrelated crashes.

        Each crashing request explains at most one of a set of crashes of which no two
        share a request. A large set thus points to another cause.
        """
        others = [
            other
            for other in self.evidence.crashes.values()
            if abs(other.at - crash.at) <= BURST_WINDOW_S
            and crash.fingerprints.isdisjoint(other.fingerprints)
        ]
        needed = max(MIN_BURST_CRASHES, ceil(BURST_SHARE_OF_ENDPOINTS * endpoints))
        return len(others) >= needed and _disjoint_count(others) >= needed

    def _on_trial(self, fingerprint: str, last: Crash, now: float) -> bool:
        trial = self.evidence.trials.get(fingerprint)
        if trial is None or trial.ended or last.at >= trial.started_at:
            return False
        return now < trial.started_at + MAX_TRIAL_S


def _unanswered(fingerprint: str, crashes: list[Crash]) -> int:
    """Return at how many of these crashes a request had sent nothing of its answer."""
    return sum(fingerprint not in crash.answering for crash in crashes)


def _disjoint_count(crashes: list[Crash]) -> int:
    """Return the size of a set of these crashes of which no two share a request.

    The set is picked greedily, crashes with the fewest requests first.
    """
    seen: set[str] = set()
    count = 0
    for crash in sorted(crashes, key=lambda item: (len(item.fingerprints), item.id)):
        if seen.isdisjoint(crash.fingerprints):
            seen |= crash.fingerprints
            count += 1
    return count
