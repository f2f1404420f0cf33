"""Write what evidence decided: withdrawals of cut versions, steps of roll-outs."""

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

WITHDRAWALS = "withdrawals"
ROLL_OUTS = "roll-outs"
AUTHOR = "evidence"
WITHDRAW_S = 0.5
STEP_S = 5.0


class Deciding:
    """Write decisions that this node owns, by the rendezvous hash of their subject.

    While views differ two nodes may write; each write names the revision it was
    decided on, so that one of them fails and finds the work done.
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
        """Begin to look again and again."""
        tasks.start(self.withdraw_cuts, WITHDRAW_S)
        tasks.start(self.step_roll_outs, STEP_S)

    async def withdraw_cuts(self) -> None:
        """Write each cut as a withdrawal, unless it is withdrawn already."""
        for version in sorted(self._ctx.learning.cuts.versions):
            known = self._configuration.version(version)
            standing = known is not None and not known.withdrawn
            if standing and self._owns(WITHDRAWALS, version):
                await self._write(WithdrawVersion(version))

    async def step_roll_outs(self) -> None:
        """Take the step that the evidence asks for, one a roll-out."""
        learning, now = self._ctx.learning, self._ctx.clock()
        statistics = learning.view(now)
        cfg = self._configuration
        self._activity.update(cfg, statistics, now)
        for roll_out in cfg.roll_outs:
            if roll_out.state != "running" or not self._owns(ROLL_OUTS, roll_out.id):
                continue
            activity = self._activity.of(roll_out.id)
            cuts = learning.cuts.versions
            step = next_step(cfg, roll_out, statistics, activity, cuts, now)
            change = change_of(step)
            if change is not None:
                logger.bind(roll_out=roll_out.id).info(f"{step.step}: {step.cause}")
                await self._write(change)

    @property
    def _configuration(self) -> Configuration:
        return self._ctx.state.current.configuration

    async def _write(self, change: Change) -> None:
        """Append a change; after a conflict the next round decides anew."""
        revision = self._configuration.revision
        try:
            await self._governance.change(
                AUTHOR, change, revision, self._heard_fraction()
            )
        except RevisionConflict:
            await self._configurations.poll()

    def _owns(self, role: str, key: str) -> bool:
        owners = self._peers.assignments.owners(role, key, 1)
        return any(one.vm == self._peers.me.vm for one in owners)


def change_of(step: RollOutStep) -> Change | None:
    """Return the change that carries a step out, None if nothing is to be done."""
    match step.step:
        case Step.ADVANCE:
            return AdvanceRollOut(step.roll_out, step.exposure)
        case Step.FINISH:
            return FinishRollOut(step.roll_out)
        case Step.ROLL_BACK:
            return RollBackRollOut(step.roll_out)
    return None
