"""Errors of the command line, and their output as text and as JSON."""

from typing import Any

from knapweedhinge.core.codes import CodeClass, ResultCode, RunState
from knapweedhinge.core.exceptions import (
    ImproperlyConfiguredError,
    KnapweedhingeError,
    PeerError,
)
from knapweedhinge.core.management.exit_codes import ExitCode, exit_code

CODES_PER_CLASS = 1_000  # the thousands digit of a code is its class


class CommandError(KnapweedhingeError):
    """A command can't be run as requested, or a node's answer can't be used."""

    default_code = ResultCode.INVALID_FIELD


class NodeUnreachableError(PeerError):
    """No node was reached, or the answer to a read was lost; nothing was changed."""

    def __init__(self, message: str):
        super().__init__(message, run_state=RunState.NOT_RUN)


class NodeAnswerError(KnapweedhingeError):
    """A node answered with an error, whose number and name are kept.

    The number may be one that this version has no ``ResultCode`` for.
    """

    def __init__(self, number: int, name: str, message: str, run_state: RunState):
        super().__init__(message, code=_result_code_of(number), run_state=run_state)
        self.number = number
        self.name = name


class NodeRefusedError(NodeAnswerError):
    """A node refused the call without running it, so another node may be tried."""


def node_error(
    number: int, name: str, message: str, run_state: RunState
) -> NodeAnswerError:
    """Return the exception for an error that a node answered.

    It is a ``NodeRefusedError`` if the call was refused and not run.
    """
    refused = (
        code_class_of(number) is CodeClass.REFUSED and run_state is RunState.NOT_RUN
    )
    cls = NodeRefusedError if refused else NodeAnswerError
    return cls(number, name, message, run_state)


def exit_code_of(exc: KnapweedhingeError) -> ExitCode:
    """Return the exit code of an error."""
    if isinstance(exc, NodeAnswerError):
        return exit_code(code_class_of(exc.number))
    return exit_code(exc.code.code_class)


def error_mapping(exc: KnapweedhingeError) -> dict[str, Any]:
    """Return an error as JSON types, in the format of error answers of nodes."""
    number, name = _number_and_name(exc)
    body = {
        "code": number,
        "name": name,
        "message": exc.message,
        "run_state": str(exc.run_state),
    }
    if isinstance(exc, ImproperlyConfiguredError):
        body["problems"] = [problem_mapping(problem) for problem in exc.problems]
    return {"error": body}


def error_text(exc: KnapweedhingeError) -> str:
    """Return an error as text, with one line for each problem of settings."""
    if isinstance(exc, ImproperlyConfiguredError):
        return "\n".join(f"error: {problem}" for problem in exc.problems)
    number, name = _number_and_name(exc)
    return f"error: {number} {name}: {exc.message} [{exc.run_state}]"


def problem_mapping(problem: Any) -> dict[str, Any]:
    """Return a problem of a settings file as JSON types."""
    return {
        "file": problem.file,
        "path": problem.path,
        "value": problem.value,
        "expected": problem.expected,
        "code": problem.code.number,
    }


def _number_and_name(exc: KnapweedhingeError) -> tuple[int, str]:
    if isinstance(exc, NodeAnswerError):
        return exc.number, exc.name
    return exc.code.number, exc.code.name


def _result_code_of(number: int) -> ResultCode:
    """Return the code of this number.

    A newer node may send a number that is unknown here: ``OUTCOME_UNKNOWN`` then.
    """
    known = {code.number: code for code in ResultCode}
    return known.get(number, ResultCode.OUTCOME_UNKNOWN)


def code_class_of(number: int) -> CodeClass:
    """Return the class of a code number, known or not, by its thousands digit.

    An unknown class counts as ``OUTCOME_UNKNOWN``.
    """
    try:
        return CodeClass(number // CODES_PER_CLASS)
    except ValueError:
        return CodeClass.OUTCOME_UNKNOWN
