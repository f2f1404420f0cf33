"""Code shared by all packages: errors, result codes, logs, checks and commands."""

from knapweedhinge.core.codes import CodeClass, ResultCode, RunState
from knapweedhinge.core.exceptions import KnapweedhingeError

__all__ = ["CodeClass", "KnapweedhingeError", "ResultCode", "RunState"]
