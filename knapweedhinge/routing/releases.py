"""Stages of a canary roll-out of a new release, and the rules that advance them.

The trial must catch a release that fails some of its calls or is several times slower,
possibly only after some seconds, under load or on a single route, while the remaining
traffic is unaffected. It gives the release a fixed share of the sessions that begin
during the trial, see ``trialsessions``.

No trial shows how a release behaves under full load. All traffic therefore moves so
late that the release stays within the voted share of the calls of the whole period,
whatever turns out then. It is watched for most of the time that is left, and the old
release is kept running until then so that a rollback is possible.
"""

from dataclasses import dataclass
from enum import StrEnum

import xxhash

from knapweedhinge.conf.relay import Promises
from knapweedhinge.routing.releaseverdict import Verdict

# Share of sessions in the trial, as a fraction of the voted bound. The bound limits the
# share of all calls over the whole period; the rest of it is for the time after the
# move. The smaller the trial is, the longer is that time, and the fewer answers decide
# on the move.
TRIAL_SHARE_OF_BOUND = 0.4
# Rate of calls after the move that still stays within the voted share, compared with
# the mean rate before.
SURGE = 1.25
# Largest part of the calls for which the allowance beyond the voted share is used, in
# case this node doesn't know the calls of all nodes yet.
MAX_ALLOWANCE_SHARE = 0.08
# Fraction of the period before which no traffic moves, however large the voted share
# is: releases may turn bad late.
MOVE_AT_PERIOD_SHARE = 0.52
# Fraction of the period after which all traffic moves although the trial had too few
# comparable times to rule out that the release is slow. The voted share no longer
# limits the time for which it is watched then.
MOVE_UNTIMED_AT_PERIOD_SHARE = 1.0
# Time for which a release is watched under the full load before the old one is given
# up, as a fraction of what is left of the period after the move, and the longest such
# time as a fraction of the period.
WATCH_SHARE_OF_REST = 0.5
MAX_WATCH_PERIOD_SHARE = 0.15
# The old release is given up after this many such times even if calls still run on it.
MAX_WATCHES = 1.5
# Longest such time of a release whose times rather look longer than those of the old
# one, as a fraction of the period; it is rolled back if they still do then. The watch
# may go beyond the period, since a release can't be taken back after it.
MAX_DOUBT_PERIOD_SHARE = 0.5
STAGE_SPREAD_S = 0.4  # time in seconds for a stage change to reach all nodes
# Time in seconds before the end of the period at which the last stage is due, since it
# must be recorded, and nodes see orders and take steps tenths of a second late.
RECORD_MARGIN_S = 0.75


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


@dataclass(frozen=True, slots=True)
class Observed:
    """What is known of a running roll-out, over all nodes.

    ``calls`` is the number of answers of the service since the roll-out began,
    ``new_calls`` that of the new release. ``old_in_use`` is the number of calls that
    still run on the old release. ``moved_s`` is the time in seconds since all traffic
    moved, 0 before that.
    """

    verdict: Verdict
    calls: int = 0
    new_calls: int = 0
    old_in_use: int = 0
    moved_s: float = 0.0


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


def may_move(
    release: Release, observed: Observed, promises: Promises, elapsed: float
) -> bool:
    """Return whether a release that gets all traffic now stays within its share.

    It gets all calls until the end of the period then, also if it turns bad.
    ``elapsed`` is in seconds since the roll-out began.
    """
    if elapsed <= 0.0:
        return False
    bound, calls = promises.exposure, observed.calls
    new_calls = max(observed.new_calls, trial_share(bound) * calls)
    left_s = max(0.0, release.period_s - elapsed)
    after = SURGE * calls / elapsed * left_s
    allowance = min(promises.exposure_allowance, MAX_ALLOWANCE_SHARE * (calls + after))
    return new_calls + after <= bound * (calls + after) + allowance


def next_stage(
    release: Release, observed: Observed, promises: Promises, now: float
) -> Stage | None:
    """Return the next stage of a roll-out, None to stay in the present one.

    ``now`` is on the store's clock.
    """
    if release.stage in FINAL_STAGES:
        return None
    verdict = observed.verdict
    if verdict.bad:
        return Stage.ROLLED_BACK
    elapsed = now - release.began_at
    if release.stage is Stage.TRIAL:
        share = (
            MOVE_AT_PERIOD_SHARE if verdict.as_fast else MOVE_UNTIMED_AT_PERIOD_SHARE
        )
        due = elapsed >= share * release.period_s and may_move(
            release, observed, promises, elapsed
        )
        return Stage.MOVING if due and verdict.good else None
    if verdict.doubtful:
        in_time = observed.moved_s <= MAX_DOUBT_PERIOD_SHARE * release.period_s
        return None if in_time else Stage.ROLLED_BACK
    moved_at = elapsed - observed.moved_s
    watch_s = _watch_s(release, moved_at)
    proven = observed.moved_s > watch_s
    last_stage_at = release.period_s - RECORD_MARGIN_S
    over = observed.moved_s > MAX_WATCHES * watch_s or (
        proven and moved_at < last_stage_at <= elapsed
    )
    return Stage.COMPLETE if over or (proven and not observed.old_in_use) else None


def _watch_s(release: Release, moved_at: float) -> float:
    """Return the seconds for which a release is watched under the full load.

    ``moved_at`` is the time of the move in seconds since the roll-out began. The stage
    must have reached all nodes.
    """
    longest = MAX_WATCH_PERIOD_SHARE * release.period_s
    rest = release.period_s - RECORD_MARGIN_S - moved_at
    watch_s = min(longest, WATCH_SHARE_OF_REST * rest) if rest > 0.0 else longest
    return max(STAGE_SPREAD_S, watch_s)
