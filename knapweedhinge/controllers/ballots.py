"""Define proposals and ballots, and count them.

All functions are pure; callers pass the current wall clock time, in seconds, as
``now``.
"""

import hashlib
from dataclasses import dataclass, fields, replace
from enum import StrEnum
from fractions import Fraction
from typing import Any

import msgspec

from knapweedhinge.conf import Configuration, VotingRules
from knapweedhinge.conf.changes import Change
from knapweedhinge.controllers.configuration_apply import apply
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError


class ProposalState(StrEnum):
    """States of a proposal; every state but OPEN is final."""

    OPEN = "open"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    SUPERSEDED = "superseded"


class Verdict(StrEnum):
    """Result of counting the ballots cast so far."""

    UNDECIDED = "undecided"
    AGREED = "agreed"
    REFUSED = "refused"


class BallotRefusedError(CallerError):
    """The ballot is late, outdated or from an organisation without a vote."""

    default_code = ResultCode.BALLOT_REFUSED


@dataclass(frozen=True)
class Ballot:
    """One organisation's ballot; ``cast_at`` is wall clock time in seconds."""

    organisation: str
    agrees: bool
    cast_at: float


@dataclass(frozen=True)
class Proposal:
    """A change put to the vote, with everything that its count depends on.

    ``revision`` is the configuration revision that the change was proposed against, and
    ``touched`` a digest of the parts of it that the change would alter. ``rules`` and
    ``electorate`` (ids of the organisations that may vote) are copied from that
    revision and stay fixed. ``accepted_revision`` is 0 until the proposal is accepted;
    ``why`` is the reason for which it was closed otherwise. Times are wall clock time
    in seconds.
    """

    id: str
    author: str
    change: Change
    revision: int
    touched: str
    opened_at: float
    closes_at: float
    rules: VotingRules
    electorate: tuple[str, ...]
    ballots: tuple[Ballot, ...] = ()
    state: ProposalState = ProposalState.OPEN
    accepted_revision: int = 0
    why: str = ""

    @property
    def change_id(self) -> str:
        """Return the change id of the revision that this proposal may append.

        It depends on the proposal alone, so that no node can append it a second time.
        """
        return f"proposal/{self.id}"


def open_proposal(
    proposal_id: str,
    author: str,
    change: Change,
    configuration: Configuration,
    now: float,
) -> Proposal:
    """Return a new proposal to change ``configuration``."""
    return Proposal(
        id=proposal_id,
        author=author,
        change=change,
        revision=configuration.revision,
        touched=touched_digest(change, configuration),
        opened_at=now,
        closes_at=now + configuration.voting.open_s,
        rules=configuration.voting,
        electorate=tuple(item.id for item in configuration.organisations),
    )


def cast(proposal: Proposal, ballot: Ballot) -> Proposal:
    """Return the proposal with the ballot, replacing the organisation's previous one.

    Raises BallotRefusedError if the proposal is closed, the organisation has no vote,
    or a ballot that it cast later has been recorded already.
    """
    if proposal.state is not ProposalState.OPEN:
        raise BallotRefusedError(f"proposal {proposal.id} is {proposal.state}")
    if ballot.cast_at >= proposal.closes_at:
        raise BallotRefusedError(f"proposal {proposal.id} has closed")
    if ballot.organisation not in proposal.electorate:
        raise BallotRefusedError(
            f"{ballot.organisation!r} is not in the electorate of this proposal"
        )
    ballots = {item.organisation: item for item in proposal.ballots}
    previous = ballots.pop(ballot.organisation, None)
    if previous and previous.cast_at > ballot.cast_at:
        raise BallotRefusedError(
            f"{ballot.organisation!r} has already cast a later ballot"
        )
    return replace(proposal, ballots=(*ballots.values(), ballot))


def count(proposal: Proposal, now: float) -> Verdict:
    """Return the verdict at ``now``, or UNDECIDED if the proposal is closed already.

    Before the closing time a verdict is returned only if the missing ballots can't
    alter it. Ballots that are cast may still be replaced until then, so the last ballot
    of an organisation before the verdict is the one that counts.
    """
    if proposal.state is not ProposalState.OPEN:
        return Verdict.UNDECIDED
    agreed = sum(ballot.agrees for ballot in proposal.ballots)
    opposed = len(proposal.ballots) - agreed
    if now >= proposal.closes_at:
        return _final_verdict(_passes(proposal, agreed, opposed))
    missing = len(proposal.electorate) - agreed - opposed
    if _passes(proposal, agreed, opposed) and _passes(
        proposal, agreed, opposed + missing
    ):
        return Verdict.AGREED
    if not missing:
        return Verdict.REFUSED
    if not _passes(proposal, agreed + missing, opposed):
        return Verdict.REFUSED
    return Verdict.UNDECIDED


def touched_digest(change: Change, configuration: Configuration) -> str:
    """Return a digest of the items of a configuration that the change would alter.

    If it is the same for a later configuration, the change would replace the same
    values that the voters saw.
    """
    result = apply(change, configuration)
    before = [
        _altered_part(getattr(configuration, item.name), getattr(result, item.name))
        for item in fields(Configuration)
    ]
    return hashlib.sha256(msgspec.json.encode(before)).hexdigest()


def _altered_part(old: Any, new: Any) -> Any:
    """Return the part of a field's old value that was altered, or None if none was.

    For a tuple these are the items that were replaced or removed. Added items don't
    count, since the old value lacks them.
    """
    if old == new:
        return None
    if isinstance(old, tuple):
        return [item for item in old if item not in new]
    return old


def _final_verdict(passes: bool) -> Verdict:
    return Verdict.AGREED if passes else Verdict.REFUSED


def _passes(proposal: Proposal, agreed: int, opposed: int) -> bool:
    """Return whether these numbers of ballots reach the quorum and the majority.

    More than the majority share of the ballots must agree, or all of them: a share of
    1.0 can't be exceeded.
    """
    cast_ballots = agreed + opposed
    quorum = _exact_fraction(proposal.rules.quorum) * len(proposal.electorate)
    if not cast_ballots or cast_ballots < quorum:
        return False
    majority = _exact_fraction(proposal.rules.majority) * cast_ballots
    return agreed > majority or not opposed


def _exact_fraction(share: float) -> Fraction:
    """Return the decimal that was written for a share, free of binary rounding."""
    return Fraction(repr(share))
