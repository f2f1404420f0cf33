"""Choose the endpoint of one request by expected delay.

Only a bounded random sample of endpoints is compared, so that the cost of a choice does
not grow with the number of endpoints.
"""

from random import Random
from statistics import fmean

from knapweedhinge.routing.choice import (
    ChoiceReason,
    ChoiceRequest,
    EndpointCandidate,
    EndpointChoice,
    NoEndpoint,
    ServiceRequest,
)
from knapweedhinge.routing.draw import SAMPLE_SIZE, Draw
from knapweedhinge.routing.eligibility import BalanceView, exclusion, needs_permit
from knapweedhinge.routing.load import (
    EndpointView,
    expected_wait_s,
    prefill_s,
    split_load,
)

__all__ = [
    "BalanceView",
    "choose_endpoint",
    "choose_service_endpoint",
    "distance_s",
    "exclusion",
]

# Round-trip times, in seconds, from a node to another failure domain of its region and
# to another region.
SAME_REGION_S = 0.003
OTHER_REGION_S = 0.15


def choose_endpoint(
    req: ChoiceRequest, view: BalanceView, now: float, rng: Random
) -> EndpointChoice | NoEndpoint:
    """Choose the endpoint of least expected delay among a bounded random sample.

    Endpoints that cache the longest prefix of the prompt are added to the sample, so
    that they are found however many endpoints there are.
    """
    draw = Draw(req, view, rng)
    draw.add_holders()
    draw.add_sample(view.endpoints.by_version.get(req.version, ()))
    if not draw.usable:
        return draw.no_endpoint()
    loads = _current_loads(draw.usable, view, now)
    candidates = tuple(
        _candidate(endpoint, load, req, view, now)
        for endpoint, load in zip(draw.usable, loads, strict=True)
    )
    return _choice(candidates, draw, view)


def choose_service_endpoint(
    req: ServiceRequest, view: BalanceView, now: float, rng: Random
) -> EndpointChoice | NoEndpoint:
    """Choose the endpoint of a plain service with the least expected delay."""
    draw = Draw(req, view, rng)
    draw.add_sample(view.endpoints.by_service.get(req.service, ()))
    if not draw.usable:
        return draw.no_endpoint()
    loads = _current_loads(draw.usable, view, now)
    candidates = tuple(
        _service_candidate(endpoint, load, req, now)
        for endpoint, load in zip(draw.usable, loads, strict=True)
    )
    return _choice(candidates, draw, view)


def distance_s(endpoint: EndpointView, failure_domain: str, region: str) -> float:
    """Return the expected round trip from a node to an endpoint, in seconds."""
    if endpoint.failure_domain == failure_domain:
        return 0.0
    return SAME_REGION_S if endpoint.region == region else OTHER_REGION_S


def _current_loads(
    endpoints: list[EndpointView], view: BalanceView, now: float
) -> list[float]:
    parts = [split_load(endpoint, view.ledger, now) for endpoint in endpoints]
    mean_others = fmean(part.others for part in parts)
    return [part.current_load(mean_others) for part in parts]


def _candidate(
    endpoint: EndpointView,
    load: float,
    req: ChoiceRequest,
    view: BalanceView,
    now: float,
) -> EndpointCandidate:
    report = endpoint.report
    cached = view.prefixes.cached_tokens(endpoint.id, req.prompt_blocks)
    cached = min(cached, req.prompt_tokens)
    return EndpointCandidate(
        endpoint_id=endpoint.id,
        load=load,
        cached_tokens=cached,
        report_age_s=now - report.reported_at,
        wait_s=expected_wait_s(report, load, req.output_tokens),
        prefill_s=prefill_s(report, req.prompt_tokens - cached),
        distance_s=distance_s(endpoint, req.failure_domain, req.region),
    )


def _service_candidate(
    endpoint: EndpointView, load: float, req: ServiceRequest, now: float
) -> EndpointCandidate:
    report = endpoint.report
    return EndpointCandidate(
        endpoint_id=endpoint.id,
        load=load,
        cached_tokens=0,
        report_age_s=now - report.reported_at,
        wait_s=expected_wait_s(report, load, report.mean_output_tokens),
        prefill_s=0.0,
        distance_s=distance_s(endpoint, req.failure_domain, req.region),
    )


def _choice(
    candidates: tuple[EndpointCandidate, ...], draw: Draw, view: BalanceView
) -> EndpointChoice:
    best = min(candidates, key=lambda candidate: candidate.cost_s)
    endpoint = view.endpoints.by_id[best.endpoint_id]
    reason = ChoiceReason.LEAST_COST
    if len(candidates) == 1:
        reason = ChoiceReason.ONLY_ONE
    elif best.cached_tokens > 0:
        reason = ChoiceReason.PREFIX
    return EndpointChoice(
        endpoint=endpoint,
        reason=reason,
        chosen=best,
        candidates=candidates,
        needs_permit=needs_permit(endpoint, view),
        cold=tuple(draw.cold[:SAMPLE_SIZE]),
    )
