"""Requests that crash engines: what runs where, what is known, who runs alone."""

from dataclasses import dataclass

import msgspec
from reactivex.subject import Subject

from knapweedhinge.conf import VotedLimits
from knapweedhinge.routing.crashes import Clearance, Crash, QuarantineEntries, Trial
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.quarantine import MAX_TRIAL_S, Quarantine, Verdict


class Isolation(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint takes no other work while a suspect runs there."""

    endpoint_id: str
    ended: bool = False


class QuarantineNews(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells its peers; idempotent to take in."""

    entries: QuarantineEntries = QuarantineEntries()
    isolations: tuple[Isolation, ...] = ()


@dataclass(frozen=True)
class Told:
    """News and the key under which newer news of the same thing replace it."""

    key: str
    news: QuarantineNews


class QuarantineBook:
    """Follow this node's engine requests, and judge them by all nodes' evidence.

    ``now`` is on the node's monotonic clock; ``epoch_s`` is the wall clock's lead over
    it. ``told`` emits what peers should know.
    """

    def __init__(self, epoch_s: float = 0.0):
        self._epoch_s = epoch_s
        self._judge = Quarantine()
        self._running: dict[tuple[str, str], list[str]] = {}
        self._isolated: dict[str, float] = {}
        self.told: Subject = Subject()

    def started(self, endpoint: EndpointView, name: str) -> None:
        """Note that a request of this fingerprint is sent to an engine."""
        self._running.setdefault((endpoint.id, endpoint.incarnation), []).append(name)

    def ended(self, endpoint: EndpointView, name: str) -> None:
        """Note that the request is not there any more."""
        place = endpoint.id, endpoint.incarnation
        names = self._running[place]
        names.remove(name)
        if not names:
            del self._running[place]

    def crashed(self, endpoint: EndpointView, limits: VotedLimits, now: float) -> None:
        """Note that an engine ended while requests were in flight there."""
        names = frozenset(self._running.get((endpoint.id, endpoint.incarnation), ()))
        crash = Crash(endpoint.id, endpoint.incarnation, self._wall(now), names)
        evidence = self._judge.evidence
        evidence.expire(limits, self._wall(now))
        evidence.add_crash(crash)
        known = evidence.crashes.get(crash.id, crash)
        self._tell(f"crash/{crash.id}", QuarantineEntries(crashes=(known,)))

    def verdict(
        self, name: str, limits: VotedLimits, endpoints: int, now: float
    ) -> Verdict:
        """Judge a request, given how many endpoints are in sight."""
        return self._judge.verdict(name, limits, endpoints, self._wall(now))

    def crashes(self) -> tuple[Crash, ...]:
        """Return the crashes known of."""
        return tuple(self._judge.evidence.crashes.values())

    def completed(self, name: str, now: float) -> None:
        """Clear a suspect that was answered."""
        clearance = self._judge.completed(name, self._wall(now))
        if clearance is not None:
            self._tell_clearance(clearance)

    def trial_started(self, name: str, endpoint_id: str, now: float) -> None:
        """Note that a suspect runs alone, which keeps other work off the endpoint."""
        self._isolated[endpoint_id] = now + MAX_TRIAL_S
        self._tell_isolation(Isolation(endpoint_id))
        self._tell_trial(self._judge.trial_started(name, self._wall(now)))

    def trial_ended(self, name: str, endpoint_id: str) -> None:
        """Note that a suspect's run is over."""
        self._isolated.pop(endpoint_id, None)
        self._tell_isolation(Isolation(endpoint_id, ended=True))
        trial = self._judge.trial_ended(name)
        if trial is not None:
            self._tell_trial(trial)

    def isolated(self, now: float) -> frozenset[str]:
        """Return the endpoints at which a suspect runs alone."""
        if not self._isolated:
            return frozenset()
        return frozenset(one for one, until in self._isolated.items() if until > now)

    def merge(self, news: QuarantineNews, now: float) -> None:
        """Take a peer's news in."""
        self._judge.evidence.merge(news.entries)
        for one in news.isolations:
            if one.ended:
                self._isolated.pop(one.endpoint_id, None)
            else:
                self._isolated[one.endpoint_id] = now + MAX_TRIAL_S

    def _tell_clearance(self, clearance: Clearance) -> None:
        entries = QuarantineEntries(clearances=(clearance,))
        self._tell(f"clearance/{clearance.fingerprint}", entries)

    def _tell_trial(self, trial: Trial) -> None:
        self._tell(f"trial/{trial.fingerprint}", QuarantineEntries(trials=(trial,)))

    def _tell_isolation(self, isolation: Isolation) -> None:
        news = QuarantineNews(isolations=(isolation,))
        self.told.on_next(Told(f"alone/{isolation.endpoint_id}", news))

    def _tell(self, key: str, entries: QuarantineEntries) -> None:
        self.told.on_next(Told(key, QuarantineNews(entries)))

    def _wall(self, now: float) -> float:
        return now + self._epoch_s
