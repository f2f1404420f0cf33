"""Copies of other nodes' bills, kept until the bills are stored."""

from dataclasses import dataclass

import msgspec

from knapweedhinge.controllers.billflush import Objects, flush_tail
from knapweedhinge.controllers.billing import Bill, BillTail
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import PeerError

MAX_HELD_BILLS = 100_000  # copies kept for all peers together
# Seconds without a message after which the bills of a peer are stored in its place.
MAX_SILENCE_S = 120.0


class CopyRequest(msgspec.Struct, frozen=True, array_like=True):
    """Message with bills of an incarnation to keep, by their serial numbers.

    Bills up to serial number ``stored_through`` are stored, so that their copies may
    be dropped. Bills up to ``after`` were sent earlier. ``sequence`` is the number of
    the incarnation's next object.
    """

    incarnation: str
    sequence: int
    stored_through: int
    after: int
    bills: dict[int, Bill]


class CopyReply(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledgement with the process that holds the copies.

    A process other than before means that the holder restarted and lost its copies.
    """

    process: str


@dataclass(frozen=True)
class Owner:
    """Process whose bills are kept, as the membership identifies it."""

    vm: str
    incarnation: int


@dataclass
class _Held:
    """Copies of one incarnation; ``last_request_at`` is when it last sent a message."""

    owner: Owner
    tail: BillTail
    last_request_at: float


class HeldBills:
    """Keep copies of peers' bills and store those of peers that died.

    ``now`` is in seconds on the node's monotonic clock.
    """

    def __init__(self, process: str):
        self._process = process
        self._held: dict[str, _Held] = {}

    @property
    def count(self) -> int:
        """The number of bills kept."""
        return sum(len(held.tail) for held in self._held.values())

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
            held = _Held(owner, BillTail(request.incarnation), now)
            self._held[request.incarnation] = held
        held.owner, held.last_request_at = owner, now
        tail = held.tail
        tail.bills.update(request.bills)
        tail.advance(request.sequence)
        tail.drop_through(request.stored_through)
        return CopyReply(self._process)

    def orphans(self, living: frozenset[Owner], now: float) -> tuple[BillTail, ...]:
        """Return the bills of owners that are dead or silent, by incarnation.

        Incarnations without bills left are forgotten.
        """
        gone = [
            held
            for held in self._held.values()
            if held.owner not in living or now - held.last_request_at > MAX_SILENCE_S
        ]
        for held in gone:
            if not held.tail.bills:
                del self._held[held.tail.incarnation]
        return tuple(held.tail for held in gone if held.tail.bills)

    async def flush_orphans(
        self, living: frozenset[Owner], objects: Objects, now: float
    ) -> int:
        """Store the bills of dead or silent peers and return how many are left."""
        tails = self.orphans(living, now)
        for tail in tails:
            if not await flush_tail(tail, objects):
                break
        return sum(len(tail) for tail in tails)
