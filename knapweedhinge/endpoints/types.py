"""Types of the calls to endpoints, their answers and status reports."""

from dataclasses import dataclass

from knapweedhinge.routing.load import LoadReport


@dataclass(frozen=True)
class EndpointStatus:
    """An endpoint's status report.

    ``incarnation`` changes when the process restarts; ``cold`` says that the endpoint
    is still warming up.
    """

    endpoint_id: str
    incarnation: str
    versions: frozenset[str]
    cold: bool
    report: LoadReport


@dataclass(frozen=True)
class Usage:
    """The token counts of one answer, and the engine's reason for its end."""

    input_tokens: int = 0
    output_tokens: int = 0
    finish_reason: str = ""


@dataclass(frozen=True)
class EngineCall:
    """One attempt of a chat request at an engine.

    ``body`` is the JSON request, ``timeout_s`` the time left in seconds. ``priority``
    is that of the class of work, 0 to 9; higher goes first.
    ``first_position`` is the position of the first event, 1 unless the call continues
    a broken stream.
    """

    attempt_id: str
    version: str
    body: bytes
    priority: int
    timeout_s: float
    first_position: int = 1


@dataclass(frozen=True)
class PlainCall:
    """One attempt of a call to a plain service; ``timeout_s`` is in seconds."""

    attempt_id: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    timeout_s: float
    idempotency_key: str = ""


@dataclass(frozen=True)
class PlainAnswer:
    """A complete answer of a plain service, or to a chat request without a stream."""

    status: int
    content_type: str
    body: bytes
    usage: Usage = Usage()
    endpoint_id: str = ""
