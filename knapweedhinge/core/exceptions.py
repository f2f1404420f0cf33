"""The exception hierarchy; each exception carries a numbered result code."""

from knapweedhinge.core.codes import ResultCode, RunState


class KnapweedhingeError(Exception):
    """Base class of all errors that this project raises itself.

    ``run_state`` tells whether the request may have run. ``retry_after_s`` is the wait
    in seconds to suggest to the caller, None to suggest none.
    """

    default_code = ResultCode.INTERNAL_ERROR

    def __init__(
        self,
        message: str = "",
        *,
        code: ResultCode | None = None,
        run_state: RunState | None = None,
        retry_after_s: float | None = None,
    ):
        self.code = code or self.default_code
        self.message = message or self.code.value.meaning
        self.run_state = run_state or self.code.value.run_state
        self.retry_after_s = retry_after_s
        super().__init__(f"{self.code.number} {self.code.name}: {self.message}")


class CallerError(KnapweedhingeError):
    """The caller's request is invalid and was not run."""

    default_code = ResultCode.INVALID_FIELD


class RefusedError(KnapweedhingeError):
    """The request was refused and certainly not run."""

    default_code = ResultCode.OVERLOADED


class OutcomeUnknownError(KnapweedhingeError):
    """The request may have run; repeating it could run it a second time."""

    default_code = ResultCode.OUTCOME_UNKNOWN


class EndpointError(KnapweedhingeError):
    """An endpoint failed, refused the request or sent an invalid answer."""

    default_code = ResultCode.ENDPOINT_FAILED

    def __init__(self, message: str = "", *, endpoint_id: str = "", **kwargs):
        self.endpoint_id = endpoint_id
        super().__init__(message, **kwargs)


class PlatformError(KnapweedhingeError):
    """A service of the platform failed."""

    default_code = ResultCode.PLATFORM_UNAVAILABLE


class PlatformUnavailableError(PlatformError):
    """The platform was not reached or refused the call; it certainly did not run it."""


class RowConflictError(PlatformError):
    """The condition of a write failed.

    The row already exists, is absent or has another version than expected.
    """

    default_code = ResultCode.ROW_CONFLICT


class WriteUnsettledError(PlatformError):
    """A write's answer was lost, and reading the row back didn't show its outcome."""

    default_code = ResultCode.WRITE_UNSETTLED


class PeerError(KnapweedhingeError):
    """A peer can't be reached or sent an invalid message."""

    default_code = ResultCode.PEER_UNAVAILABLE


class SettingsError(KnapweedhingeError):
    """A setting is invalid."""

    default_code = ResultCode.SETTING_RANGE


class ImproperlyConfiguredError(SettingsError):
    """One or more settings are invalid; ``problems`` lists them all."""

    def __init__(self, problems):
        self.problems = tuple(problems)
        lines = "\n".join(str(problem) for problem in self.problems)
        code = self.problems[0].code if self.problems else ResultCode.SETTING_RANGE
        super().__init__(f"{len(self.problems)} problem(s)\n{lines}", code=code)
