"""Track which of a node's own bills are stored, copied to a peer, or neither."""

from knapweedhinge.controllers.billcopies import CopyReply, CopyRequest
from knapweedhinge.controllers.billing import Bill, UnstoredBills

MAX_UNSTORED_BILLS = 100_000  # bills kept that are not yet stored
MAX_COPY_BILLS = 500  # bills in one copy message


class OwnBills:
    """Number the node's bills and track them until they are stored.

    ``unstored`` holds the bills not yet stored, ``last`` the last serial number. A bill
    beyond ``MAX_UNSTORED_BILLS`` is lost and counted in ``lost``; its serial number
    stays unused, so that readers can detect the gap. ``holder`` is the VM of the peer
    that the copies are sent to, empty before the first message.
    """

    def __init__(self, incarnation: str):
        self.unstored = UnstoredBills(incarnation)
        self.last = 0
        self.lost = 0
        self.holder = ""
        self._holder_process = ""
        self._copied_through = 0
        self._reported_through = 0
        self._serials: dict[str, int] = {}

    def add(self, bill: Bill) -> int:
        """Add a bill and return its serial number.

        A second bill for a request is ignored while the first isn't stored; the first
        one's serial number is returned.
        """
        known = self._serials.get(bill.request_id)
        if known in self.unstored.bills:
            return known
        self.last += 1
        if len(self.unstored) >= MAX_UNSTORED_BILLS:
            self.lost += 1
            return self.last
        self.unstored.bills[self.last] = bill
        self._serials[bill.request_id] = self.last
        return self.last

    def is_safe(self, serial: int) -> bool:
        """Return whether a bill is stored or lost, or copied to the current holder."""
        return serial <= self._copied_through or serial not in self.unstored.bills

    @property
    def is_copied(self) -> bool:
        """Whether the holder has all bills that aren't stored."""
        return all(serial <= self._copied_through for serial in self.unstored.bills)

    @property
    def holder_is_current(self) -> bool:
        """Whether the holder knows which bills are stored."""
        return not self.holder or self._reported_through >= self.stored_through

    @property
    def stored_through(self) -> int:
        """The serial number up to which all bills are stored or lost."""
        return min(self.unstored.bills, default=self.last + 1) - 1

    def copy_request(self, holder: str) -> CopyRequest:
        """Return the next message to a holder; a new one gets all unstored bills."""
        if holder != self.holder:
            self.holder, self._holder_process = holder, ""
            self._copied_through = self._reported_through = 0
        after = self._copied_through
        uncopied = sorted(number for number in self.unstored.bills if number > after)
        bills = {
            serial: self.unstored.bills[serial] for serial in uncopied[:MAX_COPY_BILLS]
        }
        unstored = self.unstored
        stored = self.stored_through
        return CopyRequest(
            unstored.incarnation, unstored.sequence, stored, after, bills
        )

    def acknowledge(self, holder: str, request: CopyRequest, reply: CopyReply) -> None:
        """Record a holder's acknowledgement of a message.

        If its process isn't the same as before, the holder has restarted and lost its
        copies; all unstored bills are then sent again.
        """
        if holder != self.holder:
            return
        if reply.process != self._holder_process:
            self._holder_process = reply.process
            self._copied_through = self._reported_through = 0
        if request.after <= self._copied_through:
            sent_through = max(request.bills, default=request.after)
            self._copied_through = max(self._copied_through, sent_through)
            self._reported_through = max(self._reported_through, request.stored_through)

    def forget_stored(self) -> None:
        """Forget the serial numbers of stored bills."""
        kept = self.unstored.bills
        self._serials = {
            request_id: serial
            for request_id, serial in self._serials.items()
            if serial in kept
        }
