"""Select the endpoint of one attempt; wait briefly if none is free."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from knapweedhinge.controllers.enginespeeds import endpoint_key
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.core.exceptions import RefusedError
from knapweedhinge.filters.relay.engineuse import size_of
from knapweedhinge.routing.domainshare import Assignment
from knapweedhinge.routing.engineroom import RoomView
from knapweedhinge.routing.fairshare import order_key
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.placement import (
    FAILING_SHARE,
    NoPlacement,
    Placement,
    PlacementRequest,
    PlacementView,
    place,
)
from knapweedhinge.routing.prefix import part_blocks

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import CallExecution

# Fraction of the latency objective that a call waits for an endpoint to come free. A
# call that would wait longer is served sooner if it is refused and its caller retries
# at another node.
MAX_WAIT_FRACTION = 0.125
WAIT_CHECKS = 5  # times that the endpoints are checked while a call waits
# Seconds assumed to the first piece of an answer while no answer has been timed yet.
DEFAULT_FIRST_PIECE_S = 0.3


def prompt_block_hashes(execution: "CallExecution") -> tuple[int, ...]:
    """Return the chained hashes of the prompt's parts, empty without parts.

    They identify a prompt prefix in the KV cache of the model asked.
    """
    call = execution.req.call
    if not call.parts:
        return ()
    return part_blocks(
        execution.chosen_model or call.model, tuple(part.id for part in call.parts)
    )


async def select_endpoint(
    execution: "CallExecution", blocks: tuple[int, ...]
) -> Placement:
    """Return the endpoint chosen for the next attempt.

    Wait for one to come free for at most ``MAX_WAIT_FRACTION`` of the route's latency
    objective, then raise RefusedError. With fair shares, calls that wait are served in
    order.
    """
    ctx, req = execution.ctx, execution.req
    placement_request = PlacementRequest(
        service=req.service,
        in_trial=execution.in_trial,
        blocks=blocks,
        part_tokens=tuple(part.tokens for part in req.call.parts),
        tried=execution.tried,
        decode_s=execution.decode_s(),
    )
    if ctx.shares is not None:
        return await _select_in_order(execution, placement_request)
    max_wait_s = MAX_WAIT_FRACTION * req.route.objective_s
    began = ctx.clock()
    while True:
        now = ctx.clock()
        result = _place(execution, placement_request, now)
        if isinstance(result, Placement):
            return result
        if (
            result.is_final
            or now - began >= max_wait_s
            or now + max_wait_s / WAIT_CHECKS >= req.deadline_at
        ):
            raise _refusal(execution, result)
        await asyncio.sleep(max_wait_s / WAIT_CHECKS)


async def _select_in_order(
    execution: "CallExecution", placement_request: PlacementRequest
) -> Placement:
    """Return the endpoint chosen for the next attempt when it is the call's turn.

    Raise RefusedError after the same wait as ``select_endpoint()``.
    """
    ctx, req, trace = execution.ctx, execution.req, execution.trace
    max_wait_s = MAX_WAIT_FRACTION * req.route.objective_s
    needed_s = ctx.shares.first_piece_s(req.service, req.route.name)
    left_s = req.deadline_at - ctx.clock()

    def order() -> tuple[float, ...]:
        now = ctx.clock()
        standing = ctx.shares.standing(req.service, req.view, ctx.fleet.nodes, now)
        served_part = standing.served_parts.get(trace.organisation, 0.0)
        return order_key(req.rank, served_part, req.deadline_at - now, needed_s)

    def attempt() -> Placement | NoPlacement:
        return _place(execution, placement_request, ctx.clock())

    demand = ctx.shares.demand
    demand.waits(req.service, trace.organisation, 1, ctx.clock())
    try:
        result = await ctx.waiting.place(
            req.service,
            order,
            attempt,
            max(0.0, min(max_wait_s, left_s - max_wait_s / WAIT_CHECKS)),
            max_wait_s / WAIT_CHECKS,
        )
    finally:
        demand.waits(req.service, trace.organisation, -1, ctx.clock())
    if isinstance(result, Placement):
        return result
    raise _refusal(execution, result)


def _place(
    execution: "CallExecution", placement_request: PlacementRequest, now: float
) -> Placement | NoPlacement:
    """Return the choice of an endpoint now, and record what it depended on."""
    view = placement_view(execution, now, placement_request.blocks)
    result = place(placement_request, view, now, execution.ctx.rng)
    _record_room(execution, result, now)
    if isinstance(result, Placement):
        failed_share = view.failure_shares.get(result.chosen.endpoint.id, 0.0)
        if failed_share >= FAILING_SHARE:
            execution.ctx.metrics.count(
                "placed_at_failing_endpoints", execution.req.service
            )
    is_first = not execution.attempts
    if isinstance(result, Placement) and view.assigned is not None and is_first:
        execution.trace.domain = execution.ctx.domains.placed(
            view.assigned, result.chosen.endpoint.failure_domain
        )
    return result


def placement_view(
    execution: "CallExecution", now: float, blocks: tuple[int, ...] = ()
) -> PlacementView:
    """Return the state of the endpoints that the placement is decided on.

    Without the ``blocks`` of a prompt, the room of engines doesn't count.
    """
    ctx, req = execution.ctx, execution.req
    view, listen = ctx.fleet.view, ctx.settings.listen
    kind = req.route.name, execution.chosen_model
    return PlacementView(
        endpoints=view.endpoints,
        work_s=ctx.loads.work_s,
        prefixes=ctx.prefixes,
        failure_domain=listen.failure_domain,
        region=listen.region,
        healths=ctx.health.healths,
        domains_out=view.domains_out,
        cold_rate_limited=ctx.fleet.cold_rate_limited(now),
        lapsed_ids=ctx.fleet.lapsed_ids(),
        full=ctx.pools.full_ids(),
        release=view.release(req.service),
        typical_first_piece_s=ctx.health.typical_first_piece_s(
            kind, DEFAULT_FIRST_PIECE_S
        ),
        nodes=ctx.fleet.nodes,
        failure_shares=ctx.health.fleet_failure_shares(now),
        assigned=_assigned_domain(execution, now),
        speed=_engine_speed(execution, now),
        room=_engine_room(execution, blocks, now) if blocks else None,
        hot=(
            ctx.hot_engines.of(req.service, view.endpoints, now)
            if ctx.hot_engines is not None and blocks
            else frozenset()
        ),
    )


def _assigned_domain(execution: "CallExecution", now: float) -> Assignment | None:
    ctx, req = execution.ctx, execution.req
    if ctx.domains is None:
        return None
    return ctx.domains.assigned(
        req.service,
        req.call.session or req.call.request_id,
        len(req.call.body),
        req.route.objective_s,
        now,
    )


def _engine_speed(
    execution: "CallExecution", now: float
) -> Callable[[EndpointView], float] | None:
    """Return a function that returns an engine's relative speed, None if it's off."""
    ctx, service = execution.ctx, execution.service
    if ctx.engine_speeds is None or service is None or service.engine is None:
        return None
    speeds = ctx.engine_speeds.speeds(
        service.name, ctx.fleet.view.endpoints, now, ctx.fleet.nodes
    )
    return lambda endpoint: speeds.get(endpoint_key(endpoint), 1.0)


def _engine_room(
    execution: "CallExecution", blocks: tuple[int, ...], now: float
) -> RoomView | None:
    """Return what limits the room for the call at engines, None without limits."""
    ctx, service = execution.ctx, execution.service
    if ctx.engine_room is None or service is None or service.engine is None:
        return None
    return ctx.engine_room.view(
        service,
        size_of(execution, blocks),
        now,
        ctx.fleet.nodes,
        # A call whose first answer was dropped isn't refused for lack of room.
        0 if execution.dropped_runs else execution.req.rank,
    )


def _record_room(
    execution: "CallExecution", result: Placement | NoPlacement, now: float
) -> None:
    """Record whether the sums show room, and count calls placed beside full engines."""
    ctx, service = execution.ctx, execution.req.service
    if ctx.engine_room is None:
        return
    if isinstance(result, NoPlacement):
        if result.code is ResultCode.NO_ROOM:
            ctx.engine_room.placed(service, now, had_room=False)
    elif result.room is not None:
        ctx.engine_room.placed(service, now, had_room=not result.room.all_full)
        if result.room.left_out:
            ctx.metrics.count("placed_beside_full_engines", service)


def expected_queueing_delay_s(execution: "CallExecution") -> float:
    """Return the delay, in seconds, that other calls' work would cause a new call now.

    It is that at the endpoint that would be chosen for the call without regard to its
    prompt and to earlier attempts, 0 if there is none.
    """
    ctx, now = execution.ctx, execution.ctx.clock()
    placement_request = PlacementRequest(execution.req.service, execution.in_trial)
    result = place(placement_request, placement_view(execution, now), now, ctx.rng)
    return result.chosen.queueing_delay_s if isinstance(result, Placement) else 0.0


def _refusal(execution: "CallExecution", result: NoPlacement) -> RefusedError:
    """Return the error of a call without an endpoint, and count it by cause."""
    if result.code in (ResultCode.NO_ROOM, ResultCode.PROMPT_TOO_LARGE):
        execution.ctx.metrics.count("refused_for_room", result.code.name)
    return RefusedError(
        result.reason, code=result.code, retry_after_s=result.retry_after_s
    )
