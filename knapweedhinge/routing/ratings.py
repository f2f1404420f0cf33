"""Tracking of answers without a rating, so that lost ratings are requested again."""

from dataclasses import dataclass, field

RATING_TIMEOUT_S = 60.0  # time before a rating is requested again for the first time
MAX_RATING_TIMEOUT_S = 900.0  # longest time between two requests for a rating
TIMEOUT_BACKOFF_FACTOR = 2.0  # factor by which the time between requests grows


@dataclass
class _Pending:
    roll_out: str
    due_at: float
    timeout_s: float


@dataclass
class PendingRatings:
    """Answers of versions under roll-out that this node awaits the rating of.

    An answer stays pending until it is rated or known not to have run. An answer whose
    rating is lost thus keeps its evidence slot, so that the number of unrated answers
    stays bounded. ``pending`` is by request id, ``counts`` holds the number of unrated
    answers by roll-out id.
    """

    pending: dict[str, _Pending] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)

    def expect(self, request_id: str, roll_out_id: str, now: float) -> None:
        """Expect a rating; called before the request is dispatched."""
        if request_id in self.pending:
            return
        due_at = now + RATING_TIMEOUT_S
        self.pending[request_id] = _Pending(roll_out_id, due_at, RATING_TIMEOUT_S)
        self.counts[roll_out_id] = self.unrated(roll_out_id) + 1

    def settle(self, request_id: str) -> str:
        """Stop waiting for a rating and return the roll-out id of the request.

        Called when the rating arrives or the request turns out not to have run. Return
        an empty string if the request was not pending.
        """
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return ""
        self.counts[pending.roll_out] -= 1
        return pending.roll_out

    def unrated(self, roll_out_id: str) -> int:
        """Return the number of unrated answers of the roll-out."""
        return self.counts.get(roll_out_id, 0)

    def overdue(self, now: float) -> tuple[str, ...]:
        """Return the ids of requests whose rating is overdue, and back off for each."""
        overdue_ids = tuple(
            request_id
            for request_id, pending in self.pending.items()
            if now >= pending.due_at
        )
        for request_id in overdue_ids:
            pending = self.pending[request_id]
            pending.timeout_s = min(
                MAX_RATING_TIMEOUT_S, pending.timeout_s * TIMEOUT_BACKOFF_FACTOR
            )
            pending.due_at = now + pending.timeout_s
        return overdue_ids

    def forget(self, roll_out_id: str) -> None:
        """Drop the pending answers of a roll-out that has ended."""
        ended = [
            request_id
            for request_id, pending in self.pending.items()
            if pending.roll_out == roll_out_id
        ]
        for request_id in ended:
            del self.pending[request_id]
        self.counts.pop(roll_out_id, None)
