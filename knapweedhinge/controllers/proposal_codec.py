"""Convert proposals to and from the JSON values of their rows.

Fields that a node of a newer release added to a row are kept when it is rewritten.
"""

from dataclasses import dataclass, fields

import msgspec

from knapweedhinge.backing import Row
from knapweedhinge.conf import VotingRules
from knapweedhinge.controllers.ballots import Ballot, Proposal, ProposalState
from knapweedhinge.controllers.configuration_codec import decode_change, encode_change
from knapweedhinge.controllers.configuration_records import SCHEMA
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PlatformError

MUTABLE_FIELDS = ("ballots", "state", "accepted_revision", "why")


@dataclass(frozen=True)
class _StoredProposal:
    author: str
    change: dict
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


def encode_proposal(proposal: Proposal) -> dict:
    """Return the row value of a new proposal."""
    change = encode_change(proposal.change)
    return {**msgspec.to_builtins(proposal), "change": change, "schema": SCHEMA}


def merge_proposal(row: Row, proposal: Proposal) -> dict:
    """Return the row value with the mutable fields taken from the proposal."""
    value = msgspec.to_builtins(proposal)
    return {**row.value, **{name: value[name] for name in MUTABLE_FIELDS}}


def decode_proposal(row: Row) -> Proposal:
    """Return the proposal in a row; raise PlatformError if it is malformed."""
    try:
        stored = msgspec.convert(row.value, type=_StoredProposal)
    except msgspec.ValidationError as exc:
        raise PlatformError(
            f"proposal {row.key}: {exc}", code=ResultCode.PLATFORM_PROTOCOL
        ) from exc
    values = {item.name: getattr(stored, item.name) for item in fields(_StoredProposal)}
    values["change"] = decode_change(stored.change)
    return Proposal(id=row.key, **values)


def has_newer_schema(row: Row) -> bool:
    """Return whether the row has a newer schema than this release knows.

    Such a proposal is counted by newer nodes only.
    """
    return row.value.get("schema", SCHEMA) > SCHEMA
