"""Store proposals and their ballots in the table service, one row per proposal.

Every write replaces the row on the condition that it is unchanged since it was read, so
a count covers exactly the ballots cast. A proposal is marked as accepted in the same
transaction that appends its configuration revision, so that a crash leaves neither of
them half done.
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
from knapweedhinge.controllers.configuration_rules import validate_and_apply
from knapweedhinge.controllers.proposal_codec import (
    decode_proposal,
    encode_proposal,
    has_newer_schema,
    merge_proposal,
)
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError, RowConflictError

PROPOSALS_TABLE = "proposals"
MAX_ATTEMPTS = 16  # attempts to write a row that others keep changing


class ProposalUnknownError(CallerError):
    """There is no proposal with the requested id."""

    default_code = ResultCode.PROPOSAL_UNKNOWN


class ProposalStore:
    """Open proposals, record ballots, count them and carry out the result.

    ``new_id`` returns a unique id for each write, by which the table client finds out
    from the row whether a write took effect.
    """

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
        """Open a proposal to change the newest configuration.

        ``now`` is wall clock time in seconds. Proposing the same change again under the
        same id returns the existing proposal. Raises RevisionConflict if
        ``expected_revision`` is not the newest, and ChangeInvalidError if the change
        breaks a rule or the id belongs to another proposal.
        """
        existing = await self._find_row(proposal_id)
        if existing is not None:
            return _require_same_change(decode_proposal(existing), change)
        configuration = await self._newest_configuration()
        if configuration.revision != expected_revision:
            raise await self._revision_conflict(expected_revision)
        validate_and_apply(change, configuration)
        proposal = open_proposal(proposal_id, author, change, configuration, now)
        try:
            row = await self._tables.insert(
                PROPOSALS_TABLE, proposal_id, encode_proposal(proposal), self._new_id()
            )
        except RowConflictError:
            row = await self._require_row(proposal_id)
        return _require_same_change(decode_proposal(row), change)

    async def get(self, proposal_id: str) -> Proposal:
        """Return a proposal; raise ProposalUnknownError if there is none."""
        return decode_proposal(await self._require_row(proposal_id))

    async def list(self, after: str = "") -> tuple[Proposal, ...]:
        """Return the proposals with ids above ``after``, in order of id.

        At most ``MAX_SCAN_ROWS`` of the table client are returned.
        """
        rows = await self._tables.scan(PROPOSALS_TABLE, "", after)
        return tuple(decode_proposal(row) for row in rows)

    async def vote(
        self, proposal_id: str, organisation: str, agrees: bool, now: float
    ) -> Proposal:
        """Cast an organisation's ballot, or replace it while the proposal is open.

        ``now`` is wall clock time in seconds. Raises BallotRefusedError if the ballot
        can't be counted, ProposalUnknownError, RowConflictError if other writes kept
        changing the proposal, and WriteUnsettledError if the outcome is unknown; the
        same ballot may then be cast again.
        """
        ballot = Ballot(organisation, agrees, now)
        for _ in range(MAX_ATTEMPTS):
            row = await self._require_row(proposal_id)
            proposal = decode_proposal(row)
            if _is_recorded(proposal, ballot):
                return proposal
            try:
                return await self._replace(row, cast(proposal, ballot))
            except RowConflictError:
                continue
        raise _contention_error(proposal_id)

    async def tally(self, proposal_id: str, now: float) -> Proposal:
        """Count the ballots and carry out the decision, if there is one.

        If several nodes do this at once, the decision is carried out once. ``now`` is
        wall clock time in seconds. Returns the proposal unchanged while it is
        undecided, or if a newer release wrote its row. Raises ProposalUnknownError,
        RowConflictError if other writes kept changing the proposal, and
        WriteUnsettledError if the outcome is unknown.
        """
        for _ in range(MAX_ATTEMPTS):
            row = await self._require_row(proposal_id)
            proposal = decode_proposal(row)
            verdict = count(proposal, now)
            if verdict is Verdict.UNDECIDED or has_newer_schema(row):
                return proposal
            try:
                return await self._carry_out(verdict, row, proposal, now)
            except (RowConflictError, RevisionConflict):
                continue
        raise _contention_error(proposal_id)

    async def _carry_out(
        self, verdict: Verdict, row: Row, proposal: Proposal, now: float
    ) -> Proposal:
        if verdict is Verdict.REFUSED:
            return await self._close(row, proposal, ProposalState.REJECTED, "ballots")
        newest = await self._newest_configuration()
        why = _supersede_reason(proposal, newest)
        if why:
            return await self._close(row, proposal, ProposalState.SUPERSEDED, why)
        return await self._accept(row, proposal, newest, now)

    async def _accept(
        self, row: Row, proposal: Proposal, newest: Configuration, now: float
    ) -> Proposal:
        accepted = replace(
            proposal,
            state=ProposalState.ACCEPTED,
            accepted_revision=newest.revision + 1,
        )
        request = ChangeRequest(
            proposal.change_id, proposal.author, proposal.change, voted=True
        )
        write = Write(
            PROPOSALS_TABLE,
            proposal.id,
            merge_proposal(row, accepted),
            row.version,
            self._new_id(),
        )
        await self._configurations.append(
            request, newest.revision, now, extra_writes=(write,)
        )
        return await self.get(proposal.id)

    async def _close(
        self, row: Row, proposal: Proposal, state: ProposalState, why: str
    ) -> Proposal:
        return await self._replace(row, replace(proposal, state=state, why=why))

    async def _replace(self, row: Row, proposal: Proposal) -> Proposal:
        updated = await self._tables.update(
            PROPOSALS_TABLE,
            row.key,
            merge_proposal(row, proposal),
            row.version,
            self._new_id(),
        )
        return decode_proposal(updated)

    async def _find_row(self, proposal_id: str) -> Row | None:
        return await self._tables.get(PROPOSALS_TABLE, proposal_id)

    async def _require_row(self, proposal_id: str) -> Row:
        row = await self._find_row(proposal_id)
        if row is None:
            raise ProposalUnknownError(f"no proposal has the id {proposal_id!r}")
        return row

    async def _newest_configuration(self) -> Configuration:
        configuration = await self._configurations.load()
        if configuration is None:
            raise ChangeInvalidError("revision", "the co-operative is not founded")
        return configuration

    async def _revision_conflict(self, expected_revision: int) -> RevisionConflict:
        later = await self._configurations.read_after(expected_revision)
        return RevisionConflict(expected_revision, later[0] if later else None)


def _supersede_reason(proposal: Proposal, newest: Configuration) -> str:
    """Return why an agreed proposal can't be applied to ``newest``, or an empty str."""
    try:
        validate_and_apply(proposal.change, newest)
    except ChangeInvalidError as exc:
        return exc.message
    if touched_digest(proposal.change, newest) != proposal.touched:
        return f"revision {newest.revision} shows another state than the voters saw"
    return ""


def _is_recorded(proposal: Proposal, ballot: Ballot) -> bool:
    return any(
        (item.organisation, item.agrees) == (ballot.organisation, ballot.agrees)
        and item.cast_at >= ballot.cast_at
        for item in proposal.ballots
    )


def _require_same_change(proposal: Proposal, change: Change) -> Proposal:
    if encode_change(proposal.change) != encode_change(change):
        raise ChangeInvalidError("proposal_id", "was already used for another proposal")
    return proposal


def _contention_error(proposal_id: str) -> RowConflictError:
    return RowConflictError(
        f"proposal {proposal_id} was changed by others at every attempt"
    )
