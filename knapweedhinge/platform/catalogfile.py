"""Read a catalog from a file, in the form in which operators send it."""

import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, get_args, get_origin

import msgspec

from knapweedhinge.conf.catalogfile import CatalogFile
from knapweedhinge.conf.loader import read_json
from knapweedhinge.conf.problems import HIDDEN, Problem, describe
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError
from knapweedhinge.core.jsondecode import decode_json
from knapweedhinge.platform import wire
from knapweedhinge.routing.retry import MAX_ATTEMPTS

SECRETS = frozenset({"apiKeys"})
INDEX = re.compile(r"\[\d+\]")  # in a place
KINDS = ("safe", "unsafe", "stream")
SIZES = ("slots", "kvCapacity", "stride")  # of engines
EXPECTED = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    list[str]: "a list of strings",
}


def load_catalog(path: Path) -> CatalogFile:
    """Return the catalog in a file.

    Raise ImproperlyConfiguredError with every problem of the file.
    """
    data = read_json(path)
    reader = _Reader(str(path))
    reader.read(wire.CatalogBody, data, "")
    if reader.problems:
        raise ImproperlyConfiguredError(reader.problems)
    try:
        body = decode_json(path.read_bytes(), wire.CatalogBody)
    except msgspec.MsgspecError as exc:
        reader.add("", "", f"what nodes can decode ({exc})", ResultCode.SETTING_TYPE)
        raise ImproperlyConfiguredError(reader.problems) from exc
    return CatalogFile(
        wire.catalog_of(body),
        _with_unknown(msgspec.to_builtins(body), data),
        SECRETS | {name.rpartition(".")[2] for name in reader.unknown},
        tuple(map(tuple, reader.unknown.values())),
        organisations="tenants",
        most_attempts=MAX_ATTEMPTS,
    )


def _with_unknown(known: Any, data: Any) -> Any:
    """Return a decoded message in plain types, with the fields that nodes ignore."""
    if isinstance(known, dict):
        data = data or {}
        return data | {
            name: _with_unknown(value, data.get(name)) for name, value in known.items()
        }
    if isinstance(known, list) and data:
        return [_with_unknown(*pair) for pair in zip(known, data, strict=True)]
    return known


@dataclass
class _Reader:
    """The problems and unknown fields that were found in a file so far."""

    file: str
    problems: list[Problem] = field(default_factory=list)
    unknown: dict[str, list[str]] = field(default_factory=dict)

    def add(self, path: str, value: str, expected: str, code: ResultCode) -> None:
        self.problems.append(Problem(self.file, path, value, expected, code))

    def read(self, struct: type, data: Any, path: str) -> None:
        """Check an object against the message that nodes decode it to."""
        if not isinstance(data, Mapping):
            shown = HIDDEN if struct is wire.TenantBody else describe(data)
            self.add(path, shown, "an object", ResultCode.SETTING_TYPE)
            return
        items = msgspec.structs.fields(struct)
        prefix = f"{path}." if path else ""
        names = {item.encode_name for item in items}
        for name in data:
            if name not in names:
                same_field = INDEX.sub("", f"{prefix}{name}")
                self.unknown.setdefault(same_field, []).append(f"{prefix}{name}")
        for item in items:
            name = item.encode_name
            if name in data:
                self._field(item.type, name, data[name], prefix + name)
            elif item.required:
                expected = EXPECTED[item.type]
                self.add(prefix + name, "", expected, ResultCode.SETTING_MISSING)

    def _field(self, hint: Any, name: str, value: Any, path: str) -> None:
        options = get_args(hint) if type(None) in get_args(hint) else (hint,)
        hint = options[0]
        if value is None and len(options) > 1:
            return
        inner = next(iter(get_args(hint)), None)
        if get_origin(hint) is list and _is_struct(inner):
            self._list(inner, value, path)
        elif _is_struct(hint):
            self.read(hint, value, path)
        else:
            self._value(hint, name, value, path)

    def _list(self, struct: type, value: Any, path: str) -> None:
        if not isinstance(value, list):
            shown = HIDDEN if struct is wire.TenantBody else describe(value)
            self.add(path, shown, "a list", ResultCode.SETTING_TYPE)
            return
        seen: Counter = Counter()
        for index, item in enumerate(value):
            place = f"{path}[{index}]"
            self.read(struct, item, place)
            name = item.get("name") if isinstance(item, Mapping) else None
            if struct is wire.RouteBody or not isinstance(name, str):
                continue
            seen[name] += 1
            if seen[name] > 1:
                expected = "a name that is unique in its list"
                code = ResultCode.SETTING_DUPLICATE
                self.add(f"{place}.name", describe(name), expected, code)

    def _value(self, hint: Any, name: str, value: Any, path: str) -> None:
        shown = HIDDEN if name in SECRETS else describe(value)
        try:
            msgspec.convert(value, hint)
        except msgspec.ValidationError:
            self.add(path, shown, EXPECTED[hint], ResultCode.SETTING_TYPE)
            return
        if name == "kind" and value not in KINDS:
            expected = f"one of {', '.join(KINDS)}"
            self.add(path, shown, expected, ResultCode.SETTING_RANGE)
        elif name in SIZES and value is not None and not wire.is_engine_size(value):
            expected = f"a number from 1 to {wire.MAX_ENGINE_SIZE}"
            self.add(path, shown, expected, ResultCode.SETTING_RANGE)


def _is_struct(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, msgspec.Struct)
