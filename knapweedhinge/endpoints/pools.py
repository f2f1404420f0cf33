"""One connection pool for each endpoint.

A pool belongs to an endpoint's id and process, not just to its address, since the
address may later be given to another service.
"""

from knapweedhinge.http1 import Pool, PoolSettings
from knapweedhinge.routing.load import EndpointView

# Connections that a node may always open to an endpoint, however many nodes there are.
MIN_CONNECTIONS = 4
# Fraction of an endpoint's connection limit that is divided among the nodes. The rest
# is left for health checks and for nodes that are just joining.
USABLE_FRACTION = 0.9


class EndpointPools:
    """Create and close connection pools as endpoints come and go."""

    def __init__(self):
        self._pools: dict[tuple[str, str, str], Pool] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Return the number of connections opened since the process started."""
        return self._opened + sum(pool.opened for pool in self._pools.values())

    def get(self, endpoint: EndpointView, max_connections: int, nodes: int) -> Pool:
        """Return the endpoint's pool, sized for this node.

        ``max_connections`` is the endpoint's limit, shared among ``nodes`` nodes.
        """
        key = endpoint.id, endpoint.incarnation, endpoint.url
        pool = self._pools.get(key)
        if pool is None:
            ip, _, port = endpoint.url.removeprefix("http://").rpartition(":")
            pool = self._pools[key] = Pool(PoolSettings(), ip, int(port))
        pool.max_open = max(
            MIN_CONNECTIONS, int(USABLE_FRACTION * max_connections / max(1, nodes))
        )
        return pool

    def full_ids(self) -> frozenset[str]:
        """Return the ids of endpoints to which this node has no connection left."""
        return frozenset(key[0] for key, pool in self._pools.items() if pool.full)

    def keep_only(self, endpoints: dict[str, EndpointView]) -> None:
        """Close idle connections to endpoints that are gone, restarted or moved.

        ``endpoints`` holds the present endpoints by id. Connections in use stay open
        until their call ends.
        """
        for key, pool in tuple(self._pools.items()):
            known = endpoints.get(key[0])
            if known is None or (known.incarnation, known.url) != key[1:]:
                pool.close()
                if not len(pool):
                    self._opened += pool.opened
                    del self._pools[key]

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for pool in self._pools.values():
            pool.sweep(now)

    def close(self) -> None:
        """Close all connections, including those in use."""
        for pool in self._pools.values():
            pool.close_all()
