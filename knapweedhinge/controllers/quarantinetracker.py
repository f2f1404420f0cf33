"""Track requests suspected of crashing engines, and share the evidence with peers.

An engine is the process that serves an endpoint; its incarnation changes at a restart.
"""

from dataclasses import dataclass

import msgspec
from reactivex.subject import Subject

from knapweedhinge.conf import VotedLimits
from knapweedhinge.routing.crashes import Clearance, Crash, QuarantineEntries, Trial
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.quarantine import MAX_TRIAL_S, Quarantine, Verdict


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


class QuarantineTracker:
    """Track this node's requests to engines, and decide how each may run.

    A request may run normally, only alone, or not. The verdict on a request depends on
    the evidence of all nodes. Requests are identified by their fingerprint. ``now`` is
    in seconds on the node's monotonic clock; ``epoch_s`` is added to it to get
    wall-clock time. ``updates_for_peers`` emits the updates to send to peers.
    """

    def __init__(self, epoch_s: float = 0.0):
        self._epoch_s = epoch_s
        self._quarantine = Quarantine()
        # Fingerprints of running requests, by endpoint id and incarnation.
        self._running: dict[tuple[str, str], list[str]] = {}
        # Monotonic time in seconds at which an isolation ends, by endpoint id.
        self._isolated: dict[str, float] = {}
        self.updates_for_peers: Subject = Subject()

    def started(self, endpoint: EndpointView, fingerprint: str) -> None:
        """Note that a request with this fingerprint is sent to an engine."""
        self._running.setdefault((endpoint.id, endpoint.incarnation), []).append(
            fingerprint
        )

    def ended(self, endpoint: EndpointView, fingerprint: str) -> None:
        """Note that a request no longer runs at an engine."""
        process = endpoint.id, endpoint.incarnation
        fingerprints = self._running[process]
        fingerprints.remove(fingerprint)
        if not fingerprints:
            del self._running[process]

    def crashed(self, endpoint: EndpointView, limits: VotedLimits, now: float) -> Crash:
        """Record and return an engine's crash; its requests in flight are suspects."""
        fingerprints = frozenset(
            self._running.get((endpoint.id, endpoint.incarnation), ())
        )
        crash = Crash(endpoint.id, endpoint.incarnation, self._wall(now), fingerprints)
        evidence = self._quarantine.evidence
        evidence.expire(limits, self._wall(now))
        evidence.add_crash(crash)
        known = evidence.crashes.get(crash.id, crash)
        self._publish(f"crash/{crash.id}", QuarantineEntries(crashes=(known,)))
        return known

    def verdict(
        self, fingerprint: str, limits: VotedLimits, endpoints: int, now: float
    ) -> Verdict:
        """Return how to treat a request.

        ``endpoints`` is the number of known endpoints.
        """
        return self._quarantine.verdict(fingerprint, limits, endpoints, self._wall(now))

    def crashes(self) -> tuple[Crash, ...]:
        """Return all known crashes."""
        return tuple(self._quarantine.evidence.crashes.values())

    def completed(self, fingerprint: str, now: float) -> None:
        """Clear a suspect whose request was answered without a crash."""
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

    def merge(self, update: QuarantineUpdate, now: float) -> None:
        """Merge an update from a peer."""
        self._quarantine.evidence.merge(update.entries)
        for isolation in update.isolations:
            if isolation.ended:
                self._isolated.pop(isolation.endpoint_id, None)
            else:
                self._isolated[isolation.endpoint_id] = now + MAX_TRIAL_S

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

    def _wall(self, now: float) -> float:
        return now + self._epoch_s
