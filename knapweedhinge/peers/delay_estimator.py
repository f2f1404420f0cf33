"""Time a message spent waiting on its way."""

import math

WINDOW_S = 60.0


class DelayEstimator:
    """Estimates from send stamps how long a message was held up.

    The smallest difference between the two clocks seen lately stands for the plain
    transit; what a message takes beyond it, it waited: in a full queue, behind a cut,
    or in the buffer of a receiver that was paused. Two windows let the estimate follow
    clocks that drift apart.
    """

    def __init__(self):
        self._started: float | None = None
        self._current = float("inf")
        self._previous = float("inf")

    def estimate_s(self, sent: float, now: float) -> float:
        """Return the wait, in seconds, of a message sent at the far side's ``sent``."""
        if not math.isfinite(sent):
            return 0.0
        offset = now - sent
        if self._started is None:
            self._started = now
        elif now - self._started > WINDOW_S:
            self._started = now
            self._previous = self._current
            self._current = float("inf")
        self._current = min(self._current, offset)
        return max(0.0, offset - min(self._current, self._previous))
