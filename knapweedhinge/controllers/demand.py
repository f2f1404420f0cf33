"""Count what organisations ask of services, for the sums over the fleet."""

import math
from dataclasses import dataclass, field

from knapweedhinge.routing.fleetsums import MAX_COLUMNS, MAX_REPORTED, Table, row_key

# Time constant with which counts decay, in seconds: long enough that nodes that see a
# call in half a second have a count, short enough to follow a burst.
WINDOW_S = 4.0
# Counts are reported in hundredths, since they decay.
SCALE = 100
# Columns of a row. The greatest first column decides which rows are kept.
ASKED, STARTED, REFUSED, WAITING, LATE, FIRST_CLASS = range(6)
CLASSES = MAX_COLUMNS - FIRST_CLASS  # less urgent ones are counted in the last
# Pairs of service and organisation that are counted at the same time.
MAX_PAIRS = 1024
MIN_COUNT = 0.01  # below which a count is forgotten


@dataclass(slots=True)
class _Counts:
    values: list[float] = field(default_factory=lambda: [0.0] * MAX_COLUMNS)
    waiting: int = 0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / WINDOW_S)
        self.values = [value * factor for value in self.values]
        self.at = now


class DemandTracker:
    """Count the calls of this node by service and organisation.

    ``organisation`` is empty for callers without one. ``now`` is in seconds on the
    node's monotonic clock. The counts are of a window that decays, see ``WINDOW_S``.
    """

    def __init__(self):
        self._counts: dict[tuple[str, str], _Counts] = {}

    def asked(self, service: str, organisation: str, urgency: int, now: float) -> None:
        """Count a new call; ``urgency`` is its class, 0 for the most urgent one."""
        self._add(service, organisation, ASKED, now)
        column = FIRST_CLASS + min(max(0, urgency), CLASSES - 1)
        self._add(service, organisation, column, now)

    def started(
        self, service: str, organisation: str, now: float, *, late: bool
    ) -> None:
        """Count a call whose answer began; ``late`` if that was after its objective."""
        self._add(service, organisation, STARTED, now)
        if late:
            self._add(service, organisation, LATE, now)

    def refused(self, service: str, organisation: str, now: float) -> None:
        """Count a call that an endpoint refused."""
        self._add(service, organisation, REFUSED, now)

    def waits(self, service: str, organisation: str, change: int, now: float) -> None:
        """Add ``change``, 1 or -1, to the calls that wait for an endpoint now."""
        counts = self._of(service, organisation, now)
        counts.waiting = max(0, counts.waiting + change)

    def own(self, now: float) -> Table:
        """Return this node's table, in hundredths of calls."""
        table = {}
        for (service, organisation), counts in list(self._counts.items()):
            counts.decay(now)
            if max(counts.values) < MIN_COUNT and not counts.waiting:
                del self._counts[service, organisation]
                continue
            row = [min(MAX_REPORTED, round(SCALE * value)) for value in counts.values]
            row[WAITING] = SCALE * counts.waiting
            table[row_key(service, organisation)] = tuple(row)
        return table

    def _add(self, service: str, organisation: str, column: int, now: float) -> None:
        counts = self._of(service, organisation, now)
        counts.decay(now)
        counts.values[column] += 1

    def _of(self, service: str, organisation: str, now: float) -> _Counts:
        counts = self._counts.get((service, organisation))
        if counts is None:
            if len(self._counts) >= MAX_PAIRS:
                self._drop_smallest()
            counts = self._counts[service, organisation] = _Counts(at=now)
        return counts

    def _drop_smallest(self) -> None:
        smallest = min(
            self._counts,
            key=lambda pair: (
                self._counts[pair].waiting,
                self._counts[pair].values[ASKED],
            ),
        )
        del self._counts[smallest]
