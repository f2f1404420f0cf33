"""Divide the calls that a service may be sent among organisations.

Designed for dozens of rival organisations of which one may send many times its usual:
each has its turn by max-min fairness, and its urgent calls come first.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

# Part of the mean that each organisation's least urgent class keeps.
FLOOR = 0.25
# Times that classes are put in order over all organisations: each leaves less to do.
ORDERING_ROUNDS = 4
# Time in which an organisation that started nothing doubles its weight, in seconds.
AGING_S = 4.0
MAX_AGING = 16.0


@dataclass(frozen=True, slots=True)
class OrganisationDemand:
    """What an organisation asks of a service.

    ``by_class`` is its calls a second by urgency, most urgent first. ``idle_s`` is the
    time for which it has asked and got nothing, in seconds.
    """

    by_class: tuple[float, ...]
    weight: float = 1.0
    idle_s: float = 0.0

    @property
    def total(self) -> float:
        """Return its calls a second."""
        return sum(self.by_class)

    @property
    def aged_weight(self) -> float:
        """Return the weight, which grows while the organisation gets nothing."""
        return self.weight * min(MAX_AGING, 1 + max(0.0, self.idle_s) / AGING_S)


def allocate(
    demands: Mapping[str, OrganisationDemand], capacity: float, drain: float = 0.0
) -> dict[str, tuple[float, ...]]:
    """Return the share of each organisation's calls, by class, that may start.

    ``capacity`` is in calls a second. It is divided by max-min fairness, weighted;
    within an organisation the more urgent class comes first. What is needed to
    ``drain`` the queues is taken from those that ask for more than they get.
    """
    turns = max_min(
        {name: (demand.total, demand.aged_weight) for name, demand in demands.items()},
        capacity,
    )
    over = [name for name, turn in turns.items() if turn < demands[name].total]
    in_all = sum(turns[name] for name in over)
    kept = max(FLOOR, 1 - drain / in_all) if in_all > 0 else 1.0
    turns |= {name: kept * turns[name] for name in over}
    for _ in range(ORDERING_ROUNDS):
        turns = _in_order(demands, turns)
    return _levelled(demands, _shares(demands, turns))


def _shares(
    demands: Mapping[str, OrganisationDemand], turns: Mapping[str, float]
) -> dict[str, tuple[float, ...]]:
    floors = _class_floors(demands, turns)
    return {
        name: _by_urgency(demand.by_class, turns[name], floors[name])
        for name, demand in demands.items()
    }


def _class_floors(
    demands: Mapping[str, OrganisationDemand], turns: Mapping[str, float]
) -> dict[str, float]:
    """Return the least share of each class of an organisation that starts.

    That is a quarter of the share of all calls. Of an organisation that asks for more
    than the mean it is a quarter of the mean, over all its calls.
    """
    started = sum(turns.values())
    asked = sum(demand.total for demand in demands.values())
    floors = {}
    for name, demand in demands.items():
        if demand.total <= 0:
            floors[name] = 0.0
            continue
        own = turns[name] / demand.total
        mean = min(started / asked, started / len(demands) / demand.total)
        floors[name] = min(own, FLOOR * mean)
    return floors


def _in_order(
    demands: Mapping[str, OrganisationDemand], turns: Mapping[str, float]
) -> dict[str, float]:
    """Return turns with which no class starts less than a less urgent one.

    That can be where the organisations that ask for more than they get send most of the
    urgent calls. Room goes from the less urgent classes of all organisations to those
    that miss some in the more urgent ones, but no organisation, and no class of one, is
    left with less than a quarter of the mean for it.
    """
    turns = dict(turns)
    floor = FLOOR * sum(turns.values()) / max(1, len(turns))
    classes = max((len(demand.by_class) for demand in demands.values()), default=0)
    for urgency in range(classes - 1):
        shares, floors = _shares(demands, turns), _class_floors(demands, turns)
        asked, started = _sums(demands, shares)
        lesser = range(urgency + 1, classes)
        best = max((started[k] / asked[k] for k in lesser if asked[k] > 0), default=0.0)
        least = best * asked[urgency]
        if started[urgency] >= least:
            continue
        others = sum(started[k] for k in lesser)
        given = 1 - (started[urgency] + others) / (least + others)
        missing, freed = {}, 0.0
        for name, demand in demands.items():
            starts = [
                value * share
                for value, share in zip(demand.by_class, shares[name], strict=True)
            ]
            kept = min(turns[name], floor)
            least_calls = floors[name] * sum(demand.by_class[urgency + 1 :])
            above = max(0.0, sum(starts[urgency + 1 :]) - least_calls)
            taken = min(given * sum(starts[urgency + 1 :]), above, turns[name] - kept)
            turns[name] -= taken
            freed += taken
            short = sum(demand.by_class[: urgency + 1]) - sum(starts[: urgency + 1])
            missing[name] = max(0.0, short), demand.aged_weight
        for name, more in max_min(missing, freed).items():
            turns[name] += more
    return turns


def _levelled(
    demands: Mapping[str, OrganisationDemand], shares: Mapping[str, Sequence[float]]
) -> dict[str, tuple[float, ...]]:
    """Return shares with which no class starts less than a less urgent one.

    The turns alone can't bring that about where an organisation asks for no more than
    it is guaranteed, so that its least urgent calls all start. Then each organisation
    takes from its own most urgent calls what the class misses, so that none loses.
    """
    shares = {name: tuple(of_classes) for name, of_classes in shares.items()}
    classes = max((len(demand.by_class) for demand in demands.values()), default=0)
    for urgency in range(1, classes - 1):
        asked, started = _sums(demands, shares)
        lesser = range(urgency + 1, classes)
        best = max((started[k] / asked[k] for k in lesser if asked[k] > 0), default=0.0)
        missing = best * asked[urgency] - started[urgency]
        if missing <= 0:
            continue
        level = {
            name: _mean_share(demand.by_class, shares[name], urgency + 1)
            for name, demand in demands.items()
        }
        most = sum(
            demand.by_class[urgency] * (level[name] - shares[name][urgency])
            for name, demand in demands.items()
        )
        part = min(1.0, missing / most) if most > 0 else 0.0
        for name, of_classes in shares.items():
            levelled = (
                share + part * (level[name] - share)
                for share in of_classes[: urgency + 1]
            )
            shares[name] = *levelled, *of_classes[urgency + 1 :]
    return shares


def _mean_share(
    by_class: Sequence[float], shares: Sequence[float], classes: int
) -> float:
    """Return the share of calls of the most urgent ``classes`` that start."""
    asked = sum(by_class[:classes])
    started = sum(
        value * share for value, share in zip(by_class[:classes], shares, strict=False)
    )
    return started / asked if asked > 0 else shares[classes - 1]


def _sums(
    demands: Mapping[str, OrganisationDemand], shares: Mapping[str, Sequence[float]]
) -> tuple[list[float], list[float]]:
    """Return the calls a second that are asked and that start, by class."""
    classes = max(len(demand.by_class) for demand in demands.values())
    asked, started = [0.0] * classes, [0.0] * classes
    for name, demand in demands.items():
        for k, value in enumerate(demand.by_class):
            asked[k] += value
            started[k] += value * shares[name][k]
    return asked, started


def max_min(
    demands: Mapping[str, tuple[float, float]], capacity: float
) -> dict[str, float]:
    """Return the max-min fair parts of ``capacity``; values are (demand, weight).

    Nobody gets more than the demand, and nobody could get more without taking from one
    that has less for its weight.
    """
    parts: dict[str, float] = {}
    left = max(0.0, capacity)
    weights = sum(weight for _, weight in demands.values())
    by_need = sorted(demands, key=lambda name: demands[name][0] / demands[name][1])
    for name in by_need:
        demand, weight = demands[name]
        parts[name] = min(demand, left * weight / weights)
        left = max(0.0, left - parts[name])
        weights = max(weights - weight, 1e-12)
    return parts


def _by_urgency(
    by_class: Sequence[float], turn: float, floor: float
) -> tuple[float, ...]:
    """Return the share of each class that starts, if ``turn`` calls a second do.

    Each class has a share of ``floor`` at least, and a quarter of the organisation's.
    """
    total = sum(by_class)
    if total <= turn:
        return (1.0,) * len(by_class)
    floor = max(floor, FLOOR * turn / total)
    left = turn - floor * total
    shares = []
    for demand in by_class:
        more = min(demand * (1 - floor), left)
        left -= more
        shares.append(floor + (more / demand if demand > 0 else 0.0))
    # A class without demand has the share of the next more urgent one, so that its
    # first calls aren't refused for want of a number.
    for i, demand in enumerate(by_class):
        if demand <= 0:
            shares[i] = shares[i - 1] if i else 1.0
    return tuple(shares)
