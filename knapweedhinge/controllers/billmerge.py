"""Merge stored batches of bills into one bill for each request."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from knapweedhinge.controllers.billing import Bill, BillBatch


@dataclass
class MergedBills:
    """Bills by request id, and the inconsistencies found among the batches.

    ``differing`` holds the ids of requests with unequal bills: a chat request that was
    retried with its idempotency key may have run twice, and the lower bill counts.
    ``missing`` counts the missing serial numbers of each incarnation; bills lost after
    the last stored one can't be detected.
    """

    bills: dict[str, Bill] = field(default_factory=dict)
    differing: set[str] = field(default_factory=set)
    missing: dict[str, int] = field(default_factory=dict)

    @property
    def micros(self) -> int:
        """The sum of all bills, in millionths of the currency."""
        return sum(bill.micros for bill in self.bills.values())


def merge_bills(batches: Iterable[BillBatch]) -> MergedBills:
    """Merge batches into one bill for each request.

    Batches may overlap, and their order doesn't matter.
    """
    merged = MergedBills()
    serials: dict[str, set[int]] = defaultdict(set)
    for batch in batches:
        serials[batch.incarnation].update(batch.bills)
        for bill in batch.bills.values():
            _add(merged, bill)
    for incarnation, found in serials.items():
        missing_count = max(found, default=0) - len(found)
        if missing_count:
            merged.missing[incarnation] = missing_count
    return merged


def _add(merged: MergedBills, bill: Bill) -> None:
    known = merged.bills.setdefault(bill.request_id, bill)
    if known == bill:
        return
    merged.differing.add(bill.request_id)
    merged.bills[bill.request_id] = min(known, bill, key=_rank)


def _rank(bill: Bill) -> tuple[int, bytes]:
    """Order bills by amount; equal amounts by content, for a unique result."""
    return bill.micros, msgspec.json.encode(bill)
