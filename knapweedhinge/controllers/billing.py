"""Bills of requests, and the batches in which the object store keeps them.

There is one bill for each request. Each incarnation of a node, that is one run of its
process, numbers its bills. A batch contains the serial numbers of its bills, so that a
writer that finds an object name taken can read from the object which bills are stored.
"""

import msgspec

BILLS_PREFIX = "bills/"
MAX_BATCH_BILLS = 2_000  # bills in one object


class Bill(msgspec.Struct, frozen=True):
    """Cost of one request; ``micros`` is in millionths of the co-operative's currency.

    Bills with the same request id are equal, unless the request ran more than once.
    """

    request_id: str
    organisation: str
    class_id: str
    version: str
    input_tokens: int
    output_tokens: int
    micros: int


class BillBatch(msgspec.Struct, frozen=True):
    """Content of one object: bills of an incarnation by their serial numbers."""

    incarnation: str
    bills: dict[int, Bill]


class SealedBatch(msgspec.Struct, frozen=True):
    """An encoded batch and its object name.

    Neither changes any more, so that a repeated write stores the same bytes.
    """

    sequence: int
    serials: tuple[int, ...]
    name: str
    data: bytes


class UnstoredBills:
    """Bills of one incarnation that are not known to be stored.

    ``sequence`` is the number of the next object, as far as is known.
    """

    def __init__(self, incarnation: str, sequence: int = 1):
        self.incarnation = incarnation
        self.sequence = sequence
        self.bills: dict[int, Bill] = {}
        self._sealed: SealedBatch | None = None

    def __len__(self) -> int:
        return len(self.bills)

    def seal(self) -> SealedBatch | None:
        """Return the batch to store next, or None if there are no bills.

        The same batch is returned until its object name is known to be taken.
        """
        if self._sealed is None and self.bills:
            serials = tuple(sorted(self.bills)[:MAX_BATCH_BILLS])
            bills = {serial: self.bills[serial] for serial in serials}
            data = msgspec.json.encode(BillBatch(self.incarnation, bills))
            name = batch_name(self.incarnation, self.sequence)
            self._sealed = SealedBatch(self.sequence, serials, name, data)
        return self._sealed

    def drop_stored(self, batch: SealedBatch, serials: tuple[int, ...]) -> None:
        """Drop bills that the object with the batch's name contains.

        ``serials`` are their serial numbers; the object may be another writer's.
        """
        for serial in serials:
            self.bills.pop(serial, None)
        self.advance(batch.sequence + 1)

    def advance(self, sequence: int) -> None:
        """Note that the object names below ``sequence`` are taken."""
        if sequence > self.sequence:
            self.sequence = sequence
            self._sealed = None

    def drop_through(self, serial: int) -> None:
        """Drop the bills up to and including a serial number, which are stored."""
        for stored in [number for number in self.bills if number <= serial]:
            del self.bills[stored]


def batch_name(incarnation: str, sequence: int) -> str:
    """Return the object name of a batch."""
    return f"{BILLS_PREFIX}{incarnation}/{sequence:010d}"


def decode_batch(data: bytes) -> BillBatch:
    """Decode the content of an object; raise msgspec.MsgspecError if malformed."""
    return msgspec.json.decode(data, type=BillBatch)
