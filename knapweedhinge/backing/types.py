"""Arguments and results of the platform's clients."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True)
class Row:
    """Current state of one row of a table.

    ``version`` starts at 1 and grows by one with each write to the key, deletes
    included; it keeps growing when the key is deleted and inserted again.
    ``write_id`` is the id of the write that made this version and ``insert_id`` that
    of the write that inserted the row. ``recent`` holds the ids of the writes before
    ``write_id``, newest first, as far as the service keeps them.
    """

    table: str
    key: str
    value: dict
    version: int
    write_id: str
    insert_id: str = ""
    recent: tuple[str, ...] = ()


@dataclass(frozen=True)
class Write:
    """A conditional write of one row; a ``value`` of None deletes the row.

    The write takes effect only if the row has the version ``expected_version``; 0
    means that the row must be absent, None that there is no condition. ``write_id``
    is unique to the write.
    """

    table: str
    key: str
    value: dict | None
    expected_version: int | None
    write_id: str


@dataclass(frozen=True)
class WriteOutcome:
    """Whether a write took effect, and the current row (None if it is absent)."""

    applied: bool
    row: Row | None


@dataclass(frozen=True)
class Vm:
    """One entry of the platform's VM list, which is updated with a delay.

    An entry VM runs a node; an endpoint is a replica of a model engine or of a plain
    service. ``kind`` and ``service`` describe endpoints and are empty for entry VMs.
    A VM whose ``state`` is "leaving" is about to be removed.
    """

    vm: str
    ip: str
    port: int
    role: Literal["entry", "endpoint"]
    kind: Literal["engine", "service", ""] = ""
    service: str = ""
    failure_domain: str = ""
    region: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True)
class Weights:
    """Size and digest of the stored weights of one model version."""

    version: str
    size_bytes: int
    sha256: str


@dataclass(frozen=True)
class Rating:
    """The rating of one answer; ``score`` is 0 to 1, ``rated_at`` in seconds."""

    request_id: str
    version: str
    class_id: str
    score: float
    rated_at: float


@dataclass(frozen=True)
class RatingPage:
    """Ratings, oldest first, and the cursor of the next page."""

    ratings: tuple[Rating, ...]
    cursor: str
