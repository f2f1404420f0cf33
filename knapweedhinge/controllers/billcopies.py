"""Copies of other nodes' bills, kept until the object store has the bills."""

from dataclasses import dataclass

import msgspec

from knapweedhinge.controllers.billflush import Objects, store_bills
from knapweedhinge.controllers.billing import Bill, UnstoredBills
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PeerError

MAX_HELD_BILLS = 100_000  # copies kept for all peers together
# Seconds without a message from a peer after which this node stores the peer's bills.
MAX_SILENCE_S = 120.0


class CopyRequest(msgspec.Struct, frozen=True, array_like=True):
    """Message with which a node sends its bills to the peer that holds the copies.

    ``bills`` is by serial number. Bills up to serial number ``stored_through`` are
    stored, so that their copies may be dropped. The receiver acknowledged the copies of
    bills up to ``after`` earlier. ``sequence`` is the number of the next object of the
    sender's ``incarnation``.
    """

    incarnation: str
    sequence: int
    stored_through: int
    after: int
    bills: dict[int, Bill]


class CopyReply(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledgement of copies; ``process`` is the incarnation of their holder.

    If it differs from that of the last acknowledgement, the holder has restarted and
    lost its copies.
    """

    process: str


@dataclass(frozen=True)
class Owner:
    """Process whose bills are kept, as the membership identifies it.

    ``incarnation`` is the number in the membership, not the name used in messages.
    """

    vm: str
    incarnation: int


@dataclass
class _OwnerCopies:
    """Copies of one incarnation; ``last_request_at`` is when it last sent a message."""

    owner: Owner
    unstored: UnstoredBills
    last_request_at: float


class HeldBills:
    """Keep copies of peers' bills and store those of peers that died.

    ``now`` is in seconds on the node's monotonic clock.
    """

    def __init__(self, process: str):
        self._process = process
        self._held: dict[str, _OwnerCopies] = {}

    @property
    def count(self) -> int:
        """The number of bills kept."""
        return sum(len(held.unstored) for held in self._held.values())

    def take(self, owner: Owner, request: CopyRequest, now: float) -> CopyReply:
        """Keep the bills in a peer's message and drop those that are stored.

        Raise PeerError when there is no room for more copies.
        """
        if self.count + len(request.bills) > MAX_HELD_BILLS:
            raise PeerError(
                "no room for more copies of bills", code=ResultCode.OVERLOADED
            )
        held = self._held.get(request.incarnation)
        if held is None:
            held = _OwnerCopies(owner, UnstoredBills(request.incarnation), now)
            self._held[request.incarnation] = held
        held.owner, held.last_request_at = owner, now
        unstored = held.unstored
        unstored.bills.update(request.bills)
        unstored.advance(request.sequence)
        unstored.drop_through(request.stored_through)
        return CopyReply(self._process)

    def orphans(
        self, living: frozenset[Owner], now: float
    ) -> tuple[UnstoredBills, ...]:
        """Return the unstored bills of each owner that is dead or silent.

        Those are the owners that aren't in ``living`` or sent no message for
        ``MAX_SILENCE_S``. Among them, owners without bills left are forgotten.
        """
        gone = [
            held
            for held in self._held.values()
            if held.owner not in living or now - held.last_request_at > MAX_SILENCE_S
        ]
        for held in gone:
            if not held.unstored.bills:
                del self._held[held.unstored.incarnation]
        return tuple(held.unstored for held in gone if held.unstored.bills)

    async def flush_orphans(
        self, living: frozenset[Owner], objects: Objects, now: float
    ) -> int:
        """Store the bills of dead or silent peers and return how many are left."""
        orphaned = self.orphans(living, now)
        for unstored in orphaned:
            if not await store_bills(unstored, objects):
                break
        return sum(len(unstored) for unstored in orphaned)
