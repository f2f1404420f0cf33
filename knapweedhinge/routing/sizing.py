"""Choose the size of the model that answers a call, and when to ask a larger one.

Load answered: calls of unlike difficulty whose answers cost more the larger the model.
The smallest model answers first; its own opinion of the answer comes before any of it
went to the caller, so a poor one is dropped and asked of the largest model, as long as
time and the budget of repeats bear it. Under crowding the larger model would answer
late, and make others late, so a poor answer in time is kept. A prompt too long for the
largest model to begin in time goes to the largest that can.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# An answer of the smallest model is kept from this opinion on (0 to 100).
KEEP_FROM = 55.0
# Part of the latency objective within which a larger model must be expected to begin;
# the rest is for what isn't foreseen. By the emulator (docs/internals/measurements.md).
BEGIN_WITHIN = 0.9
# Part of the others' work at an engine that a call waits for before its first piece:
# engines read prompts in turns. By the emulator, from 0.25 to 1.
WAITS_FOR = 0.5


@dataclass(frozen=True, slots=True)
class SizeRequest:
    """What the choice needs to know; times in seconds since the call arrived.

    ``crowding_s`` is what the call would lose to others at its best engine, and
    ``reading_s`` how long each model is expected to read the prompt.
    """

    sizes: tuple[str, ...]
    elapsed_s: float
    objective_s: float
    runs_left: int
    repeats_left: float
    crowding_s: float = 0.0
    reading_s: Mapping[str, float] = field(default_factory=dict)


def first_size(sizes: tuple[str, ...]) -> str:
    """Return the model that is asked first; nothing for a call without models."""
    return sizes[0] if sizes else ""


def larger_size(req: SizeRequest, size: str, confidence: int | None) -> str | None:
    """Return the model to ask in place of the answer, None to keep the answer."""
    if confidence is None or size == req.sizes[-1]:
        return None
    if confidence >= KEEP_FROM:
        return None
    if req.runs_left < 1 or req.repeats_left < 1:
        return None
    waits_s = WAITS_FOR * req.crowding_s
    left_s = BEGIN_WITHIN * req.objective_s - req.elapsed_s - waits_s
    larger = req.sizes[req.sizes.index(size) + 1 :]
    fitting = [one for one in larger if req.reading_s.get(one, 0.0) <= left_s]
    return fitting[-1] if fitting else None
