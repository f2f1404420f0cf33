"""Define the immutable snapshot of the node's state that requests are served from."""

from dataclasses import dataclass, field
from enum import StrEnum

from knapweedhinge.conf import Configuration
from knapweedhinge.controllers.addresses import Address
from knapweedhinge.controllers.configuration_state import ConfigurationState
from knapweedhinge.controllers.endpoints import EndpointTable
from knapweedhinge.peers import MembershipView


class Phase(StrEnum):
    """Phases of a node's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Snapshot:
    """State of the node at one moment.

    ``configured`` holds the configuration in force and when it was last confirmed.
    ``membership`` is this node's view of the member nodes, None until it has joined
    them. ``addresses`` are those of all nodes that clients may use.
    """

    phase: Phase = Phase.STARTING
    configured: ConfigurationState = field(default_factory=ConfigurationState)
    membership: MembershipView | None = None
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    addresses: tuple[Address, ...] = ()

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first is known."""
        return self.configured.configuration

    @property
    def available_addresses(self) -> tuple[Address, ...]:
        """Return the addresses outside failure domains that operators took out.

        If no address is left, all addresses are returned. A configuration must be
        known.
        """
        domains = self.configuration.failure_domains
        out = {domain.id for domain in domains if domain.out}
        found = tuple(item for item in self.addresses if item.failure_domain not in out)
        return found or self.addresses

    def heard_fraction(self, now: float) -> float:
        """Return the share of member nodes that are heard, this one included.

        ``MembershipView`` defines which members count as heard. ``now`` is the node's
        monotonic clock in seconds. The share is 1 before the node has joined.
        """
        if self.membership is None:
            return 1.0
        return self.membership.heard_fraction(now)
