"""Track requests suspected of crashing engines, and share the evidence with peers.

An engine is the process that serves an endpoint; its incarnation changes at a restart.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, replace

import msgspec
from loguru import logger
from reactivex.subject import Subject

from knapweedhinge.conf import VotedLimits
from knapweedhinge.routing.crashes import (
    NO_ANSWERS,
    Clearance,
    Crash,
    CutCall,
    PartAnswers,
    QuarantineEntries,
    Trial,
)
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.promptquarantine import PromptQuarantine
from knapweedhinge.routing.quarantine import (
    MAX_TRIAL_S,
    Quarantine,
    Standing,
    Verdict,
)

# Seconds for which requests are remembered that an engine didn't answer completely.
# Until then it turns out whether the engine crashed.
BROKEN_KEPT_S = 2.0
# Time in seconds after the last complete answer in which a request is no suspect. One
# that crashes endpoints has none.
PRESUMED_SOUND_S = 5.0
# Crashes at most so many seconds apart count as one against prompt parts whose answers
# they cut off: such answers are under way at all engines that another cause ends.
CUT_ANSWERS_GAP_S = 0.1
MAX_ANSWERED = 8192  # number of requests whose last complete answer is remembered


class Isolation(msgspec.Struct, frozen=True, array_like=True):
    """Message that an endpoint takes no other requests while a suspect runs there.

    ``ended`` is True when the isolation is over. Without that message it ends after
    MAX_TRIAL_S.
    """

    endpoint_id: str
    ended: bool = False


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Message with evidence and isolations for peers; merging it is idempotent."""

    entries: QuarantineEntries = QuarantineEntries()
    isolations: tuple[Isolation, ...] = ()


@dataclass(frozen=True)
class KeyedUpdate:
    """An update to send; a newer one with the same key replaces it."""

    key: str
    update: QuarantineUpdate


@dataclass(frozen=True, slots=True)
class _BrokenCall:
    """A call that an engine didn't answer completely, with the time of its end."""

    at: float
    call: CutCall


