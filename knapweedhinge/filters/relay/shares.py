"""Refuse calls at once that can't start in time or exceed the organisation's share."""

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters.relay.admit import NextHandler
from knapweedhinge.filters.relay.run import pick_service
from knapweedhinge.filters.relay.types import (
    AnyRelayAnswer,
    CallTrace,
    RelayContext,
    RelayRequest,
)
from knapweedhinge.routing.fairshare import Arrival, Cause, Verdict

CODES = {
    Cause.SHARE: ResultCode.SHARE_USED_UP,
    Cause.DEADLINE: ResultCode.DEADLINE_UNMEETABLE,
}


class ShareRelay:
    """Refuse calls that a service has no room for, before their first attempt.

    The stage passes all calls on if fair shares are switched off.
    """

    def __init__(self, ctx: RelayContext, call_next: NextHandler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: RelayRequest, trace: CallTrace) -> AnyRelayAnswer:
        """Pass the call on; raise RefusedError if it can't start.

        A caller that resumes a stream is never refused, since an endpoint has already
        worked for it.
        """
        if self._ctx.shares is not None and req.call.after_event_number is None:
            verdict = self._decide(req, trace)
            if not verdict.starts:
                self._ctx.metrics.count("calls_held_back", verdict.cause.value)
                raise RefusedError(
                    code=CODES[verdict.cause], retry_after_s=verdict.retry_after_s
                )
        return await self._next(req, trace)

    def _decide(self, req: RelayRequest, trace: CallTrace) -> Verdict:
        ctx, shares, now = self._ctx, self._ctx.shares, self._ctx.clock()
        identity = req.call.session or req.call.request_id
        trace.service = service = pick_service(req.route, identity)
        urgency = shares.urgency(req.view.catalog, service, req.rank)
        shares.demand.asked(service, trace.organisation, urgency, now)
        standing = shares.standing(service, req.view, ctx.fleet.nodes, now)
        ctx.metrics.observe(service, "expected_wait", standing.load.expected_wait_s)
        share = shares.share(standing, trace.organisation, urgency)
        call = Arrival(
            identity,
            share,
            req.deadline_at - now,
            shares.first_piece_s(service, req.route.name),
            shares.has_own_part(service, now),
        )
        verdict = shares.decide(call, service, standing, now)
        trace.share = {"part": round(share, 3), "cause": verdict.cause.value}
        return verdict
