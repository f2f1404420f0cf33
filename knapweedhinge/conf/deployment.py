"""Description of the entry VMs and endpoints that the demo and tests run locally."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import Format, setting

ENGINE = "engine"
SERVICE = "service"


@dataclass(frozen=True)
class EntryVm:
    """An entry VM, which runs one node of the router."""

    id: str = setting("Name of the VM.", text_format=Format.ID)
    failure_domain: str = setting("Failure domain of the VM.", text_format=Format.ID)
    region: str = setting("Region of the VM.", text_format=Format.ID)
    ip: str = setting(
        "IP address the node listens on.",
        default="127.0.0.1",
        text_format=Format.IP,
    )
    port: int = setting(
        "TCP port for callers, 0 to let the system choose.",
        default=0,
        minimum=0,
        maximum=65_535,
    )
    peer_port: int = setting(
        "TCP port for peers, 0 to let the system choose.",
        default=0,
        minimum=0,
        maximum=65_535,
    )


@dataclass(frozen=True)
class EndpointSpec:
    """One replica of a model engine or of a plain service."""

    id: str = setting("Identifier.", text_format=Format.ID)
    kind: str = setting(
        "Whether it is a model engine or a plain service.", choices=(ENGINE, SERVICE)
    )
    failure_domain: str = setting(
        "Failure domain of the endpoint.", text_format=Format.ID
    )
    versions: tuple[str, ...] = setting("Versions an engine has loaded.", default=())
    service: str = setting("Id of the plain service, if it runs one.", default="")
    slots: int = setting(
        "Requests it can run at once when warm.", default=16, minimum=1
    )
    cold_slots: int = setting(
        "Requests it can run at once during a cold start.", default=1, minimum=1
    )
    checks_fencing: bool = setting(
        "Whether it refuses orders with an outdated fencing token.", default=True
    )


@dataclass(frozen=True)
class Deployment:
    """The entry VMs and endpoints that the demo or a test starts."""

    entry_vms: tuple[EntryVm, ...] = setting("Entry VMs.")
    endpoints: tuple[EndpointSpec, ...] = setting("Model engines and plain services.")
    seed: int = setting("Seed of all random number generators.", default=1, minimum=0)
    one_way_latency_s: float = setting(
        "One-way network delay between failure domains.",
        default=0.001,
        minimum=0,
        unit="s",
    )
    client_latency_s: float = setting(
        "One-way network delay between callers and entry VMs.",
        default=0.001,
        minimum=0,
        unit="s",
    )
