"""Stages of a canary roll-out of a new release, and the rules that advance them.

The trial must catch a release that fails some of its calls or is several times slower,
possibly only after some seconds, under load or on a single route, while the remaining
traffic is unaffected. It gives the release a fixed share of the sessions that begin
during the trial, see ``trialsessions``. All traffic moves only after a good trial
of about half of the roll-out period, which reveals releases that turn bad late. A
release that fails only under full load shows this after the move; until it has been
watched there for a while, the old release is kept running so that a rollback is
possible.
"""

from dataclasses import dataclass
from enum import StrEnum

import xxhash

from knapweedhinge.routing.releaseverdict import Verdict

# Share of sessions in the trial, as a fraction of the voted bound, which limits the
# share of all calls over the whole roll-out. A fifth of the bound is left for sessions
# of unequal size and for calls sent until all nodes know the verdict. The rest is used:
# a smaller trial would not save bad answers, since the number needed for a verdict
# doesn't depend on the share, and would leave more load on the old release.
TRIAL_SHARE_OF_BOUND = 0.8
# Fraction of the roll-out period after which all traffic moves.
MOVE_AT_PERIOD_SHARE = 0.52
# Fraction of the roll-out period after which all traffic moves although the trial had
# too few comparable times to rule out that the release is slow. What is left of the
# period is enough to watch it under full load.
MOVE_UNTIMED_AT_PERIOD_SHARE = 0.68
# Fraction of the roll-out period after which the old release is given up even if calls
# still run on it.
FINISH_AT_PERIOD_SHARE = 0.85
# Fraction of the roll-out period for which a release is watched under the full load
# before the old one is given up. If a bad release is detected within half of this, its
# calls during that time and the trial together stay within the voted bound.
PROOF_PERIOD_SHARE = 0.15
STAGE_SPREAD_S = 0.4  # time in seconds for a stage change to reach all nodes


class Stage(StrEnum):
    """Stage of a roll-out; the value is recorded in the store."""

    TRIAL = "trial"
    MOVING = "moving"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled-back"


FINAL_STAGES = frozenset({Stage.COMPLETE, Stage.ROLLED_BACK})


@dataclass(frozen=True, slots=True)
class Release:
    """A roll-out of ``version`` to a service.

    ``period_s`` is the time allowed for the whole roll-out. ``began_at`` is in seconds
    of the store's clock.
    """

    service: str
    version: str
    period_s: float
    stage: Stage = Stage.TRIAL
    began_at: float = 0.0


def trial_share(bound: float) -> float:
    """Return the share of sessions in the trial for a voted ``bound``, both in 0..1."""
    return TRIAL_SHARE_OF_BOUND * bound


def in_trial(session: str, release: Release, share: float) -> bool:
    """Return whether the hash of a session assigns it to the trial.

    Every node returns the same.
    """
    name = f"{release.service}\0{release.version}\0{session}"
    return xxhash.xxh3_64_intdigest(name.encode()) < share * 2**64


def goes_to_new_version(release: Release, in_trial: bool) -> bool:
    """Return whether a call goes to the new release.

    ``in_trial`` says whether the call's session takes part in the trial.
    """
    match release.stage:
        case Stage.TRIAL:
            return in_trial
        case Stage.MOVING | Stage.COMPLETE:
            return True
    return False


def may_use(release: Release | None, version: str) -> bool:
    """Return whether calls may be sent to a version at the present stage.

    ``release`` is the roll-out of the version's service, None if there is none.
    """
    if release is None:
        return True
    match release.stage:
        case Stage.COMPLETE:
            return version == release.version
        case Stage.ROLLED_BACK:
            return version != release.version
    return True


def next_stage(
    release: Release, verdict: Verdict, old_in_use: int, moved_s: float, now: float
) -> Stage | None:
    """Return the next stage of a roll-out, None to stay in the present one.

    ``old_in_use`` is the number of calls that still run on the old release, on all
    nodes. ``moved_s`` is the time in seconds since all traffic moved, 0 before that.
    ``now`` is on the store's clock.
    """
    if release.stage in FINAL_STAGES:
        return None
    if verdict.bad:
        return Stage.ROLLED_BACK
    elapsed = now - release.began_at
    if release.stage is Stage.TRIAL:
        share = (
            MOVE_AT_PERIOD_SHARE if verdict.as_fast else MOVE_UNTIMED_AT_PERIOD_SHARE
        )
        due = elapsed >= share * release.period_s
        return Stage.MOVING if due and verdict.good else None
    proven = moved_s > max(STAGE_SPREAD_S, PROOF_PERIOD_SHARE * release.period_s)
    over = elapsed >= FINISH_AT_PERIOD_SHARE * release.period_s
    return Stage.COMPLETE if over or (proven and not old_in_use) else None
