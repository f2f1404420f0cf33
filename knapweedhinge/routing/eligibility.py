"""Decide whether an endpoint may receive a request, before any cost is compared."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from knapweedhinge.routing.choice import EndpointExclusion
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import (
    EndpointState,
    EndpointView,
    LocalLedger,
    WarmState,
    corrected_load,
)
from knapweedhinge.routing.prefix import PrefixIndex


@dataclass(frozen=True, slots=True)
class BalanceView:
    """The state of the fleet that endpoint choice depends on.

    ``ledger`` counts this node's own requests at the endpoints. ``prefixes`` tells
    which endpoints are expected to cache a prompt. ``domains_out`` are the failure
    domains that are out of service. ``domain_shares`` holds the share of its usual work
    that a returning failure domain receives; one without an entry receives all.
    ``isolated`` endpoints receive no request: they run one that may have crashed other
    endpoints, or they are busy and the request has to run alone. ``unconfirmed``
    endpoints count as cold, since no node has confirmed for ``PermitSettings.news_s``
    that they are warm.
    """

    endpoints: EndpointIndex
    ledger: LocalLedger = field(default_factory=LocalLedger)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    domains_out: frozenset[str] = frozenset()
    domain_shares: Mapping[str, float] = field(default_factory=dict)
    isolated: frozenset[str] = frozenset()
    unconfirmed: frozenset[str] = frozenset()


def exclusion(
    endpoint: EndpointView,
    view: BalanceView,
    tried: frozenset[str] = frozenset(),
    permits: frozenset[str] = frozenset(),
) -> EndpointExclusion | None:
    """Return why an endpoint may not receive a request, or None if it may.

    ``tried`` are the endpoints of earlier attempts, ``permits`` the cold endpoints for
    which the node has an unused permit.
    """
    if endpoint.state is EndpointState.DEAD:
        return EndpointExclusion.DEAD
    if endpoint.state is EndpointState.LEAVING:
        return EndpointExclusion.LEAVING
    if endpoint.failure_domain in view.domains_out:
        return EndpointExclusion.DOMAIN_OUT
    if endpoint.id in view.isolated:
        return EndpointExclusion.ISOLATED
    if endpoint.id in tried:
        return EndpointExclusion.TRIED
    if needs_permit(endpoint, view) and endpoint.id not in permits:
        return EndpointExclusion.COLD
    if _at_warm_limit(endpoint, view):
        return EndpointExclusion.AT_WARM_LIMIT
    return None


def needs_permit(endpoint: EndpointView, view: BalanceView) -> bool:
    """Return whether an endpoint may be sent requests only with a permit."""
    cold = endpoint.warm_state is WarmState.COLD
    return cold or endpoint.id in view.unconfirmed


def _at_warm_limit(endpoint: EndpointView, view: BalanceView) -> bool:
    if endpoint.warm_state is not WarmState.RAMPING or endpoint.warm_limit is None:
        return False
    return corrected_load(endpoint, view.ledger) >= endpoint.warm_limit
