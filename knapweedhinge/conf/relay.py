"""Settings of a node that passes calls on in a deployment of its operators."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import setting
from knapweedhinge.conf.node import (
    ListenSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
)


@dataclass(frozen=True)
class DoorSettings:
    """Where the node listens beside its callers' port."""

    callers: str = setting("ip:port that takes calls.")
    directory: str = setting("ip:port that tells callers which nodes to use.")
    ready: str = setting("ip:port that tells whether the node takes work.")
    metrics: str = setting("ip:port that serves metrics and the state dump.")


@dataclass(frozen=True)
class Promises:
    """What the deployment's operators hold the nodes to."""

    grace_s: float = setting(
        "Time from SIGTERM to SIGKILL.", default=8.0, minimum=0.5, unit="s"
    )
    retry_ratio: float = setting(
        "Repeats for each first send.", default=0.2, minimum=0.0
    )
    retry_allowance: float = setting(
        "Repeats beyond the ratio, in a window.", default=20.0, minimum=0.0
    )
    retry_window_s: float = setting(
        "Length of the window for repeats.", default=10.0, minimum=0.5, unit="s"
    )
    exposure: float = setting(
        "Largest share of calls that a release on trial receives.",
        default=0.1,
        minimum=0.0,
        maximum=1.0,
    )
    address_ttl_s: float = setting(
        "Longest time callers keep an address answer.",
        default=5.0,
        minimum=0.1,
        unit="s",
    )


@dataclass(frozen=True)
class Place:
    """A failure domain and the region it is in."""

    failure_domain: str = setting("Name of the failure domain.")
    region: str = setting("Name of its region.")


@dataclass(frozen=True)
class ProcessLimits:
    """What the machine leaves to the process."""

    files: int = setting(
        "Descriptors that connections may use.", default=1024, minimum=64
    )
    memory_mb: float = setting(
        "Memory beyond which the process is killed.",
        default=512.0,
        minimum=64.0,
        unit="MB",
    )


@dataclass(frozen=True)
class RelaySettings:
    """All settings of such a node, passed whole."""

    listen: ListenSettings = setting("Addresses and place of the node.")
    doors: DoorSettings = setting("Further addresses of the node.")
    platform: PlatformSettings = setting("The store that keeps what must last.")
    promises: Promises = setting("Bounds the nodes are held to.")
    places: tuple[Place, ...] = setting("All failure domains.", default=())
    process: ProcessLimits = setting("Limits of the process.", factory=ProcessLimits)
    peers: PeerSettings = setting("Peers.", factory=PeerSettings)
    log: LogSettings = setting("Logs.", factory=LogSettings)


def split_address(text: str) -> tuple[str, int]:
    """Return the IP number and port of an ``ip:port`` setting."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
