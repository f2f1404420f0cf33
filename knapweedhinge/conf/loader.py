"""Loading of settings files, which are JSON with comments (JSON5)."""

import json
import math
from pathlib import Path
from typing import Any, TypeVar

import json5

from knapweedhinge.conf.convert import from_mapping
from knapweedhinge.conf.cooperative import Configuration
from knapweedhinge.conf.deployment import Deployment
from knapweedhinge.conf.node import MEBIBYTE, NodeSettings
from knapweedhinge.conf.problems import Problem
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError

MAX_FILE_BYTES = 16 * MEBIBYTE  # larger settings files are refused

T = TypeVar("T")


def load_node_settings(path: str | Path) -> NodeSettings:
    """Return the checked settings of a node.

    Raises ImproperlyConfiguredError with every problem of the file, as all functions
    of this module do.
    """
    return load(NodeSettings, path)


def load_configuration(path: str | Path) -> Configuration:
    """Return the checked configuration that the members of a co-operative vote on."""
    return load(Configuration, path)


def load_deployment(path: str | Path) -> Deployment:
    """Return the checked deployment that the demo or a test starts."""
    return load(Deployment, path)


def load(cls: type[T], path: str | Path) -> T:
    """Return an instance of the settings class, read from a file and checked."""
    return from_mapping(cls, read_file(path), file=str(path))


def read_file(path: str | Path) -> Any:
    """Return the content of a JSON5 file as plain types.

    A duplicate key in an object is a syntax error, because one of its values would
    otherwise be dropped silently.
    """
    return _parse(_read_text(Path(path)), str(path))


def read_json(path: str | Path) -> Any:
    """Return the content of a file in JSON, without comments, as plain types.

    Duplicate keys and numbers that JSON lacks, such as ``NaN``, are syntax errors.
    """
    text = _read_text(Path(path))
    try:
        return json.loads(
            text,
            object_pairs_hook=_unique_keys,
            parse_constant=_finite,
            parse_float=_finite,
        )
    except RecursionError as exc:
        raise _syntax(str(path), "fewer nested levels") from exc
    except ValueError as exc:
        raise _syntax(str(path), f"JSON ({exc})") from exc


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("an object has a key twice")
    return found


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text} is no number or too large")
    return value


def _read_text(path: Path) -> str:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise _unreadable(path, f"at most {MAX_FILE_BYTES} bytes")
        return path.read_text(encoding="utf-8")
    except OSError as exc:
        expected = f"a readable file ({exc.strerror})"
        raise _unreadable(path, expected) from exc
    except UnicodeDecodeError as exc:
        raise _unreadable(path, "text in UTF-8") from exc


def _parse(text: str, file: str) -> Any:
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except RecursionError as exc:
        raise _syntax(file, "fewer nested levels") from exc
    except ValueError as exc:
        detail = str(exc).replace("<string>:", "line ")
        raise _syntax(file, f"JSON with comments ({detail})") from exc


def _unreadable(path: Path, expected: str) -> ImproperlyConfiguredError:
    code = ResultCode.SETTINGS_UNREADABLE
    return ImproperlyConfiguredError([Problem(str(path), "", "", expected, code)])


def _syntax(file: str, expected: str) -> ImproperlyConfiguredError:
    code = ResultCode.SETTINGS_SYNTAX
    return ImproperlyConfiguredError([Problem(file, "", "", expected, code)])
