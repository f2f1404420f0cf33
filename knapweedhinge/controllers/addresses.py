"""Network addresses of nodes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """Address on which a node accepts requests, and its location.

    ``capacity``, ``choked`` and ``strained`` are those of
    ``routing.nodecapacity.Candidate``.
    """

    vm: str
    ip: str
    port: int
    failure_domain: str
    region: str = ""
    capacity: int = 0
    choked: bool = False
    strained: bool = False