class QuarantineTracker:
    """Track this node's requests to engines, and decide how each may run.

    A request may run normally, only alone, or not. The verdict on a request depends on
    the evidence of all nodes. Requests are identified by their fingerprint. ``now`` is
    in seconds on the node's monotonic clock; ``epoch_s`` is added to it to get
    wall-clock time. ``stagger_s`` is added to the time of a request's next retrial, and
    differs between nodes, so that one of them tests it. ``updates_for_peers`` emits the
    updates to send to peers, and ``evidence_added`` the id of each crash with new
    suspects, also those of peers.
    """

    def __init__(self, epoch_s: float = 0.0, stagger_s: float = 0.0):
        self._epoch_s = epoch_s
        self._stagger_s = stagger_s
        self._quarantine = Quarantine()
        self._prompts = PromptQuarantine()  # by crashes before any part of the answer
        self._cut_prompts = PromptQuarantine(CUT_ANSWERS_GAP_S)  # by later ones
        self._last_blamed: frozenset[str] = frozenset()
        # Fingerprints of running requests, by endpoint id and incarnation, and of those
        # of them that have sent a part of their answer.
        self._running: dict[tuple[str, str], list[str]] = {}
        self._answering: dict[tuple[str, str], list[str]] = {}
        # Requests that ended at an engine without a complete answer.
        self._broken: dict[tuple[str, str], list[_BrokenCall]] = {}
        # Crashes with the requests of this node alone, by the crash's id.
        self._own_crashes: dict[str, Crash] = {}
        # Monotonic time in seconds of the last complete answer, by fingerprint.
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        # Monotonic time in seconds at which an isolation ends, by endpoint id.
        self._isolated: dict[str, float] = {}
        self.updates_for_peers: Subject = Subject()
        self.evidence_added: Subject = Subject()

    def started(self, endpoint: EndpointView, fingerprint: str) -> None:
        """Note that a request with this fingerprint is sent to an engine."""
        self._running.setdefault((endpoint.id, endpoint.incarnation), []).append(
            fingerprint
        )

    def answer_began(self, endpoint: EndpointView, fingerprint: str) -> None:
        """Note that a running request has sent a part of its answer.

        It stays a suspect: some requests crash an engine only while it answers.
        """
        self._answering.setdefault((endpoint.id, endpoint.incarnation), []).append(
            fingerprint
        )

    def ended(self, endpoint: EndpointView, fingerprint: str) -> None:
        """Note that a request no longer runs at an engine."""
        process = endpoint.id, endpoint.incarnation
        for by_process in (self._running, self._answering):
            fingerprints = by_process.get(process, [])
            if fingerprint in fingerprints:
                fingerprints.remove(fingerprint)
            if not fingerprints:
                by_process.pop(process, None)

    def is_running(self, endpoint: EndpointView) -> bool:
        """Return whether a request of this node is in flight at an engine."""
        return (endpoint.id, endpoint.incarnation) in self._running

    def broke_off(
        self,
        endpoint: EndpointView,
        fingerprint: str,
        now: float,
        parts: tuple[str, ...] = (),
        *,
        answering: bool = False,
    ) -> None:
        """Note that a request ended at an engine before its answer was complete.

        Its connection broke, or this node closed it because of what the engine sent or
        because it sent nothing. The request counts as in flight if the engine turns out
        to have crashed at most BROKEN_KEPT_S later, or is known to. ``parts`` holds the
        keys of the parts of its prompt that other requests may contain too.
        ``answering`` says that a part of the answer arrived.
        """
        oldest = now - BROKEN_KEPT_S
        self._broken = {
            process: kept
            for process, broken in self._broken.items()
            if (kept := [item for item in broken if item.at > oldest])
        }
        if self._is_presumed_sound(fingerprint, now):
            return
        process = endpoint.id, endpoint.incarnation
        prompts = self._cut_prompts if answering else self._prompts
        call = CutCall(fingerprint, prompts.suspects(parts, now), answering)
        broken = _BrokenCall(now, call)
        self._broken.setdefault(process, []).append(broken)
        known = self._quarantine.evidence.crashes.get(Crash(*process, now).id)
        if known is not None:
            self._add_crash(_crash(process, known.at, [broken]), now)

    def crashed(self, endpoint: EndpointView, limits: VotedLimits, now: float) -> Crash:
        """Record and return an engine's crash; its requests in flight are suspects."""
        process = endpoint.id, endpoint.incarnation
        self._quarantine.evidence.expire(limits, self._wall(now))
        broken = [
            item
            for item in self._broken.get(process, ())
            if now - item.at <= BROKEN_KEPT_S
        ]
        calls = [
            item
            for item in (*self._in_flight(process, now), *broken)
            if not self._is_presumed_sound(item.call.fingerprint, now)
        ]
        # The time of the crash, not of its discovery: answers since clear suspects.
        at = min((item.at for item in broken), default=now)
        return self._add_crash(_crash(process, self._wall(at), calls), at)

    def answered(
        self, parts: tuple[str, ...], now: float, *, complete: bool = False
    ) -> None:
        """Note that an engine answers a request with these parts in its prompt."""
        for part in self._prompts.answered(parts, now):
            entries = QuarantineEntries(answered_parts=(part,))
            self._publish(f"part/{part}", entries)
        if complete:
            for part in self._cut_prompts.answered(parts, now):
                entries = QuarantineEntries(completed_parts=(part,))
                self._publish(f"complete/{part}", entries)

    def suspected_since(self, parts: tuple[str, ...]) -> float | None:
        """Return when parts of a prompt were last suspected of a crash, None if not."""
        return self._prompts.suspected_since(parts)

    def blamed_parts(
        self, parts: tuple[str, ...], limits: VotedLimits, now: float
    ) -> frozenset[str]:
        """Return the parts of a prompt for which the request is refused, if any."""
        blamed = self._prompts.blamed(parts, limits, now)
        blamed = blamed or self._cut_prompts.blamed(
            parts, limits, now, self._prompts.suspected_crashes()
        )
        if blamed and blamed != self._last_blamed:
            self._last_blamed = blamed
            logger.bind(parts=sorted(blamed)).warning(
                "prompt parts that crash engines are refused"
            )
        return blamed

    def verdict(
        self, fingerprint: str, limits: VotedLimits, endpoints: int, now: float
    ) -> Verdict:
        """Return how to treat a request.

        ``endpoints`` is the number of known endpoints.
        """
        if not self._quarantine.evidence.of(fingerprint):
            return Verdict(Standing.NORMAL)
        verdict = self._quarantine.verdict(
            fingerprint,
            limits,
            endpoints,
            self._wall(now),
            self._prompts.explained(limits, now)
            | self._cut_prompts.explained(
                limits, now, self._prompts.suspected_crashes()
            ),
        )
        return replace(verdict, retrial_at=verdict.retrial_at + self._stagger_s)

    def retrial_due_s(self, verdict: Verdict, now: float) -> float:
        """Return the seconds until a quarantined request may be tested by a run."""
        return max(0.0, verdict.retrial_at - self._wall(now))

    def retrial_started(self, fingerprint: str, now: float) -> None:
        """Note that a quarantined request runs once more, to test it."""
        trial = self._quarantine.trial_started(fingerprint, self._wall(now))
        self._publish_trial(trial)

    def known_updates(self) -> tuple[KeyedUpdate, ...]:
        """Return this node's part in all crashes, for peers that it has just joined."""
        return tuple(_crash_update(crash) for crash in self._own_crashes.values())

    def crashes(self) -> tuple[Crash, ...]:
        """Return all known crashes."""
        return tuple(self._quarantine.evidence.crashes.values())

    @property
    def own_crash_ids(self) -> frozenset[str]:
        """Return the ids of the crashes that cut off requests of this node."""
        return frozenset(self._own_crashes)

    def open_crashes(self, limits: VotedLimits, now: float) -> dict[str, Crash]:
        """Return what still counts of the known crashes, by their ids.

        That is the requests that weren't answered since, and the suspected parts.
        """
        found = (
            self._open(crash)
            for crash in self._quarantine.evidence.crashes.values()
            if not self.is_expired(crash.at, limits, now)
        )
        return {crash.id: crash for crash in found if crash.fingerprints or crash.calls}

    def _open(self, crash: Crash) -> Crash:
        """Return a crash with the suspects that no answer has cleared since."""
        evidence = self._quarantine.evidence
        fingerprints = frozenset(
            name
            for name in crash.fingerprints
            if evidence.last_cleared(name) < crash.at
        )
        calls = frozenset(
            open_call
            for call in crash.calls
            if evidence.last_cleared(call.fingerprint) < crash.at
            and (open_call := self._without_cleared(call, crash.id)).parts
        )
        return replace(
            crash,
            fingerprints=fingerprints,
            calls=calls,
            answering=crash.answering & fingerprints,
        )

    def _without_cleared(self, call: CutCall, crash_id: str) -> CutCall:
        prompts = self._cut_prompts if call.answering else self._prompts
        suspected = prompts.suspected_parts(crash_id)
        return replace(call, parts=tuple(p for p in call.parts if p in suspected))

    def is_expired(self, at: float, limits: VotedLimits, now: float) -> bool:
        """Return whether evidence of the wall-clock time ``at`` counts no more."""
        return at <= self._wall(now) - limits.quarantine_s

    def trim_own_crashes(self, limits: VotedLimits, now: float) -> None:
        """Tell peers what still counts of the crashes with requests of this node.

        Peers that join later get what was told last. Those that know a crash already
        keep the evidence that they have.
        """
        for crash_id, told in self._own_crashes.items():
            if self.is_expired(told.at, limits, now):
                continue
            kept = self._open(told)
            if kept != told:
                self._own_crashes[crash_id] = kept
                self.updates_for_peers.on_next(_crash_update(kept))

    def last_answers(self, crash: Crash) -> PartAnswers:
        """Return when the parts that a crash makes suspects were last answered."""
        cut = {part for call in crash.calls if call.answering for part in call.parts}
        parts = {
            part for call in crash.calls if not call.answering for part in call.parts
        }
        return PartAnswers(
            self._wall_times(self._prompts.last_answers(parts)),
            self._wall_times(self._cut_prompts.last_answers(cut)),
        )

    def restore(
        self,
        crash: Crash,
        limits: VotedLimits,
        now: float,
        answers: PartAnswers = NO_ANSWERS,
    ) -> None:
        """Add a crash that was recorded before, by any node.

        ``answers`` are those known when it was recorded. They clear the parts of the
        crashes before them, whose own records may be older.
        """
        if self.is_expired(crash.at, limits, now):
            return
        self._quarantine.evidence.add_crash(crash)
        self._share_with_prompts(crash.id, min(now, crash.at - self._epoch_s))
        for prompts, times in (
            (self._prompts, answers.begun),
            (self._cut_prompts, answers.complete),
        ):
            for part, at in times.items():
                prompts.answered((part,), min(now, at - self._epoch_s))

    def completed(self, fingerprint: str, now: float) -> None:
        """Clear a suspect whose request was answered without a crash."""
        self._answered_at[fingerprint] = now
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        self._clear(fingerprint, now)

    def _clear(self, fingerprint: str, now: float) -> None:
        clearance = self._quarantine.completed(fingerprint, self._wall(now))
        if clearance is not None:
            self._publish_clearance(clearance)

    def trial_started(self, fingerprint: str, endpoint_id: str, now: float) -> None:
        """Note that a suspect runs alone; its endpoint takes no other requests."""
        self._isolated[endpoint_id] = now + MAX_TRIAL_S
        self._publish_isolation(Isolation(endpoint_id))
        self._publish_trial(
            self._quarantine.trial_started(fingerprint, self._wall(now))
        )

    def trial_ended(self, fingerprint: str, endpoint_id: str) -> None:
        """Note that a suspect's run alone has ended."""
        self._isolated.pop(endpoint_id, None)
        self._publish_isolation(Isolation(endpoint_id, ended=True))
        trial = self._quarantine.trial_ended(fingerprint)
        if trial is not None:
            self._publish_trial(trial)

    def isolated(self, now: float) -> frozenset[str]:
        """Return the ids of the endpoints at which a suspect runs alone."""
        if not self._isolated:
            return frozenset()
        return frozenset(
            endpoint_id for endpoint_id, until in self._isolated.items() if until > now
        )

    def merge(self, update: QuarantineUpdate, now: float, *, own: bool = False) -> None:
        """Merge an update that a peer published at the time ``now``.

        ``own`` says that this node published it itself, before it was restarted.
        """
        self._quarantine.evidence.merge(update.entries)
        for crash in update.entries.crashes:
            # A node that joins hears of crashes that were answered long ago.
            self._share_with_prompts(crash.id, min(now, crash.at - self._epoch_s))
            if own:
                self._add_own(crash)
            for name in crash.fingerprints & self._answered_at.keys():
                # The answer may have come before the news of the crash.
                if self._wall(self._answered_at[name]) >= crash.at:
                    self._clear(name, self._answered_at[name])
            self.evidence_added.on_next(crash.id)
        self._prompts.answered(update.entries.answered_parts, now)
        self._cut_prompts.answered(update.entries.completed_parts, now)
        for isolation in update.isolations:
            if isolation.ended:
                self._isolated.pop(isolation.endpoint_id, None)
            else:
                self._isolated[isolation.endpoint_id] = now + MAX_TRIAL_S

    def _is_presumed_sound(self, fingerprint: str, now: float) -> bool:
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        return now - answered_at <= PRESUMED_SOUND_S

    def _in_flight(self, process: tuple[str, str], now: float) -> list["_BrokenCall"]:
        answering = Counter(self._answering.get(process, ()))
        calls = []
        for name in self._running.get(process, ()):
            calls.append(_BrokenCall(now, CutCall(name, (), answering[name] > 0)))
            answering[name] -= 1
        return calls

    def _add_crash(self, crash: Crash, at: float) -> Crash:
        """Record a crash at the monotonic time ``at``, and publish it.

        Only the requests of this node are published.
        Peers merge the entries of all nodes. If each carried the requests of others
        too, their sizes would grow with the number of nodes.
        """
        evidence = self._quarantine.evidence
        evidence.add_crash(crash)
        self._share_with_prompts(crash.id, at)
        self.updates_for_peers.on_next(_crash_update(self._add_own(crash)))
        self.evidence_added.on_next(crash.id)
        return evidence.crashes.get(crash.id, crash)

    def _add_own(self, crash: Crash) -> Crash:
        known = self._own_crashes.get(crash.id, crash)
        kept = self._quarantine.evidence.crashes
        self._own_crashes = {
            crash_id: own
            for crash_id, own in self._own_crashes.items()
            if crash_id in kept
        }
        merged = self._own_crashes[crash.id] = known.merged(crash)
        return merged

    def _share_with_prompts(self, crash_id: str, now: float) -> None:
        crash = self._quarantine.evidence.crashes.get(crash_id)
        if crash is None:
            return
        cut = frozenset(call for call in crash.calls if call.answering)
        self._prompts.add_crash(crash_id, crash.calls - cut, now)
        self._cut_prompts.add_crash(crash_id, cut, now)

    def _publish_clearance(self, clearance: Clearance) -> None:
        entries = QuarantineEntries(clearances=(clearance,))
        self._publish(f"clearance/{clearance.fingerprint}", entries)

    def _publish_trial(self, trial: Trial) -> None:
        self._publish(f"trial/{trial.fingerprint}", QuarantineEntries(trials=(trial,)))

    def _publish_isolation(self, isolation: Isolation) -> None:
        update = QuarantineUpdate(isolations=(isolation,))
        self.updates_for_peers.on_next(
            KeyedUpdate(f"alone/{isolation.endpoint_id}", update)
        )

    def _publish(self, key: str, entries: QuarantineEntries) -> None:
        self.updates_for_peers.on_next(KeyedUpdate(key, QuarantineUpdate(entries)))

    def _wall_times(self, times: dict[str, float]) -> dict[str, float]:
        return {name: self._wall(at) for name, at in times.items()}

    def _wall(self, now: float) -> float:
        return now + self._epoch_s


def _crash(process: tuple[str, str], at: float, broken: list[_BrokenCall]) -> Crash:
    calls = [item.call for item in broken]
    fingerprints = frozenset(call.fingerprint for call in calls)
    unanswered = {call.fingerprint for call in calls if not call.answering}
    return Crash(
        *process,
        at,
        fingerprints,
        frozenset(call for call in calls if call.parts),
        fingerprints - unanswered,
    )


def _crash_update(crash: Crash) -> KeyedUpdate:
    entries = QuarantineEntries(crashes=(crash,))
    return KeyedUpdate(f"crash/{crash.id}", QuarantineUpdate(entries))
