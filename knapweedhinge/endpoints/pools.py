"""One pool of connections for each endpoint.

Pools go by the endpoint's id and process, not by its address, which another service
may have tomorrow.
"""

from knapweedhinge.http1 import Pool, PoolSettings
from knapweedhinge.routing.load import EndpointView

MIN_CONNECTIONS = 4  # a node may always open these, however many nodes there are
# Part of an endpoint's connections that all nodes together use; health checks and
# nodes that just join need the rest.
USED_SHARE = 0.9


class EndpointPools:
    """Open and close pools as endpoints come and go."""

    def __init__(self):
        self._pools: dict[tuple[str, str, str], Pool] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Return how many connections were opened since the start."""
        return self._opened + sum(pool.opened for pool in self._pools.values())

    def get(self, endpoint: EndpointView, max_open: int, nodes: int) -> Pool:
        """Return the endpoint's pool; ``nodes`` share ``max_open`` connections."""
        key = endpoint.id, endpoint.incarnation, endpoint.url
        pool = self._pools.get(key)
        if pool is None:
            ip, _, port = endpoint.url.removeprefix("http://").rpartition(":")
            pool = self._pools[key] = Pool(PoolSettings(), ip, int(port))
        pool.max_open = max(MIN_CONNECTIONS, int(USED_SHARE * max_open / max(1, nodes)))
        return pool

    def full_ids(self) -> frozenset[str]:
        """Return the endpoints whose connections are all in use by this node."""
        return frozenset(key[0] for key, pool in self._pools.items() if pool.full)

    def keep_only(self, endpoints: dict[str, EndpointView]) -> None:
        """Close the idle connections to endpoints that are gone or started anew."""
        for key, pool in tuple(self._pools.items()):
            known = endpoints.get(key[0])
            if known is None or (known.incarnation, known.url) != key[1:]:
                pool.close()
                if not len(pool):
                    self._opened += pool.opened
                    del self._pools[key]

    def sweep(self, now: float) -> None:
        """Close connections that were idle for long."""
        for pool in self._pools.values():
            pool.sweep(now)

    def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            pool.close_all()
