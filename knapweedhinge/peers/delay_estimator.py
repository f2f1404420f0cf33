"""Estimate of the time that a message spent waiting on its way."""

import math

WINDOW_S = 60.0  # the minimum offset is taken over one to two windows


class DelayEstimator:
    """Estimates the queueing delay of messages from their send timestamps.

    The smallest recent difference between receive and send time stands for the clock
    offset plus the undelayed transit. Whatever a message takes longer, it waited: in a
    full queue, behind a network cut or in the buffer of a paused receiver. The minimum
    is taken over two windows so that it follows clocks that drift apart.
    """

    def __init__(self):
        self._window_started_at: float | None = None
        self._current_min = float("inf")
        self._previous_min = float("inf")

    def estimate_s(self, sent: float, now: float) -> float:
        """Return the delay in seconds of a message received at ``now``.

        ``sent`` is the send time by the sender's clock. A value that is not finite
        counts as no delay.
        """
        if not math.isfinite(sent):
            return 0.0
        offset = now - sent
        if self._window_started_at is None:
            self._window_started_at = now
        elif now - self._window_started_at > WINDOW_S:
            self._window_started_at = now
            self._previous_min = self._current_min
            self._current_min = float("inf")
        self._current_min = min(self._current_min, offset)
        return max(0.0, offset - min(self._current_min, self._previous_min))
