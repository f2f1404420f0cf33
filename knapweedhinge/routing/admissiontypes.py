"""Value types of admission: settings, requests, capacity and results."""

from dataclasses import dataclass

from knapweedhinge.core.codes import ResultCode

# Queued requests of one organisation, and of all.
MAX_QUEUED_PER_ORGANISATION = 256
MAX_QUEUED = 4096


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """The bounds of queued requests, in all and for one organisation."""

    max_queued: int = MAX_QUEUED
    max_queued_per_organisation: int = MAX_QUEUED_PER_ORGANISATION


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request to admit.

    ``weight`` is that of its organisation. ``cost_tokens`` estimates prompt and output
    tokens together, ``run_s`` the seconds from admission to the end of the answer.
    ``deadline`` is in seconds on the clock that admission is given as ``now``.
    ``priority``, from 0 to 9, orders the requests of one organisation; higher ones run
    first.
    """

    id: str
    organisation: str
    weight: float
    cost_tokens: float
    run_s: float
    deadline: float
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity for running requests, and the rate at which it becomes free.

    The total and the free capacity are in tokens, like the cost of a request. The rate
    is in tokens per second.
    """

    total_tokens: float
    free_tokens: float
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class Admit:
    """The request may run now."""

    request: AdmissionRequest


@dataclass(frozen=True, slots=True)
class Wait:
    """The request is queued, and is expected to start in ``expected_wait_s`` seconds.

    ``position`` is the number of requests of its organisation that were queued before
    it, whatever their priority.
    """

    position: int
    expected_wait_s: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not run; the client may retry after ``retry_after_s`` seconds."""

    request: AdmissionRequest
    code: ResultCode
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Drained:
    """Queued requests that may run now, and those that can't meet their deadlines."""

    admitted: tuple[Admit, ...]
    refused: tuple[Refuse, ...]
