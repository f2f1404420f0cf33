"""Convert changes, revisions and configurations to and from JSON types.

Unknown fields are ignored in stored rows, since a node of a newer release may have
written them, and rejected in requests of operators.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from knapweedhinge.conf import Configuration
from knapweedhinge.conf.change_forms import (
    CHANGE_TYPES,
    TYPE,
    change_from_mapping,
    change_to_mapping,
    holds_whole_object,
    value_class,
)
from knapweedhinge.conf.changes import Change, UnknownChange
from knapweedhinge.controllers.configuration_records import (
    SCHEMA,
    ChangeInvalidError,
    Revision,
)
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError, PlatformError


@dataclass(frozen=True)
class _StoredRevision:
    change_id: str
    author: str
    at: float
    previous: int
    change: dict
    schema: int = SCHEMA


def encode_change(change: Change) -> dict:
    """Return the change as JSON types, with its type name under ``type``."""
    return change_to_mapping(change)


def decode_change(value: dict) -> Change:
    """Return the change stored in a row, ignoring unknown fields.

    A change of an unknown type becomes an UnknownChange. Raises PlatformError if the
    stored value is malformed.
    """
    name = value.get(TYPE)
    cls = CHANGE_TYPES.get(name) if isinstance(name, str) else None
    if cls is None:
        return UnknownChange(str(name or ""), value)
    if holds_whole_object(cls):
        return cls(_convert(value, value_class(cls)))
    return _convert(value, cls)


def parse_change(value: Any) -> Change:
    """Return the change that an operator sent; raise ChangeInvalidError if invalid."""
    try:
        return change_from_mapping(value)
    except ImproperlyConfiguredError as exc:
        problem = exc.problems[0]
        path = problem.path or "change"
        raise ChangeInvalidError(path, f"expected {problem.expected}") from exc


def encode_revision(revision: Revision) -> dict:
    """Return the row value of a revision; the row key holds its number."""
    return {
        "change_id": revision.change_id,
        "author": revision.author,
        "at": revision.at,
        "previous": revision.previous,
        "change": encode_change(revision.change),
        "schema": revision.schema,
    }


def decode_revision(number: int, value: dict) -> Revision:
    """Return the revision in a row; raise PlatformError if it is malformed."""
    stored = _convert(value, _StoredRevision)
    return Revision(
        number=number,
        change_id=stored.change_id,
        author=stored.author,
        at=stored.at,
        previous=stored.previous,
        change=decode_change(stored.change),
        schema=stored.schema,
    )


def encode_configuration(configuration: Configuration) -> dict:
    """Return a whole configuration as JSON types."""
    return msgspec.to_builtins(configuration)


def decode_configuration(value: dict) -> Configuration:
    """Return the stored configuration, ignoring unknown fields.

    Raises PlatformError if the value is malformed.
    """
    return _convert(value, Configuration)


def _convert(value: Any, cls: type) -> Any:
    try:
        return msgspec.convert(value, type=cls)
    except msgspec.ValidationError as exc:
        raise PlatformError(
            f"stored {cls.__name__}: {exc}", code=ResultCode.PLATFORM_PROTOCOL
        ) from exc
