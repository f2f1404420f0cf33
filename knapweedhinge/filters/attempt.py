"""Build the engine call of one attempt, and check it right before it is sent."""

import msgspec

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import OutcomeUnknownError, RefusedError
from knapweedhinge.core.tokens import AttemptClaims
from knapweedhinge.endpoints import EngineCall
from knapweedhinge.filters.admit import ensure_current
from knapweedhinge.filters.choose import may_run
from knapweedhinge.filters.retry import may_run_again
from knapweedhinge.filters.types import ChatCall, Context, Request, ServiceCall


def engine_call(req: Request, ctx: Context, endpoint_id: str) -> EngineCall:
    """Return the engine call of this attempt.

    Its id is a signed token that names the request, endpoint and version, so that any
    node can resume its stream.
    """
    claims = AttemptClaims(
        req.request_id,
        req.organisation.id,
        req.class_id,
        endpoint_id,
        req.version.id,
        req.attempt,
    )
    fields = {**req.call.fields, "model": req.version.id}
    if req.call.stream:
        fields["stream_options"] = {"include_usage": True}
    work_class = req.snapshot.configuration.class_of_work(req.class_id)
    return EngineCall(
        attempt_id=ctx.tokens.sign(claims),
        version=req.version.id,
        body=msgspec.json.encode(fields),
        priority=work_class.priority if work_class else 0,
        timeout_s=req.deadline_at - ctx.clock(),
    )


def ensure_may_run(req: Request, ctx: Context) -> None:
    """Check the deadline and the caller's rights once more, right before sending.

    They are checked against the newest configuration. Raise RefusedError if the request
    may no longer run, OutcomeUnknownError if it may have run and can't run again.
    """
    newest = ctx.state.current
    now = ctx.clock()
    ensure_current(newest, ctx.settings.peers, now)
    if now >= req.deadline_at:
        raise RefusedError(code=ResultCode.DEADLINE_UNMEETABLE)
    organisation = newest.configuration.organisation(req.organisation.id)
    match req.call:
        case ChatCall():
            version = newest.configuration.version(req.version.id)
            # A cut version was found to be bad under roll-out; its withdrawal follows.
            is_cut = req.version.id in ctx.learning.cuts.versions
            if is_cut or not may_run(version, organisation):
                raise RefusedError(code=ResultCode.VERSION_WITHDRAWN)
        case ServiceCall():
            if req.call.service not in organisation.allowed_services:
                raise RefusedError(code=ResultCode.SERVICE_NOT_ALLOWED)
            if req.may_have_run and not may_run_again(req, ctx):
                raise OutcomeUnknownError()
