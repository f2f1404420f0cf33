"""Proposals in the table service: one row each, which holds the ballots too.

Ballots and the count replace the row on the condition that it is unchanged, so a count
covers exactly the ballots cast. The accepting write, the revision and its change id are
one transaction; there is nothing to finish after a crash.
"""

from collections.abc import Callable
from dataclasses import replace

from knapweedhinge.backing import Row, TableClient, Write
from knapweedhinge.conf import Configuration
from knapweedhinge.conf.changes import Change
from knapweedhinge.controllers.ballots import (
    Ballot,
    Proposal,
    ProposalState,
    Verdict,
    cast,
    count,
    open_proposal,
    touched_digest,
)
from knapweedhinge.controllers.configuration import (
    ChangeRequest,
    ConfigurationStore,
    RevisionConflict,
)
from knapweedhinge.controllers.configuration_codec import encode_change
from knapweedhinge.controllers.configuration_records import ChangeInvalidError
from knapweedhinge.controllers.configuration_rules import accept
from knapweedhinge.controllers.proposal_codec import (
    decode_proposal,
    encode_proposal,
    is_of_newer_release,
    merge_proposal,
)
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError, RowConflictError

PROPOSALS = "proposals"
ATTEMPTS = 16


class ProposalUnknownError(CallerError):
    """No proposal has this id."""

    default_code = ResultCode.PROPOSAL_UNKNOWN


class ProposalStore:
    """Open proposals, take ballots and count them; ``new_id`` names each write."""

    def __init__(
        self,
        tables: TableClient,
        configurations: ConfigurationStore,
        new_id: Callable[[], str],
    ):
        self._tables = tables
        self._configurations = configurations
        self._new_id = new_id

    async def propose(
        self,
        proposal_id: str,
        author: str,
        change: Change,
        expected_revision: int,
        now: float,
    ) -> Proposal:
        """Open a proposal against the newest revision; ``now`` is the wall clock.

        Sending the same proposal again returns the one that stands. Raises
        RevisionConflict or ChangeInvalidError.
        """
        standing = await self._find(proposal_id)
        if standing is not None:
            return _same(decode_proposal(standing), change)
        configuration = await self._head()
        if configuration.revision != expected_revision:
            raise await self._conflict(expected_revision)
        accept(change, configuration)
        proposal = open_proposal(proposal_id, author, change, configuration, now)
        try:
            row = await self._tables.insert(
                PROPOSALS, proposal_id, encode_proposal(proposal), self._new_id()
            )
        except RowConflictError:
            row = await self._row(proposal_id)
        return _same(decode_proposal(row), change)

    async def get(self, proposal_id: str) -> Proposal:
        """Return the proposal, or raise ProposalUnknownError."""
        return decode_proposal(await self._row(proposal_id))

    async def list(self, after: str = "") -> tuple[Proposal, ...]:
        """Return a page of proposals whose id is above ``after``, by id."""
        rows = await self._tables.scan(PROPOSALS, "", after)
        return tuple(decode_proposal(row) for row in rows)

    async def vote(
        self, proposal_id: str, organisation: str, agrees: bool, now: float
    ) -> Proposal:
        """Cast an organisation's ballot, or change it while the proposal is open.

        Raises BallotRefusedError, ProposalUnknownError or, if the outcome is unknown,
        WriteUnsettledError: then the same ballot may be cast again.
        """
        ballot = Ballot(organisation, agrees, now)
        for _ in range(ATTEMPTS):
            row = await self._row(proposal_id)
            proposal = decode_proposal(row)
            if _stands(proposal, ballot):
                return proposal
            try:
                return await self._replace(row, cast(proposal, ballot))
            except RowConflictError:
                continue
        raise _contended(proposal_id)

    async def tally(self, proposal_id: str, now: float) -> Proposal:
        """Count the ballots and carry out the verdict, once, whoever else counts."""
        for _ in range(ATTEMPTS):
            row = await self._row(proposal_id)
            proposal = decode_proposal(row)
            verdict = count(proposal, now)
            if verdict is Verdict.UNDECIDED or is_of_newer_release(row):
                return proposal
            try:
                return await self._carry_out(verdict, row, proposal, now)
            except (RowConflictError, RevisionConflict):
                continue
        raise _contended(proposal_id)

    async def _carry_out(
        self, verdict: Verdict, row: Row, proposal: Proposal, now: float
    ) -> Proposal:
        if verdict is Verdict.REFUSED:
            return await self._close(row, proposal, ProposalState.REJECTED, "ballots")
        head = await self._head()
        why = _obstacle(proposal, head)
        if why:
            return await self._close(row, proposal, ProposalState.SUPERSEDED, why)
        return await self._accept(row, proposal, head, now)

    async def _accept(
        self, row: Row, proposal: Proposal, head: Configuration, now: float
    ) -> Proposal:
        accepted = replace(
            proposal,
            state=ProposalState.ACCEPTED,
            accepted_revision=head.revision + 1,
        )
        request = ChangeRequest(
            proposal.change_id, proposal.author, proposal.change, voted=True
        )
        write = Write(
            PROPOSALS,
            proposal.id,
            merge_proposal(row, accepted),
            row.version,
            self._new_id(),
        )
        await self._configurations.append(
            request, head.revision, now, extra_writes=(write,)
        )
        return await self.get(proposal.id)

    async def _close(
        self, row: Row, proposal: Proposal, state: ProposalState, why: str
    ) -> Proposal:
        return await self._replace(row, replace(proposal, state=state, why=why))

    async def _replace(self, row: Row, proposal: Proposal) -> Proposal:
        stands = await self._tables.update(
            PROPOSALS,
            row.key,
            merge_proposal(row, proposal),
            row.version,
            self._new_id(),
        )
        return decode_proposal(stands)

    async def _find(self, proposal_id: str) -> Row | None:
        return await self._tables.get(PROPOSALS, proposal_id)

    async def _row(self, proposal_id: str) -> Row:
        row = await self._find(proposal_id)
        if row is None:
            raise ProposalUnknownError(f"no proposal {proposal_id!r}")
        return row

    async def _head(self) -> Configuration:
        configuration = await self._configurations.load()
        if configuration is None:
            raise ChangeInvalidError("revision", "the co-operative is not founded")
        return configuration

    async def _conflict(self, expected_revision: int) -> RevisionConflict:
        later = await self._configurations.read_after(expected_revision)
        return RevisionConflict(expected_revision, later[0] if later else None)


def _obstacle(proposal: Proposal, head: Configuration) -> str:
    """Return why an agreed proposal can't take effect on ``head``, or nothing."""
    try:
        accept(proposal.change, head)
    except ChangeInvalidError as exc:
        return exc.message
    if touched_digest(proposal.change, head) != proposal.touched:
        return f"revision {head.revision} shows another state than the voters saw"
    return ""


def _stands(proposal: Proposal, ballot: Ballot) -> bool:
    return any(
        (item.organisation, item.agrees) == (ballot.organisation, ballot.agrees)
        and item.cast_at >= ballot.cast_at
        for item in proposal.ballots
    )


def _same(proposal: Proposal, change: Change) -> Proposal:
    if encode_change(proposal.change) != encode_change(change):
        raise ChangeInvalidError("proposal_id", "was used for another proposal")
    return proposal


def _contended(proposal_id: str) -> RowConflictError:
    return RowConflictError(f"proposal {proposal_id} changed under each attempt")
