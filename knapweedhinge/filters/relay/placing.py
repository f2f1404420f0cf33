"""Find the endpoint of one attempt, waiting a little where none is free."""

import asyncio
from typing import TYPE_CHECKING

from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.routing.placement import (
    NoPlacement,
    Placement,
    PlacementRequest,
    PlacementView,
    place,
)
from knapweedhinge.routing.prefix import part_blocks
from knapweedhinge.routing.releases import trial_share

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import RelayRun

# Part of the latency objective that a call waits for an endpoint to come free; one
# held longer is served elsewhere sooner if it is told to come back.
HOLD = 0.125
HOLD_STEPS = 5  # looks at the endpoints within that time
DEFAULT_USUAL_S = 0.3  # time to a first piece before any was seen


def prompt_blocks_of(owner: "RelayRun") -> tuple[int, ...]:
    """Return the chained hashes of the prompt's parts, for the model asked."""
    call = owner.req.call
    if not call.parts:
        return ()
    return part_blocks(owner.size or call.model, tuple(p.id for p in call.parts))


async def find_place(owner: "RelayRun", blocks: tuple[int, ...]) -> Placement:
    """Return a place, waiting a little for one; raise RefusedError without."""
    ctx, req = owner.ctx, owner.req
    hold_s = HOLD * req.route.objective_s
    began = ctx.clock()
    while True:
        now = ctx.clock()
        wanted = PlacementRequest(
            service=req.service,
            session=req.call.session or req.call.request_id,
            blocks=blocks,
            part_tokens=tuple(part.tokens for part in req.call.parts),
            tried=owner.tried,
        )
        found = place(wanted, placement_view(owner, now), now, ctx.rng)
        if isinstance(found, Placement):
            return found
        if now - began >= hold_s or now + hold_s / HOLD_STEPS >= req.deadline_at:
            raise _no_place(found)
        await asyncio.sleep(hold_s / HOLD_STEPS)


def placement_view(owner: "RelayRun", now: float) -> PlacementView:
    """Return what placing looks at, as of now."""
    ctx, req = owner.ctx, owner.req
    view, listen = ctx.fleet.view, ctx.settings.listen
    kind = req.route.name, owner.size
    return PlacementView(
        endpoints=view.endpoints,
        work_s=ctx.loads.work_s,
        prefixes=ctx.prefixes,
        failure_domain=listen.failure_domain,
        region=listen.region,
        healths=ctx.health.healths,
        domains_out=view.domains_out,
        cold_refused=ctx.fleet.cold_refused(now),
        doubtful=ctx.fleet.doubtful(),
        full=ctx.pools.full_ids(),
        release=view.release(req.service),
        trial_share=trial_share(ctx.settings.promises.exposure),
        usual_s=ctx.health.usual_s(kind, DEFAULT_USUAL_S),
    )


def least_crowding_s(owner: "RelayRun") -> float:
    """Return what a call would lose to crowding at its best place now."""
    ctx, now = owner.ctx, owner.ctx.clock()
    wanted = PlacementRequest(
        owner.req.service, owner.req.call.session or owner.req.call.request_id
    )
    found = place(wanted, placement_view(owner, now), now, ctx.rng)
    return found.chosen.queueing_delay_s if isinstance(found, Placement) else 0.0


def _no_place(found: NoPlacement) -> RefusedError:
    return RefusedError(
        found.reason, code=found.code, retry_after_s=found.retry_after_s
    )
