"""Statistics of times that can be added over nodes, for comparing two releases."""

from typing import Annotated

import msgspec
from msgspec import Meta

from knapweedhinge.routing.timequantiles import LAST_BIN, add_bins, bins_since

Bin = Annotated[int, Meta(ge=0, le=LAST_BIN)]
BinCount = Annotated[int, Meta(ge=1)]


class LogTimes(msgspec.Struct, frozen=True, array_like=True):
    """Count, sum and sum of squares of the natural logarithms of times in seconds.

    ``bins`` holds the number of times by ``time_bin``, empty if a node of an earlier
    version counted them.
    """

    count: int = 0
    total: float = 0.0
    squares: float = 0.0
    bins: dict[Bin, BinCount] = {}

    def plus(self, other: "LogTimes") -> "LogTimes":
        """Return the statistics of both samples together."""
        return LogTimes(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
            add_bins(self.bins, other.bins),
        )

    def since(self, earlier: "LogTimes") -> "LogTimes":
        """Return the statistics of the times that were added after ``earlier``."""
        return LogTimes(
            max(0, self.count - earlier.count),
            self.total - earlier.total,
            self.squares - earlier.squares,
            bins_since(self.bins, earlier.bins),
        )

    @property
    def mean(self) -> float:
        """Return the mean logarithm; raise ZeroDivisionError if there are no times."""
        return self.total / self.count

    @property
    def squared_deviations(self) -> float:
        """Return the sum of squared deviations from the mean logarithm."""
        if not self.count:
            return 0.0
        return max(0.0, self.squares - self.total * self.total / self.count)
