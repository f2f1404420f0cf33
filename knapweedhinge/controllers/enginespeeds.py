"""Track the relative speed of engines by the answers that all nodes get."""

from collections.abc import Mapping

from knapweedhinge.controllers.enginereference import (
    AnswerKind,
    EngineReference,
    Stage,
)
from knapweedhinge.controllers.fleetsums import FleetSums
from knapweedhinge.core.metrics import Metrics
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.enginespeed import (
    COLUMNS,
    MAX_SLOWNESS,
    SpeedSums,
    mean_slowness,
    relative_speed,
    sums_of,
    weights_after,
)
from knapweedhinge.routing.fleetsums import Section, Table, row_key
from knapweedhinge.routing.load import EndpointView

# Longest expected time of one observation, in seconds. A longer one comes from a caller
# that states a wrong number of tokens.
MAX_OBSERVATION_S = 20.0
# Most that an observation may take, as a multiple of what the service's engines take in
# the mean: longer ones were stalled or waited for work that this node didn't know of.
OUTLIER_SLOWNESS = 4.0
# Seconds for which computed speeds are used; sums arrive less often.
CACHE_S = 0.1
# Sums below these many seconds are dropped, which bounds the report.
MIN_SUM_S = 0.01
# Bounds of the error of an estimate, as a factor, by which observations are counted.
ERROR_BOUNDS = (1.25, 2.0)

_NO_SUMS = SpeedSums()


class EngineSpeedTracker:
    """Estimate relative speeds of engines from this node's answers and the others'.

    A restarted engine has another incarnation and starts with the speed 1. ``now`` is
    in seconds on the node's monotonic clock.
    """

    def __init__(self, tables: FleetSums, metrics: Metrics):
        self._tables, self._metrics = tables, metrics
        self._reference = EngineReference()
        self._own: dict[int, tuple[float, SpeedSums]] = {}
        # Time of computation, speeds by endpoint key and mean slowness, by service.
        self._cached: dict[str, tuple[float, dict[int, float], float]] = {}
        tables.add_section(Section.ENGINE_SPEED, self._table)

    def observed(
        self,
        endpoint: EndpointView,
        kind: AnswerKind,
        stage: Stage,
        tokens: float,
        seconds: float,
        now: float,
    ) -> None:
        """Record that an engine took ``seconds`` for so many tokens of a stage.

        Observations that can't be true are skipped: their token counts come from
        callers.
        """
        if tokens <= 0 or seconds <= 0:
            return
        expected_s = self._reference.expected_s(kind, stage, tokens)
        if expected_s is None:
            self._reference.observed(kind, stage, tokens, seconds)
            return
        if expected_s > MAX_OBSERVATION_S or seconds * MAX_SLOWNESS < expected_s:
            self._metrics.count("engine_times_skipped", stage.name)
            return
        _, _, mean = self._cached.get(kind.service, (0.0, {}, 1.0))
        seconds = min(seconds, OUTLIER_SLOWNESS * mean * expected_s)
        self._reference.observed(kind, stage, tokens, seconds)
        self._count_error(endpoint, kind.service, seconds / expected_s)
        key = endpoint_key(endpoint)
        at, sums = self._own.get(key, (now, _NO_SUMS))
        self._own[key] = now, sums.aged(now - at).observed(seconds, expected_s)

    def speeds(
        self, service: str, endpoints: EndpointIndex, now: float, nodes: int
    ) -> Mapping[int, float]:
        """Return the relative speeds of a service's engines by ``endpoint_key``.

        ``nodes`` is the number of active nodes. Engines without observations are
        missing; their speed is 1.
        """
        cached = self._cached.get(service)
        if cached is not None and 0 <= now - cached[0] < CACHE_S:
            return cached[1]
        table = self._tables.table(Section.ENGINE_SPEED, now, nodes)
        others = {} if table.is_estimate else table.rows
        weights = weights_after(table.age_s)
        found: dict[int, SpeedSums] = {}
        for endpoint_id in endpoints.by_service.get(service, ()):
            key = endpoint_key(endpoints.by_id[endpoint_id])
            row, own_row = others.get(key, ()), table.own.get(key, ())
            if any(own_row):
                found[key] = sums_of(row, weights).plus(sums_of(own_row))
            elif any(row[:COLUMNS]):
                found[key] = sums_of(row, weights)
        mean = mean_slowness(found.values())
        speeds = {key: relative_speed(sums, mean) for key, sums in found.items()}
        self._cached[service] = now, speeds, mean
        return speeds

    def last_speed(self, service: str, endpoint: EndpointView) -> float:
        """Return the relative speed of an engine as last computed."""
        _, speeds, _ = self._cached.get(service, (0.0, {}, 1.0))
        return speeds.get(endpoint_key(endpoint), 1.0)

    def _count_error(
        self, endpoint: EndpointView, service: str, slowness: float
    ) -> None:
        """Count by which factor an answer differs from what was estimated."""
        _, _, mean = self._cached.get(service, (0.0, {}, 1.0))
        factor = slowness / mean * self.last_speed(service, endpoint)
        factor = max(factor, 1 / factor)
        for bound in ERROR_BOUNDS:
            if factor <= bound:
                self._metrics.count("engine_speed_error", f"within {bound}")
                return
        self._metrics.count("engine_speed_error", f"beyond {ERROR_BOUNDS[-1]}")

    def _table(self, now: float) -> Table:
        """Return this node's part of the section; forget what no longer counts."""
        aged = {key: sums.aged(now - at) for key, (at, sums) in self._own.items()}
        for key, sums in aged.items():
            if sums.lasting_expected_s < MIN_SUM_S:
                del self._own[key]
        return {key: sums.row() for key, sums in aged.items() if key in self._own}


def endpoint_key(endpoint: EndpointView) -> int:
    """Return the key of an endpoint's process in tables of sums."""
    return row_key(endpoint.id, endpoint.incarnation)
