"""Counters and latency histograms of one process, rendered for Prometheus."""

from collections import Counter

from hdrh.histogram import HdrHistogram

# Range of the histograms in microseconds; values outside are clamped to it.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000


class Metrics:
    """Record latencies by class and stage, and count events by name and label."""

    def __init__(self):
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._counters: Counter[tuple[str, str]] = Counter()

    def observe(self, class_id: str, stage: str, seconds: float) -> None:
        """Record that a stage of a request of this class took ``seconds``."""
        histogram = self._histograms.get((class_id, stage))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[class_id, stage] = histogram
        value = min(max(int(seconds * US_PER_S), MIN_LATENCY_US), MAX_LATENCY_US)
        histogram.record_value(value)

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Add ``by`` to the counter of this name and label."""
        self._counters[name, label] += by

    def value(self, name: str, label: str = "") -> int:
        """Return the counter of this name and label, 0 if it was never counted."""
        return self._counters[name, label]

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, latencies in seconds."""
        lines = [
            f'knapweedhinge_{name}_total{{label="{label}"}} {value}'
            for (name, label), value in sorted(self._counters.items())
        ]
        for (class_id, stage), histogram in sorted(self._histograms.items()):
            lines += _render_histogram(class_id, stage, histogram)
        return "\n".join([*lines, ""])


def _render_histogram(class_id: str, stage: str, histogram: HdrHistogram) -> list[str]:
    labels = f'class="{class_id}",stage="{stage}"'
    name = "knapweedhinge_seconds"
    lines = [
        f'{name}{{{labels},quantile="{quantile / 100:g}"}} '
        f"{histogram.get_value_at_percentile(quantile) / US_PER_S:g}"
        for quantile in PERCENTILES
    ]
    return [*lines, f"{name}_count{{{labels}}} {histogram.get_total_count()}"]
