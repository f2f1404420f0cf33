"""Assemble and run a node: its state, periodic jobs, peer protocol and servers."""

from knapweedhinge.core.lazy import lazy_exports

EXPORT_MODULES = {
    "Node": "node",
    "load_catalog": "catalogfile",
    "run": "daemon",
}

__getattr__ = lazy_exports(__name__, EXPORT_MODULES)
__all__ = list(EXPORT_MODULES)
