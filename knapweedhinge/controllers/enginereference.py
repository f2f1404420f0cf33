"""Learn how long answers of a model take on average under a given load."""

from bisect import bisect_right
from dataclasses import dataclass

from knapweedhinge.routing.placement import DECODE_TOKENS_PER_S, PREFILL_TOKENS_PER_S

# Share of the weight of earlier observations that is kept with each new one.
DECAY = 0.98
# Observations of a model before its times serve as a reference.
MIN_OBSERVATIONS = 3
# Lower bounds of the load bands above the first one: work outstanding at an engine when
# a call is sent, in seconds. Calls of one band wait about equally long.
LOAD_BOUNDS_S = (0.05, 0.3, 1.0, 2.0, 4.0)


@dataclass(frozen=True, slots=True)
class Stage:
    """A stage of an answer: prefill to the first piece, or decoding between pieces.

    ``token_s`` is the time by token assumed for a model of relative cost 1, with the
    weight of ``assumed_tokens``. ``band_tokens`` is the weight of what a model's
    answers take under any load against those under the same load.
    """

    name: str
    token_s: float
    assumed_tokens: float
    band_tokens: float


PREFILL = Stage("prefill", 1 / PREFILL_TOKENS_PER_S, 2_000.0, 8_000.0)
DECODE = Stage("decode", 1 / DECODE_TOKENS_PER_S, 50.0, 400.0)


@dataclass(frozen=True, slots=True)
class AnswerKind:
    """Answers with comparable times: those of one model under about the same load.

    ``cost`` is the model's relative cost and ``band`` the load band of the engine when
    the call was sent.
    """

    service: str
    model: str
    cost: float
    band: int


def load_band(work_s: float) -> int:
    """Return the load band of an engine with ``work_s`` seconds of work, from 0."""
    return bisect_right(LOAD_BOUNDS_S, work_s)


@dataclass(frozen=True, slots=True)
class _Rate:
    """Seconds by token, from decaying sums."""

    seconds: float = 0.0
    tokens: float = 0.0
    observations: int = 0

    def updated(self, seconds: float, tokens: float) -> "_Rate":
        return _Rate(
            DECAY * self.seconds + seconds,
            DECAY * self.tokens + tokens,
            self.observations + 1,
        )

    def token_s(self, prior_token_s: float, prior_tokens: float) -> float:
        return (self.seconds + prior_token_s * prior_tokens) / (
            self.tokens + prior_tokens
        )


_NO_RATE = _Rate()


class EngineReference:
    """Mean times of a service's engines, from this node's own answers.

    It is bounded by the number of models, stages and load bands of the catalog.
    """

    def __init__(self):
        self._by_model: dict[tuple[str, str, str], _Rate] = {}
        self._by_band: dict[tuple[str, str, str, int], _Rate] = {}

    def expected_s(self, kind: AnswerKind, stage: Stage, tokens: float) -> float | None:
        """Return the mean seconds for so many tokens, None if it isn't known yet."""
        model_key = kind.service, kind.model, stage.name
        of_model = self._by_model.get(model_key, _NO_RATE)
        if of_model.observations < MIN_OBSERVATIONS:
            return None
        model_token_s = of_model.token_s(
            kind.cost * stage.token_s, stage.assumed_tokens
        )
        of_band = self._by_band.get((*model_key, kind.band), _NO_RATE)
        return tokens * of_band.token_s(model_token_s, stage.band_tokens)

    def observed(
        self, kind: AnswerKind, stage: Stage, tokens: float, seconds: float
    ) -> None:
        """Record that an engine took ``seconds`` for so many tokens."""
        model_key = kind.service, kind.model, stage.name
        band_key = *model_key, kind.band
        for rates, key in ((self._by_model, model_key), (self._by_band, band_key)):
            rates[key] = rates.get(key, _NO_RATE).updated(seconds, tokens)
