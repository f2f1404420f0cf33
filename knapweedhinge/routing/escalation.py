"""Decide whether a call is worth a second answer, by a larger model.

Designed for engines from calm to about twice what they can serve, where the smallest
model answers first and up to half of its answers are of low confidence. All second
answers together can be several times the work of the first ones. A second answer is
asked if what its caller gains outweighs what the other callers lose by waiting for it.
In calm nobody waits, and every answer of low confidence is replaced by the one that is
most likely to be good. The longer calls wait, the more must be gained per second of
engine work: short prompts and hopeless answers come first.

Gains and losses are counted in answers: a good answer in time counts 1.
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from math import exp, inf, isinf, tanh

from knapweedhinge.conf.escalation import EscalationSettings
from knapweedhinge.routing.sizing import MIN_KEPT_CONFIDENCE, SizeRequest

# Width of the range of confidences, on both sides of the lowest one that is kept, in
# which an answer may as well be good as poor.
UNSURE_WIDTH = 5.0
# Spread of single waits around the expected one, as a share of it, and at least in
# seconds, about the time in which nodes learn of each other's calls.
WAIT_SPREAD = 0.25
MIN_WAIT_SPREAD_S = 0.05
# Least gain of a second answer. A good one that is late gains less than this over a
# poor one in time.
MIN_GAIN = 0.2
# Wait, in parts of the shortest objective, at which no second answer is worth its work:
# first answers are late as well by then.
LONGEST_WAIT = 4 / 3
# Longest wait, in parts of the shortest objective, at which models in the middle are
# tried, and the retries that must be left then.
LONGEST_TRIAL_WAIT = 0.1
MIN_TRIAL_RETRIES = 3.0
# Retries left under which second asks of little gain leave the rest to failed calls,
# and the gain from which one counts as much as repeating a failed call.
SCARCE_RETRIES = 2.0
MIN_SCARCE_GAIN = 0.5
# Least part of its usual weight that a call has however far its organisation is over
# its share.
MIN_PRECEDENCE = 0.1


class Reason(StrEnum):
    """Why an answer is kept or another one is asked."""

    GAIN = "gain"  # the caller gains more than others lose
    TRIAL = "trial"  # to learn how good a model in the middle is
    GOOD = "good"  # the answer is good enough, or its confidence is unknown
    LARGEST = "largest"  # no larger model is left
    RUNS = "runs"  # the call may not run again
    BUDGET = "budget"  # the retries left are for failed calls
    NO_GAIN = "no-gain"  # no larger model would answer better in time
    OTHERS = "others"  # others gain more by the work, or wait too long already


@dataclass(frozen=True, slots=True)
class Escalation:
    """The model to ask, None to keep the answer, and why.

    ``gain`` is what the caller gains by the best model in question and ``loss`` what
    its work takes from other callers, both in answers; both are 0 where they didn't
    decide.
    """

    model: str | None
    reason: Reason
    gain: float = 0.0
    loss: float = 0.0


def good_chance(confidence: float) -> float:
    """Return the chance, 0 to 1, that an answer of this confidence is good.

    Ratings are rough: around the lowest confidence that is kept, both are as likely.
    """
    return 1.0 / (1.0 + exp((MIN_KEPT_CONFIDENCE - confidence) / UNSURE_WIDTH))


def price_of_work(req: SizeRequest) -> float:
    """Return what a second of engine work takes from other callers, in answers.

    It is what second answers gain in the mean when calls wait for about four fifths of
    the shortest objective, hardly anything while they wait little, and infinite at
    ``LONGEST_WAIT``. What this call itself just waited counts as well, since a node
    learns late of the other nodes' calls.
    """
    if req.shortest_objective_s <= 0:
        return 0.0
    part = _wait_s(req) / (LONGEST_WAIT * req.shortest_objective_s)
    if part >= 1.0:
        return inf
    return part**2 / (1.0 - part) * req.gain_per_work


def decide_escalation(
    req: SizeRequest, size: str, confidence: int | None, cfg: EscalationSettings
) -> Escalation:
    """Return which larger model to ask instead of keeping the answer of ``size``."""
    if confidence is None or confidence >= MIN_KEPT_CONFIDENCE:
        return Escalation(None, Reason.GOOD)
    larger = req.sizes[req.sizes.index(size) + 1 :]
    if not larger:
        return Escalation(None, Reason.LARGEST)
    if req.runs_left < 1:
        return Escalation(None, Reason.RUNS)
    if req.retry_budget_left < 1:
        return Escalation(None, Reason.BUDGET)
    if _may_try(req, larger):
        return Escalation(larger[0], Reason.TRIAL)
    price = price_of_work(req) / max(MIN_PRECEDENCE, req.precedence)
    if isinf(price):
        return Escalation(None, Reason.OTHERS)
    larger = tuple(model for model in larger if _ends_in_time(req, model))
    if not larger:
        return Escalation(None, Reason.NO_GAIN)
    options = [
        Escalation(
            model,
            Reason.GAIN,
            _gain(req, model, confidence, cfg),
            price * added_work_s(req, model),
        )
        for model in larger
    ]
    worthwhile = [option for option in options if option.gain >= MIN_GAIN]
    if not worthwhile:
        best = max(options, key=lambda option: option.gain)
        return replace(best, model=None, reason=Reason.NO_GAIN)
    best = max(worthwhile, key=lambda option: option.gain - option.loss)
    if best.gain < best.loss:
        return replace(best, model=None, reason=Reason.OTHERS)
    if req.retry_budget_left < SCARCE_RETRIES and best.gain < MIN_SCARCE_GAIN:
        return replace(best, model=None, reason=Reason.BUDGET)
    return best


def _ends_in_time(req: SizeRequest, model: str) -> bool:
    """Return whether the whole answer is expected before the deadline."""
    return req.expected_wait_s + req.work_s.get(model, 0.0) <= req.time_left_s


def _may_try(req: SizeRequest, larger: tuple[str, ...]) -> bool:
    """Return whether a model in the middle is tried: in calm, with time for another."""
    return (
        req.tries_middle
        and len(larger) > 1
        and req.runs_left >= 2
        and req.retry_budget_left >= MIN_TRIAL_RETRIES
        and _wait_s(req) <= LONGEST_TRIAL_WAIT * req.shortest_objective_s
        and req.elapsed_s + sum(req.prefill_s.values()) <= req.objective_s / 2
    )


def _wait_s(req: SizeRequest) -> float:
    return max(req.expected_wait_s, req.seen_wait_s)


def gain_in_calm(
    req: SizeRequest, model: str, confidence: int, cfg: EscalationSettings
) -> float:
    """Return by how much an answer of ``model`` in time is worth more to the caller."""
    good = req.good_chances.get(model, 0.0)
    return _value(good, cfg) - _value(good_chance(confidence), cfg)


def added_work_s(req: SizeRequest, model: str) -> float:
    """Return the engine work in seconds that the second answer adds."""
    return max(0.0, req.work_s.get(model, 0.0) - req.saved_s)


def _gain(
    req: SizeRequest, model: str, confidence: int, cfg: EscalationSettings
) -> float:
    """Return the gain when the second answer may be late."""
    left_s = req.objective_s - req.elapsed_s
    kept = _value(good_chance(confidence), cfg)
    if left_s < 0:
        kept *= cfg.late_value
    good = _value(req.good_chances.get(model, 0.0), cfg)
    late = _late_chance(req.expected_wait_s, left_s - req.prefill_s.get(model, 0.0))
    return good * (1.0 - late + late * cfg.late_value) - kept


def _late_chance(wait_s: float, slack_s: float) -> float:
    """Return the chance that a wait of this expected length exceeds the slack."""
    spread_s = max(MIN_WAIT_SPREAD_S, WAIT_SPREAD * wait_s)
    return 0.5 * (1.0 + tanh((wait_s - slack_s) / (2.0 * spread_s)))


def _value(good: float, cfg: EscalationSettings) -> float:
    return good + (1.0 - good) * cfg.poor_value
