"""Tell whether a node is choked, by what it measures of itself.

Designed for machines of a third of a core and less, on which a few hundred streams or
one large body hold the event loop up for longer than calls may wait, while probes of
peers are still answered. Callers keep their nodes for up to ``CALLERS_KEEP_S``: a node
that says it is choked says so for at least as long, or callers would come and go.
"""

from collections.abc import Mapping
from dataclasses import dataclass

# Share of the strictest latency objective that one pass of the event loop may be late.
# A call needs about five passes before its answer begins.
LATE_SHARE = 0.2
# Shares of the connections and of the memory for callers from which a node is choked:
# beyond them it begins to close connections and to refuse bodies.
CONNECTIONS_SHARE = 0.9
MEMORY_SHARE = 0.8
# A choked node is choked until its measurements are below this share of the limits.
RELEASE_SHARE = 0.6
CALLERS_KEEP_S = 5.0
UNIT = 100  # of degrees in messages


@dataclass(frozen=True, slots=True)
class Strain:
    """What a node measures of itself.

    ``late_s`` is by how much its timers are late in the mean, in seconds, and
    ``objective_s`` the strictest latency objective of its routes, 0 if unknown.
    ``connections`` and ``memory`` are the shares in use of what callers may use.
    """

    late_s: float = 0.0
    objective_s: float = 0.0
    connections: float = 0.0
    memory: float = 0.0

    def causes(self) -> Mapping[str, float]:
        """Return each measurement as a multiple of its limit."""
        allowed_s = LATE_SHARE * self.objective_s
        return {
            "late": self.late_s / allowed_s if allowed_s > 0 else 0.0,
            "connections": self.connections / CONNECTIONS_SHARE,
            "memory": self.memory / MEMORY_SHARE,
        }

    def degree(self) -> float:
        """Return the greatest measurement as a multiple of its limit."""
        return max(self.causes().values())


@dataclass(frozen=True, slots=True)
class Choke:
    """Whether a node is choked, since when, and its last degree."""

    choked: bool = False
    since: float = float("-inf")
    degree: float = 0.0


def next_choke(before: Choke, strain: Strain, now: float) -> Choke:
    """Return whether a node is choked from ``now`` on."""
    degree = strain.degree()
    if not before.choked:
        return Choke(True, now, degree) if degree >= 1.0 else Choke(degree=degree)
    held_s = now - before.since
    if degree < RELEASE_SHARE and held_s >= CALLERS_KEEP_S:
        return Choke(degree=degree)
    return Choke(True, before.since, degree)
