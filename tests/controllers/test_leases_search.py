"""Exhaustive search: at most one node holds a lease at any moment.

Two nodes acquire, renew and release in any order, since their views of the membership
may differ. Reads and writes take effect late, never, or with a lost answer; a write
with a lost answer may still take effect after later ones. A node that takes no step
while the clock advances is paused or cut off from the platform.
"""

from dataclasses import dataclass, replace

import pytest

from knapweedhinge.conf import LeaseSettings
from knapweedhinge.controllers.leases import Lease, LeaseRow, LeaseStep

CFG = LeaseSettings(term_s=2, margin_s=0)
LONG_AGO = float("-inf")


@dataclass(frozen=True)
class Stored:
    """A row and the id of its write, since two writes may produce equal rows."""

    row: LeaseRow = LeaseRow()
    write_id: str = ""


@dataclass(frozen=True)
class Call:
    """A call in progress.

    ``new`` is None for a read, ``answer`` is None until the call has run.
    """

    sent_at: int
    new: Stored | None = None
    answer: Stored | None = None

    @property
    def applied(self):
        return self.answer == self.new


@dataclass(frozen=True)
class Node:
    lease: Lease
    call: Call | None = None


@dataclass(frozen=True)
class World:
    """State of the nodes, the clock and the table service.

    ``late`` holds the writes that may still take effect, ``losses`` the number of
    writes whose answer may still be lost.
    """

    nodes: tuple
    now: int = 0
    stored: Stored = Stored()
    late: frozenset = frozenset()
    losses: int = 1


@dataclass(frozen=True)
class Case:
    """Bounds of one search, and the class of lease that it searches.

    ``horizon`` is the last time in seconds, ``losses`` the number of writes whose
    answer may be lost and ``versions`` the highest version of the row.
    """

    horizon: int = 5
    losses: int = 1
    versions: int = 3
    lease: type = Lease


def begin(case):
    """Return the first state, in which the first node has just acquired the lease."""
    first, second = (case.lease("name", vm, vm) for vm in ("a", "b"))
    row = LeaseRow("a", "a", fencing=1, version=1)
    first = first.written(row, 0, 0, CFG)
    return World((Node(first), Node(second)), stored=Stored(row), losses=case.losses)


def successors(world, case):
    if world.now < case.horizon:
        yield replace(world, now=world.now + 1)
    for index, node in enumerate(world.nodes):
        if node.call is None:
            yield from _called(world, case, index)
        elif node.call.answer is None:
            yield _executed(world, index, node.call)
            if world.losses:
                yield from _lost(world, index, node.call)
        else:
            yield _with_node(world, index, _answered(node, world.now))
            if node.call.new and world.losses:
                left = replace(world, losses=world.losses - 1)
                yield _with_node(left, index, Node(node.lease.unsettled()))
    for new in world.late:
        left = replace(world, late=world.late - {new})
        yield replace(left, stored=_written_over(world.stored, new))


def _called(world, case, index):
    lease = world.nodes[index].lease
    for wanted in (True, False):
        step = lease.next_step(wanted, world.now, CFG)
        if step is LeaseStep.NOTHING:
            continue
        call = Call(world.now, answer=world.stored)
        after = lease
        if step is not LeaseStep.READ:
            new = Stored(lease.row_after(step), f"{index}.{world.losses}")
            call = Call(world.now, new)
            if new.row.version > case.versions:
                continue
        if step is LeaseStep.RELEASE:
            after = lease.given_up()
        yield _with_node(world, index, Node(after, call))


def _executed(world, index, call):
    stored = _written_over(world.stored, call.new)
    node = replace(world.nodes[index], call=replace(call, answer=stored))
    return _with_node(replace(world, stored=stored), index, node)


def _lost(world, index, call):
    """Lose the answer of a write, which takes effect later or never."""
    node = Node(world.nodes[index].lease.unsettled())
    left = _with_node(replace(world, losses=world.losses - 1), index, node)
    yield left
    yield replace(left, late=left.late | {call.new})


def _written_over(stored, new):
    return new if new.row.version == stored.row.version + 1 else stored


def _answered(node, now):
    call = node.call
    if call.new is not None and call.applied:
        return Node(node.lease.written(call.answer.row, call.sent_at, now, CFG))
    return Node(node.lease.seen(call.answer.row, now))


def _with_node(world, index, node):
    nodes = list(world.nodes)
    nodes[index] = node
    return replace(world, nodes=tuple(nodes))


def normalised(world):
    """Normalise times that have the same effect from now on, to merge states."""
    nodes = tuple(_normalised_node(node, world.now) for node in world.nodes)
    late = frozenset(
        new for new in world.late if new.row.version > world.stored.row.version
    )
    return replace(world, nodes=nodes, late=late)


def _normalised_node(node, now):
    lease = node.lease
    lease = replace(
        lease,
        seen_at=max(lease.seen_at, now - CFG.term_s),
        valid_until=lease.valid_until if lease.valid_until > now else LONG_AGO,
        renew_at=lease.renew_at if lease.renew_at > now else LONG_AGO,
    )
    call = node.call
    if call and call.sent_at < now - CFG.term_s:
        call = replace(call, sent_at=now - CFG.term_s)
    return replace(node, lease=lease, call=call)


def holders(world):
    return [node.lease for node in world.nodes if node.lease.is_held(world.now)]


def search(case):
    """Search all states.

    Return the number of states, of those after a change of holder, and a state that
    breaks the rule or None.
    """
    first = begin(case)
    seen, left, moved = {first}, [first], 0
    while left:
        world = left.pop()
        held = holders(world)
        if len(held) > 1 or any(
            lease.fencing > world.stored.row.fencing for lease in held
        ):
            return len(seen), moved, world
        moved += any(lease.fencing > 1 for lease in held)
        for after in map(normalised, successors(world, case)):
            if after not in seen:
                seen.add(after)
                left.append(after)
    return len(seen), moved, None


class CountsFromAnswer(Lease):
    """Faulty lease that counts the term from the answer of the write."""

    def written(self, row, sent_at, now, cfg):
        return super().written(row, now, now, cfg)


class CountsUnsettled(Lease):
    """Faulty lease that takes a write with a lost answer for effective."""

    def unsettled(self):
        return replace(self, row=None, valid_until=self.valid_until + CFG.term_s)


class TakesOverEarly(Lease):
    """Faulty lease that is taken over one second early."""

    def seen(self, row, now):
        return super().seen(row, now - 1)


@pytest.mark.parametrize(
    "case",
    [Case(horizon=3, losses=1), Case(horizon=6, losses=0)],
    ids=["a write lost", "no write lost"],
)
def test_at_most_one_node_holds_the_lease(case):
    states, moved, bad = search(case)
    assert bad is None
    assert states > 10_000
    assert moved > 100


@pytest.mark.parametrize("lease", [CountsFromAnswer, CountsUnsettled, TakesOverEarly])
def test_search_finds_a_faulty_lease(lease):
    assert search(Case(horizon=4, losses=1, lease=lease))[2] is not None
