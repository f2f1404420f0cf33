"""Tell which engines have room for a call in their memory and their batch.

Designed for engines whose memory holds a few dozen long prompts: when it runs out, an
engine preempts running requests or crashes. Nodes know what an engine holds from sums
that are up to a second old, and nothing of what others have sent since. So they fill
engines to a share of the memory only, and refuse calls for lack of room only as long as
there is more than sums to show it.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from knapweedhinge.routing.load import EndpointView

# Time in seconds for which sums that show all engines full are believed without a call
# of this node that saw it.
MAX_UNSEEN_S = 2.0
# Share of the engines, the least filled ones, that get calls although none has room.
# More than one, since all nodes see the same sums.
LEAST_FILLED_SHARE = 0.25
# Times what others are expected to have sent for which an engine must have room to be
# chosen by all nodes alike. Calls come in bursts when new sums show room.
BURST_FACTOR = 3.0
# Share of the free room that nodes divide once it may be used up; the rest is for the
# calls that are larger, or last longer, than the mean.
DIVIDED_SHARE = 0.8


class RoomRefusal(StrEnum):
    """Why no engine may take a call for lack of room."""

    TOO_LARGE = "too-large"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class EngineMemory:
    """The memory of each engine of a service, in tokens, and its batch size."""

    tokens: int
    slots: int


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine is expected to hold now: tokens, and calls running or waiting."""

    tokens: float = 0.0
    calls: float = 0.0


@dataclass(frozen=True, slots=True)
class RoomTurn:
    """The part of the free room that a node may fill until the next sums.

    ``part`` is this node's share of the tokens that all nodes look for room for, and
    ``sent_tokens`` what it has sent since the sums. ``draw`` is evenly distributed from
    0 to 1: a part that is smaller than a call is enough for as large a share of calls.
    """

    part: float
    sent_tokens: float
    draw: float


@dataclass(frozen=True, slots=True)
class RoomView:
    """What the room for one call depends on.

    ``load`` returns what all nodes had at an engine by the last sums, ``needed`` the
    tokens that the call would add there. ``unseen`` is what other nodes may have sent
    to all engines since, ``ended`` returns the tokens that their calls may have given
    back at an engine. ``turn`` is None as long as the other nodes don't tell for how
    many tokens they look for room. ``prompt_tokens`` is the size of its prompt.
    ``full_share`` is the share of the memory to fill. An ``urgent`` call may preempt
    others. Calls are refused for lack of room only if ``may_refuse``.
    """

    memory: EngineMemory
    load: Callable[[EndpointView], EngineLoad]
    needed: Callable[[EndpointView], float]
    unseen: EngineLoad = EngineLoad()
    ended: Callable[[EndpointView], float] = lambda engine: 0.0
    turn: RoomTurn | None = None
    prompt_tokens: int = 0
    full_share: float = 0.9
    urgent: bool = False
    may_refuse: bool = True


@dataclass(frozen=True, slots=True)
class RoomChoice:
    """The engines that may take a call; ``refusal`` says why there are none.

    ``left_out`` is the number of engines left out for lack of room. ``all_full`` says
    that no engine has room, whether or not the call is sent to one all the same.
    """

    engines: Sequence[EndpointView] = ()
    left_out: int = 0
    refusal: RoomRefusal | None = None
    all_full: bool = False


def engines_with_room(engines: Sequence[EndpointView], view: RoomView) -> RoomChoice:
    """Return the engines that may take a call, out of at least one.

    Those with memory and a free slot come first, then those with memory. Once the room
    may be used up, each node fills its part of it. With no room anywhere, a call that
    isn't refused goes to one of the least filled engines.
    """
    if view.prompt_tokens > view.memory.tokens:
        return RoomChoice(left_out=len(engines), refusal=RoomRefusal.TOO_LARGE)
    limit = view.full_share * view.memory.tokens
    loads = {engine.id: _present_load(engine, view) for engine in engines}
    # What others sent goes where there is room, as this call does.
    free_tokens = {name: max(0.0, limit - load.tokens) for name, load in loads.items()}
    all_free = sum(free_tokens.values())
    unseen_tokens = view.unseen.tokens * (BURST_FACTOR if view.turn else 1.0)
    filled = {}
    for engine in engines:
        load = loads[engine.id]
        share = free_tokens[engine.id] / all_free if all_free else 0.0
        filled[engine.id] = (
            load.tokens + share * unseen_tokens + view.needed(engine),
            load.calls + share * view.unseen.calls,
        )
    # A call that alone exceeds the share fits an empty engine only.
    roomy = [
        engine
        for engine in engines
        if filled[engine.id][0] <= limit or filled[engine.id][1] < 1
    ]
    if not roomy and view.turn is not None:
        roomy = _engines_in_turn(engines, free_tokens, view, view.turn)
    free = [engine for engine in roomy if filled[engine.id][1] < view.memory.slots]
    if roomy:
        chosen = free or roomy
        return RoomChoice(chosen, len(engines) - len(chosen))
    if not view.urgent and view.may_refuse:
        return RoomChoice((), len(engines), RoomRefusal.FULL, all_full=True)
    count = ceil(LEAST_FILLED_SHARE * len(engines))
    least = sorted(engines, key=lambda engine: filled[engine.id][0])[:count]
    return RoomChoice(least, len(engines) - count, all_full=True)


def _present_load(engine: EndpointView, view: RoomView) -> EngineLoad:
    """Return what an engine holds without the calls that have ended since the sums."""
    load = view.load(engine)
    return EngineLoad(max(0.0, load.tokens - view.ended(engine)), load.calls)


def _engines_in_turn(
    engines: Sequence[EndpointView],
    free_tokens: Mapping[str, float],
    view: RoomView,
    turn: RoomTurn,
) -> list[EndpointView]:
    """Return the engines that the call fits, if it is in this node's part of the room.

    Together the nodes fill what was free by the sums and what has ended since, however
    many calls wait for it.
    """
    fitting = [
        engine for engine in engines if free_tokens[engine.id] >= view.needed(engine)
    ]
    if not fitting:
        return []
    room = turn.sent_tokens + sum(free_tokens[engine.id] for engine in fitting)
    left = DIVIDED_SHARE * turn.part * room - turn.sent_tokens
    if left <= turn.draw * min(map(view.needed, fitting)):
        return []
    if len(fitting) == len(engines) > 1:
        # Once engines are left out, nodes no longer aim at the least filled one.
        fitting.remove(min(fitting, key=lambda engine: free_tokens[engine.id]))
    return fitting


def may_refuse(
    full_since: float | None, seen_at: float, now: float, *, is_estimate: bool
) -> bool:
    """Return whether calls may be refused since sums show no room anywhere.

    Sums have shown that since ``full_since``, None if they don't. A call of this node
    last saw a full engine at ``seen_at``. ``is_estimate`` says that the sums are this
    node's part times the number of nodes. Times are in seconds on the same clock.
    """
    if now - seen_at <= MAX_UNSEEN_S:
        return True
    if is_estimate:
        return False
    return full_since is None or now - full_since <= MAX_UNSEEN_S


def sent_since(rate: float, nodes: int, age_s: float) -> float:
    """Return what other nodes have sent to all engines since sums were made.

    ``rate`` is this node's own, in calls or tokens a second; the others are taken to be
    like it.
    """
    return rate * max(0, nodes - 1) * max(0.0, age_s)
