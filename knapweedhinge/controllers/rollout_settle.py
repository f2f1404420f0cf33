"""Find roll-outs that are stuck, and derive the change that settles each of them.

A roll-out is stuck if the configuration no longer allows it, or if it has not been
advanced for too long. It is settled by a change that finishes it, rolls it back or
lowers its exposure to the limit. All functions are pure.
"""

from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.conf import Configuration, RollOut
from knapweedhinge.conf.changes import (
    AdvanceRollOut,
    FinishRollOut,
    RollBackRollOut,
    StartRollOut,
)
from knapweedhinge.controllers.configuration_records import ChangeRequest, Revision
from knapweedhinge.controllers.configuration_rules import exposure_limit

# Seconds since the last change of a roll-out after which it is settled: STALLED_AFTER_S
# if its evidence is decided, ABANDONED_AFTER_S in any case.
STALLED_AFTER_S = 3_600.0
ABANDONED_AFTER_S = 7 * 86_400.0
SETTLING_AUTHOR = "roll-out settling"


class Evidence(StrEnum):
    """Quality of the new version against the stable one, judged from ratings."""

    UNDECIDED = "undecided"
    AS_GOOD = "as-good"
    WORSE = "worse"


class Reason(StrEnum):
    """Reasons for which a running roll-out has to be settled.

    VERSION_GONE and STABLE_GONE: the new or the stable version is withdrawn or removed.
    UNUSED: no class lists the new version, or no organisation may use it.
    OVER_LIMIT: its exposure is above the voted limit. STALLED: its evidence is decided
    and it has not changed for STALLED_AFTER_S. ABANDONED: it has not changed for
    ABANDONED_AFTER_S.
    """

    VERSION_GONE = "version-gone"
    UNUSED = "unused"
    STABLE_GONE = "stable-gone"
    OVER_LIMIT = "over-limit"
    STALLED = "stalled"
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class Progress:
    """What is known of a running roll-out beyond the configuration.

    ``changed_at`` is the wall clock time, in seconds, at which it was last started or
    advanced.
    """

    roll_out: str
    changed_at: float
    evidence: Evidence = Evidence.UNDECIDED


@dataclass(frozen=True)
class Finding:
    """A stuck roll-out and the request that settles it.

    All nodes derive the same request, with the same change id, from one revision, so it
    takes effect only once.
    """

    roll_out: str
    reason: Reason
    request: ChangeRequest


def find_stuck_roll_outs(
    configuration: Configuration, progress: tuple[Progress, ...], now: float
) -> tuple[Finding, ...]:
    """Return a finding for each running roll-out that is stuck.

    ``now`` is wall clock time in seconds. A roll-out without ``progress`` is checked
    against the configuration only.
    """
    by_id = {item.roll_out: item for item in progress}
    findings = (
        _check_roll_out(configuration, item, by_id.get(item.id), now)
        for item in configuration.roll_outs
        if item.state == "running"
    )
    return tuple(finding for finding in findings if finding is not None)


def last_changed(revisions: tuple[Revision, ...]) -> dict[str, float]:
    """Return the wall clock time of each roll-out's last start or advance, by its id.

    ``revisions`` must be in order.
    """
    return {
        revision.change.id: revision.at
        for revision in revisions
        if isinstance(revision.change, StartRollOut | AdvanceRollOut)
    }


def _check_roll_out(
    configuration: Configuration,
    roll_out: RollOut,
    progress: Progress | None,
    now: float,
) -> Finding | None:
    reason = _contradiction(configuration, roll_out) or _idle_reason(
        roll_out, progress, now
    )
    if reason is None:
        return None
    change = _settling_change(configuration, roll_out, reason, progress)
    change_id = f"settle/{roll_out.id}/{configuration.revision}"
    return Finding(
        roll_out.id, reason, ChangeRequest(change_id, SETTLING_AUTHOR, change)
    )


def _contradiction(configuration: Configuration, roll_out: RollOut) -> Reason | None:
    """Return why the configuration does not allow the roll-out, or None if it does."""
    if _is_unavailable(configuration, roll_out.version):
        return Reason.VERSION_GONE
    if not _is_used(configuration, roll_out.version):
        return Reason.UNUSED
    if _is_unavailable(configuration, roll_out.stable):
        return Reason.STABLE_GONE
    if roll_out.exposure > _exposure_limit_of(configuration, roll_out):
        return Reason.OVER_LIMIT
    return None


def _idle_reason(
    roll_out: RollOut, progress: Progress | None, now: float
) -> Reason | None:
    """Return the reason if the roll-out has not changed for too long, or None."""
    if progress is None:
        return None
    idle_s = now - progress.changed_at
    if idle_s >= STALLED_AFTER_S and progress.evidence is not Evidence.UNDECIDED:
        return Reason.STALLED
    if idle_s >= ABANDONED_AFTER_S:
        return Reason.ABANDONED
    return None


def _settling_change(configuration, roll_out, reason, progress):
    if reason is Reason.STABLE_GONE:
        return FinishRollOut(roll_out.id)
    if reason is Reason.OVER_LIMIT:
        return AdvanceRollOut(roll_out.id, _exposure_limit_of(configuration, roll_out))
    if reason is Reason.STALLED and progress.evidence is Evidence.AS_GOOD:
        return FinishRollOut(roll_out.id)
    return RollBackRollOut(roll_out.id)


def _is_unavailable(configuration: Configuration, version_id: str) -> bool:
    version = configuration.version(version_id)
    return version is None or version.withdrawn


def _is_used(configuration: Configuration, version_id: str) -> bool:
    served = any(version_id in item.versions for item in configuration.classes)
    allowed = any(
        version_id in item.allowed_versions for item in configuration.organisations
    )
    return served and allowed


def _exposure_limit_of(configuration: Configuration, roll_out: RollOut) -> float:
    return exposure_limit(roll_out.version, roll_out.stable, configuration)
