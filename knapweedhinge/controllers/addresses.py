"""Network addresses of nodes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """Address on which a node accepts requests, and its location."""

    vm: str
    ip: str
    port: int
    failure_domain: str
    region: str = ""
