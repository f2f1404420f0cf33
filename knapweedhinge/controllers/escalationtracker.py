"""Learn from a node's calls what second answers are worth, and how long calls wait.

A node of a large fleet asks for a second answer about once a second, enough to learn in
a minute how confident larger models are where the smallest one wasn't. Until then it
uses what is assumed at first.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from knapweedhinge.routing.escalation import good_chance
from knapweedhinge.routing.sizing import QUEUE_WAIT_SHARE

BAND_WIDTH = 20  # confidences of first answers that are learned together
# Time constant with which answers are forgotten, in seconds. Without new ones, a model
# is taken for as good as at first and asked again.
MEMORY_S = 300.0
# Chance assumed at first that the largest model's answer is good, and its weight in
# answers. A model in the middle is assumed to be no better than the one that answered.
LARGEST_GOOD_CHANCE = 0.9
ASSUMED_WEIGHT = 2.0
# Weight, in answers, of all routes in the estimate for one of them.
ALL_ROUTES_WEIGHT = 4.0
# Weight of the wait assumed at first, in seconds of work that calls found.
ASSUMED_FOUND_S = 2.0
# Work in seconds for which one answer counts at most, so that a single call that was
# served out of turn doesn't decide.
MAX_FOUND_S = 5.0
KEPT = 0.98  # share of the weight of earlier answers that is kept with each new one
ALL_ROUTES = ""  # stands for the sums over all routes
MAX_CELLS = 4096  # combinations of route, model and band that are remembered


@dataclass(slots=True)
class _Cell:
    """Decaying sums of the chances that answers are good, and of their number."""

    good: float = 0.0
    answers: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        self.good *= factor
        self.answers *= factor
        self.at = now


@dataclass(slots=True)
class _Service:
    """Decaying sums over the answers of one service.

    ``waited_s`` is how long calls waited and ``found_s`` the work that they found at
    their engines, ``gain`` what second answers would gain and ``work_s`` their work, in
    seconds.
    """

    waited_s: float = QUEUE_WAIT_SHARE * ASSUMED_FOUND_S
    found_s: float = ASSUMED_FOUND_S
    gain: float = 0.0
    work_s: float = 0.0


class EscalationTracker:
    """Learn from second answers; ``now`` is in seconds on the node's monotonic clock.

    All is lost with the node, and learned again from its next calls.
    """

    def __init__(self):
        self._cells: dict[tuple[str, str, int], _Cell] = {}
        self._services: dict[str, _Service] = {}

    def waited(self, service: str, found_work_s: float, waited_s: float) -> None:
        """Learn how long a call waited that found work at its engine, in seconds."""
        if found_work_s <= 0:
            return  # says nothing of how work delays calls
        known = self._service(service)
        weight = min(1.0, MAX_FOUND_S / found_work_s)
        known.waited_s = KEPT * known.waited_s + weight * max(0.0, waited_s)
        known.found_s = KEPT * known.found_s + weight * found_work_s

    def doubted(self, service: str, gain: float, work_s: float) -> None:
        """Learn from an answer of low confidence.

        ``gain`` is what a second answer in time would gain and ``work_s`` its engine
        work in seconds, whether it is asked or not.
        """
        known = self._service(service)
        known.gain = KEPT * known.gain + max(0.0, gain)
        known.work_s = KEPT * known.work_s + work_s

    def wait_per_work(self, service: str) -> float:
        """Return by how many seconds a second of outstanding work delays a call."""
        known = self._service(service)
        return min(1.0, known.waited_s / known.found_s) if known.found_s > 0 else 0.0

    def gain_per_work(self, service: str) -> float:
        """Return the mean gain of second answers per second of engine work."""
        known = self._service(service)
        return known.gain / known.work_s if known.work_s > 0 else 0.0

    def answered(
        self, route: str, model: str, first: int, second: int, now: float
    ) -> None:
        """Learn from the confidences, 0 to 100, of a first and a second answer.

        ``model`` gave the second one.
        """
        for name in (route, ALL_ROUTES):
            cell = self._cell((name, model, first // BAND_WIDTH), now)
            cell.good += good_chance(second)
            cell.answers += 1.0

    def good_chances(
        self, route: str, larger: Sequence[str], first: int, now: float
    ) -> dict[str, float]:
        """Return the chance that a second answer is good, by larger model.

        ``first`` is the confidence of the first answer.
        """
        chances = {}
        for place, model in enumerate(larger, start=1):
            band = first // BAND_WIDTH
            is_largest = place == len(larger)
            chance = LARGEST_GOOD_CHANCE if is_largest else good_chance(first)
            chance = self._estimate(
                (ALL_ROUTES, model, band), chance, ASSUMED_WEIGHT, now
            )
            chances[model] = self._estimate(
                (route, model, band), chance, ALL_ROUTES_WEIGHT, now
            )
        return chances

    def dump(self, now: float) -> dict:
        """Return what was learned as JSON-like values, by route, model and band."""
        learned = {}
        for (route, model, band), cell in self._cells.items():
            cell.decay(now)
            learned[f"{route} {model} {band * BAND_WIDTH}"] = {
                "answers": round(cell.answers, 1),
                "good": round(cell.good / cell.answers, 2) if cell.answers else None,
            }
        return {
            "second_answers": learned,
            "services": {
                service: {
                    "wait_per_work": round(self.wait_per_work(service), 3),
                    "gain_per_work": round(self.gain_per_work(service), 2),
                }
                for service in self._services
            },
        }

    def _estimate(
        self, key: tuple[str, str, int], assumed: float, weight: float, now: float
    ) -> float:
        cell = self._cells.get(key)
        if cell is None:
            return assumed
        cell.decay(now)
        return (cell.good + weight * assumed) / (cell.answers + weight)

    def _cell(self, key: tuple[str, str, int], now: float) -> _Cell:
        cell = self._cells.get(key)
        if cell is None:
            if len(self._cells) >= MAX_CELLS:
                del self._cells[min(self._cells, key=lambda k: self._cells[k].at)]
            cell = self._cells[key] = _Cell(at=now)
        cell.decay(now)
        return cell

    def _service(self, name: str) -> _Service:
        return self._services.setdefault(name, _Service())
