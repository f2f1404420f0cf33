"""Track the memory and slots that calls take at engines, on all nodes of a region."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from loguru import logger

from knapweedhinge.conf.catalog import CallService
from knapweedhinge.conf.engines import EngineSettings
from knapweedhinge.controllers.enginespeeds import endpoint_key
from knapweedhinge.controllers.fleetsums import REPORT_MAX_AGE_S, FleetSums
from knapweedhinge.controllers.roomflow import RoomFlow, flow_key, others_flow
from knapweedhinge.routing.engineroom import (
    EngineLoad,
    EngineMemory,
    RoomView,
    may_refuse,
)
from knapweedhinge.routing.fleetsums import MAX_REPORTED, Section, Table
from knapweedhinge.routing.load import EndpointView

COLUMNS = 3  # tokens, running, waiting


@dataclass(frozen=True, slots=True)
class CallSize:
    """The tokens of a call at an engine.

    ``shared`` holds the hash and the tokens of each prompt part that other calls may
    contain, ``own_tokens`` the rest of the prompt with the expected output, and
    ``prompt_tokens`` the whole prompt.
    """

    prompt_tokens: int = 0
    own_tokens: int = 0
    shared: tuple[tuple[int, int], ...] = ()


def call_size(
    prompt_tokens: int,
    output_tokens: int,
    blocks: Sequence[int],
    part_tokens: Sequence[int],
) -> CallSize:
    """Return the size of a call from what its caller states.

    ``blocks`` are the chained hashes of the prompt's parts and ``part_tokens`` their
    sizes; the last part belongs to the call alone.
    """
    shared = tuple(zip(blocks[:-1], part_tokens[:-1], strict=False))
    rest = max(0, prompt_tokens - sum(tokens for _, tokens in shared))
    return CallSize(prompt_tokens, rest + max(0, output_tokens), shared)


@dataclass(slots=True)
class _Held:
    """What this node's calls hold at one engine.

    ``parts`` holds the number of calls and the tokens of each shared part. Callers may
    state other tokens for the same part; those of the first call count.
    """

    tokens: int = 0
    running: int = 0
    waiting: int = 0
    parts: dict[int, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class RoomClaim:
    """The room that one call takes at an engine until it ends."""

    key: int
    service: str
    size: CallSize
    waits: bool = True
    is_open: bool = True


class EngineRoomTracker:
    """Track what calls hold at engines: this node's own part and the other nodes'.

    A restarted engine has another incarnation and holds nothing. ``now`` is in seconds
    on the node's monotonic clock.
    """

    def __init__(self, tables: FleetSums, settings: EngineSettings):
        self._tables, self._settings = tables, settings
        self._held: dict[int, _Held] = {}
        self._flows: dict[str, RoomFlow] = {}  # by service
        self._full_since: dict[str, float] = {}  # by service
        self._full_seen_at: dict[str, float] = {}  # by service
        self._unknown: set[str] = set()  # services logged as without a known memory
        tables.add_section(Section.ENGINE_ROOM, self._table)

    def began(
        self, service: CallService, endpoint: EndpointView, size: CallSize, now: float
    ) -> RoomClaim | None:
        """Count a call that is sent to an engine, None if its memory isn't known."""
        memory = self.memory(service)
        if memory is None:
            return None
        size = _bounded(size, memory.tokens)
        claim = RoomClaim(endpoint_key(endpoint), service.name, size)
        held = self._held.setdefault(claim.key, _Held())
        added = size.own_tokens
        for block, tokens in size.shared:
            calls, known_tokens = held.parts.get(block, (0, tokens))
            added += 0 if calls else tokens
            held.parts[block] = calls + 1, known_tokens
        held.tokens += added
        held.waiting += 1
        self._flow(service.name, now).sent(added, now)
        return claim

    def runs(self, claim: RoomClaim) -> None:
        """Count a call as running: its first piece arrived."""
        if claim.waits and claim.is_open:
            claim.waits = False
            held = self._held[claim.key]
            held.waiting -= 1
            held.running += 1

    def ended(self, claim: RoomClaim) -> None:
        """Give back what a call held; only the first time takes effect."""
        if not claim.is_open:
            return
        claim.is_open = False
        held = self._held[claim.key]
        freed = claim.size.own_tokens
        for block, _ in claim.size.shared:
            calls, tokens = held.parts.pop(block)
            if calls > 1:
                held.parts[block] = calls - 1, tokens
            else:
                freed += tokens
        held.tokens -= freed
        self._flows[claim.service].ended(freed)
        if claim.waits:
            held.waiting -= 1
        else:
            held.running -= 1
        if not (held.running or held.waiting):
            del self._held[claim.key]

    def saw_full(self, service: str, now: float) -> None:
        """Record that a call was refused by an engine, or answered late by it."""
        self._full_seen_at[service] = now

    def placed(self, service: str, now: float, *, had_room: bool) -> None:
        """Record whether the sums showed room for a call anywhere."""
        if had_room:
            self._full_since.pop(service, None)
        else:
            self._full_since.setdefault(service, now)

    def load(self, endpoint: EndpointView, now: float, nodes: int) -> EngineLoad:
        """Return what all nodes hold at an engine as last reported."""
        table = self._tables.table(Section.ENGINE_ROOM, now, nodes)
        tokens, running, waiting = table.row(endpoint_key(endpoint), COLUMNS)
        return EngineLoad(tokens, running + waiting)

    def view(
        self,
        service: CallService,
        size: CallSize,
        now: float,
        nodes: int,
        rank: int,
    ) -> RoomView | None:
        """Return what the room for a call depends on, None if no memory is known.

        ``nodes`` is the number of active nodes. ``rank`` is the call's priority, 0
        being the highest.
        """
        memory = self.memory(service)
        if memory is None:
            return None
        table = self._tables.table(Section.ENGINE_ROOM, now, nodes)
        bounded = _bounded(size, memory.tokens)
        flow = self._flow(service.name, now)
        flow.looked(
            bounded.own_tokens + sum(tokens for _, tokens in bounded.shared), now
        )
        # Without recent sums this node's part stands for the others'.
        is_estimate = table.scale != 1.0
        age_s = 0.0 if is_estimate else min(table.age_s, REPORT_MAX_AGE_S)
        # Of the nodes of the region, to which the sums belong.
        row = table.rows.get(flow_key(service.name), ())
        others = others_flow(row, table.nodes)
        turn = None
        if others is not None and not is_estimate:
            sums_at = now - table.age_s
            turn = flow.turn(others, table.nodes, sums_at=sums_at, now=now)
        unseen = flow.unseen(others, nodes, age_s, now)
        ended_share = others.ended_share(age_s) if others is not None else 0.0

        def load(endpoint: EndpointView) -> EngineLoad:
            tokens, running, waiting = table.row(endpoint_key(endpoint), COLUMNS)
            return EngineLoad(tokens, running + waiting)

        whole = bounded.own_tokens + sum(tokens for _, tokens in bounded.shared)

        def ended(endpoint: EndpointView) -> float:
            row = table.rows.get(endpoint_key(endpoint), ())
            return ended_share * row[0] if row else 0.0

        def needed(endpoint: EndpointView) -> float:
            held = self._held.get(endpoint_key(endpoint))
            if held is None:
                return whole
            return bounded.own_tokens + sum(
                tokens for block, tokens in bounded.shared if block not in held.parts
            )

        return RoomView(
            memory,
            load,
            needed,
            unseen,
            ended,
            turn,
            prompt_tokens=size.prompt_tokens,
            full_share=self._settings.full_share,
            urgent=rank <= self._settings.urgent_rank,
            may_refuse=may_refuse(
                self._full_since.get(service.name),
                self._full_seen_at.get(service.name, float("-inf")),
                now,
                is_estimate=is_estimate,
            ),
        )

    def memory(self, service: CallService) -> EngineMemory | None:
        """Return the memory of a service's engines; log once if it isn't known."""
        engine = service.engine
        if engine is None:
            return None
        if engine.memory_tokens > 0 and engine.slots > 0:
            self._unknown.discard(service.name)
            return EngineMemory(engine.memory_tokens, engine.slots)
        if service.name not in self._unknown:
            self._unknown.add(service.name)
            logger.bind(service=service.name).warning("memory of engines not known")
        return None

    def _flow(self, service: str, now: float) -> RoomFlow:
        return self._flows.setdefault(service, RoomFlow(now, now))

    def _table(self, now: float) -> Table:
        """Return this node's part of the section."""
        engines = {
            key: (min(held.tokens, MAX_REPORTED), held.running, held.waiting)
            for key, held in self._held.items()
        }
        flows = {flow_key(name): flow.row(now) for name, flow in self._flows.items()}
        return engines | flows


def _bounded(size: CallSize, most: int) -> CallSize:
    """Return a size of at most ``most`` tokens by part: callers may state any number.

    No engine holds more for one call.
    """
    shared = tuple((block, min(tokens, most)) for block, tokens in size.shared)
    return CallSize(size.prompt_tokens, min(size.own_tokens, most), shared)
