"""Refuse calls that repeatedly crashed the endpoints that ran them."""

import asyncio
from dataclasses import replace

from loguru import logger

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters.relay.admit import NextHandler
from knapweedhinge.filters.relay.types import (
    AnyRelayAnswer,
    CallTrace,
    RelayContext,
    RelayRequest,
)
from knapweedhinge.routing.crashes import fingerprint
from knapweedhinge.routing.promptquarantine import part_key
from knapweedhinge.routing.quarantine import Standing, Verdict

# Longest Retry-After of a quarantined call, in seconds. The call is accepted again once
# the evidence against it has expired, after ``quarantine_s``, or to test it once more.
RETRY_AFTER_S = 60.0
MIN_RETRY_AFTER_S = 1.0
# Shortest and longest time for which a suspect is held, as fractions of the route's
# latency objective. They differ so that not all suspects go on at once.
HOLD_FRACTIONS = (0.05, 0.2)
HOLD_CHECK_S = 0.02  # between two looks at the evidence
# Seconds after a crash in which calls are held rather than refused, since answers may
# still clear the parts that it suspects.
SETTLING_S = 0.3
MAX_MESSAGE_CHARS = 200  # callers name the parts of their prompts as they like


class ScreenRelay:
    """Refuse quarantined calls, and set the fingerprint of the others.

    Calls are recognised by their content, since a caller that repeats one gives it a
    new request id.
    """

    def __init__(self, ctx: RelayContext, call_next: NextHandler):
        self._ctx = ctx
        self._next = call_next

    async def __call__(self, req: RelayRequest, trace: CallTrace) -> AnyRelayAnswer:
        """Pass the call on; raise RefusedError if calls like it crashed endpoints."""
        ctx, now = self._ctx, self._ctx.clock()
        req = replace(req, fingerprint=fingerprint_of(req))
        verdict = verdict_on(ctx, req, now)
        if (
            verdict.standing is Standing.QUARANTINED
            and ctx.quarantine.retrial_due_s(verdict, now) <= 0
        ):
            logger.bind(fingerprint=req.fingerprint, strikes=verdict.strikes).info(
                "a quarantined call is tested by a run"
            )
            ctx.quarantine.retrial_started(req.fingerprint, now)
            req = replace(req, tested_strikes=len(verdict.strikes))
        refuse_quarantined(ctx, req, now)
        return await self._next(req, trace)


def verdict_on(ctx: RelayContext, req: RelayRequest, now: float) -> Verdict:
    """Return the standing of calls with the same content."""
    endpoints = len(req.view.endpoints.by_id)
    return ctx.quarantine.verdict(req.fingerprint, ctx.limits, endpoints, now)


def refuse_quarantined(ctx: RelayContext, req: RelayRequest, now: float) -> None:
    """Raise RefusedError if calls with the same content or parts crashed endpoints."""
    blamed = ctx.quarantine.blamed_parts(req.shared_parts, ctx.limits, now)
    if blamed:
        ids = [
            part.id
            for part, key in zip(req.call.parts, req.shared_parts, strict=False)
            if key in blamed
        ]
        message = f"calls with these parts in their prompts crashed endpoints: {ids}"
        raise RefusedError(
            message[:MAX_MESSAGE_CHARS],
            code=ResultCode.OVERLOADED,
            retry_after_s=RETRY_AFTER_S,
        )
    verdict = verdict_on(ctx, req, now)
    if verdict.standing is not Standing.QUARANTINED:
        return
    if len(verdict.strikes) > req.tested_strikes:
        due_s = ctx.quarantine.retrial_due_s(verdict, now)
        raise RefusedError(
            "calls with the same content crashed endpoints",
            code=ResultCode.OVERLOADED,
            retry_after_s=min(RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, due_s)),
        )


async def hold_suspect(ctx: RelayContext, req: RelayRequest) -> None:
    """Hold a call back while it is open whether its prompt crashes endpoints.

    Calls are held for different times, so that the first to go on shows it for the
    others. Raise RefusedError as soon as parts of the prompt are blamed, but not within
    ``SETTLING_S`` of a crash: when several endpoints crash at once, sound parts are
    suspected too, until the first calls are answered elsewhere.
    """
    hold_s = ctx.rng.uniform(*HOLD_FRACTIONS) * req.route.objective_s
    until = min(req.deadline_at, ctx.clock() + hold_s)
    while (since := ctx.quarantine.suspected_since(req.shared_parts)) is not None:
        now = ctx.clock()
        if now >= until or now - since >= SETTLING_S:
            refuse_quarantined(ctx, req, now)
        if now >= until:
            return
        await asyncio.sleep(HOLD_CHECK_S)


def shared_parts(req: RelayRequest) -> tuple[str, ...]:
    """Return the keys of the prompt's parts but the last, which is the call's own."""
    return tuple(part_key(req.service, part.id) for part in req.call.parts[:-1])


def fingerprint_of(req: RelayRequest) -> str:
    """Return a hash of the call's organisation, target and body."""
    organisation = req.organisation.name if req.organisation else ""
    call = req.call
    return fingerprint(organisation, b"%s\0%s" % (call.target, call.body))
