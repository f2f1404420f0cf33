"""Decide how long to wait for the next piece of an answer before giving up.

An engine that processes several long prompts sends nothing on any of its streams for
seconds; sending the prompt to another engine would only add load. An endpoint that
hangs on a single call, or stops in the middle of a stream, sends nothing on that
stream only, and waiting for it is lost time. So the timeout depends on whether the
endpoint is busy, and on whether it serves other calls meanwhile.
"""

from dataclasses import dataclass

# Timeouts of the first piece and of later ones, as multiples of the allowed time, for
# an idle and a busy endpoint. For later pieces, a busy endpoint that serves other calls
# during the wait counts as idle.
FIRST_IDLE_FACTOR = 0.5
FIRST_BUSY_FACTOR = 0.75
PAUSE_IDLE_FACTOR = 0.8
PAUSE_BUSY_FACTOR = 2.0
# Seconds of outstanding work of all nodes from which an endpoint counts as busy.
BUSY_WORK_S = 1.5
# Lower bound of the timeout of the first piece, in expected prefill times.
MIN_PREFILL_TIMES = 2.0
# Lower bound of all timeouts in seconds; shorter silences may be random delays.
MIN_TIMEOUT_S = 0.15


@dataclass(frozen=True, slots=True)
class Silence:
    """A wait for the next piece of an answer; times in seconds.

    ``allowed_s`` is the time within which the piece is not late: the latency objective
    for the first one, the longest pause for others. ``first_piece`` tells that it is
    the first one. ``work_s`` is the outstanding work of all nodes at the endpoint.
    ``others_served`` tells that the endpoint sent pieces of other answers during the
    wait. ``prefill_s`` is the expected prefill time of the prompt.
    """

    allowed_s: float
    first_piece: bool
    work_s: float = 0.0
    others_served: bool = False
    prefill_s: float = 0.0


def silence_timeout_s(silence: Silence) -> float:
    """Return the seconds of silence after which the call should be sent elsewhere."""
    busy = silence.work_s >= BUSY_WORK_S
    if silence.first_piece:
        factor = FIRST_BUSY_FACTOR if busy else FIRST_IDLE_FACTOR
    else:
        factor = (
            PAUSE_BUSY_FACTOR
            if busy and not silence.others_served
            else PAUSE_IDLE_FACTOR
        )
    timeout_s = factor * silence.allowed_s
    if silence.first_piece:
        timeout_s = max(timeout_s, MIN_PREFILL_TIMES * silence.prefill_s)
    return max(MIN_TIMEOUT_S, timeout_s)
