"""Weigh nodes by what their machines can bear: addresses for callers, and duties.

Designed for fleets whose machines have from a third of a core to two and links of 5 to
100 Mbit/s, with callers that pick one address of an answer at random for each new
connection, keep an answer for seconds, and close connections to nodes that the next
one doesn't name. Capacities come from settings and don't change while a node runs;
only a node that is choked, by its own word or its peers', is passed over meanwhile.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import xxhash

# Traffic in Mbit/s that a core is expected to pass on; a slower link limits the node.
LINK_MBPS_PER_CORE = 40.0
UNIT = 100  # of capacities, for each core
MAX_CAPACITY = 64 * UNIT  # greater figures are taken for this one
# Least number of addresses in an answer that leaves nodes out, so that a caller has
# others when some of them fail.
MIN_NAMED = 8
# Nodes that are left out because they say that they are choked, at most, as a share of
# the sound ones: these get the callers, and would be next.
MAX_RELIEVED_SHARE = 0.25

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Candidate:
    """A node that an answer may name.

    ``capacity`` is that of ``node_capacity()``, 0 if unknown. ``choked`` says that the
    node doesn't answer its peers at present, ``strained`` that it tells of itself that
    it is choked.
    """

    vm: str
    capacity: int = 0
    choked: bool = False
    strained: bool = False


def node_capacity(cores: float, link_mbps: float) -> int:
    """Return the capacity of a node in hundredths of a core, 0 if unknown.

    ``cores`` and ``link_mbps`` are 0 if unknown.
    """
    figures = [cores] if cores > 0 else []
    if link_mbps > 0:
        figures.append(link_mbps / LINK_MBPS_PER_CORE)
    return min(MAX_CAPACITY, max(1, round(min(figures) * UNIT))) if figures else 0


def median_capacity(capacities: Iterable[int]) -> int:
    """Return the upper median of the known capacities, 0 if none is known."""
    known = sorted(min(value, MAX_CAPACITY) for value in capacities if value > 0)
    return known[len(known) // 2] if known else 0


def strong_first(items: Sequence[T], capacity: Callable[[T], int]) -> list[T]:
    """Return the items, those below the median capacity moved behind the others.

    The order stays if all are equal, or if one is unknown: that is a node of an earlier
    release, which keeps the order and has to find the same owners.
    """
    capacities = [capacity(item) for item in items]
    median = median_capacity(capacities) if all(capacities) else 0
    return sorted(items, key=lambda item: capacity(item) < median)


def named(candidates: Sequence[Candidate], answerer: str) -> tuple[Candidate, ...]:
    """Return the nodes that the node ``answerer`` names to callers, in the same order.

    Each node below the median capacity is left out of as many answerers' answers as it
    is weaker, so that callers that pick evenly bring it that much less. An answerer
    names the same ones each time: callers keep their connections to them. With few
    nodes, or with equal or unknown capacities, all are named that aren't relieved.
    """
    candidates = _without_relieved(candidates)
    median = median_capacity(candidate.capacity for candidate in candidates)
    if len(candidates) <= MIN_NAMED or not any(
        0 < candidate.capacity < median for candidate in candidates
    ):
        return tuple(candidates)
    usable = [candidate for candidate in candidates if not candidate.choked]
    if len(usable) < MIN_NAMED:
        usable = list(candidates)
    surplus = {
        candidate.vm: _surplus(candidate, median, answerer) for candidate in usable
    }
    ranked = sorted(usable, key=lambda candidate: -surplus[candidate.vm])
    count = sum(value >= 0 for value in surplus.values())
    kept = {candidate.vm for candidate in ranked[: max(MIN_NAMED, count)]}
    return tuple(candidate for candidate in usable if candidate.vm in kept)


def _without_relieved(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Leave out nodes that say they are choked, a share of the sound ones at most.

    All answerers leave out the same ones, so that these get no new callers.
    """
    sound = sum(not candidate.strained for candidate in candidates)
    count = min(int(MAX_RELIEVED_SHARE * sound), len(candidates) - MIN_NAMED)
    if count <= 0:
        return candidates
    strained = sorted(
        (candidate.vm for candidate in candidates if candidate.strained),
        key=lambda vm: xxhash.xxh3_64_intdigest(vm.encode()),
    )
    relieved = frozenset(strained[:count])
    return [candidate for candidate in candidates if candidate.vm not in relieved]


def _surplus(candidate: Candidate, median: int, answerer: str) -> float:
    """Return by how much a node passes the mark of its draw; it is named from 0 on."""
    if not 0 < candidate.capacity < median:
        return 1.0
    hashed = xxhash.xxh3_64_intdigest(f"{answerer}\0{candidate.vm}".encode())
    return candidate.capacity / median - hashed / 2**64
