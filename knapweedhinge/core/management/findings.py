"""Conversion of system check findings to errors and to JSON."""

from collections.abc import Iterable

from knapweedhinge.conf import Problem
from knapweedhinge.core.checks import CheckMessage, Level
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import ImproperlyConfiguredError


def raise_errors(file: str, found: Iterable[CheckMessage]) -> None:
    """Raise ``ImproperlyConfiguredError`` if any finding is an error.

    ``file`` is the settings file that the problems are reported for. A finding's
    message becomes the ``value`` of its problem, and its hint becomes ``expected``.
    """
    problems = [
        Problem(
            file, finding.path, finding.message, finding.hint, ResultCode.SETTING_RANGE
        )
        for finding in found
        if finding.level >= Level.ERROR
    ]
    if problems:
        raise ImproperlyConfiguredError(problems)


def finding_mapping(finding: CheckMessage) -> dict[str, str]:
    """Return a finding as JSON types."""
    return {
        "id": finding.id,
        "level": finding.level.name.lower(),
        "path": finding.path,
        "message": finding.message,
        "hint": finding.hint,
    }
