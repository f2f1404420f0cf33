"""Buffer for final states of claims that are not yet written to the table service."""

from collections import OrderedDict
from dataclasses import replace

from knapweedhinge.controllers.claimrecords import Claim

MAX_PENDING_CLAIMS = 10_000
MAX_PENDING_BODY_BYTES = 16 * 1024 * 1024  # summed over the Base64 answer bodies


class PendingOutcomes:
    """Keep the final state of claims until the table service has stored it.

    Claims are identified by their attempt, not by their key: a node may release a key
    and claim it again before the first final state is written. Answer bodies beyond
    ``MAX_PENDING_BODY_BYTES`` are left out and counted in ``bodies_dropped``; claims
    beyond ``MAX_PENDING_CLAIMS`` are left out and counted in ``dropped``.
    """

    def __init__(self):
        self._claims: OrderedDict[str, Claim] = OrderedDict()
        self._size_bytes = 0
        self.dropped = 0
        self.bodies_dropped = 0

    def __len__(self) -> int:
        return len(self._claims)

    def add(self, claim: Claim) -> Claim | None:
        """Keep a claim's final state and return it as kept, or None when full.

        The body of its answer is left out when there is no room for it.
        """
        if len(self._claims) >= MAX_PENDING_CLAIMS:
            self.dropped += 1
            return None
        if self._size_bytes + len(claim.record.body) > MAX_PENDING_BODY_BYTES:
            self.bodies_dropped += 1
            claim = replace(claim, record=claim.record.without_body())
        self.discard(claim)
        self._claims[claim.record.attempt] = claim
        self._size_bytes += len(claim.record.body)
        return claim

    def discard(self, claim: Claim) -> None:
        """Drop a claim's final state if it is kept."""
        kept = self._claims.pop(claim.record.attempt, None)
        if kept is not None:
            self._size_bytes -= len(kept.record.body)

    def snapshot(self) -> tuple[Claim, ...]:
        """Return the kept claims, oldest first."""
        return tuple(self._claims.values())
