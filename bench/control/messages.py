"""Commands that worker processes read as JSON lines."""

import msgspec

from knapweedhinge.conf.node import PeerSettings

MAX_LINE_BYTES = 16 * 1024 * 1024


class NodeLocation(msgspec.Struct, frozen=True):
    """The name of a node with its failure domain and region."""

    vm: str
    failure_domain: str
    region: str


class Command(msgspec.Struct, frozen=True):
    """A command to a worker: one line on its standard input.

    ``do`` names the method ``do_...`` of the worker; which of the other fields have a
    meaning depends on it. The answer repeats ``id``.
    """

    id: int
    do: str
    table_port: int = 0
    locations: tuple[NodeLocation, ...] = ()
    vms: tuple[str, ...] = ()
    topic: str = ""
    key: str = ""
    version: int = 0
    size_bytes: int = 0
    busy_s: float = 0.0
    idle_s: float = 0.0
    for_s: float = 0.0
    seed: int = 0
    peers: PeerSettings = PeerSettings()
    count: int = 0
