"""Limit the rate of forwarded calls to a cold endpoint, over all nodes.

The limit protects the endpoints of a failure domain that returns: all of them are cold,
and every node has calls waiting for them. Each node uses an equal part of an endpoint's
rate, so all nodes together stay within it without communication. Requests that the
relay does not forward need a permit instead, see ``coldstart``.
"""

from dataclasses import dataclass, replace

# Share of the endpoint's rate that is used; nodes may differ on the number of nodes.
USED_RATE_SHARE = 0.8
# Time in seconds added to the time for which an endpoint reports that it stays cold,
# since the report is old when it arrives.
COLD_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class ColdEndpoint:
    """Token bucket of this node for an endpoint that is cold until ``until``.

    ``per_s`` is the endpoint's rate in calls per second over all nodes; ``tokens`` were
    available at the time ``at``. Nodes start with a random fraction of a token, since
    they would all send at the same time otherwise.
    """

    until: float
    per_s: float
    tokens: float
    at: float = 0.0


def admit(
    cold: ColdEndpoint | None, nodes: int, now: float
) -> tuple[ColdEndpoint | None, bool]:
    """Return the state after a call requests the endpoint, and whether it is allowed.

    ``nodes`` is the number of nodes that share the rate. The state is None for an
    endpoint that isn't cold, or no longer.
    """
    if cold is None or now >= cold.until:
        return None, True
    rate = USED_RATE_SHARE * cold.per_s / max(1, nodes)
    burst = max(1.0, rate / 2)
    tokens = min(burst, cold.tokens + max(0.0, now - cold.at) * rate)
    if tokens < 1.0:
        return replace(cold, tokens=tokens, at=now), False
    return replace(cold, tokens=tokens - 1.0, at=now), True
