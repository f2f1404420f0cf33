"""Numbered result codes, shared by HTTP answers, logs, metrics and exit codes."""

from dataclasses import dataclass
from enum import Enum, StrEnum


class RunState(StrEnum):
    """Whether a request ran, as far as the node can prove."""

    NOT_RUN = "not-run"
    RUNNING = "running"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class CodeClass(Enum):
    """Group result codes by what a caller may do; the value is the thousands digit."""

    SUCCESS = 0
    CALLER = 1
    REFUSED = 2
    OUTCOME_UNKNOWN = 3
    ENDPOINT = 4
    PLATFORM = 5
    PEER = 6
    SETTINGS = 7


@dataclass(frozen=True)
class CodeSpec:
    """Describe one result code.

    ``status`` is the HTTP status and ``run_state`` the usual run state, which an
    exception may override. ``meaning`` is the default error message.
    """

    number: int
    status: int
    run_state: RunState
    meaning: str


_N = RunState.NOT_RUN
_C = RunState.COMPLETED
_U = RunState.UNKNOWN
_R = RunState.RUNNING


class ResultCode(Enum):
    """List every result code; ``docs/ref/result-codes.md`` is generated from it."""

    OK = CodeSpec(0, 200, _C, "The request was answered completely.")

    MALFORMED_JSON = CodeSpec(1001, 400, _N, "The body is not valid JSON.")
    INVALID_FIELD = CodeSpec(1002, 400, _N, "A field of the body has a wrong value.")
    BODY_TOO_LARGE = CodeSpec(1003, 413, _N, "The body exceeds the size limit.")
    INVALID_HEADER = CodeSpec(1004, 400, _N, "A request header has a wrong value.")
    AUTHENTICATION_FAILED = CodeSpec(
        1005, 401, _N, "The bearer key is missing or names no organisation."
    )
    CLASS_UNKNOWN = CodeSpec(
        1006, 404, _N, "The model names no class or version of this organisation."
    )
    VERSION_NOT_ALLOWED = CodeSpec(
        1007, 403, _N, "The organisation does not allow the requested version."
    )
    SERVICE_UNKNOWN = CodeSpec(1008, 404, _N, "No such plain service.")
    ROUTE_UNKNOWN = CodeSpec(1009, 404, _N, "The service has no such route.")
    IDEMPOTENCY_KEY_REQUIRED = CodeSpec(
        1010, 400, _N, "The route may not be repeated and needs an Idempotency-Key."
    )
    IDEMPOTENCY_KEY_REUSED = CodeSpec(
        1011, 422, _N, "The Idempotency-Key was used with another request."
    )
    BODY_TIMEOUT = CodeSpec(1012, 408, _N, "The body did not arrive in time.")
    SESSION_TOKEN_INVALID = CodeSpec(
        1013, 400, _N, "The session token was not issued here or was altered."
    )
    REQUEST_UNKNOWN = CodeSpec(1014, 404, _U, "No request with this id is known.")
    OPERATOR_REQUIRED = CodeSpec(1015, 403, _N, "The call needs an operator key.")
    REVISION_CONFLICT = CodeSpec(
        1016, 412, _N, "The configuration changed since the named revision."
    )
    CHANGE_INVALID = CodeSpec(
        1017, 422, _N, "The change violates a rule of the settings."
    )
    PROPOSAL_UNKNOWN = CodeSpec(1018, 404, _N, "No such proposal.")
    BALLOT_REFUSED = CodeSpec(1019, 409, _N, "The ballot can't be counted.")
    RESUME_TOKEN_INVALID = CodeSpec(
        1020, 400, _N, "The Last-Event-ID was not issued here or was altered."
    )
    PATH_UNKNOWN = CodeSpec(1021, 404, _N, "No such path.")
    METHOD_NOT_ALLOWED = CodeSpec(1022, 405, _N, "The path has no such method.")
    REVISION_REQUIRED = CodeSpec(1023, 428, _N, "The change needs an If-Match header.")
    VOTE_REQUIRED = CodeSpec(
        1024, 403, _N, "The change sets a limit and takes effect by vote; propose it."
    )
    MODEL_UNKNOWN = CodeSpec(1025, 421, _N, "The route has no such model.")

    OVERLOADED = CodeSpec(2001, 503, _N, "Admission refused the request early.")
    NO_ENDPOINT = CodeSpec(2002, 503, _N, "No endpoint may take the request now.")
    DEADLINE_UNMEETABLE = CodeSpec(2003, 503, _N, "The deadline can no longer be met.")
    LEAVING = CodeSpec(2004, 503, _N, "The node is shutting down.")
    NOT_READY = CodeSpec(2005, 503, _N, "The node has no configuration yet.")
    CONFIGURATION_STALE = CodeSpec(
        2006, 503, _N, "The node can't confirm that its configuration is current."
    )
    QUARANTINED = CodeSpec(
        2007, 422, _N, "Requests like this one crashed endpoints repeatedly."
    )
    RETRY_BUDGET_EXHAUSTED = CodeSpec(
        2008, 503, _N, "The share of traffic for retries is used up."
    )
    CLAIM_UNAVAILABLE = CodeSpec(
        2009, 503, _N, "The claim could not be written, so the call was not made."
    )
    VERSION_WITHDRAWN = CodeSpec(2010, 409, _N, "The requested version is withdrawn.")
    NO_PLAN = CodeSpec(
        2011, 503, _N, "No allowed version meets the targets of the class."
    )
    SERVICE_NOT_ALLOWED = CodeSpec(
        2012, 403, _N, "The organisation may not use this service."
    )
    COST_LIMIT = CodeSpec(2013, 429, _N, "The voted cost limit is reached.")
    SHARE_USED_UP = CodeSpec(
        2014, 503, _N, "Room is short and the organisation's share of it is used up."
    )
    PROMPT_TOO_LARGE = CodeSpec(
        2015, 503, _N, "The prompt is longer than the memory of any engine."
    )
    NO_ROOM = CodeSpec(2016, 503, _N, "No engine has room for the request now.")

    OUTCOME_UNKNOWN = CodeSpec(
        3001, 502, _U, "The call may have run; it will not be repeated."
    )
    STREAM_BROKEN = CodeSpec(3002, 502, _U, "The stream ended before its end marker.")
    IN_PROGRESS = CodeSpec(3003, 409, _R, "A request with this key is running.")
    ANSWER_NOT_KEPT = CodeSpec(
        3004, 410, _C, "The request completed; its answer was too long to be kept."
    )
    INTERNAL_ERROR = CodeSpec(
        3900, 500, _U, "The node failed while handling the request."
    )

    ENDPOINT_FAILED = CodeSpec(4001, 502, _U, "Each endpoint tried failed.")
    ENDPOINT_TIMEOUT = CodeSpec(4002, 504, _U, "The endpoint did not answer in time.")
    ANSWER_TRUNCATED = CodeSpec(4003, 502, _U, "The answer ended early.")
    ANSWER_EMPTY = CodeSpec(
        4004, 502, _U, "The answer is empty, which the route does not allow."
    )
    ANSWER_CROSSED = CodeSpec(4005, 502, _U, "The answer names another request.")
    ENDPOINT_REFUSED = CodeSpec(4006, 503, _N, "The endpoint refused the request.")
    ORDER_FENCED = CodeSpec(
        4007, 409, _N, "The order carries an outdated fencing token."
    )

    PLATFORM_UNAVAILABLE = CodeSpec(5001, 503, _N, "The platform is unavailable.")
    PLATFORM_TIMEOUT = CodeSpec(5002, 504, _U, "The platform did not answer in time.")
    ROW_CONFLICT = CodeSpec(5003, 409, _N, "The row's condition did not hold.")
    WRITE_UNSETTLED = CodeSpec(
        5004, 504, _U, "A write's answer was lost and could not be settled."
    )
    PLATFORM_RATE_LIMITED = CodeSpec(5005, 429, _N, "The platform limits the rate.")
    PLATFORM_PROTOCOL = CodeSpec(5006, 502, _U, "The platform's answer is malformed.")
    OBJECT_EXISTS = CodeSpec(5007, 409, _N, "An object of this name holds other bytes.")

    PEER_UNAVAILABLE = CodeSpec(6001, 503, _U, "The peer can't be reached.")
    PEER_AUTHENTICATION_FAILED = CodeSpec(6002, 403, _N, "The peer's key is wrong.")
    PEER_MALFORMED = CodeSpec(6003, 400, _N, "The peer's message is malformed.")
    PEER_VERSION = CodeSpec(
        6004, 400, _N, "The peer supports no common protocol version."
    )

    SETTINGS_UNREADABLE = CodeSpec(7001, 500, _N, "The settings file can't be read.")
    SETTINGS_SYNTAX = CodeSpec(7002, 500, _N, "The settings file is not valid JSON5.")
    SETTING_UNKNOWN = CodeSpec(7003, 500, _N, "The settings hold an unknown key.")
    SETTING_TYPE = CodeSpec(7004, 500, _N, "A setting has the wrong type.")
    SETTING_RANGE = CodeSpec(7005, 500, _N, "A setting is out of its range.")
    SETTING_MISSING = CodeSpec(7006, 500, _N, "A required setting is missing.")
    SETTING_DUPLICATE = CodeSpec(7007, 500, _N, "An id is used more than once.")
    SETTING_REFERENCE = CodeSpec(7008, 500, _N, "A setting names an unknown id.")

    @property
    def number(self) -> int:
        """Return the number by which callers and logs name the code."""
        return self.value.number

    @property
    def code_class(self) -> CodeClass:
        """Return the class, which says what a caller may do."""
        return CodeClass(self.number // 1000)
