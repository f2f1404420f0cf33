"""Detect bad versions under roll-out and exclude them from new work on this node.

Such an exclusion is called a cut. It takes effect before the version is withdrawn in
the configuration of all nodes.
"""

from dataclasses import dataclass

from reactivex.subject import Subject

from knapweedhinge.conf import ClassOfWork, Configuration, RollOut
from knapweedhinge.routing.baselines import Baseline, baseline_of
from knapweedhinge.routing.detector import CutVersion, Detector
from knapweedhinge.routing.plans import PlanDecision
from knapweedhinge.routing.records import AnswerRecord
from knapweedhinge.routing.sequential import WatchKey, WatchRow
from knapweedhinge.routing.statistics import StatisticsView


@dataclass(frozen=True)
class Watch:
    """Key of the tests of a version, and the baseline that they compare with."""

    key: WatchKey
    baseline: Baseline


class CutTracker:
    """Test versions under roll-out and hold the cuts of this node and its peers.

    ``versions`` are the ids of all cut versions. ``cuts_made`` emits each cut that this
    node makes itself, to be published to peers. A cut is never undone: it leads to
    a withdrawal of the version, which is final.
    """

    def __init__(self, incarnation: str):
        self._detector = Detector(incarnation)
        self._cuts: dict[str, CutVersion] = {}
        self.versions: frozenset[str] = frozenset()
        self.cuts_made: Subject = Subject()

    def answered(self, watch: Watch, failed: bool, slow: bool, now: float) -> None:
        """Record an answer of a watched version; ``now`` is wall clock in seconds."""
        detector = self._detector
        cut = detector.observe_answer(watch.key, failed, slow, watch.baseline, now)
        self._apply_found(cut)

    def rated(self, watch: Watch, score: float, now: float) -> None:
        """Record a rating in [0, 1]; ``now`` is wall clock time in seconds."""
        cut = self._detector.observe_rating(watch.key, score, watch.baseline, now)
        self._apply_found(cut)

    def own_rows(self, now: float) -> tuple[WatchRow, ...]:
        """Return this node's evidence for running tests, to be sent to peers.

        ``now`` is wall clock time in seconds.
        """
        return self._detector.own_rows(now)

    def merge(self, rows: tuple[WatchRow, ...], now: float) -> None:
        """Add a peer's evidence, which may lead to a cut.

        ``now`` is wall clock time in seconds.
        """
        for cut in self._detector.merge(rows, now):
            self._apply_found(cut)

    def apply_cut(self, cut: CutVersion) -> bool:
        """Apply a cut; return False if the version was cut already."""
        if cut.version in self._cuts:
            return False
        self._cuts[cut.version] = cut
        self.versions = frozenset(self._cuts)
        return True

    def _apply_found(self, cut: CutVersion | None) -> None:
        if cut is not None and self.apply_cut(cut):
            self.cuts_made.on_next(cut)


def running_roll_out(cfg: Configuration, version: str) -> RollOut | None:
    """Return the running roll-out that introduces a version, or None."""
    found = (item for item in cfg.roll_outs if item.version == version)
    return next((item for item in found if item.state == "running"), None)


def watch_of(
    cfg: Configuration, statistics: StatisticsView, work: ClassOfWork, version: str
) -> Watch | None:
    """Return how to test a version under roll-out, or None for any other version.

    Versions outside a roll-out are never cut automatically: they have no stable version
    to compare with, so their faults can't be told from those of the whole fleet, and
    the withdrawal that follows a cut is final.
    """
    roll_out = running_roll_out(cfg, version)
    if roll_out is None:
        return None
    stable = cfg.version(roll_out.stable)
    prior = stable.prior_quality if stable else 0.0
    confidence = cfg.limits.quality_confidence
    baseline = baseline_of(statistics, work, roll_out.stable, prior, confidence)
    return Watch(WatchKey(version, roll_out.id), baseline)


def responsible_version(decision: PlanDecision, answer: AnswerRecord) -> str:
    """Return the version that produced an answer, or "" if several took part.

    In a cascade this is the cheap version if the check of its answer passed.
    """
    if decision.plan.is_cascade and not answer.check_passed:
        return ""
    return decision.plan.cheap
