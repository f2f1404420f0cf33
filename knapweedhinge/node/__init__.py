"""Assemble and run a node: its state, periodic jobs, peer protocol and servers."""

from knapweedhinge.core.lazy import lazy_exports

HOMES = {
    "Node": "node",
    "run": "daemon",
}

__getattr__ = lazy_exports(__name__, HOMES)
__all__ = list(HOMES)
