"""Make a node's bills durable: copy each to a peer, then store it in batches.

The last part of an answer is held back until its bill is copied or stored.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from knapweedhinge.controllers.billcopies import CopyReply, CopyRequest
from knapweedhinge.controllers.billflush import Objects, store_bills
from knapweedhinge.controllers.billing import Bill
from knapweedhinge.controllers.ownbills import OwnBills
from knapweedhinge.core.exceptions import PeerError

COPY_SPACING_S = 0.005  # least time between copy messages, so that bills are batched
COPY_WAIT_S = 0.5  # longest time an answer waits for the copy of its bill
COPY_ATTEMPTS = 2  # holders tried for one copy message


class CopyPeers(Protocol):
    """Methods of the peers that copying bills uses."""

    def holder(self) -> str | None:
        """Return the VM that should hold this node's copies, None without a peer."""

    def avoid(self, vm: str) -> None:
        """Choose a holder other than this VM for some time."""

    async def send(self, vm: str, request: CopyRequest) -> CopyReply:
        """Send copies to a VM; raise PeerError when that fails."""


class BillKeeper:
    """Copy bills to a peer and store them in the object store.

    ``uncopied`` counts the bills whose answers were completed before the bill was
    copied or stored; such a bill is lost if this process dies before storing it.
    ``copy_messages`` counts the messages sent to holders of copies.
    """

    def __init__(self, incarnation: str, objects: Objects, clock: Callable[[], float]):
        self._own_bills = OwnBills(incarnation)
        self._objects = objects
        self._clock = clock
        self._peers: CopyPeers | None = None
        self._waiters: list[tuple[int, asyncio.Future]] = []
        self._sender: asyncio.Task | None = None
        self._flushing: asyncio.Task | None = None
        self._sent_at = float("-inf")
        self.uncopied = 0
        self.copy_messages = 0

    def copy_to(self, peers: CopyPeers) -> None:
        """Copy bills to these peers from now on."""
        self._peers = peers

    @property
    def lost(self) -> int:
        """The number of bills lost because too many were not yet stored."""
        return self._own_bills.lost

    @property
    def unflushed(self) -> int:
        """The number of bills not yet stored."""
        return len(self._own_bills.unstored)

    async def keep(self, bill: Bill) -> None:
        """Add a bill and wait until it is copied or stored.

        Wait at most ``COPY_WAIT_S``; then the bill counts as uncopied.
        """
        serial = self._own_bills.add(bill)
        try:
            async with asyncio.timeout(COPY_WAIT_S):
                await self._wait_until_safe(serial)
        except TimeoutError:
            pass
        if not self._own_bills.is_safe(serial):
            self.uncopied += 1

    async def flush(self) -> int:
        """Store all bills; return how many are left because the store failed."""
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.create_task(self._flush())
        await asyncio.shield(self._flushing)
        return self.unflushed

    def refresh_copies(self) -> None:
        """Start sending the holder what it lacks; a new holder lacks all bills."""
        holder = self._peers.holder() if self._peers else None
        if holder is None:
            return
        own_bills = self._own_bills
        holder_changed = bool(own_bills.unstored) and holder != own_bills.holder
        if holder_changed or not own_bills.is_copied or not own_bills.holder_is_current:
            self._start_sender()

    async def stop(self) -> None:
        """Store the bills as far as the object store works.

        Report that to the holder and stop sending copies.
        """
        await self.flush()
        self.refresh_copies()
        if self._sender is not None:
            await asyncio.wait((self._sender,), timeout=COPY_WAIT_S)
            self._sender.cancel()

    async def _flush(self) -> None:
        await store_bills(self._own_bills.unstored, self._objects)
        self._own_bills.forget_stored()
        self._wake()

    async def _wait_until_safe(self, serial: int) -> None:
        if self._peers is None or self._peers.holder() is None:
            await self.flush()
            return
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append((serial, fut))
        self._start_sender()
        await fut

    def _start_sender(self) -> None:
        if self._sender is None or self._sender.done():
            self._sender = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        """Send until the holder has all bills, spaced so that bills are batched."""
        first = True
        while first or self._waiters or not self._own_bills.is_copied:
            first = False
            wait_s = self._sent_at + COPY_SPACING_S - self._clock()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._sent_at = self._clock()
            sent = await self._send()
            self._wake(wake_all=not sent)
            if not sent:
                return

    async def _send(self) -> bool:
        """Send one message; return whether a holder acknowledged it."""
        for _ in range(COPY_ATTEMPTS):
            holder = self._peers.holder()
            if holder is None:
                return False
            request = self._own_bills.copy_request(holder)
            self.copy_messages += 1
            try:
                reply = await self._peers.send(holder, request)
            except PeerError:
                self._peers.avoid(holder)
                continue
            self._own_bills.acknowledge(holder, request, reply)
            return True
        return False

    def _wake(self, *, wake_all: bool = False) -> None:
        """Resume the waiters whose bills are safe, or all with ``wake_all``."""
        waiting = []
        for serial, fut in self._waiters:
            if fut.done():
                continue
            if wake_all or self._own_bills.is_safe(serial):
                fut.set_result(None)
            else:
                waiting.append((serial, fut))
        self._waiters = waiting
