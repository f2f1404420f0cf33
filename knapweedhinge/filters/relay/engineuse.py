"""Record what one attempt tells of its engine: the room it takes, and the speed."""

from typing import TYPE_CHECKING

from knapweedhinge.controllers.engineload import CallSize, RoomClaim, call_size
from knapweedhinge.controllers.enginereference import (
    DECODE,
    PREFILL,
    AnswerKind,
    load_band,
)
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.placement import relative_cost

if TYPE_CHECKING:
    from knapweedhinge.filters.relay.run import CallExecution

# Tokens of prefill that take as long as the rest of the time to the first piece.
FIRST_PIECE_TOKENS = 1_000
# Shortest time over which the decoding is observed, in seconds.
DECODE_WINDOW_S = 0.25
# Least share of the time between two pieces that was spent waiting for the engine. The
# caller caused the rest, since nothing is read while it doesn't read.
MIN_WAITED_SHARE = 0.8


def size_of(execution: "CallExecution", blocks: tuple[int, ...]) -> CallSize:
    """Return the tokens that a call takes at an engine."""
    call = execution.req.call
    part_tokens = tuple(part.tokens for part in call.parts)
    return call_size(call.prompt_tokens, call.output_tokens, blocks, part_tokens)


class EngineUse:
    """One attempt's use of an engine.

    Nothing is recorded of endpoints that are no engines, nor while the settings switch
    both parts off. Create the object before the attempt is counted as work at its
    endpoint. ``load_s`` is the work found there in seconds, ``uncached_tokens`` the
    part of the prompt that needs prefill. ``now`` is in seconds on the node's monotonic
    clock.
    """

    def __init__(
        self,
        execution: "CallExecution",
        endpoint: EndpointView,
        blocks: tuple[int, ...],
        uncached_tokens: int,
        load_s: float,
        now: float,
    ):
        ctx, service = execution.ctx, execution.service
        self._endpoint, self._uncached_tokens = endpoint, uncached_tokens
        self._service, self._objective_s = service, execution.req.route.objective_s
        self._failed_share = ctx.health.fleet_failure_shares(now).get(endpoint.id)
        is_engine = bool(blocks) and service is not None and service.engine is not None
        self._room = ctx.engine_room if is_engine else None
        self._speeds = ctx.engine_speeds if is_engine else None
        self._started_at = self._window_began_at = self._last_piece_at = now
        self._read_began_at = now
        self._pieces = self._window_events = 0
        self._held_tokens: int | None = None
        self._claim: RoomClaim | None = None
        if self._room is not None:
            load = self._room.load(endpoint, now, ctx.fleet.nodes)
            self._held_tokens = round(load.tokens)
            size = size_of(execution, blocks)
            self._claim = self._room.began(service, endpoint, size, now)
        self._kind: AnswerKind | None = None
        self._speed: float | None = None
        if self._speeds is not None:
            self._speed = self._speeds.last_speed(service.name, endpoint)
            # A cold engine is slow at first, whatever its speed. Callers may name any
            # number of models that aren't in the catalog.
            model = execution.chosen_model or execution.req.call.model
            costs, streams = service.engine.costs, execution.req.route.streams
            is_cold = ctx.fleet.is_cold(endpoint.id, now)
            if streams and model in costs and not is_cold:
                cost = relative_cost(costs, model)
                self._kind = AnswerKind(service.name, model, cost, load_band(load_s))
        # The engine may have kept what it generated of a resumed stream.
        self._times_prefill = execution.last_event_number is None

    def reading(self, now: float) -> None:
        """Record that the node begins to wait for more of the answer."""
        self._read_began_at = now

    def piece_arrived(self, events: int, now: float) -> None:
        """Record that a piece with so many events of the answer arrived."""
        self._pieces += 1
        if self._pieces == 1:
            self._first_piece(now)
        elif self._kind is not None:
            self._next_piece(events, now)

    def refused(self, now: float) -> None:
        """Record that the engine refused the call without running it."""
        if self._room is not None:
            self._room.saw_full(self._service.name, now)

    def ended(self, now: float) -> None:
        """Give back what the attempt held; record the last of its times."""
        if self._claim is not None:
            self._room.ended(self._claim)
        self._end_window(now)

    def log_fields(self) -> dict[str, float]:
        """Return the attempt's log fields, none for parts that are off."""
        fields = {}
        if self._held_tokens is not None:
            fields["held_tokens"] = self._held_tokens
        if self._speed is not None:
            fields["speed"] = round(self._speed, 2)
        if self._failed_share is not None:
            fields["failed_share"] = round(self._failed_share, 2)
        return fields

    def _first_piece(self, now: float) -> None:
        first_piece_s = now - self._started_at
        self._window_began_at = self._last_piece_at = now
        if self._claim is not None:
            self._room.runs(self._claim)
            if first_piece_s > self._objective_s:
                self._room.saw_full(self._service.name, now)
        if self._kind is not None and self._times_prefill:
            tokens = max(0, self._uncached_tokens) + FIRST_PIECE_TOKENS
            self._speeds.observed(
                self._endpoint, self._kind, PREFILL, tokens, first_piece_s, now
            )

    def _next_piece(self, events: int, now: float) -> None:
        interval_s = now - self._last_piece_at
        if now - self._read_began_at < MIN_WAITED_SHARE * interval_s:
            self._end_window(now)
            self._last_piece_at = now
            return
        self._last_piece_at = now
        self._window_events += events
        if now - self._window_began_at >= DECODE_WINDOW_S:
            self._end_window(now)

    def _end_window(self, now: float) -> None:
        """Record the decoding up to the last piece, and begin anew."""
        if self._window_events:
            tokens = self._window_events * self._service.engine.event_tokens
            seconds = self._last_piece_at - self._window_began_at
            self._speeds.observed(
                self._endpoint, self._kind, DECODE, tokens, seconds, now
            )
        self._window_began_at, self._window_events = now, 0
