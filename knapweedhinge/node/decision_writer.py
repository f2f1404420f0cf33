"""Write decisions from collected evidence into the configuration.

These are steps of roll-outs, and withdrawals of cut versions: versions under roll-out
that nodes have excluded from new work because statistical tests of their answers and
ratings found them bad.
"""

from collections.abc import Callable

from loguru import logger

from knapweedhinge.conf import Configuration
from knapweedhinge.conf.changes import (
    AdvanceRollOut,
    Change,
    FinishRollOut,
    RollBackRollOut,
    WithdrawVersion,
)
from knapweedhinge.controllers.configuration_controller import (
    ConfigurationController,
)
from knapweedhinge.controllers.configuration_records import RevisionConflict
from knapweedhinge.controllers.governance import Governance
from knapweedhinge.controllers.rollout_activity import RollOutActivityTracker
from knapweedhinge.core.periodic import PeriodicTasks
from knapweedhinge.filters import Context
from knapweedhinge.peers import Peers
from knapweedhinge.routing.rollouts import RollOutStep, Step, next_step

# Roles in the assignment of decisions to nodes.
WITHDRAWAL_ROLE = "withdrawals"
ROLL_OUT_ROLE = "roll-outs"
AUTHOR = "evidence"  # recorded as the author of these configuration changes
WITHDRAWAL_INTERVAL_S = 0.5  # between checks for cut versions
ROLL_OUT_INTERVAL_S = 5.0  # between evaluations of the running roll-outs


class DecisionWriter:
    """Write the withdrawals and roll-out steps that are assigned to this node.

    A rendezvous hash of the version or roll-out selects its owner. While the nodes'
    views of the membership differ, two of them may write the same decision. Each write
    names the revision on which it was decided, so the second write conflicts. Its node
    then reads the newest configuration, which contains the decision already.
    """

    def __init__(
        self,
        ctx: Context,
        configurations: ConfigurationController,
        governance: Governance,
        peers: Peers,
        heard_fraction: Callable[[], float],
    ):
        self._ctx = ctx
        self._configurations = configurations
        self._governance = governance
        self._peers = peers
        self._heard_fraction = heard_fraction
        self._activity = RollOutActivityTracker()

    def start(self, tasks: PeriodicTasks) -> None:
        """Start the periodic checks of cut versions and roll-outs."""
        tasks.start(self.withdraw_cuts, WITHDRAWAL_INTERVAL_S)
        tasks.start(self.step_roll_outs, ROLL_OUT_INTERVAL_S)

    async def withdraw_cuts(self) -> None:
        """Withdraw each cut version that is still in service in the configuration."""
        for version in sorted(self._ctx.learning.cuts.versions):
            known = self._configuration.version(version)
            in_service = known is not None and not known.withdrawn
            if in_service and self._owns(WITHDRAWAL_ROLE, version):
                await self._write(WithdrawVersion(version))

    async def step_roll_outs(self) -> None:
        """Evaluate each running roll-out and write its next step, if one is due."""
        learning, now = self._ctx.learning, self._ctx.clock()
        statistics = learning.view(now)
        cfg = self._configuration
        self._activity.update(cfg, statistics, now)
        for roll_out in cfg.roll_outs:
            if roll_out.state != "running" or not self._owns(
                ROLL_OUT_ROLE, roll_out.id
            ):
                continue
            activity = self._activity.of(roll_out.id)
            cuts = learning.cuts.versions
            step = next_step(cfg, roll_out, statistics, activity, cuts, now)
            change = change_for_step(step)
            if change is not None:
                logger.bind(roll_out=roll_out.id).info(f"{step.step}: {step.cause}")
                await self._write(change)

    @property
    def _configuration(self) -> Configuration:
        return self._ctx.state.current.configuration

    async def _write(self, change: Change) -> None:
        """Append a change; after a conflict, read the newest configuration.

        The next round then decides again on that configuration.
        """
        revision = self._configuration.revision
        try:
            await self._governance.change(
                AUTHOR, change, revision, self._heard_fraction()
            )
        except RevisionConflict:
            await self._configurations.poll()

    def _owns(self, role: str, key: str) -> bool:
        owners = self._peers.assignments.owners(role, key, 1)
        return any(owner.vm == self._peers.me.vm for owner in owners)


def change_for_step(step: RollOutStep) -> Change | None:
    """Return the configuration change for a roll-out step, None if none is needed."""
    match step.step:
        case Step.ADVANCE:
            return AdvanceRollOut(step.roll_out, step.exposure)
        case Step.FINISH:
            return FinishRollOut(step.roll_out)
        case Step.ROLL_BACK:
            return RollBackRollOut(step.roll_out)
    return None
