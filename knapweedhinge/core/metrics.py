"""Counters, gauges and latency histograms of a process, rendered for Prometheus."""

from collections import Counter

from hdrh.histogram import HdrHistogram

# Range of the histograms in microseconds; values outside are clamped to it.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000


class Metrics:
    """Record latencies by target and stage, count events by name and label.

    Gauges have a name only.
    """

    def __init__(self):
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, float] = {}

    def observe(self, target: str, stage: str, seconds: float) -> None:
        """Record that a stage of a request took ``seconds``.

        ``target`` is the id of the class, version or service that the request names.
        """
        histogram = self._histograms.get((target, stage))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[target, stage] = histogram
        value = min(max(int(seconds * US_PER_S), MIN_LATENCY_US), MAX_LATENCY_US)
        histogram.record_value(value)

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Add ``by`` to the counter of this name and label."""
        self._counters[name, label] += by

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to its present value."""
        self._gauges[name] = value

    def value(self, name: str, label: str = "") -> int:
        """Return the counter of this name and label, 0 if it was never counted."""
        return self._counters[name, label]

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, latencies in seconds."""
        lines = [
            f'knapweedhinge_{name}_total{{label="{label}"}} {value}'
            for (name, label), value in sorted(self._counters.items())
        ]
        lines += [
            f"knapweedhinge_{name} {value:g}"
            for name, value in sorted(self._gauges.items())
        ]
        for (target, stage), histogram in sorted(self._histograms.items()):
            lines += _render_histogram(target, stage, histogram)
        return "\n".join([*lines, ""])


def _render_histogram(target: str, stage: str, histogram: HdrHistogram) -> list[str]:
    labels = f'class="{target}",stage="{stage}"'
    name = "knapweedhinge_seconds"
    lines = [
        f'{name}{{{labels},quantile="{percentile / 100:g}"}} '
        f"{histogram.get_value_at_percentile(percentile) / US_PER_S:g}"
        for percentile in PERCENTILES
    ]
    return [*lines, f"{name}_count{{{labels}}} {histogram.get_total_count()}"]
