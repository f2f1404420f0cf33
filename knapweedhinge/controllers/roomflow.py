"""Track how fast the room of a service's engines is asked for and given back.

Designed for several hundred nodes that see a few calls a second each: the sums over all
nodes say what happened at the engines since the last sums, which a node can't tell from
its own calls.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

import xxhash

from knapweedhinge.routing.engineroom import EngineLoad, RoomTurn, sent_since
from knapweedhinge.routing.fleetsums import MAX_REPORTED, Row, row_key

# Time constant of the rates in seconds: what waits can double in a second. The least
# share of it that a rate is based on.
RATE_TIME_S = 1.0
MIN_RATE_SHARE = 0.9
# Columns of a row: tokens held, tokens a second looked for, calls a second looked for
# in hundredths, tokens a second given back, and 1 for each node.
COLUMNS = 5
# Share of the nodes that must report for a part of the room to be this node's.
MIN_REPORTING = 0.5
# Part of an equal share of the room that a node may fill whatever the sums say.
LEAST_PART = 0.25


@dataclass(frozen=True, slots=True)
class OthersFlow:
    """What the other nodes report of a service, in tokens and seconds."""

    held_tokens: float
    tokens_per_s: float
    calls_per_s: float
    ended_per_s: float

    def ended_share(self, age_s: float) -> float:
        """Return the share of what they held that has ended since."""
        if self.held_tokens <= 0:
            return 0.0
        return min(1.0, self.ended_per_s * age_s / self.held_tokens)


def flow_key(service: str) -> int:
    """Return the key of a service's row, which is of no endpoint."""
    return row_key("flow", service)


def others_flow(row: Sequence[float], nodes: int) -> OthersFlow | None:
    """Return a decoded row of sums, None if too few of the nodes report one."""
    if len(row) < COLUMNS or row[4] < MIN_REPORTING * (nodes - 1):
        return None
    return OthersFlow(row[0], row[1], row[2] / 100, row[3])


@dataclass(slots=True)
class RoomFlow:
    """Tokens that this node's calls hold, look for and give back at a service.

    A call that looks for an engine counts each time, as calls that wait all take what
    becomes free. ``now`` is in seconds on the node's monotonic clock.
    """

    began_at: float
    at: float
    held: int = 0
    _calls: float = 0.0
    _tokens: float = 0.0
    _ended: float = 0.0
    # Tokens sent since the last sums, and their time.
    _sent: float = 0.0
    _sums_at: float = float("-inf")
    _draw: float = 0.0

    def looked(self, tokens: int, now: float) -> None:
        """Count a call that looks for an engine."""
        self._decay(now)
        self._calls += 1.0
        self._tokens += tokens

    def sent(self, tokens: int, now: float) -> None:
        """Count a call that was sent to an engine, where it adds so many tokens."""
        self.held += tokens
        self._sent += tokens
        self._draw = _draw(now)

    def ended(self, tokens: int) -> None:
        """Count tokens that were given back."""
        self.held -= tokens
        self._ended += tokens

    def row(self, now: float) -> Row:
        """Return this node's part of the service's row, see ``COLUMNS``."""
        self._decay(now)
        span_s = self._span_s(now)
        rates = (self._tokens, 100 * self._calls, self._ended)
        values = (self.held, *(value / span_s for value in rates))
        return *(min(MAX_REPORTED, round(value)) for value in values), 1

    def turn(
        self, others: OthersFlow, nodes: int, *, sums_at: float, now: float
    ) -> RoomTurn:
        """Return this node's part of the room by the sums received at ``sums_at``."""
        self._decay(now)
        if sums_at > self._sums_at + 1e-6:
            self._sums_at, self._sent, self._draw = sums_at, 0.0, _draw(now)
        tokens_per_s = self._tokens / self._span_s(now)
        all_per_s = tokens_per_s + others.tokens_per_s
        part = tokens_per_s / all_per_s if all_per_s > 0 else 1.0
        least = LEAST_PART / max(1, nodes)
        return RoomTurn(max(least, part), self._sent, self._draw)

    def unseen(
        self, others: OthersFlow | None, nodes: int, age_s: float, now: float
    ) -> EngineLoad:
        """Return what others have sent since sums of this age.

        They are taken to be like this node unless they report it.
        """
        if others is not None:
            return EngineLoad(age_s * others.tokens_per_s, age_s * others.calls_per_s)
        self._decay(now)
        span_s = self._span_s(now)
        return EngineLoad(
            sent_since(self._tokens / span_s, nodes, age_s),
            sent_since(self._calls / span_s, nodes, age_s),
        )

    def _decay(self, now: float) -> None:
        factor = exp(-max(0.0, now - self.at) / RATE_TIME_S)
        self.at = now
        self._calls *= factor
        self._tokens *= factor
        self._ended *= factor

    def _span_s(self, now: float) -> float:
        grown = 1.0 - exp(-max(0.0, now - self.began_at) / RATE_TIME_S)
        return RATE_TIME_S * max(MIN_RATE_SHARE, grown)


def _draw(now: float) -> float:
    """Return a number from 0 to 1 that differs from node to node and call to call."""
    return xxhash.xxh3_64_intdigest(repr(now).encode()) / 2**64
