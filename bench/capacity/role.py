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
    """A duty that nodes have, and its costs; its texts are cells of the page.

    ``holders`` says which nodes have it, ``mechanism`` how it works and ``state`` what
    a holder keeps in memory. ``built`` says whether its load at the target size was
    run. If ``load`` exceeds a budget, ``change_needed`` describes a change of the
    mechanism and ``planned`` is the load after it.
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
        """Whether the role is control traffic between nodes, not traffic of callers.

        Decided by words in ``name``.
        """
        return "data path" not in self.name and "callers" not in self.name


def load_of(
    u: Units,
    calls_per_s: float,
    bytes_per_s: float,
    memory_bytes: float,
    extra_cpu_s=0.0,
) -> Load:
    """Return the load of calls and bytes at the unit costs.

    ``extra_cpu_s`` is CPU seconds a second that these don't include, such as of polls.
    """
    return Load(
        derived(calls_per_s),
        derived(bytes_per_s),
        derived(u.cpu_s(calls_per_s, bytes_per_s) + extra_cpu_s),
        derived(memory_bytes),
    )
