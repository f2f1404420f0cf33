"""Cache the outcomes of recent requests for clients that ask for them."""

import base64
from collections import OrderedDict
from typing import Protocol

import msgspec

from knapweedhinge.controllers.claimrecords import ClaimRecord, ClaimState
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import OutcomeUnknownError, PlatformError

MAX_OUTCOMES = 10_000  # requests whose outcome is kept, the newest ones
MAX_ANSWER_BYTES = 4 * 1024  # longer answers are left out of an outcome

RUN_STATES = {
    ClaimState.CLAIMED: RunState.RUNNING,
    ClaimState.RELEASED: RunState.NOT_RUN,
    ClaimState.COMPLETED: RunState.COMPLETED,
    ClaimState.UNKNOWN: RunState.UNKNOWN,
}


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of a request, without its answer when that is too long."""

    organisation: str
    state: RunState
    code: int = 0
    answer: str = ""


class _Entry(msgspec.Struct):
    """State of all calls with one request id; a client's retries share the id.

    ``keyed`` is True when the request has an idempotency key, so that other nodes may
    handle calls of it too. ``uncertain`` is True when a failed call may have run.
    """

    organisation: str
    keyed: bool
    open_calls: int = 0
    uncertain: bool = False
    completed: bool = False
    code: int = 0
    answer: str = ""

    @property
    def state(self) -> RunState:
        """Return the combined run state of all calls.

        A completed call counts most, then one that runs, then one that may have run.
        """
        if self.completed:
            return RunState.COMPLETED
        if self.open_calls:
            return RunState.RUNNING
        return RunState.UNKNOWN if self.uncertain else RunState.NOT_RUN


class Claims(Protocol):
    """Method of ClaimStore that finding an outcome uses."""

    async def find(self, organisation_id: str, request_id: str) -> ClaimRecord | None:
        """Return the claim record of a request, or None.

        Raise PlatformError when the table service doesn't answer.
        """


class OutcomeCache:
    """Keep the outcomes of the newest ``MAX_OUTCOMES`` requests of this node."""

    def __init__(self):
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def begin(
        self, organisation_id: str, request_id: str, *, keyed: bool = False
    ) -> None:
        """Note that a call of a request has begun; others may run concurrently."""
        entry = self._entries.pop(request_id, None) or _Entry(organisation_id, keyed)
        entry.open_calls += 1
        self._entries[request_id] = entry
        if len(self._entries) > MAX_OUTCOMES:
            self._entries.popitem(last=False)

    def complete(self, request_id: str, body: bytes) -> None:
        """Note that a call ended with a complete answer."""
        entry = self._close(request_id)
        if entry is None:
            return
        kept = body if len(body) <= MAX_ANSWER_BYTES else b""
        entry.completed, entry.code = True, ResultCode.OK.number
        entry.answer = kept.decode("utf-8", errors="replace")

    def fail(self, request_id: str, code: ResultCode, state: RunState) -> None:
        """Note that a call ended with an error.

        ``state`` says whether it ran. It doesn't override another call of the request
        that completed or may have run.
        """
        entry = self._close(request_id)
        if entry is None or entry.completed:
            return
        entry.uncertain |= state is not RunState.NOT_RUN
        entry.code = code.number

    def get(self, organisation_id: str, request_id: str) -> Outcome | None:
        """Return the outcome known here, or None.

        None also for a request of another organisation.
        """
        entry = self._entries.get(request_id)
        if entry is None or entry.organisation != organisation_id:
            return None
        return Outcome(organisation_id, entry.state, entry.code, entry.answer)

    async def find(
        self, organisation_id: str, request_id: str, claims: Claims
    ) -> Outcome | None:
        """Return the outcome of a request, whichever node ran it.

        Return None for an unknown request. Raise OutcomeUnknownError when another
        node may have run it and the table service doesn't answer.
        """
        known = self.get(organisation_id, request_id)
        if known is not None and not self._may_differ(request_id, known):
            return known
        try:
            record = await claims.find(organisation_id, request_id)
        except PlatformError as exc:
            raise OutcomeUnknownError("the claims table can't be read") from exc
        return from_claim(organisation_id, record) if record else known

    def _may_differ(self, request_id: str, known: Outcome) -> bool:
        """Return whether a call on another node may have ended differently."""
        settled = known.state in (RunState.COMPLETED, RunState.RUNNING)
        return self._entries[request_id].keyed and not settled

    def _close(self, request_id: str) -> _Entry | None:
        entry = self._entries.get(request_id)
        if entry is not None:
            entry.open_calls -= 1
        return entry


def from_claim(organisation_id: str, record: ClaimRecord) -> Outcome:
    """Convert a claim's record into an outcome."""
    answer = base64.b64decode(record.body).decode("utf-8", errors="replace")
    return Outcome(organisation_id, RUN_STATES[record.state], answer=answer)
