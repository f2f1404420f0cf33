"""Count votes on closed proposals and settle roll-outs, on one node of the fleet."""

from collections.abc import Callable

from knapweedhinge.controllers.governance import Governance
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.peers import Peers

GOVERNANCE_ROLE = "governance"
COUNT_INTERVAL_S = 5.0  # between counts of proposals whose voting time has ended
SETTLE_INTERVAL_S = 2.0  # between checks for roll-outs that need to be settled


class GovernanceJobs:
    """Run the governance jobs that no request triggers, on the node that owns them.

    Two nodes may take themselves for the owner at the same time. That does no harm,
    since each write is conditional and takes effect once.
    """

    def __init__(
        self,
        governance: Governance,
        peers: Peers,
        heard_fraction: Callable[[], float],
    ):
        self._governance = governance
        self._peers = peers
        self._heard_fraction = heard_fraction

    def start(self, tasks: PeriodicTasks) -> None:
        """Start the periodic governance jobs."""
        tasks.start(self.count_closed, COUNT_INTERVAL_S)
        tasks.start(self.settle_roll_outs, SETTLE_INTERVAL_S)

    async def count_closed(self) -> None:
        """Count the votes on proposals whose voting time has ended."""
        if self._is_owner():
            await self._governance.count_closed(self._heard_fraction())

    async def settle_roll_outs(self) -> None:
        """Settle a roll-out that contradicts the configuration in force.

        Such a roll-out remains when a sequence of changes was interrupted halfway.
        """
        if self._is_owner():
            await self._governance.settle_roll_outs(self._heard_fraction())

    def _is_owner(self) -> bool:
        owners = self._peers.assignments.owners(GOVERNANCE_ROLE, GOVERNANCE_ROLE, 1)
        return any(owner.vm == self._peers.me.vm for owner in owners)
