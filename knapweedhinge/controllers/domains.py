"""Ramp up traffic to failure domains that return to service, as seen by this node."""

import math
from collections.abc import Mapping

from knapweedhinge.conf import Configuration
from knapweedhinge.controllers.snapshot import Snapshot
from knapweedhinge.routing.domains import DomainStates
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointState

ENDPOINT_CHECK_S = 0.25  # shortest time between checks of the endpoints' states


class DomainTracker:
    """Increase the traffic of a returning failure domain step by step.

    A domain returns when operators put it back into service, or when one of its
    endpoints is alive again after all of them were dead. Times are seconds of the
    node's monotonic clock.
    """

    def __init__(self):
        self._states = DomainStates()
        self._configuration: Configuration | None = None
        self._alive_domains: frozenset[str] = frozenset()
        self._dead_domains: frozenset[str] = frozenset()
        self._endpoints_checked_at = -math.inf

    def update(self, snapshot: Snapshot, now: float) -> None:
        """Update from a snapshot; check endpoints once per ENDPOINT_CHECK_S."""
        configuration = snapshot.configuration
        if configuration is None:
            return
        if configuration is not self._configuration:
            self._configuration = configuration
            domains = configuration.failure_domains
            self._states = self._states.configured(domains, now)
        if now - self._endpoints_checked_at >= ENDPOINT_CHECK_S:
            self._endpoints_checked_at = now
            self._check_endpoints(snapshot.endpoints.index, now)

    def answered(self, domain: str, ok: bool, now: float) -> None:
        """Count an attempt at an endpoint of the domain; ``ok`` if it succeeded."""
        self._states = self._states.answered(domain, ok, now)

    def shares(self, now: float) -> Mapping[str, float]:
        """Return the share of its usual traffic for each returning domain, by id.

        Domains that are not listed take all of their usual traffic.
        """
        if not self._states.ramps:
            return {}
        self._states = self._states.advanced(now)
        return self._states.shares()

    def _check_endpoints(self, index: EndpointIndex, now: float) -> None:
        """Start a ramp for each domain with a live endpoint again after all were dead.

        Domains that operators took out, or that no longer have any endpoint, get none.
        """
        views = index.by_id.values()
        listed = frozenset(view.failure_domain for view in views)
        alive = frozenset(
            view.failure_domain
            for view in views
            if view.state is not EndpointState.DEAD
        )
        self._dead_domains = (
            self._dead_domains | (self._alive_domains - alive)
        ) & listed
        for domain in sorted(self._dead_domains & alive - self._states.out):
            self._states = self._states.returned(domain, now)
        self._dead_domains -= alive
        self._alive_domains = alive
