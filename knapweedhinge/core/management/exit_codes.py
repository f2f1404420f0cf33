"""Exit codes of the command line; each class of result codes has its own."""

from enum import IntEnum

from knapweedhinge.core.codes import CodeClass


class ExitCode(IntEnum):
    """Exit code of a command, for use in shell scripts."""

    SUCCESS = 0
    UNEXPECTED = 1  # set by the interpreter after an uncaught exception
    USAGE = 2  # set by argparse
    CALLER = 11
    REFUSED = 12
    OUTCOME_UNKNOWN = 13
    ENDPOINT = 14
    PLATFORM = 15
    PEER = 16
    SETTINGS = 17
    INTERRUPTED = 130
    BROKEN_PIPE = 141


MEANINGS = {
    ExitCode.SUCCESS: "The command did what was asked.",
    ExitCode.UNEXPECTED: "The command itself failed; please report it.",
    ExitCode.USAGE: "An argument is missing or wrong.",
    ExitCode.CALLER: "The request was wrong, for example an outdated revision (1xxx).",
    ExitCode.REFUSED: "The request was refused and not run (2xxx).",
    ExitCode.OUTCOME_UNKNOWN: (
        "The request may have taken effect; check before you repeat it (3xxx)."
    ),
    ExitCode.ENDPOINT: "An endpoint failed (4xxx).",
    ExitCode.PLATFORM: "A service of the platform failed (5xxx).",
    ExitCode.PEER: "No node could be reached, or a peer failed (6xxx).",
    ExitCode.SETTINGS: "A settings file is wrong, or a check found an error (7xxx).",
    ExitCode.INTERRUPTED: "The command was interrupted (SIGINT).",
    ExitCode.BROKEN_PIPE: "The reader of the output closed it (SIGPIPE).",
}

_EXIT_CODES = {
    CodeClass.SUCCESS: ExitCode.SUCCESS,
    CodeClass.CALLER: ExitCode.CALLER,
    CodeClass.REFUSED: ExitCode.REFUSED,
    CodeClass.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    CodeClass.ENDPOINT: ExitCode.ENDPOINT,
    CodeClass.PLATFORM: ExitCode.PLATFORM,
    CodeClass.PEER: ExitCode.PEER,
    CodeClass.SETTINGS: ExitCode.SETTINGS,
}


def exit_code(code_class: CodeClass) -> ExitCode:
    """Return the exit code for a class of result codes."""
    return _EXIT_CODES[code_class]
