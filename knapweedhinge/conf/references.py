"""Checks of ids in settings: references to unknown ids, and duplicate ids."""

from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from knapweedhinge.conf.problems import Problem, describe
from knapweedhinge.core.codes import ResultCode

MAX_LISTED_NAMES = 12  # permitted values listed in a problem


@dataclass(frozen=True)
class Reference:
    """A value that must be the id of an item in the list ``refers_to``.

    ``refers_to`` is a field of the root class, the settings class of the whole file.
    """

    path: str
    value: str
    refers_to: str


@dataclass(frozen=True)
class References:
    """The ids in each list of the root class, and all references in the settings."""

    ids: dict[str, list[str]] = field(default_factory=dict)
    references: list[Reference] = field(default_factory=list)

    def problems(self, file: str) -> list[Problem]:
        """Return one problem for each reference to an unknown id.

        References to a field that the root class doesn't have can't be checked and
        are ignored.
        """
        return [
            Problem(
                file,
                reference.path,
                describe(reference.value),
                expected_one_of(reference.value, self.ids[reference.refers_to]),
                ResultCode.SETTING_REFERENCE,
            )
            for reference in self.references
            if reference.refers_to in self.ids
            and reference.value not in self.ids[reference.refers_to]
        ]


def expected_one_of(value: str, names: Any) -> str:
    """Return the permitted names as text, with a hint at one similar to the value."""
    near = get_close_matches(value, names, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    listed = sorted(names)
    text = ", ".join(listed[:MAX_LISTED_NAMES]) or "nothing"
    rest = (
        f" and {len(listed) - MAX_LISTED_NAMES} more"
        if len(listed) > MAX_LISTED_NAMES
        else ""
    )
    return f"one of {text}{rest}{hint}"


def duplicate_ids(items: list, path: str, file: str) -> list[Problem]:
    """Return one problem for each item with the same identity as an earlier one."""
    seen = set()
    problems = []
    for index, item in enumerate(items):
        identity = _identity(item)
        if identity is None:
            continue
        if identity in seen:
            problems.append(_duplicate(file, f"{path}[{index}]", identity))
        seen.add(identity)
    return problems


def _duplicate(file: str, path: str, identity: tuple) -> Problem:
    text = " ".join(identity)
    expected = "an id that is unique in its list"
    return Problem(file, path, repr(text), expected, ResultCode.SETTING_DUPLICATE)


def _identity(item: Any) -> tuple[str, ...] | None:
    """Return the values that identify an item: its id, VM, or method and path."""
    if isinstance(item, str):
        return (item,)
    if not isinstance(item, dict):
        return None
    for names in (("id",), ("vm",), ("method", "path")):
        values = tuple(item.get(name) for name in names)
        if all(isinstance(value, str) for value in values):
            return values
    return None
