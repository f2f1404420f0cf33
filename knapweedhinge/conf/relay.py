"""Settings of a relay node, which forwards the calls of an operator's deployment."""

from dataclasses import dataclass

from knapweedhinge.conf.engines import EngineSettings
from knapweedhinge.conf.escalation import EscalationSettings
from knapweedhinge.conf.fields import setting
from knapweedhinge.conf.leaving import LeavingSettings
from knapweedhinge.conf.node import (
    ListenSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
)
from knapweedhinge.conf.shares import ShareSettings
from knapweedhinge.conf.switches import (
    AGREED,
    OFF,
    ON,
    ON_OFF_VALUES,
    SWITCH_VALUES,
)


@dataclass(frozen=True)
class DoorSettings:
    """Further addresses on which the node listens, each as ``ip:port``."""

    callers: str = setting("ip:port that accepts calls.")
    directory: str = setting("ip:port that returns the addresses of nodes to callers.")
    ready: str = setting("ip:port of the readiness check.")
    metrics: str = setting("ip:port that serves metrics and the state dump.")


@dataclass(frozen=True)
class Promises:
    """Limits that the deployment's operators set for all nodes."""

    grace_s: float = setting(
        "Time between SIGTERM and SIGKILL.", default=8.0, minimum=0.5, unit="s"
    )
    retry_ratio: float = setting(
        "Retries allowed for each first attempt.", default=0.2, minimum=0.0
    )
    retry_allowance: float = setting(
        "Retries allowed beyond the ratio in each window.", default=20.0, minimum=0.0
    )
    retry_window_s: float = setting(
        "Length of the window in which retries are counted.",
        default=10.0,
        minimum=0.5,
        unit="s",
    )
    exposure: float = setting(
        "Largest share of calls that a release on trial receives.",
        default=0.1,
        minimum=0.0,
        maximum=1.0,
    )
    exposure_allowance: float = setting(
        "Calls that a release on trial may receive beyond that share.",
        default=0.0,
        minimum=0.0,
    )
    session_idle_s: float = setting(
        "Time after which the next call of a session may be served by another release.",
        default=10.0,
        minimum=0.0,
        unit="s",
    )
    address_ttl_s: float = setting(
        "Longest time that callers cache the list of node addresses.",
        default=5.0,
        minimum=0.1,
        unit="s",
    )


@dataclass(frozen=True)
class Place:
    """A failure domain and its region."""

    failure_domain: str = setting("Name of the failure domain.")
    region: str = setting("Name of its region.")


@dataclass(frozen=True)
class ProcessLimits:
    """Resource limits of the process."""

    files: int = setting(
        "File descriptors available for connections.", default=1024, minimum=64
    )
    memory_mb: float = setting(
        "Memory beyond which the process is killed.",
        default=512.0,
        minimum=64.0,
        unit="MB",
    )
    cpu_share: float = setting(
        "Share of the processor that the process gets, 0 if unknown.",
        default=0.0,
        minimum=0.0,
    )
    cores: float = setting(
        "Speed of the processor, in cores.", default=1.0, minimum=0.0
    )
    link_mbps: float = setting(
        "Bandwidth of the machine's link, 0 if unknown.",
        default=0.0,
        minimum=0.0,
        unit="Mbit/s",
    )
    weighing: str = setting(
        "Weigh nodes by processor and link in addresses for callers and in duties: "
        "'on', 'off', or 'agreed' to do so where the agreements of the deployment call "
        "for it.",
        default=AGREED,
        choices=SWITCH_VALUES,
    )
    strain: str = setting(
        "Measure whether this node is choked, tell other nodes, and leave nodes that "
        "say so out of addresses for callers, where nodes are weighed: 'on' or 'off'.",
        default=OFF,
        choices=ON_OFF_VALUES,
    )
    caller_memory_share: float = setting(
        "Share of the memory for what is held for callers: heads, bodies, requests "
        "ahead and answers that they have not read.",
        default=0.2,
        minimum=0.05,
        maximum=0.5,
    )
    peer_memory_share: float = setting(
        "Share of the memory for what connections with other nodes hold: messages that "
        "are not complete, calls that run and what was not read. Gossip entries may "
        "take as much again.",
        default=0.05,
        minimum=0.05,
        maximum=0.25,
    )
    unread_timeout_s: float = setting(
        "Longest time in which a caller reads nothing of an answer that waits for it.",
        default=60.0,
        minimum=1.0,
        unit="s",
    )
    request_fields: int = setting(
        "Most header fields of a request. The default is more than fit into 16 KB.",
        default=4096,
        minimum=64,
    )

    @property
    def weighed(self) -> bool:
        """Return whether nodes are weighed; agreements have been applied before."""
        return self.weighing == ON

    @property
    def strain_told(self) -> bool:
        """Return whether nodes tell that they are choked; only weighed ones do."""
        return self.weighed and self.strain == ON


@dataclass(frozen=True)
class RelaySettings:
    """All settings of a relay node."""

    listen: ListenSettings = setting("Addresses and location of the node.")
    doors: DoorSettings = setting("Further addresses of the node.")
    platform: PlatformSettings = setting("The platform's store for durable state.")
    promises: Promises = setting("Limits that the operators set for all nodes.")
    places: tuple[Place, ...] = setting("All failure domains.", default=())
    process: ProcessLimits = setting(
        "Resource limits of the process.", factory=ProcessLimits
    )
    peers: PeerSettings = setting("Communication with peers.", factory=PeerSettings)
    log: LogSettings = setting("Logs.", factory=LogSettings)
    agreements: tuple[str, ...] = setting(
        "What the operators agreed on with their callers; switches features on that "
        "are set to 'agreed'.",
        default=(),
    )
    leaving: LeavingSettings = setting(
        "Prices and limits of traffic between failure domains.",
        factory=LeavingSettings,
    )
    shares: ShareSettings = setting(
        "Fair shares of organisations where room is short.", factory=ShareSettings
    )
    engines: EngineSettings = setting(
        "What endpoint choice takes into account of inference engines.",
        factory=EngineSettings,
    )
    escalation: EscalationSettings = setting(
        "Second answers by larger models.", factory=EscalationSettings
    )


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and port of an ``ip:port`` setting.

    Raises ValueError if the port is missing or not a number.
    """
    ip, _, port = text.rpartition(":")
    return ip, int(port)
