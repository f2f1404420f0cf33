"""Decision of the next step of a version roll-out.

The step depends only on the configuration and on evidence merged over all nodes, so any
node can complete a step if the node that decided it stops halfway.
"""

from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.conf.cooperative import ClassOfWork, Configuration, RollOut
from knapweedhinge.routing.baselines import QUALITY_MARGIN
from knapweedhinge.routing.estimates import QualityBound, quality_bound
from knapweedhinge.routing.statistics import StatisticsView

EXPOSURE_STEPS = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0)  # shares of traffic
STEP_RATINGS = (10, 25, 50, 100, 150, 200)  # ratings needed to leave each step
FINISH_RATINGS = 200  # ratings needed to finish a roll-out
# Confidence of the upper quality bound that rolls a version back. It is close to 1
# because the bound is checked after every rating.
REFUTING_CONFIDENCE = 0.9999
HALT_AFTER_IDLE_S = 600.0  # time without answers or ratings before a roll-out is halted
# Time without answers or ratings before a roll-out is rolled back.
ROLL_BACK_AFTER_IDLE_S = 3600.0


class Step(StrEnum):
    """Action on a roll-out; HOLD changes nothing."""

    HOLD = "hold"
    ADVANCE = "advance"
    FINISH = "finish"
    ROLL_BACK = "roll-back"


class Cause(StrEnum):
    """Reason for a step."""

    NOT_RUNNING = "not-running"
    VERSION_CUT = "version-cut"
    GATHERING = "gathering-evidence"
    STEP_PROVEN = "step-proven"
    PROVEN = "proven"
    BELOW_TARGET = "below-target"
    HALTED = "halted"
    HALTED_PROVEN = "halted-but-proven"
    HALTED_TOO_LONG = "halted-too-long"


@dataclass(frozen=True)
class RollOutStep:
    """Next step of the roll-out with id ``roll_out``.

    ``exposure`` is the new version's share of traffic after the step.
    """

    roll_out: str
    step: Step
    cause: Cause
    exposure: float


@dataclass(frozen=True)
class RollOutActivity:
    """Times of the latest activity of a roll-out over all known nodes, in seconds."""

    started_at: float
    last_answer_at: float | None = None
    last_rating_at: float | None = None

    def idle_s(self, now: float) -> float:
        """Return the seconds since the last answer or rating, whichever is older."""
        answer_at = self.last_answer_at or self.started_at
        rating_at = self.last_rating_at or self.started_at
        return now - max(self.started_at, min(answer_at, rating_at))


@dataclass(frozen=True)
class _ClassQuality:
    """Quality of a new version in one class, compared with the stable version.

    ``ceiling`` is the upper bound of the new version's quality at the confidence
    ``REFUTING_CONFIDENCE``. It is wide enough that a check after every rating rolls
    back fewer than 1 in 100 healthy versions.
    """

    new: QualityBound
    stable: QualityBound
    target: float
    answers: float
    ceiling: float

    @property
    def accepted_quality(self) -> float:
        return min(self.target, self.stable.lower) - QUALITY_MARGIN

    @property
    def proven(self) -> bool:
        return self.new.lower >= self.accepted_quality

    @property
    def refuted(self) -> bool:
        return self.ceiling < min(self.target, self.stable.lower)


def next_step(
    cfg: Configuration,
    roll_out: RollOut,
    statistics: StatisticsView,
    activity: RollOutActivity,
    cuts: frozenset[str],
    now: float,
) -> RollOutStep:
    """Return the next step of a roll-out.

    ``cuts`` holds the ids of versions that were cut off as bad.
    """
    if roll_out.state != "running":
        return _step(roll_out, Step.HOLD, Cause.NOT_RUNNING)
    version = cfg.version(roll_out.version)
    if version is None or version.withdrawn or roll_out.version in cuts:
        return _step(roll_out, Step.ROLL_BACK, Cause.VERSION_CUT)
    classes = [
        work_class
        for work_class in cfg.classes
        if roll_out.version in work_class.versions
    ]
    qualities = [
        _class_quality(cfg, roll_out, statistics, work_class) for work_class in classes
    ]
    observed = [
        quality
        for quality in qualities
        if quality.answers > 0 or quality.new.ratings > 0
    ]
    if any(quality.refuted for quality in observed):
        return _step(roll_out, Step.ROLL_BACK, Cause.BELOW_TARGET)
    ratings = sum(quality.new.ratings for quality in observed)
    proven = bool(observed) and all(quality.proven for quality in observed)
    if activity.idle_s(now) >= HALT_AFTER_IDLE_S:
        return _halted_step(roll_out, activity, proven, ratings, now)
    return _running_step(roll_out, classes, proven, ratings)


def _running_step(
    roll_out: RollOut, classes: list[ClassOfWork], proven: bool, ratings: float
) -> RollOutStep:
    if not proven or ratings < _ratings_needed(roll_out.exposure):
        return _step(roll_out, Step.HOLD, Cause.GATHERING)
    limit = max((work_class.max_exposure for work_class in classes), default=0.0)
    higher = next((step for step in EXPOSURE_STEPS if step > roll_out.exposure), 1.0)
    exposure = min(limit, higher)
    if exposure > roll_out.exposure:
        return RollOutStep(roll_out.id, Step.ADVANCE, Cause.STEP_PROVEN, exposure)
    if ratings >= FINISH_RATINGS:
        return _step(roll_out, Step.FINISH, Cause.PROVEN)
    return _step(roll_out, Step.HOLD, Cause.GATHERING)


def _halted_step(
    roll_out: RollOut,
    activity: RollOutActivity,
    proven: bool,
    ratings: float,
    now: float,
) -> RollOutStep:
    if proven and ratings >= FINISH_RATINGS:
        return _step(roll_out, Step.FINISH, Cause.HALTED_PROVEN)
    if activity.idle_s(now) >= ROLL_BACK_AFTER_IDLE_S:
        return _step(roll_out, Step.ROLL_BACK, Cause.HALTED_TOO_LONG)
    return _step(roll_out, Step.HOLD, Cause.HALTED)


def _class_quality(
    cfg: Configuration,
    roll_out: RollOut,
    statistics: StatisticsView,
    work_class: ClassOfWork,
) -> _ClassQuality:
    confidence = cfg.limits.quality_confidence
    new = _quality(cfg, roll_out.version, statistics, work_class, confidence)
    wide_bound = _quality(
        cfg, roll_out.version, statistics, work_class, REFUTING_CONFIDENCE
    )
    stable = _quality(cfg, roll_out.stable, statistics, work_class, confidence)
    return _ClassQuality(
        new=new,
        ceiling=wide_bound.upper,
        stable=stable,
        target=work_class.quality_target,
        answers=statistics.of(work_class.id, roll_out.version).answers,
    )


def _quality(
    cfg: Configuration,
    version_id: str,
    statistics: StatisticsView,
    work_class: ClassOfWork,
    confidence: float,
) -> QualityBound:
    version = cfg.version(version_id)
    prior = version.prior_quality if version else 0.0
    rating = statistics.of(work_class.id, version_id).rating
    return quality_bound(rating, rating, prior, confidence)


def _ratings_needed(exposure: float) -> int:
    pairs = zip(EXPOSURE_STEPS, STEP_RATINGS, strict=True)
    return next((ratings for step, ratings in pairs if exposure <= step), 0)


def _step(roll_out: RollOut, step: Step, cause: Cause) -> RollOutStep:
    exposure = 0.0 if step is Step.ROLL_BACK else roll_out.exposure
    return RollOutStep(roll_out.id, step, cause, exposure)
