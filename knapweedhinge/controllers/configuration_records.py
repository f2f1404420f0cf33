"""Define the revisions, requests and errors of the configuration store."""

from dataclasses import dataclass

from knapweedhinge.conf import Configuration
from knapweedhinge.conf.change_forms import change_type_name
from knapweedhinge.conf.changes import Change
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import CallerError

SCHEMA = 1  # version of the row format that this release writes


@dataclass(frozen=True)
class Revision:
    """One accepted change of the configuration.

    ``number`` counts from 1 and ``previous`` is the number before it. ``at`` is the
    wall clock, in seconds, of the node that wrote the revision. ``schema`` is the
    version of the row format that this node used.
    """

    number: int
    change_id: str
    author: str
    at: float
    previous: int
    change: Change
    schema: int = SCHEMA


@dataclass(frozen=True)
class ChangeRequest:
    """A change to append, made idempotent by its ``change_id``.

    ``voted`` tells that the member organisations have accepted the change by vote. The
    changes for which ``configuration_votes.requires_vote`` is True need this.
    """

    change_id: str
    author: str
    change: Change
    voted: bool = False


@dataclass(frozen=True)
class Accepted:
    """An accepted revision, with the resulting configuration or a later one."""

    revision: Revision
    configuration: Configuration


class ChangeInvalidError(CallerError):
    """The change breaks a rule; ``field`` is the path of the invalid part."""

    default_code = ResultCode.CHANGE_INVALID

    def __init__(self, field: str, message: str):
        self.field = field
        super().__init__(f"{field}: {message}")


class VoteRequiredError(CallerError):
    """The change needs a vote of the members, see ``requires_vote``."""

    default_code = ResultCode.VOTE_REQUIRED


class RevisionConflict(CallerError):  # noqa: N818
    """The expected revision is not the newest one.

    ``winner`` is the revision that was accepted after the expected one, or None if the
    expected revision does not exist yet.
    """

    default_code = ResultCode.REVISION_CONFLICT

    def __init__(self, expected_revision: int, winner: Revision | None):
        self.winner = winner
        self.expected_revision = expected_revision
        super().__init__(_describe(expected_revision, winner))


def _describe(expected_revision: int, winner: Revision | None) -> str:
    if winner is None:
        return f"there is no revision {expected_revision}"
    return (
        f"revision {winner.number} was taken by {change_type_name(winner.change)} of "
        f"{winner.author} (change {winner.change_id})"
    )
