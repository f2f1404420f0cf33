"""Conversion of configuration changes to and from JSON.

A change is a JSON object whose ``type`` is the name of its class in kebab case. The
other members are the change's fields or, if its only field is ``value``, the fields of
that value.
"""

import re
from dataclasses import fields
from typing import Any, get_args

from knapweedhinge.conf.changes import Change, KnownChange, UnknownChange
from knapweedhinge.conf.convert import from_mapping, to_mapping
from knapweedhinge.conf.problems import Problem, describe
from knapweedhinge.conf.references import expected_one_of
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError

TYPE = "type"  # member of the JSON object that names the type of the change
VALUE = "value"  # field of a change that holds a whole object


def type_name(cls: type) -> str:
    """Return the JSON ``type`` of a change class: its name in kebab case."""
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "-", cls.__name__).lower()


def change_type_name(change: Change) -> str:
    """Return the JSON ``type`` of a change, also of one that this node doesn't know."""
    if isinstance(change, UnknownChange):
        return change.type_name
    return type_name(type(change))


CHANGE_TYPES: dict[str, type] = {type_name(cls): cls for cls in get_args(KnownChange)}


def change_to_mapping(change: Change) -> dict[str, Any]:
    """Return a change as plain JSON types, with its ``type`` first."""
    if isinstance(change, UnknownChange):
        return change.raw
    mapping = to_mapping(change)
    body = mapping[VALUE] if holds_whole_object(type(change)) else mapping
    return {TYPE: type_name(type(change)), **body}


def change_from_mapping(data: Any, *, file: str = "") -> KnownChange:
    """Return the change built from parsed JSON.

    Raises ImproperlyConfiguredError with every problem found.
    """
    if not isinstance(data, dict):
        raise _configuration_error(file, "", data, "an object", ResultCode.SETTING_TYPE)
    name = data.get(TYPE)
    if not isinstance(name, str) or name not in CHANGE_TYPES:
        expected = expected_one_of(str(name), CHANGE_TYPES)
        raise _configuration_error(file, TYPE, name, expected, ResultCode.SETTING_RANGE)
    cls = CHANGE_TYPES[name]
    body = {key: value for key, value in data.items() if key != TYPE}
    if not holds_whole_object(cls):
        return from_mapping(cls, body, file=file)
    return cls(from_mapping(value_class(cls), body, file=file))


def holds_whole_object(cls: type) -> bool:
    """Return whether ``value`` is the only field of a change class.

    The JSON form then has the members of that object instead of a member ``value``.
    """
    return [item.name for item in fields(cls)] == [VALUE]


def value_class(cls: type) -> type:
    """Return the class of the only field of a change that holds a whole object."""
    (only,) = fields(cls)
    return only.type


def _configuration_error(
    file: str, path: str, value: Any, expected: str, code: ResultCode
) -> ImproperlyConfiguredError:
    problem = Problem(file, path, describe(value), expected, code)
    return ImproperlyConfiguredError([problem])
