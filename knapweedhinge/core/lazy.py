"""Lazy imports: load the modules behind a package's public names on first use.

A node needs only a few modules of some packages. Importing the others would cost half
a second of CPU time at start and the memory of their libraries.
"""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def lazy_exports(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for ``package`` that imports its names on first use.

    ``modules`` maps each public name to the submodule that defines it. For other
    names the returned function raises ``AttributeError``.
    """

    def get(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return get
