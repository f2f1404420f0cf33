"""A catalog that was read from a file, to be checked before it is sent."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from knapweedhinge.conf.catalog import Catalog


@dataclass(frozen=True)
class CatalogFile:
    """A catalog with what checks need to know of its file.

    ``body`` holds all fields in plain JSON types and with the names of the file;
    those of the names in ``secrets`` must not be shown. ``unknown`` are the places of
    fields that nodes ignore, one tuple a field. ``organisations`` is the file's name
    for the list of organisations. No call is attempted more than ``most_attempts``
    times.
    """

    catalog: Catalog
    body: Mapping[str, Any]
    secrets: frozenset[str] = frozenset()
    unknown: tuple[tuple[str, ...], ...] = ()
    organisations: str = "organisations"
    most_attempts: int = 1
