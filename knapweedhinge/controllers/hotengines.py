"""Remember which engines are hot, from the sums of outstanding work."""

from collections.abc import Callable

from knapweedhinge.core.metrics import Metrics
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.hotparts import hot_engines

# Seconds between two looks; the sums change less often.
UPDATE_INTERVAL_S = 0.2


class HotEngines:
    """The hot engines of each service, as of the last look at the sums."""

    def __init__(self, work_s: Callable[[str], float], metrics: Metrics):
        self._work_s, self._metrics = work_s, metrics
        self._found: dict[str, tuple[float, frozenset[str]]] = {}

    def of(self, service: str, endpoints: EndpointIndex, now: float) -> frozenset[str]:
        """Return the ids of a service's hot engines; ``now`` is in seconds."""
        at, hot = self._found.get(service, (float("-inf"), frozenset()))
        if now - at < UPDATE_INTERVAL_S:
            return hot
        ids = endpoints.by_service.get(service, ())
        found = hot_engines({name: self._work_s(name) for name in ids}, hot)
        if found - hot:
            self._metrics.count("engines_turned_hot", service, len(found - hot))
        self._found[service] = now, found
        return found
