"""Value types of endpoint choice: requests, candidates and results."""

from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.load import EndpointView


class EndpointExclusion(StrEnum):
    """Why an endpoint may not take a request.

    ``DOMAIN_OUT``: its failure domain is out of service. ``ISOLATED``: a request has to
    run there alone, or this one has to run alone and the endpoint is busy. ``TRIED``:
    an earlier attempt went there. ``COLD``: it needs a permit that the node does not
    have. ``AT_WARM_LIMIT``: it is ramping up and already has as many requests as it is
    known to handle.
    """

    DEAD = "dead"
    LEAVING = "leaving"
    DOMAIN_OUT = "failure-domain-out"
    ISOLATED = "isolated"
    TRIED = "tried"
    COLD = "cold"
    AT_WARM_LIMIT = "at-warm-limit"


class ChoiceReason(StrEnum):
    """Why an endpoint was chosen among the candidates.

    ``PREFIX``: it costs least, and caches a part of the prompt. ``LEAST_COST``: it
    costs least. ``ONLY_ONE``: there was no other candidate.
    """

    PREFIX = "prefix"
    LEAST_COST = "least-cost"
    ONLY_ONE = "only-one"


@dataclass(frozen=True, slots=True)
class ChoiceRequest:
    """The properties of a model request that endpoint choice depends on.

    ``failure_domain`` and ``region`` are those of the routing node. ``prompt_blocks``
    are chained hashes of the prompt's blocks. ``output_tokens`` is the expected length
    of the answer. ``tried`` holds the endpoints of earlier attempts, ``permits`` the
    cold endpoints for which the node has an unused permit.
    """

    version: str
    failure_domain: str
    region: str
    prompt_blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 200
    tried: frozenset[str] = frozenset()
    permits: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """The properties of a call to a plain service that endpoint choice depends on.

    A plain service is an HTTP service that is not a model engine. The other fields have
    the same meaning as those of ``ChoiceRequest``.
    """

    service: str
    failure_domain: str
    region: str
    tried: frozenset[str] = frozenset()
    permits: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class EndpointCandidate:
    """One endpoint with the delay a request is expected to have there, by cause.

    ``load`` is the estimated number of requests at the endpoint; ``report_age_s`` is
    the age of the load report that the estimate is based on. The cost is the sum of
    the waiting time, the prefill of uncached tokens and the network round trip.
    """

    endpoint_id: str
    load: float
    cached_tokens: int
    report_age_s: float
    wait_s: float
    prefill_s: float
    distance_s: float

    @property
    def cost_s(self) -> float:
        """Return the expected delay from all causes, in seconds."""
        return self.wait_s + self.prefill_s + self.distance_s


@dataclass(frozen=True, slots=True)
class ExclusionCount:
    """The number of endpoints that one rule excluded."""

    exclusion: EndpointExclusion
    count: int


@dataclass(frozen=True, slots=True)
class EndpointChoice:
    """The endpoint to send a request to, and the candidates it was compared with.

    ``needs_permit`` tells that sending uses up a permit. ``cold`` lists endpoints that
    were skipped for lack of a permit: asking for one now allows a later request to
    warm them up.
    """

    endpoint: EndpointView
    reason: ChoiceReason
    chosen: EndpointCandidate
    candidates: tuple[EndpointCandidate, ...]
    needs_permit: bool
    cold: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint may take the request.

    ``cold`` lists endpoints that could take it with a permit.
    """

    exclusions: tuple[ExclusionCount, ...]
    cold: tuple[str, ...]
    code: ResultCode = ResultCode.NO_ENDPOINT
