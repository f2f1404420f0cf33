"""Differences between two versions of settings, with secrets masked."""

import json
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from knapweedhinge.conf.problems import HIDDEN, describe

# Fields that hold digests of keys; values are never shown.
SECRETS = frozenset({"key_sha256", "operator_key_sha256"})
# Fields that identify an item of a list, the first set that the item has.
IDENTITIES = (("id",), ("host", "prefix"), ("method", "path"), ("name",), ("service",))


class Kind(StrEnum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"
    MOVED = "moved"  # the same entries of a list in another order


@dataclass(frozen=True)
class Difference:
    """One entry that differs from the version in force.

    ``path`` names items of lists by what identifies them, for example
    ``classes[design-draft].deadline_s``, since positions differ between versions.
    ``old`` and ``new`` are JSON texts, empty where there is no value to show.
    """

    kind: Kind
    path: str
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        """Return the difference on one line."""
        values = f": {self.old} -> {self.new}" if self.old or self.new else ""
        return f"{self.kind} {self.path}{values}"


def differences(
    old: Any, new: Any, secrets: Collection[str] = SECRETS, path: str = ""
) -> Iterator[Difference]:
    """Yield what differs between two settings of plain JSON types.

    Values of fields with one of the names in ``secrets`` are not shown.
    """
    if old == new:
        return
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in sorted({*old, *new}, key=[*new, *old].index):
            inner = f"{path}.{name}" if path else name
            before, after = old.get(name), new.get(name)
            if name not in secrets:
                yield from differences(before, after, secrets, inner)
            elif before != after:
                yield Difference(Kind.CHANGED, inner, HIDDEN, HIDDEN)
    elif _is_list(old) and _is_list(new) and (_has_objects(old) or _has_objects(new)):
        yield from _item_differences(old, new, secrets, path)
    else:
        yield Difference(Kind.CHANGED, path, _shown(old), _shown(new))


def identified(items: Iterable[Any]) -> dict[str, Any]:
    """Return the items of a list by what identifies each.

    The second item with an identity gets ``#2`` after it, and so on.
    """
    seen: Counter = Counter()
    found = {}
    for item in items:
        name = _identity(item)
        seen[name] += 1
        found[name if seen[name] == 1 else f"{name}#{seen[name]}"] = item
    return found


def _item_differences(
    before: list, after: list, secrets: Collection[str], path: str
) -> Iterator[Difference]:
    old, new = identified(before), identified(after)
    for name in old:
        if name not in new:
            yield Difference(Kind.REMOVED, f"{path}[{name}]")
    for name, item in new.items():
        if name not in old:
            yield Difference(Kind.ADDED, f"{path}[{name}]")
        else:
            yield from differences(old[name], item, secrets, f"{path}[{name}]")
    if [name for name in old if name in new] != [name for name in new if name in old]:
        yield Difference(Kind.MOVED, path)


def _identity(item: Any) -> str:
    """Return what identifies an object, whether a settings object or plain JSON."""
    for names in IDENTITIES:
        values = [
            item.get(name) if isinstance(item, Mapping) else getattr(item, name, None)
            for name in names
        ]
        if None not in values:
            return " ".join(map(str, values))
    return ""


def _is_list(value: Any) -> bool:
    return isinstance(value, list | tuple)


def _has_objects(value: Any) -> bool:
    return _is_list(value) and any(isinstance(item, Mapping) for item in value)


def _shown(value: Any) -> str:
    """Return a value as JSON; of objects, which may hold secrets, only the kind."""
    if isinstance(value, Mapping) or _has_objects(value):
        return describe(value)
    return json.dumps(value)
