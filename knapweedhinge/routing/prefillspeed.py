"""Estimate the prefill time of prompts from the latencies of earlier answers.

Prompts differ widely in length. The largest model takes longer than the latency
objective to process the longest ones, even on an idle engine. Such prompts go to a
smaller model, and calls wait for the prefill to end, since another engine would have
to start over.
"""

from dataclasses import dataclass

# Fewest uncached tokens of a prompt to learn from; below, queueing outweighs prefill.
MIN_PROMPT_TOKENS = 2_000
# Share of the weight of earlier answers that is kept with each new one.
DECAY = 0.9
# Prefill time in seconds a token of a model of relative cost 1.0, assumed at first.
DEFAULT_TOKEN_S = 1 / 20_000
# Weight of that assumption against answers, in tokens.
DEFAULT_WEIGHT = 20_000.0


@dataclass(frozen=True, slots=True)
class PrefillSpeed:
    """The prefill speed of one model, from decaying sums of seconds and of tokens.

    The ratio of the sums is dominated by long prompts, whose time to the first piece
    is mostly prefill.
    """

    seconds_seen: float
    tokens_seen: float

    def updated(self, fresh_tokens: int, first_s: float) -> "PrefillSpeed":
        """Return the speed updated by an answer.

        ``fresh_tokens`` is the uncached part of the prompt, ``first_s`` the seconds
        from the request to the first piece of the answer.
        """
        if fresh_tokens < MIN_PROMPT_TOKENS:
            return self
        return PrefillSpeed(
            DECAY * self.seconds_seen + first_s, DECAY * self.tokens_seen + fresh_tokens
        )

    def seconds(self, fresh_tokens: int) -> float:
        """Return the expected prefill time in seconds of ``fresh_tokens``."""
        return max(0, fresh_tokens) * self.seconds_seen / self.tokens_seen


def assumed_speed(cost: float) -> PrefillSpeed:
    """Return the speed assumed for a model of this relative cost until it is known."""
    return PrefillSpeed(cost * DEFAULT_TOKEN_S * DEFAULT_WEIGHT, DEFAULT_WEIGHT)
