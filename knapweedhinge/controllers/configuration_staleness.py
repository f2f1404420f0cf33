"""Decide whether a node may accept new work with the configuration it holds.

A node that can't confirm its configuration is either cut off by a network partition, or
the platform is down for every node. The share of member nodes whose heartbeats still
arrive distinguishes the two cases; see design note 0002.
"""

from dataclasses import dataclass
from enum import StrEnum

from knapweedhinge.conf import PeerSettings, VotedLimits
from knapweedhinge.controllers.configuration_state import (
    MIN_PAUSE_S,
    ConfigurationState,
)
from knapweedhinge.core.codes import ResultCode

# Share of the member nodes, this one included, that a node must hear to count as
# connected. To accept changes it must hear more than that.
MIN_HEARD_FRACTION = 0.5


class StaleReason(StrEnum):
    """Reasons for which a node refuses new work.

    All but NO_CONFIGURATION apply only if the last confirmation of the configuration is
    too old. PAUSED: the timer hasn't ticked for more than MIN_PAUSE_S, or such a pause
    ended less than ``stale_after_s`` ago. BEHIND: a newer revision is known that the
    node lacks. CUT_OFF: the node hears less than MIN_HEARD_FRACTION of the members.
    """

    NO_CONFIGURATION = "no-configuration"
    PAUSED = "paused"
    BEHIND = "behind"
    CUT_OFF = "cut-off"


@dataclass(frozen=True)
class Serving:
    """New work may be accepted.

    ``age_s`` is the time since the configuration was last confirmed. ``platform_down``
    is True if that is longer than allowed, but only because the platform seems to be
    down for every node.
    """

    age_s: float
    platform_down: bool = False


@dataclass(frozen=True)
class Refusing:
    """New work is refused before any of it has run.

    ``age_s`` is the time since the configuration was last confirmed.
    """

    code: ResultCode
    why: StaleReason
    age_s: float


def staleness(
    state: ConfigurationState,
    now: float,
    heard_fraction: float,
    peer_revision: int,
    cfg: PeerSettings,
    limits: VotedLimits,
) -> Serving | Refusing:
    """Return whether the node may accept new work at ``now``.

    ``heard_fraction`` is the share of the member nodes, this one included, that were
    heard within ``cfg.stale_after_s`` before ``now`` (see ``MembershipView``).
    ``peer_revision`` is the newest revision number that any of them announced. Times
    are seconds of the node's monotonic clock.
    """
    age_s = now - state.as_of
    if state.configuration is None:
        code = ResultCode.NOT_READY
        return Refusing(code, StaleReason.NO_CONFIGURATION, age_s)
    connected = heard_fraction >= MIN_HEARD_FRACTION
    if age_s <= _max_age_s(connected, cfg, limits):
        return Serving(age_s)
    why = _stale_reason(state, now, connected, peer_revision, cfg)
    if why is None:
        return Serving(age_s, platform_down=True)
    return Refusing(ResultCode.CONFIGURATION_STALE, why, age_s)


def may_accept(heard_fraction: float) -> bool:
    """Return whether a node may accept changes of the configuration.

    The node must hear from more than half of the member nodes. Fewer than half then
    remain for the other side of a partition, too few to assume that the platform is
    down and to keep serving with the old configuration.
    """
    return heard_fraction > MIN_HEARD_FRACTION


def _max_age_s(connected: bool, cfg: PeerSettings, limits: VotedLimits) -> float:
    if connected:
        return cfg.stale_after_s
    # Most nodes poll the platform only once the confirmation is stamp_age_s old. With a
    # lower limit they would refuse work before that.
    max_partitioned_age_s = max(cfg.stamp_age_s, limits.stale_region_serve_s)
    return min(cfg.stale_after_s, max_partitioned_age_s)


def _stale_reason(
    state: ConfigurationState,
    now: float,
    connected: bool,
    peer_revision: int,
    cfg: PeerSettings,
) -> StaleReason | None:
    if now - state.ticked_at > MIN_PAUSE_S:
        return StaleReason.PAUSED
    if now - state.resumed_at < cfg.stale_after_s:
        return StaleReason.PAUSED
    if state.behind or peer_revision > state.revision:
        return StaleReason.BEHIND
    if not connected:
        return StaleReason.CUT_OFF
    return None
