"""Divide a service among organisations while room is short; refuse what can't start.

Designed for several hundred nodes that see a few calls a second each, dozens of rival
organisations, and services of some tens of engines or a few slots. An organisation may
send many times its usual, callers may repeat at once, and part of the endpoints may be
down. Every node decides for itself on sums that are 0.4 to 3 s old, so nothing here
counts calls one by one: a share says which part of an organisation's calls may start,
and the hash of a session says whether a call is in that part.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from statistics import median

import xxhash

# Share of refused arrivals and of late answers at which room is short: callers retry
# once, so a tenth of the calls is what a service loses before callers notice.
SHORT_SHARE = 0.1
# Refusals and late answers say little before there are this many calls in the window.
MIN_CALLS = 10.0
# Part of the objective that calls may always wait, however slow answers are.
MIN_ALLOWED_FRACTION = 0.25
# Part of the wait that calls may have at which room is short. Single waits vary by as
# much as their mean, so that with half of it most calls meet their objective.
SAFE_PART = 0.5
# Pressure under which room is no longer short. It lies so far below 1 that views of
# different ages agree, and that a burst doesn't switch the shares on and off.
RELEASE_PRESSURE = 0.5
IDLE_PRESSURE = 0.1  # under which there are hardly any queues
# How much more than it started lately a service is offered while its queues are short,
# as a factor, and the part that is left out while they are too long.
MOST_GROWTH = 4.0
MOST_CUT = 0.2
# Least share while the sums are estimated from this node's calls alone, which are too
# few to tell how much an organisation asks for.
ESTIMATE_SHARE = 0.5
# Time in which the window of admitted sessions moves over all of them, in seconds.
ROTATION_S = 20.0
MIN_RETRY_AFTER_S = 0.2
# Callers honour a Retry-After up to this part of the time that they have left.
MAX_RETRY_AFTER_FRACTION = 1 / 3
RETRY_AFTER_SPREAD = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What a node knows of a service.

    ``outstanding_s`` is the outstanding work of all nodes at each endpoint in use, in
    seconds, and ``wait_per_work`` by how many seconds each second of it was seen to
    delay calls. ``excess_calls`` is by how many calls a plain service exceeds its
    ``slots``, and ``work_s`` the time that one call takes there; ``slots`` is 0 for
    engines, and where they aren't known. ``objective_s`` is the shortest target latency
    of the service's calls and ``first_piece_s`` the quickest time to a first piece.
    ``started``, ``refused`` and ``late`` are calls in the window: answered by an
    endpoint, refused by one, and answered after their objective. ``window_s`` is the
    length of the window.
    """

    outstanding_s: tuple[float, ...] = ()
    wait_per_work: float = 1.0
    excess_calls: float = 0.0
    slots: int = 0
    work_s: float = 0.0
    objective_s: float = 1.0
    first_piece_s: float = 0.0
    started: float = 0.0
    refused: float = 0.0
    late: float = 0.0
    window_s: float = 1.0

    @property
    def expected_wait_s(self) -> float:
        """Return how long a new call is expected to wait, in seconds.

        A call is placed at the best of some endpoints, so that its wait lies between
        the least and the median.
        """
        if self.slots:
            return max(0.0, self.excess_calls) / self.slots * self.work_s
        if not self.outstanding_s:
            return 0.0
        work_s = (min(self.outstanding_s) + median(self.outstanding_s)) / 2
        return self.wait_per_work * work_s

    @property
    def allowed_wait_s(self) -> float:
        """Return how long calls may wait and still meet their objective, in seconds."""
        return max(
            self.objective_s - self.first_piece_s,
            MIN_ALLOWED_FRACTION * self.objective_s,
        )


@dataclass(frozen=True, slots=True)
class Pressure:
    """How near callers are to missing their objectives; from 1 on room is short.

    ``waits`` is the part that comes from queues, ``refusals`` that from endpoints that
    refuse calls.
    """

    waits: float = 0.0
    refusals: float = 0.0

    @property
    def value(self) -> float:
        """Return the greater part."""
        return max(self.waits, self.refusals)


def pressure(load: ServiceLoad) -> Pressure:
    """Return the pressure on a service.

    Answers that are late without queues are slow for other reasons, which refusing
    calls wouldn't end.
    """
    queued = load.expected_wait_s / (SAFE_PART * load.allowed_wait_s)
    late = _part(load.late, load.started) / SHORT_SHARE
    return Pressure(
        waits=max(queued, min(late, queued / SAFE_PART)),
        refusals=_part(load.refused, load.started + load.refused) / SHORT_SHARE,
    )


def is_short(was_short: bool, present: Pressure, excess_per_s: float) -> bool:
    """Return whether room is short, with hysteresis.

    ``excess_per_s`` is by how many calls a second the demand exceeds the capacity. As
    long as it does, the shares stay and grow: a service that just had room for all who
    were refused before would be flooded. Without any queue they end nevertheless, since
    after an outage the capacity would take long to grow.
    """
    if not was_short:
        return present.value >= 1.0
    if present.value >= RELEASE_PRESSURE:
        return True
    return excess_per_s > 0 and present.value >= IDLE_PRESSURE


