"""Problems found in settings files, with their position and the expected value."""

from dataclasses import dataclass
from typing import Any

from knapweedhinge.core.codes import ResultCode

HIDDEN = "(hidden)"  # shown in place of a secret
MAX_VALUE_CHARS = 60  # longest value shown in a problem


@dataclass(frozen=True)
class Problem:
    """One invalid setting.

    ``path`` is the position in the file, for example ``classes[0].versions``; it is
    empty if the problem concerns the whole file. ``value`` is the invalid value as
    text, cut to ``MAX_VALUE_CHARS``, and never contains a secret. ``expected``
    describes the valid values.
    """

    file: str
    path: str
    value: str
    expected: str
    code: ResultCode

    def __str__(self) -> str:
        """Return the problem on one line."""
        place = f"{self.file or '(no file)'}: {self.path or '(whole file)'}"
        found = f", found {self.value}" if self.value else ""
        code = f"{self.code.number} {self.code.name}"
        return f"{place}: expected {self.expected}{found} [{code}]"


def describe(value: Any) -> str:
    """Return a value as short text; of objects and lists only the kind is shown."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list | tuple):
        return f"a list of {len(value)}"
    if value is None:
        return "null"
    if isinstance(value, bool):
        return str(value).lower()
    text = repr(value)
    if len(text) > MAX_VALUE_CHARS:
        return text[: MAX_VALUE_CHARS - 3] + "..."
    return text
