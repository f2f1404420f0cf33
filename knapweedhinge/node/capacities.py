"""Measure what a relay node carries, and dump what callers are told of all nodes."""

from collections.abc import Callable, Sequence

from knapweedhinge.conf.catalog import Catalog
from knapweedhinge.controllers.addresses import Address
from knapweedhinge.controllers.nodestrain import StrainTracker
from knapweedhinge.http1 import Account, Limits
from knapweedhinge.routing.nodecapacity import named
from knapweedhinge.routing.nodestrain import Strain


def measured_strain(
    late_s: float, account: Account, limits: Limits, catalog: Catalog | None
) -> Strain:
    """Return the strain of a node whose timers are ``late_s`` late in the mean."""
    routes = catalog.routes if catalog else ()
    return Strain(
        late_s,
        min((route.objective_s for route in routes), default=0.0),
        len(account.connections) / max(1, limits.max_connections),
        account.held_bytes / max(1, limits.max_held_bytes),
    )


def strained_vms(
    strain: StrainTracker | None, now: float, nodes: int
) -> Callable[[str], bool]:
    """Return a function that tells whether the node of a VM says it is choked."""
    return strain.is_choked(now, nodes) if strain is not None else lambda vm: False


def capacities_dump(
    addresses: Sequence[Address],
    vm: str,
    failure_domain: str,
    strain: StrainTracker | None,
    now: float,
) -> dict:
    """Return the nodes' capacities and those that callers are told of."""
    near = [a for a in addresses if a.failure_domain == failure_domain]
    return {
        "capacities": {address.vm: address.capacity for address in addresses},
        "strained": [address.vm for address in addresses if address.strained],
        "named": [address.vm for address in named(near, vm)],
        "strain": strain.dump(now) if strain is not None else None,
    }
