"""Roles of nodes and their costs."""

from dataclasses import dataclass

from bench.capacity.figures import Figure, derived
from bench.capacity.units import Units


@dataclass(frozen=True)
class Load:
    """Costs of a role on one node that holds it.

    Traffic is the sum of both directions; ``cpu_s`` is CPU seconds a second.
    """

    calls_per_s: Figure
    bytes_per_s: Figure
    cpu_s: Figure
    memory_bytes: Figure


@dataclass(frozen=True)
class Role:
    """A role: the nodes that hold it, its mechanism, its state and its costs.

    ``built`` says whether its load at the target size was run. If ``load`` exceeds a
    budget, ``change_needed`` describes a change of the mechanism and ``planned`` is the
    load after it.
    """

    name: str
    holders: str
    mechanism: str
    state: str
    load: Load
    built: bool
    planned: Load | None = None
    change_needed: str = ""

    @property
    def is_control(self) -> bool:
        """Whether the role is control traffic between nodes, not traffic of callers."""
        return "data path" not in self.name and "callers" not in self.name


def load_of(u: Units, calls: float, size: float, memory: float, extra_cpu=0.0) -> Load:
    """Return the load of ``calls`` and ``size`` bytes a second at the unit costs."""
    return Load(
        derived(calls),
        derived(size),
        derived(u.cpu_s(calls, size) + extra_cpu),
        derived(memory),
    )
