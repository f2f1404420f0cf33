"""Run a request that isn't idempotent at most once per idempotency key.

The caller chooses the key, or uses one that a node handed out in advance. Such a
reserved key belongs to a range of keys; while the range is open, only the node that
owns it runs requests with its keys.
"""

from types import MappingProxyType

from knapweedhinge.controllers.claims import Claim, Recorded, claim_key, fingerprint
from knapweedhinge.controllers.reserved import ReservedKey
from knapweedhinge.core.codes import ResultCode, RunState
from knapweedhinge.core.exceptions import (
    CallerError,
    EndpointError,
    KnapweedhingeError,
    OutcomeUnknownError,
    PeerError,
)
from knapweedhinge.filters.retry import is_idempotent
from knapweedhinge.filters.types import Answer, AnyAnswer, Context, Handler, Request

REPLAYED = MappingProxyType({"X-Replayed": "true"})


class Deduplicate:
    """Claim the idempotency key before the request is sent; record its outcome."""

    def __init__(self, ctx: Context, call_next: Handler):
        self._claims = ctx.claims
        self._reserved = ctx.reserved
        self._clock = ctx.clock
        self._next = call_next

    async def __call__(self, req: Request) -> AnyAnswer:
        """Pass the request on under a claim, or return the answer recorded before.

        A claimed request runs to its end and its outcome is recorded, even when the
        caller disconnects. Raise CallerError if the route requires a key and the
        request has none.
        """
        if is_idempotent(req):
            return await self._next(req)
        if req.idempotency_key:
            return await self._claims.detached.run(self._run_keyed(req))
        if req.route.require_key:
            raise CallerError(code=ResultCode.IDEMPOTENCY_KEY_REQUIRED)
        return await self._run(req)

    async def _run_keyed(self, req: Request) -> AnyAnswer:
        key = self._reserved.parse(req.idempotency_key)
        if key is None or self._reserved.owns(key):
            return await self._run_claimed(req, key)
        try:
            return await self._reserved.forward(req, key.vm)
        except PeerError:
            return await self._run_without_owner(req, key)

    async def _run_without_owner(self, req: Request, key: ReservedKey) -> AnyAnswer:
        """Decide by the stored claims when a reserved key's owner can't be reached.

        If the owner closed the key's range, this node may run the request. If not, the
        owner may still run it, so only a recorded answer can be returned.
        """
        if await self._reserved.is_closed(key):
            return await self._run_claimed(req, None)
        row_key = claim_key(req.organisation.id, req.request_id)
        return replay(await self._reserved.replay(row_key, fingerprint_of(req)))

    async def _run_claimed(self, req: Request, key: ReservedKey | None) -> AnyAnswer:
        claim = await self._acquire_claim(req, key)
        if isinstance(claim, Recorded):
            return replay(claim)
        try:
            answer = await self._run(req)
        except BaseException as exc:
            await self._end_failed_claim(key, claim, exc)
            raise
        await self._claims.complete(
            claim, answer.status, answer.content_type, answer.body
        )
        return answer

    async def _acquire_claim(
        self, req: Request, key: ReservedKey | None
    ) -> Claim | Recorded:
        row_key = claim_key(req.organisation.id, req.request_id)
        call_hash, lifetime_s = (
            fingerprint_of(req),
            req.deadline_at - self._clock(),
        )
        if key is None:
            return await self._claims.take(
                row_key, call_hash, req.request_id, lifetime_s
            )
        return await self._reserved.take(
            key, row_key, call_hash, req.request_id, lifetime_s
        )

    async def _run(self, req: Request) -> AnyAnswer:
        try:
            return await self._next(req)
        except EndpointError as exc:
            if exc.run_state is RunState.NOT_RUN:
                raise
            raise OutcomeUnknownError(exc.message) from exc

    async def _end_failed_claim(
        self, key: ReservedKey | None, claim: Claim, exc: BaseException
    ) -> None:
        not_run = isinstance(exc, KnapweedhingeError) and (
            exc.run_state is RunState.NOT_RUN
        )
        if not not_run:
            await self._claims.mark_unknown(claim)
            return
        await self._claims.release(claim)
        if key is not None:
            self._reserved.release(key, claim.key)


def fingerprint_of(req: Request) -> str:
    """Return a hash of the call.

    By it, the reuse of a key for a different call is detected.
    """
    call = req.call
    return fingerprint(
        call.service.encode(),
        call.method.encode(),
        call.path.encode(),
        call.query.encode(),
        call.body,
    )


def replay(recorded: Recorded) -> Answer:
    """Return the recorded answer, marked as replayed."""
    return Answer(
        recorded.status,
        recorded.body,
        recorded.content_type,
        headers=REPLAYED,
        billed=True,
    )
