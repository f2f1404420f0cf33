"""Carry out configuration changes and votes for operators and members.

Changes are accepted only while this node hears from more than half of the member nodes.
"""

import time
import uuid
from collections.abc import Awaitable, Callable

from loguru import logger

from knapweedhinge.conf.changes import Change
from knapweedhinge.controllers.ballots import Proposal, ProposalState
from knapweedhinge.controllers.configuration_controller import (
    ConfigurationController,
)
from knapweedhinge.controllers.configuration_records import Accepted, ChangeRequest
from knapweedhinge.controllers.configuration_staleness import may_accept
from knapweedhinge.controllers.proposals import ProposalStore
from knapweedhinge.controllers.rollout_settle import Reason, find_stuck_roll_outs
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError

MS_PER_S = 1_000
ID_DIGITS = 13  # digits of the milliseconds since 1970 in a proposal id, zero-padded
ID_RANDOM_CHARS = 12  # random hex digits in a proposal id


class Governance:
    """Append configuration changes, run votes and notify peers of the results.

    ``wall`` returns wall clock time in seconds. ``heard_fraction`` is the share of the
    member nodes, this one included, that are heard (see ``MembershipView``). Methods
    that take it raise RefusedError if it is half or less.
    """

    def __init__(
        self,
        configurations: ConfigurationController,
        proposals: ProposalStore,
        notify_peers: Callable[[], Awaitable[None]],
        wall: Callable[[], float] = time.time,
    ):
        self._configurations = configurations
        self._proposals = proposals
        self._notify_peers = notify_peers
        self._wall = wall
        # Id of a proposal that is final, as are all before it; "" for none.
        self._last_final_id = ""

    async def change(
        self, author: str, change: Change, expected_revision: int, heard_fraction: float
    ) -> Accepted:
        """Append a change and notify the peers.

        Raises RevisionConflict if another change was accepted first, and the other
        errors of ConfigurationStore.append.
        """
        _require_majority_heard(heard_fraction)
        request = ChangeRequest(uuid.uuid4().hex, author, change)
        accepted = await self._configurations.append(request, expected_revision)
        await self._notify_peers()
        return accepted

    async def propose(
        self, author: str, change: Change, expected_revision: int
    ) -> Proposal:
        """Open a proposal to put a change to the vote.

        Raises RevisionConflict if ``expected_revision`` is not the newest, and
        ChangeInvalidError if the change breaks a rule.
        """
        now = self._wall()
        return await self._proposals.propose(
            new_proposal_id(now), author, change, expected_revision, now
        )

    async def vote(
        self, proposal_id: str, organisation: str, agrees: bool, heard_fraction: float
    ) -> Proposal:
        """Cast a ballot, and carry out the proposal if the vote is decided.

        Raises the errors of ProposalStore.vote and ProposalStore.tally.
        """
        _require_majority_heard(heard_fraction)
        now = self._wall()
        await self._proposals.vote(proposal_id, organisation, agrees, now)
        counted = await self._proposals.tally(proposal_id, now)
        if counted.state is ProposalState.ACCEPTED:
            await self._poll_and_notify_peers()
        return counted

    async def count_closed(self, heard_fraction: float) -> None:
        """Count the open proposals whose closing time has passed.

        Proposal ids increase with time, so the proposals before the oldest open one are
        not read again.
        """
        _require_majority_heard(heard_fraction)
        now = self._wall()
        all_final = True
        for proposal in await self._proposals.list(self._last_final_id):
            if proposal.state is ProposalState.OPEN and now >= proposal.closes_at:
                proposal = await self._proposals.tally(proposal.id, now)
                await self._poll_and_notify_peers()
            all_final = all_final and proposal.state is not ProposalState.OPEN
            if all_final:
                self._last_final_id = proposal.id

    async def settle_roll_outs(self, heard_fraction: float) -> None:
        """Settle one roll-out that the current configuration does not allow.

        See ``rollout_settle`` for the change that settles it. Raises the errors of
        ConfigurationStore.append. A roll-out of a version that no class uses or that no
        organisation is allowed to use is left alone. It receives no calls, and
        operators start the roll-out before they add the version to a class, so that the
        version never serves without an exposure limit.
        """
        _require_majority_heard(heard_fraction)
        configuration = self._configurations.state.configuration
        findings = [
            item
            for item in find_stuck_roll_outs(configuration, (), self._wall())
            if item.reason is not Reason.UNUSED
        ]
        for finding in findings[:1]:
            logger.bind(roll_out=finding.roll_out).warning(
                f"settling a roll-out that stopped halfway: {finding.reason}"
            )
            await self._configurations.append(finding.request, configuration.revision)
            await self._notify_peers()

    async def _poll_and_notify_peers(self) -> None:
        """Read the newest configuration into this node and notify the peers."""
        await self._configurations.poll()
        await self._notify_peers()

    async def proposals(self) -> tuple[Proposal, ...]:
        """Return the oldest proposals, as many as ProposalStore.list returns."""
        return await self._proposals.list()


def new_proposal_id(now: float) -> str:
    """Return a new id that sorts by ``now``, the wall clock time in seconds."""
    return f"{int(now * MS_PER_S):0{ID_DIGITS}d}-{uuid.uuid4().hex[:ID_RANDOM_CHARS]}"


def _require_majority_heard(heard_fraction: float) -> None:
    if not may_accept(heard_fraction):
        raise RefusedError(
            "this node hears from too few members to accept changes",
            code=ResultCode.CONFIGURATION_STALE,
        )
