"""Exhaustive search of states: a cold endpoint never exceeds its request limit.

Owners, permit holders and one endpoint take steps in any order. Messages may be late,
reordered, repeated or lost, and the endpoint may restart so that late requests reach
its new incarnation. A node that takes no step while the clock advances is paused.
"""

from dataclasses import dataclass, replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.conf import PermitSettings, VotedLimits
from knapweedhinge.controllers.leases import Lease
from knapweedhinge.routing.coldstart import EndpointReading, PermitOwner
from knapweedhinge.routing.permits import (
    HeldPermit,
    PermitGrant,
    PermitRequest,
)

CFG = PermitSettings(start_s=1, run_s=100, news_s=2, margin_s=0)


@dataclass(frozen=True)
class Running:
    """Request in progress at the endpoint, with or without a permit."""

    id: str
    permitted: bool


@dataclass(frozen=True)
class World:
    """State of the search.

    ``copies`` and ``restarts`` are the numbers of message repetitions and endpoint
    restarts still to come. Until ``warm_until`` requests may start without a permit.
    """

    now: int
    incarnation: int
    running: frozenset
    holders: tuple
    owners: tuple
    messages: frozenset = frozenset()
    copies: int = 1
    restarts: int = 1
    warm_until: float = -1


@dataclass(frozen=True)
class Case:
    """Bounds of the search.

    ``terms`` holds the time when each owner holds the lease as (start, end), and
    ``initial_requests`` is the number of requests in progress at the beginning.
    ``messages`` bounds the number of messages in flight.
    """

    holders: int = 2
    limit: int = 1
    horizon: int = 4
    terms: tuple = ((0, 100),)
    copies: int = 1
    restarts: int = 0
    initial_requests: int = 0
    warm_until: float = -1
    cfg: PermitSettings = CFG
    owner: type = PermitOwner
    messages: int = 3

    @property
    def limits(self):
        return VotedLimits(cold_concurrency=self.limit)


def lease_of(case, index):
    vm = f"o{index + 1}"
    _, end = case.terms[index]
    return Lease("permits", vm, vm, fencing=index + 1, valid_until=end)


def begin(case):
    initial_requests = frozenset(
        Running(f"old{i}", False) for i in range(case.initial_requests)
    )
    return World(
        now=0,
        incarnation=0,
        running=initial_requests,
        holders=(None,) * case.holders,
        owners=(None,) * len(case.terms),
        copies=case.copies,
        restarts=case.restarts,
        warm_until=case.warm_until,
    )


def successors(world, case):
    if world.now < case.horizon:
        yield replace(world, now=world.now + 1)
    for index in range(case.holders):
        yield from _holder_steps(world, case, index)
    for index in range(len(case.terms)):
        yield from _owner_steps(world, case, index)
    for message in world.messages:
        yield from _delivered(world, case, message)
    for request in world.running:
        yield from _ended(world, case, request)
    if world.restarts:
        after = replace(world, incarnation=world.incarnation + 1)
        yield replace(after, running=frozenset(), restarts=world.restarts - 1)
    if world.now < world.warm_until and len(world.running) < 2:
        request = Running(f"late{world.now}", False)
        yield replace(world, running=world.running | {request})


def _holder_steps(world, case, index):
    held = world.holders[index]
    if held is None:
        for incarnation in range(world.incarnation + 1):
            req = PermitRequest(f"h{index}", "e", str(incarnation))
            asked = _with_holder(world, index, HeldPermit(req, world.now))
            for owner in range(len(case.terms)):
                yield from _sent(asked, case, (req, owner))
    elif held.usable(held.request.incarnation, world.now, case.cfg):
        request = Running(held.request.id, True)
        after = _with_holder(world, index, held.used())
        yield replace(after, running=world.running | {request})


def _owner_steps(world, case, index):
    start, end = case.terms[index]
    owner = world.owners[index]
    if owner is None:
        if start <= world.now < end:
            begun = case.owner.begin(
                "e",
                str(world.incarnation),
                lease_of(case, index),
                case.limits,
                cold_since=0 if case.warm_until >= 0 else -100,
                now=world.now,
                cfg=case.cfg,
            )
            yield _with_owner(world, index, begun)
        return
    reading = EndpointReading(
        "e", str(world.incarnation), len(world.running), world.now
    )
    after = owner.observed(reading, case.limits)
    if after != owner:
        yield _with_owner(world, index, after)


def _sent(world, case, message):
    if len(world.messages) < case.messages:
        yield replace(world, messages=world.messages | {message})
    else:
        yield world


