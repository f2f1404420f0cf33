"""Choose the size of the model that answers a call, and when to ask a larger one.

Calls differ in difficulty, and answers cost more the larger the model. The smallest
model answers first and reports its confidence before any of the answer is sent to the
client. An answer of low confidence is dropped and the largest model is asked, as long
as the latency objective and the retry budget allow it. If the engines are so busy that
the larger model would answer late, and delay other calls as well, the first answer is
kept. If the prompt is too long for the largest model to start in time, the largest
model that can is asked.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf

# Lowest confidence, from 0 to 100, of an answer that is kept.
MIN_KEPT_CONFIDENCE = 55.0
# Share of the latency objective within which a larger model must be expected to start
# its answer; the rest is a margin for unforeseen delay.
MAX_START_SHARE = 0.9
# Share of the work queued at an engine that a call waits for before its first piece:
# engines process the prompts of several calls in turns.
QUEUE_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SizeRequest:
    """The properties of a call that the choice of a model size depends on.

    ``sizes`` are model names from the smallest to the largest. ``elapsed_s`` and
    ``objective_s``, the latency objective, count seconds from the arrival of the call.
    ``runs_left`` is the number of further runs the call may have, and
    ``retry_budget_left`` what remains of the node's retry budget. ``queueing_delay_s``
    is the delay by other calls' work at the best engine for this call, and
    ``prefill_s`` the expected prefill time of the prompt by model, both in seconds.

    The other fields matter where second answers are weighed (``escalation``).
    ``wait_per_work`` is by how many seconds each second of that work delays calls, and
    ``seen_wait_s`` how long this call just waited. ``work_s`` is the expected engine
    work of the call by model, and ``saved_s`` the part that its present answer would
    still take, in seconds. ``good_chances`` are the chances, by model, that a larger
    model's answer is good. ``gain_per_work`` is what callers of the service gain by
    second answers, in answers per second of engine work, and ``shortest_objective_s``
    the shortest of their latency objectives. ``precedence`` is the weight of this call
    against those that wait, 1 for an urgent one of an organisation within its share.
    ``tries_middle`` lets the node learn from this call how good a model in the middle
    is. ``time_left_s`` is the time until the call's deadline, in seconds.
    """

    sizes: tuple[str, ...]
    elapsed_s: float
    objective_s: float
    runs_left: int
    retry_budget_left: float
    queueing_delay_s: float = 0.0
    prefill_s: Mapping[str, float] = field(default_factory=dict)
    wait_per_work: float = QUEUE_WAIT_SHARE
    seen_wait_s: float = 0.0
    work_s: Mapping[str, float] = field(default_factory=dict)
    saved_s: float = 0.0
    good_chances: Mapping[str, float] = field(default_factory=dict)
    gain_per_work: float = 0.0
    shortest_objective_s: float = 0.0
    precedence: float = 1.0
    tries_middle: bool = False
    time_left_s: float = inf

    @property
    def expected_wait_s(self) -> float:
        """Return how long a new call is expected to wait, in seconds."""
        return self.wait_per_work * self.queueing_delay_s


def first_size(sizes: tuple[str, ...]) -> str:
    """Return the model to ask first, or an empty string if ``sizes`` is empty."""
    return sizes[0] if sizes else ""


def larger_size(req: SizeRequest, size: str, confidence: int | None) -> str | None:
    """Return the model to ask instead of using the answer of ``size``.

    Return None if the answer is to be kept: its confidence is high enough or unknown,
    it comes from the largest model, no further run or retry is left, or no larger
    model is expected to start in time.
    """
    if confidence is None or size == req.sizes[-1]:
        return None
    if confidence >= MIN_KEPT_CONFIDENCE:
        return None
    if req.runs_left < 1 or req.retry_budget_left < 1:
        return None
    queue_wait_s = QUEUE_WAIT_SHARE * req.queueing_delay_s
    left_s = MAX_START_SHARE * req.objective_s - req.elapsed_s - queue_wait_s
    larger = req.sizes[req.sizes.index(size) + 1 :]
    fitting = [model for model in larger if req.prefill_s.get(model, 0.0) <= left_s]
    return fitting[-1] if fitting else None
