"""Conversion between parsed JSON and settings classes, driven by their type hints."""

import math
from collections.abc import Mapping
from dataclasses import Field, dataclass, field, fields, is_dataclass
from typing import Any, TypeVar, get_args, get_origin

from knapweedhinge.conf.fields import (
    Format,
    holds_secret,
    is_required,
    typed_fields,
)
from knapweedhinge.conf.formats import expected_text, matches
from knapweedhinge.conf.problems import HIDDEN, Problem, describe
from knapweedhinge.conf.references import (
    Reference,
    References,
    duplicate_ids,
    expected_one_of,
)
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError

T = TypeVar("T")

_INVALID = object()  # stands for a value whose problem has been recorded
_NO_METADATA: dict[str, Any] = {}
_TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def from_mapping(cls: type[T], data: Any, *, file: str = "") -> T:
    """Return an instance of the settings class built from parsed JSON.

    Raise ``ImproperlyConfiguredError`` with every problem found, not only the
    first.
    """
    converter = _Converter(file, cls)
    value = converter.convert(cls, data, "", _NO_METADATA)
    problems = converter.problems + converter.references.problems(file)
    if problems:
        raise ImproperlyConfiguredError(problems)
    return value


def to_mapping(value: Any, *, show_secrets: bool = False) -> Any:
    """Return a settings value as plain JSON types, with secrets masked by default."""
    if is_dataclass(value):
        return {
            item.name: _field_to_mapping(item, getattr(value, item.name), show_secrets)
            for item in fields(value)
        }
    if isinstance(value, tuple | list):
        return [to_mapping(item, show_secrets=show_secrets) for item in value]
    return value


def validate(value: Any, *, file: str = "") -> tuple[Problem, ...]:
    """Return every problem of an existing settings value, an empty tuple if none."""
    try:
        from_mapping(type(value), to_mapping(value, show_secrets=True), file=file)
    except ImproperlyConfiguredError as exc:
        return exc.problems
    return ()


def _field_to_mapping(item: Field, value: Any, show_secrets: bool) -> Any:
    if not item.metadata.get("secret") or show_secrets:
        return to_mapping(value, show_secrets=show_secrets)
    return [HIDDEN] * len(value) if isinstance(value, tuple) else HIDDEN


@dataclass
class _Converter:
    """State of one conversion: the problems, ids and references found so far.

    ``root`` is the settings class of the whole file. Ids are collected from its lists
    of objects, and references are checked against them at the end.
    """

    file: str
    root: type
    problems: list[Problem] = field(default_factory=list)
    references: References = field(default_factory=References)

    def convert(self, hint: Any, data: Any, path: str, metadata: Mapping) -> Any:
        if is_dataclass(hint):
            return self._dataclass(hint, data, path)
        if get_origin(hint) is tuple:
            return self._tuple(get_args(hint)[0], data, path, metadata)
        return self._scalar(hint, data, path, metadata)

    def _dataclass(self, cls: type, data: Any, path: str) -> Any:
        if not isinstance(data, Mapping):
            self._report_wrong_type(cls, data, path, "an object", _NO_METADATA)
            return _INVALID
        pairs = typed_fields(cls)
        self._report_unknown_keys(data, [item.name for item, _ in pairs], path)
        values = {
            item.name: self._field(item, hint, data, path, cls)
            for item, hint in pairs
            if item.name in data or is_required(item)
        }
        if any(value is _INVALID for value in values.values()):
            return _INVALID
        return cls(**values)

    def _field(
        self, item: Field, hint: Any, data: Mapping, path: str, cls: type
    ) -> Any:
        field_path = f"{path}.{item.name}" if path else item.name
        if item.name not in data:
            expected = _type_name(hint)
            self._add_problem(field_path, "", expected, ResultCode.SETTING_MISSING)
            return _INVALID
        if cls is self.root and _is_list_of_objects(hint):
            self._collect_ids(item.name, data[item.name])
        return self.convert(hint, data[item.name], field_path, item.metadata)

    def _collect_ids(self, name: str, items: Any) -> None:
        if isinstance(items, list | tuple):
            ids = [item.get("id") for item in items if isinstance(item, Mapping)]
            self.references.ids[name] = [
                value for value in ids if isinstance(value, str)
            ]

    def _report_unknown_keys(self, data: Mapping, names: list[str], path: str) -> None:
        for key in data:
            if key not in names:
                key_path = f"{path}.{key}" if path else str(key)
                expected = expected_one_of(str(key), names)
                self._add_problem(key_path, "", expected, ResultCode.SETTING_UNKNOWN)

    def _tuple(self, hint: Any, data: Any, path: str, metadata: Mapping) -> Any:
        if not isinstance(data, list | tuple):
            self._report_wrong_type(hint, data, path, "a list", metadata)
            return _INVALID
        if not metadata.get("secret"):
            self.problems += duplicate_ids(data, path, self.file)
        values = [
            self.convert(hint, item, f"{path}[{index}]", metadata)
            for index, item in enumerate(data)
        ]
        if any(value is _INVALID for value in values):
            return _INVALID
        return tuple(values)

    def _scalar(self, hint: Any, data: Any, path: str, metadata: Mapping) -> Any:
        value = _as_type(hint, data)
        if value is _INVALID:
            self._report_wrong_type(hint, data, path, _TYPE_NAMES[hint], metadata)
            return _INVALID
        expected = _violated_constraint(value, metadata)
        if expected:
            shown = HIDDEN if metadata.get("secret") else describe(value)
            self._add_problem(path, shown, expected, ResultCode.SETTING_RANGE)
            return _INVALID
        if metadata.get("refers_to"):
            reference = Reference(path, value, metadata["refers_to"])
            self.references.references.append(reference)
        return value

    def _report_wrong_type(
        self, hint: Any, data: Any, path: str, expected: str, metadata: Mapping
    ) -> None:
        is_secret = metadata.get("secret") or holds_secret(hint)
        shown = HIDDEN if is_secret else describe(data)
        self._add_problem(path, shown, expected, ResultCode.SETTING_TYPE)

    def _add_problem(
        self, path: str, value: str, expected: str, code: ResultCode
    ) -> None:
        self.problems.append(Problem(self.file, path, value, expected, code))


def _is_list_of_objects(hint: Any) -> bool:
    return get_origin(hint) is tuple and is_dataclass(get_args(hint)[0])


def _type_name(hint: Any) -> str:
    if is_dataclass(hint):
        return "an object"
    return _TYPE_NAMES.get(hint, "a list")


def _as_type(hint: type, data: Any) -> Any:
    """Return the value if it has the type, else ``_INVALID``.

    A whole number is accepted where a float is expected, a boolean never as a number.
    """
    if isinstance(data, bool) and hint is not bool:
        return _INVALID
    if hint is float and isinstance(data, int | float):
        return _as_finite(data)
    return data if isinstance(data, hint) else _INVALID


def _as_finite(data: float) -> Any:
    try:
        value = float(data)
    except OverflowError:
        return _INVALID
    return value if math.isfinite(value) else _INVALID


def _violated_constraint(value: Any, metadata: Mapping) -> str:
    """Return the constraint that the value violates as text, or an empty string."""
    minimum, maximum = metadata.get("minimum"), metadata.get("maximum")
    if minimum is not None and value < minimum:
        return f"at least {minimum}"
    if maximum is not None and value > maximum:
        return f"at most {maximum}"
    choices = metadata.get("choices")
    if choices and value not in choices:
        return expected_one_of(value, choices)
    text_format = metadata.get("text_format", Format.TEXT)
    if isinstance(value, str) and not matches(value, text_format):
        return expected_text(text_format)
    return ""