def _delivered(world, case, message):
    payload, owner = message
    remaining = replace(world, messages=world.messages - {message})
    if isinstance(payload, PermitRequest):
        yield from _granted(remaining, case, payload, owner)
    elif isinstance(payload, PermitGrant):
        index = int(payload.request_id[1:])
        yield _with_holder(remaining, index, remaining.holders[index].granted(payload))
    elif remaining.owners[owner] is not None:
        freed = remaining.owners[owner].released(payload, case.limits)
        yield _with_owner(remaining, owner, freed)
    if world.copies:
        kept = replace(world, copies=world.copies - 1)
        for after in _delivered(replace(kept, copies=0), case, message):
            yield replace(
                after, copies=kept.copies, messages=after.messages | {message}
            )


def _granted(world, case, req, index):
    owner = world.owners[index]
    if owner is None:
        return
    step = owner.grant(req, lease_of(case, index), world.now, case.cfg)
    after = _with_owner(world, index, step.owner)
    if isinstance(step.answer, PermitGrant):
        yield from _sent(after, case, (step.answer, None))


def _ended(world, case, request):
    after = replace(world, running=world.running - {request})
    if not request.permitted:
        yield after
        return
    index = int(request.id[1:])
    held = after.holders[index]
    after = _with_holder(after, index, held.closed())
    for owner in range(len(case.terms)):
        yield from _sent(after, case, (held.release(ok=False), owner))


def _with_holder(world, index, holder):
    holders = list(world.holders)
    holders[index] = holder
    return replace(world, holders=tuple(holders))


def _with_owner(world, index, owner):
    owners = list(world.owners)
    owners[index] = owner
    return replace(world, owners=tuple(owners))


def exceeds(world, case):
    """Return whether a permitted request runs and the limit is exceeded."""
    permitted = sum(request.permitted for request in world.running)
    return permitted > 0 and len(world.running) > case.limit


def search(case):
    """Return the numbers of states and of states with a permitted request.

    The third item is a state that exceeds the limit, None if there is none.
    """
    first = begin(case)
    seen = {first}
    pending = [first]
    permitted_states = 0
    while pending:
        world = pending.pop()
        permitted_states += any(request.permitted for request in world.running)
        if exceeds(world, case):
            return len(seen), permitted_states, world
        for after in successors(world, case):
            known = len(seen)
            seen.add(after)
            if len(seen) > known:
                pending.append(after)
    return len(seen), permitted_states, None


TWO_TERMS = ((0, 2), (2, 100))
SLOW_START = replace(CFG, start_s=2)


class UnsettledOwner(PermitOwner):
    """Faulty owner that doesn't wait for requests that others may still start."""

    @classmethod
    def begin(cls, *args, now, **fields):
        return replace(super().begin(*args, now=now, **fields), settled_at=now)


@pytest.mark.parametrize(
    "case",
    [
        Case(holders=2, horizon=3, copies=1, messages=2),
        Case(holders=2, horizon=4, terms=TWO_TERMS, messages=1, cfg=SLOW_START),
        Case(holders=2, horizon=3, copies=0, messages=2, restarts=1),
        Case(
            holders=2, horizon=3, copies=0, messages=1, initial_requests=1, warm_until=2
        ),
        Case(holders=3, horizon=2, copies=0, messages=1, initial_requests=1, limit=2),
    ],
    ids=["repeated", "two-owners", "restart", "turned-cold", "limit-2"],
)
def test_limit_holds(case):
    states, permitted_states, bad = search(case)
    assert bad is None
    assert permitted_states > 0
    assert states > 1000


def test_search_finds_an_owner_that_does_not_wait():
    case = Case(
        horizon=3, initial_requests=1, warm_until=2, messages=1, owner=UnsettledOwner
    )
    assert search(case)[2] is not None


def walk(case, seed, steps):
    """Return whether a permit was used on a random path; fail above the limit."""
    rng = Random(seed)
    world = begin(case)
    used = False
    for _ in range(steps):
        after = list(successors(world, case))
        if not after:
            break
        world = rng.choices(after, [_weight(world, state) for state in after])[0]
        used = used or any(request.permitted for request in world.running)
        assert not exceeds(world, case)
    return used


def _weight(world, after):
    """Weight a step: starts of requests above ends, permit requests and faults."""
    if len(after.running) > len(world.running):
        return 3.0
    if after.incarnation != world.incarnation or after.copies != world.copies:
        return 0.03
    if after.holders.count(None) < world.holders.count(None):
        return 0.02
    if after.now != world.now or len(after.running) < len(world.running):
        return 0.2
    return 1.0


LARGE = Case(
    holders=5,
    limit=2,
    horizon=12,
    terms=((0, 5), (5, 100)),
    copies=3,
    restarts=2,
    initial_requests=2,
    warm_until=2,
    messages=6,
    cfg=replace(CFG, start_s=2),
)


def test_limit_holds_on_long_paths():
    @settings(derandomize=True, deadline=None, max_examples=40, database=None)
    @given(st.integers(0, 2**32))
    def check(seed):
        walk(LARGE, seed, 100)

    check()
    assert any(walk(LARGE, seed, 100) for seed in range(10))
