"""Bring a new release of a service in step by step, or take it back.

Load answered: a release that fails part of its calls, or answers several times slower,
at once or some seconds later, under load or on one route only, while the rest of the
traffic goes on. The trial gives the release a fixed share of sessions, the same on all
nodes, so that a session stays where it began. Only when the trial has been good for
half of the time given does everything move; a release that turns bad late is seen
before that. One that fails under load alone shows it then: the old release is kept
ready for a while under all of the load, so that there is a way back.
"""

from dataclasses import dataclass
from enum import StrEnum

import xxhash

from knapweedhinge.routing.releaseverdict import Verdict

# Sessions that go to a release on trial. The bound is voted as a share of all calls
# over the whole roll-out; a fifth is left for uneven sessions and for what is on its
# way while the verdict spreads. How many bad answers a verdict takes doesn't depend on
# the share, and the old release is relieved by it.
TRIAL_OF_BOUND = 0.8
MOVE_AT = 0.52  # part of the time given at which all traffic moves
FINISH_AT = 0.85  # part at which the old release is given up, idle or not
# Part of the time given for which a release is watched under all of the load before the
# old one is given up. What a bad one gets meanwhile is within the voted bound together
# with its trial, as long as the verdict takes half of this.
PROVE_FOR = 0.15
SETTLE_S = 0.4  # time for all nodes to hear of a stage


class Stage(StrEnum):
    """How far a roll-out is."""

    TRIAL = "trial"
    MOVING = "moving"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled-back"


FINAL = frozenset({Stage.COMPLETE, Stage.ROLLED_BACK})


@dataclass(frozen=True, slots=True)
class Release:
    """A roll-out of ``version`` to a service; ``began_at`` is on the store's clock."""

    service: str
    version: str
    period_s: float
    stage: Stage = Stage.TRIAL
    began_at: float = 0.0


def trial_share(bound: float) -> float:
    """Return the share of sessions a release on trial receives."""
    return TRIAL_OF_BOUND * bound


def in_trial(session: str, release: Release, share: float) -> bool:
    """Return whether a session belongs to the trial, the same on every node."""
    name = f"{release.service}\0{release.version}\0{session}"
    return xxhash.xxh3_64_intdigest(name.encode()) < share * 2**64


def wants_new(release: Release, session: str, share: float) -> bool:
    """Return whether a call goes to the new release."""
    match release.stage:
        case Stage.TRIAL:
            return in_trial(session, release, share)
        case Stage.MOVING | Stage.COMPLETE:
            return True
    return False


def may_use(release: Release | None, version: str) -> bool:
    """Return whether a version may receive anything at all."""
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
    """Return the stage to go on to, None to stay.

    ``old_in_use`` counts calls that still run on the old release, on all nodes;
    ``moved_s`` is the time since all traffic moved, 0 before that.
    """
    if release.stage in FINAL:
        return None
    if verdict.bad:
        return Stage.ROLLED_BACK
    elapsed = now - release.began_at
    if release.stage is Stage.TRIAL:
        due = elapsed >= MOVE_AT * release.period_s
        return Stage.MOVING if due and verdict.good else None
    proven = moved_s > max(SETTLE_S, PROVE_FOR * release.period_s)
    over = elapsed >= FINISH_AT * release.period_s
    return Stage.COMPLETE if over or (proven and not old_in_use) else None