def capacity_per_s(load: ServiceLoad, present: Pressure) -> float:
    """Return how many calls a second a service may be sent while its queues last.

    It follows what endpoints began to answer, and exceeds it while they do so early.
    Without queues it never falls under what is sent: refusals that don't come from too
    many calls would else lower it again and again.
    """
    calls = load.started / min(1.0, max(present.value, 1 / MOST_GROWTH))
    if present.waits < RELEASE_PRESSURE:
        calls = max(calls, load.started + load.refused)
    return calls / load.window_s


def drain_per_s(load: ServiceLoad, present: Pressure) -> float:
    """Return by how many calls a second less would be sent to shorten the queues.

    Only queues count, which shrink with fewer calls. Other signs of pressure would not
    end by it.
    """
    too_long = min(1.0, max(0.0, present.waits - 1))
    return too_long * MOST_CUT * load.started / load.window_s


def share_of(
    shares: Mapping[str, Sequence[float]],
    organisation: str,
    urgency: int,
    *,
    is_estimate: bool = False,
) -> float:
    """Return the share of an organisation's calls of a class that may start.

    An organisation that isn't among ``shares`` asks for less than all that are.
    """
    found = shares.get(organisation)
    if found:
        share = found[min(urgency, len(found) - 1)]
    else:
        share = max(
            (known[min(urgency, len(known) - 1)] for known in shares.values() if known),
            default=1.0,
        )
    return max(share, ESTIMATE_SHARE) if is_estimate else share


def in_turn(identity: str, share: float, wall_s: float) -> bool:
    """Return whether a call starts that belongs to a session, or else has this id.

    The window of sessions that start is as wide as the share and moves on with the wall
    clock, ``wall_s`` in seconds, so that all of them have their turn.
    """
    position = xxhash.xxh3_64_intdigest(identity.encode()) / 2**64
    return (position + wall_s / ROTATION_S) % 1.0 < share


class Cause(StrEnum):
    """Why a call starts or is refused; the value is written to logs."""

    ROOM = "room"
    IN_TURN = "in turn"
    OWN_PART = "own part"
    SHARE = "share"
    DEADLINE = "deadline"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call before its first attempt.

    ``identity`` is its session, or its id without one. ``left_s`` is the time until its
    deadline and ``first_piece_s`` the quickest time in which such calls were answered,
    in seconds. ``has_own_part`` says that this node has started less than its part.
    """

    identity: str
    share: float
    left_s: float
    first_piece_s: float
    has_own_part: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a call may start, why, and after how many seconds it may come again."""

    starts: bool
    cause: Cause
    retry_after_s: float = 0.0


def decide(
    call: Arrival, load: ServiceLoad, short: bool, wall_s: float, rng: Random
) -> Verdict:
    """Decide whether a call may start.

    A node that has started less than its own part starts the call whatever the sums
    say, since they may be wrong.
    """
    wait_s = load.expected_wait_s
    misses = wait_s > 0 and wait_s + call.first_piece_s > call.left_s
    if not misses and not short:
        return Verdict(True, Cause.ROOM)
    if not misses and in_turn(call.identity, call.share, wall_s):
        return Verdict(True, Cause.IN_TURN)
    if call.has_own_part:
        return Verdict(True, Cause.OWN_PART)
    cause = Cause.DEADLINE if misses else Cause.SHARE
    return Verdict(False, cause, retry_after_s(load, call.left_s, rng))


def retry_after_s(load: ServiceLoad, left_s: float, rng: Random) -> float:
    """Return after how many seconds a refused caller may find room.

    That is when the queue has shrunk to what callers accept. It is spread, so that
    those who come back don't come together, and leaves the caller time to be served.
    """
    drained_s = load.expected_wait_s - SAFE_PART * load.allowed_wait_s
    after_s = max(MIN_RETRY_AFTER_S, drained_s) * rng.uniform(*RETRY_AFTER_SPREAD)
    return max(0.05, min(after_s, MAX_RETRY_AFTER_FRACTION * left_s))


def order_key(
    rank: int, served_part: float, left_s: float, needed_s: float
) -> tuple[float, float, float]:
    """Return the key by which waiting calls are served, least first.

    ``served_part`` is the part of its asked calls that the organisation started over
    the fleet. ``left_s`` is the time to the deadline and ``needed_s`` the time that the
    answer takes.
    """
    return float(rank), served_part, left_s - needed_s


def _part(count: float, whole: float) -> float:
    """Return ``count`` as a part of ``whole``, 0 while these are few calls."""
    if whole < MIN_CALLS or not math.isfinite(count / whole):
        return 0.0
    return min(1.0, count / whole)
