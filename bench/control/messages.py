"""Commands that worker processes read as JSON lines."""

import msgspec

from knapweedhinge.conf.node import PeerSettings

MAX_LINE_BYTES = 16 * 1024 * 1024  # of a command or an answer


class NodeLocation(msgspec.Struct, frozen=True):
    """The name of a node with its failure domain and region."""

    vm: str
    failure_domain: str
    region: str


class Command(msgspec.Struct, frozen=True):
    """A command to a worker: one line on its standard input.

    ``do`` names the method ``do_...`` of the worker; the answer repeats ``id``. Each
    command uses some of the other fields: ``table_port`` is the port of
    ``TableServer``, ``vms`` the nodes it concerns, and ``locations`` and ``peers`` the
    nodes to start and their settings. ``topic``, ``key`` and ``version`` name an entry,
    ``size_bytes`` is the size of a payload and ``count`` a number of repetitions.
    ``for_s`` is the duration of the work; ``busy_s`` and ``idle_s`` are that of one
    busy and one idle period.
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
