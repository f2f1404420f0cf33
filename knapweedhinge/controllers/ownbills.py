"""Track which of a node's own bills are stored, copied to a peer, or neither."""

from knapweedhinge.controllers.billcopies import CopyReply, CopyRequest
from knapweedhinge.controllers.billing import Bill, BillTail

MAX_TAIL_BILLS = 100_000  # bills kept that are not yet stored
MAX_COPY_BILLS = 500  # bills in one copy message


class OwnBills:
    """Number the node's bills and track them until they are stored.

    ``tail`` holds the bills not yet stored and ``last`` is the last serial number. A
    bill beyond ``MAX_TAIL_BILLS`` is lost and counted in ``lost``; its serial number
    stays unused, so that readers can detect the gap. ``holder`` is the VM of the peer
    that the copies are sent to.
    """

    def __init__(self, incarnation: str):
        self.tail = BillTail(incarnation)
        self.last = 0
        self.lost = 0
        self.holder = ""
        self._process = ""
        self._copied_through = 0
        self._reported_through = 0
        self._serials: dict[str, int] = {}

    def add(self, bill: Bill) -> int:
        """Add a bill and return its serial number.

        A second bill for a request is ignored while the first isn't stored.
        """
        known = self._serials.get(bill.request_id)
        if known in self.tail.bills:
            return known
        self.last += 1
        if len(self.tail) >= MAX_TAIL_BILLS:
            self.lost += 1
            return self.last
        self.tail.bills[self.last] = bill
        self._serials[bill.request_id] = self.last
        return self.last

    def is_safe(self, serial: int) -> bool:
        """Return whether a bill is stored or lost, or copied to the current holder."""
        return serial <= self._copied_through or serial not in self.tail.bills

    @property
    def is_copied(self) -> bool:
        """Whether the holder has all bills that aren't stored."""
        return all(serial <= self._copied_through for serial in self.tail.bills)

    @property
    def holder_is_current(self) -> bool:
        """Whether the holder knows which bills are stored."""
        return not self.holder or self._reported_through >= self.stored_through

    @property
    def stored_through(self) -> int:
        """The serial number up to which all bills are stored or lost."""
        return min(self.tail.bills, default=self.last + 1) - 1

    def copy_request(self, holder: str) -> CopyRequest:
        """Return the next message to a holder; a new one gets all unstored bills."""
        if holder != self.holder:
            self.holder, self._process = holder, ""
            self._copied_through = self._reported_through = 0
        after = self._copied_through
        uncopied = sorted(number for number in self.tail.bills if number > after)
        bills = {
            serial: self.tail.bills[serial] for serial in uncopied[:MAX_COPY_BILLS]
        }
        tail = self.tail
        stored = self.stored_through
        return CopyRequest(tail.incarnation, tail.sequence, stored, after, bills)

    def acknowledge(self, holder: str, request: CopyRequest, reply: CopyReply) -> None:
        """Record a holder's acknowledgement of a message.

        If its process isn't the same as before, the holder has restarted and lost its
        copies; all unstored bills are then sent again.
        """
        if holder != self.holder:
            return
        if reply.process != self._process:
            self._process = reply.process
            self._copied_through = self._reported_through = 0
        if request.after <= self._copied_through:
            sent_through = max(request.bills, default=request.after)
            self._copied_through = max(self._copied_through, sent_through)
            self._reported_through = max(self._reported_through, request.stored_through)

    def forget_stored(self) -> None:
        """Forget the serial numbers of stored bills."""
        kept = self.tail.bills
        self._serials = {
            request_id: serial
            for request_id, serial in self._serials.items()
            if serial in kept
        }
