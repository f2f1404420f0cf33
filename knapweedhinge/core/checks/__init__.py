"""System checks: find problems that show only when settings are seen together."""

from knapweedhinge.core.checks import (  # noqa: F401
    catalog,
    catalog_differences,
    classes,
    configuration,
    deployment,
    differences,
    node,
    roll_outs,
    services,
)
from knapweedhinge.core.checks.messages import CheckMessage, Level, Subject, Tag
from knapweedhinge.core.checks.registry import has_errors, register, run_checks

__all__ = [
    "CheckMessage",
    "Level",
    "Subject",
    "Tag",
    "has_errors",
    "register",
    "run_checks",
]
