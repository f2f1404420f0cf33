"""Settings of one node, which it reads from its settings file at start."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import Format, setting

KIBIBYTE = 1024  # bytes
MEBIBYTE = 1024 * KIBIBYTE


@dataclass(frozen=True)
class ListenSettings:
    """Addresses on which the node listens, its name and its location."""

    vm: str = setting("Name of the VM, unique in the fleet.", text_format=Format.ID)
    ip: str = setting(
        "IP address that callers and peers connect to.", text_format=Format.IP
    )
    port: int = setting("TCP port for callers.", minimum=0, maximum=65_535)
    failure_domain: str = setting("Failure domain of the VM.", text_format=Format.ID)
    region: str = setting("Region of the VM.", text_format=Format.ID)
    peer_port: int = setting(
        "TCP port for peers, 0 to let the system choose.",
        default=0,
        minimum=0,
        maximum=65_535,
    )


@dataclass(frozen=True)
class PlatformSettings:
    """Address of the platform's services, timeouts, retries and circuit breaker."""

    url: str = setting(
        "Base URL of the platform's services, with an IP address.",
        text_format=Format.IP_URL,
    )
    timeout_s: float = setting(
        "Timeout of one call.", default=1.0, minimum=0.001, unit="s"
    )
    attempts: int = setting(
        "Most attempts of a call that is safe to repeat.", default=3, minimum=1
    )
    breaker_failures: int = setting(
        "Failures in a row that open the circuit breaker.", default=5, minimum=1
    )
    breaker_open_s: float = setting(
        "Mean time that the circuit breaker stays open at first.",
        default=1.0,
        minimum=0.001,
        unit="s",
    )
    poll_s: float = setting(
        "Time between reads of the newest configuration revision.",
        default=0.5,
        minimum=0.01,
        unit="s",
    )
    vm_list_s: float = setting(
        "Time between reads of the VM list.", default=1.0, minimum=0.01, unit="s"
    )


@dataclass(frozen=True)
class HttpSettings:
    """Limits of the interface for callers: sizes, timeouts and cache times."""

    max_body_bytes: int = setting(
        "Largest request body.", default=4 * MEBIBYTE, minimum=1, unit="bytes"
    )
    max_header_bytes: int = setting(
        "Largest request header line.",
        default=8 * KIBIBYTE,
        minimum=256,
        unit="bytes",
    )
    body_timeout_s: float = setting(
        "Longest time to receive a whole request body.",
        default=10.0,
        minimum=0.001,
        unit="s",
    )
    max_key_chars: int = setting(
        "Longest Idempotency-Key.", default=200, minimum=1, unit="characters"
    )
    max_session_chars: int = setting(
        "Longest X-Session-Id.", default=200, minimum=1, unit="characters"
    )
    address_ttl_s: float = setting(
        "How long callers may cache the list of node addresses.",
        default=5.0,
        minimum=0.1,
        unit="s",
    )
    shutdown_s: float = setting(
        "Longest time of a graceful shutdown.", default=30.0, minimum=0.1, unit="s"
    )


@dataclass(frozen=True)
class KeySettings:
    """Secret keys of the node; the first of each list signs, all of them verify."""

    token_keys: tuple[str, ...] = setting(
        "Keys that sign session and resume tokens.", secret=True
    )
    peer_keys: tuple[str, ...] = setting(
        "Keys with which nodes authenticate each other.", secret=True
    )


@dataclass(frozen=True)
class PeerSettings:
    """Membership, failure detection and gossip among nodes."""

    probe_s: float = setting(
        "Time between health checks of neighbouring nodes.",
        default=0.5,
        minimum=0.01,
        unit="s",
    )
    probe_timeout_s: float = setting(
        "Longest wait for the response to a health check.",
        default=0.25,
        minimum=0.001,
        unit="s",
    )
    suspicion_s: float = setting(
        "Time for a suspected node to refute the suspicion.",
        default=1.5,
        minimum=0.01,
        unit="s",
    )
    fanout: int = setting(
        "Peers to which a node sends a change at once.", default=3, minimum=1
    )
    configuration_readers: int = setting(
        "Nodes of a failure domain that poll the platform for revisions.",
        default=2,
        minimum=1,
    )
    stamp_age_s: float = setting(
        "Age of the configuration's last confirmation at which any node polls"
        " the platform.",
        default=1.5,
        minimum=0.05,
        unit="s",
    )
    stale_after_s: float = setting(
        "Age of the configuration's last confirmation at which a node that is cut off"
        " refuses work.",
        default=3.0,
        minimum=0.1,
        unit="s",
    )


@dataclass(frozen=True)
class EndpointSettings:
    """Health checks of endpoints and timeouts of calls to them."""

    status_s: float = setting(
        "Time between health checks of an endpoint that the node watches.",
        default=0.5,
        minimum=0.01,
        unit="s",
    )
    connect_timeout_s: float = setting(
        "Timeout of opening a connection.", default=1.0, minimum=0.001, unit="s"
    )
    stall_s: float = setting(
        "Longest time without data before a stream counts as broken.",
        default=5.0,
        minimum=0.01,
        unit="s",
    )
    subset: int = setting(
        "Most endpoints of a version among which the node chooses.",
        default=64,
        minimum=1,
    )


@dataclass(frozen=True)
class LeaseSettings:
    """Leases in the platform's table service; must be equal on all nodes."""

    term_s: float = setting(
        "Duration of a lease from sending the write that renewed it.",
        default=3.0,
        minimum=0.05,
        unit="s",
    )
    margin_s: float = setting(
        "Time that a successor waits beyond the term, to allow for clock drift.",
        default=0.5,
        minimum=0.01,
        unit="s",
    )


@dataclass(frozen=True)
class PermitSettings:
    """Permits for requests on endpoints in cold start; must be equal on all nodes."""

    start_s: float = setting(
        "Time from asking for a permit during which it may be used.",
        default=1.0,
        minimum=0.01,
        unit="s",
    )
    run_s: float = setting(
        "Longest run time of a permitted request.", default=120.0, minimum=0.1, unit="s"
    )
    news_s: float = setting(
        "Age at which a report that an endpoint is warm is ignored.",
        default=4.0,
        minimum=0.05,
        unit="s",
    )
    margin_s: float = setting(
        "Allowance for a request's network delay and for clock drift.",
        default=1.25,
        minimum=0.01,
        unit="s",
    )


@dataclass(frozen=True)
class LogSettings:
    """Verbosity of the log."""

    level: str = setting(
        "Least severe level that is logged.",
        default="INFO",
        choices=("DEBUG", "INFO", "WARNING", "ERROR"),
    )


@dataclass(frozen=True)
class NodeSettings:
    """All settings of one node."""

    listen: ListenSettings = setting("Addresses and location of the node.")
    platform: PlatformSettings = setting("The platform's services.")
    keys: KeySettings = setting("Secret keys.")
    http: HttpSettings = setting("Interface for callers.", factory=HttpSettings)
    peers: PeerSettings = setting("Communication with peers.", factory=PeerSettings)
    endpoints: EndpointSettings = setting("Endpoints.", factory=EndpointSettings)
    leases: LeaseSettings = setting("Leases.", factory=LeaseSettings)
    permits: PermitSettings = setting(
        "Permits for endpoints in cold start.", factory=PermitSettings
    )
    log: LogSettings = setting("Logs.", factory=LogSettings)
