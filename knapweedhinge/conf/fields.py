"""Declaration of the fields of settings classes, with help text and constraints."""

from dataclasses import MISSING, Field, field, fields, is_dataclass
from enum import StrEnum
from typing import Any, get_args, get_type_hints


class Format(StrEnum):
    """Format that the text of a setting must have."""

    TEXT = "text"
    ID = "id"
    NAME = "name"
    PATH = "path"
    IP = "IP number"
    IP_URL = "URL with an IP number"
    SHA256 = "SHA-256 in hex"


def setting(
    help_text: str,
    *,
    default: Any = MISSING,
    factory: Any = MISSING,
    minimum: float | None = None,
    maximum: float | None = None,
    unit: str = "",
    secret: bool = False,
    choices: tuple = (),
    text_format: Format = Format.TEXT,
    refers_to: str = "",
):
    """Return a dataclass field for one setting, with its help text and constraints.

    ``help_text`` and ``unit`` are printed in the reference pages. ``minimum`` and
    ``maximum`` are inclusive. The value of a ``secret`` setting is masked in output
    and error messages. ``refers_to`` names a field of the root class, for example
    ``versions``; the value must be the id of one of its items.
    """
    metadata = {
        "help": help_text,
        "minimum": minimum,
        "maximum": maximum,
        "unit": unit,
        "secret": secret,
        "choices": choices,
        "text_format": text_format,
        "refers_to": refers_to,
    }
    if factory is not MISSING:
        return field(default_factory=factory, metadata=metadata)
    if default is not MISSING:
        return field(default=default, metadata=metadata)
    return field(metadata=metadata)


def typed_fields(cls: type) -> tuple[tuple[Field, Any], ...]:
    """Return each field of a settings class with its resolved type hint."""
    hints = get_type_hints(cls)
    return tuple((item, hints[item.name]) for item in fields(cls))


def is_required(item: Field) -> bool:
    """Return whether the field has no default."""
    return item.default is MISSING and item.default_factory is MISSING


def holds_secret(cls: Any) -> bool:
    """Return whether a settings class, or a class nested in it, has a secret field.

    ``cls`` may also be a tuple type of a settings class.
    """
    nested = next(iter(get_args(cls)), cls)
    if not is_dataclass(nested):
        return False
    return any(
        item.metadata.get("secret") or holds_secret(hint)
        for item, hint in typed_fields(nested)
    )
