"""Nodes that send a load to engines by the relay's own decisions."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bench.relay.engines import PACES, STEP_S, Engine, Job
from knapweedhinge.controllers.loadtracker import LoadAggregator, LoadTracker
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointView
from knapweedhinge.routing.placement import (
    Placement,
    PlacementRequest,
    PlacementView,
    engine_work,
    place,
)
from knapweedhinge.routing.prefillspeed import assumed_speed
from knapweedhinge.routing.prefix import PrefixIndex, part_blocks
from knapweedhinge.routing.sizing import SizeRequest, first_size, larger_size

SIZES = tuple(PACES)
REPORT_S = 0.4  # nodes tell each other their work this often
OPINION_NOISE = 15.0  # the models' opinions are rough
SMALL_IS_ENOUGH = 0.58  # share of calls that the smallest model answers well
RUNS = 3
CLUMP = 3  # calls that come together
LATE_WORTH = 0.3  # as the users' sheets weigh late answers
WRONG_WORTH = 0.1  # of an answer by a model too small for the call


@dataclass(frozen=True)
class Kind:
    """A class of calls: its share, prompt, answer and latency objective."""

    name: str
    share: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    objective_s: float
    subjects: int


KINDS = (
    Kind("draft", 0.24, 5_382, 6_610, 385, 4.0, 87),
    Kind("reply", 0.40, 198, 628, 294, 4.0, 217),
    Kind("tag", 0.36, 568, 1_800, 21, 8.0, 286),
)


@dataclass(frozen=True)
class Load:
    """Calls a second on some engines through some nodes."""

    per_s: float
    engines: int
    nodes: int = 6
    length_s: float = 10.0
    seed: int = 1


@dataclass(frozen=True)
class Outcome:
    """What callers got: shares of all calls."""

    calls: int
    on_time: float
    on_time_by_kind: dict[str, float]
    worth: float
    asked_larger: float


Choose = Callable[[SizeRequest, str, int | None], str | None]


@dataclass
class _Call:
    kind: Kind
    at: float
    parts: tuple[tuple[str, int], ...]
    hard: float
    node: "_Node"
    size: str = first_size(SIZES)
    runs: int = 0
    engine: Engine | None = None
    job: Job | None = None
    prefill_s: float = 0.0
    work_s: float = 0.0
    first_at: float | None = None


class _Node:
    def __init__(self, index: int, rng: Random):
        self.name = f"node-{index}"
        self.rng = rng
        self.loads = LoadTracker()
        self.prefixes = PrefixIndex()

    def view(self, engines: dict[str, Engine]) -> PlacementView:
        views = [
            EndpointView(name, "", "a", "r", service="engine", versions=frozenset("1"))
            for name in engines
        ]
        return PlacementView(
            EndpointIndex(views), self.loads.work_s, self.prefixes, "a", "r"
        )


def play(load: Load, choose: Choose = larger_size) -> Outcome:
    """Play a load until every call ended and return what callers got."""
    rng = Random(load.seed)
    engines = {f"engine-{n}": Engine(f"engine-{n}") for n in range(load.engines)}
    nodes = [_Node(n, rng) for n in range(load.nodes)]
    calls = _arrivals(load, nodes, rng)
    coming, running = list(reversed(calls)), []
    now, told_at = 0.0, 0.0
    while coming or running:
        if now >= told_at + REPORT_S:
            told_at = now
            _tell(nodes, now)
        while coming and coming[-1].at <= now:
            running.append(coming.pop())
            _send(running[-1], engines, now)
        for engine in engines.values():
            engine.step(now)
        running = [one for one in running if _goes_on(one, engines, choose, now)]
        now += STEP_S
    return _outcome(calls)


def _arrivals(load: Load, nodes: list[_Node], rng: Random) -> list[_Call]:
    calls, now = [], 0.0
    while now < load.length_s:
        now += rng.expovariate(load.per_s / CLUMP)
        for _ in range(CLUMP):
            kind = rng.choices(KINDS, [one.share for one in KINDS])[0]
            subject = f"{kind.name}-{rng.randrange(kind.subjects)}"
            own = f"own-{rng.random()}"
            spread = rng.lognormvariate(0.0, 0.5)
            parts = (
                (subject, kind.shared_tokens),
                (own, int(kind.own_tokens * spread)),
            )
            calls.append(_Call(kind, now, parts, rng.random(), rng.choice(nodes)))
    return calls


def _tell(nodes: list[_Node], now: float) -> None:
    board = LoadAggregator()
    for node in nodes:
        board.take(node.name, node.loads.report(), now)
    sums = board.sums(now)
    for node in nodes:
        node.loads.take_sums(sums, now)


def _send(call: _Call, engines: dict[str, Engine], now: float) -> None:
    """Place the call at an engine and begin to run it there."""
    node, names = call.node, tuple(name for name, _ in call.parts)
    tokens = tuple(count for _, count in call.parts)
    blocks = part_blocks(call.size, names)
    wanted = PlacementRequest("engine", names[-1], blocks, tokens)
    found = place(wanted, node.view(engines), now, node.rng)
    assert isinstance(found, Placement)
    engine = engines[found.chosen.endpoint.id]
    fresh = sum(tokens[node.prefixes.cached_block_count(engine.id, blocks) :])
    cost = PACES[call.size] / PACES[SIZES[-1]]
    work = engine_work(
        assumed_speed(cost).seconds(fresh), call.kind.output_tokens, cost
    )
    node.loads.began(engine.id, work.total_s)
    node.prefixes.dispatched(engine.id, blocks)
    call.engine, call.prefill_s, call.work_s = engine, work.prefill_s, work.total_s
    call.job = engine.begin(call.size, call.parts, call.kind.output_tokens)
    call.runs += 1


def _goes_on(call: _Call, engines, choose: Choose, now: float) -> bool:
    """Take a call a step further; return whether it runs on."""
    job, node = call.job, call.node
    if job.first_at is not None and call.prefill_s:
        node.loads.ended(call.engine.id, call.prefill_s)
        call.work_s -= call.prefill_s
        call.prefill_s = 0.0
        larger = _larger(call, engines, choose, now)
        if larger is not None:
            call.engine.drop(job)
            node.loads.ended(call.engine.id, call.work_s)
            call.size = larger
            _send(call, engines, now)
            return True
        call.first_at = now
    if job.done:
        node.loads.ended(call.engine.id, call.work_s)
        return False
    return True


def _larger(call: _Call, engines, choose: Choose, now: float) -> str | None:
    """Ask the decision whether the answer that begins is kept."""
    if call.size != SIZES[0]:
        return None
    tokens = sum(count for _, count in call.parts)
    queueing_delay_s = min(call.node.loads.work_s(name) for name in engines)
    wanted = SizeRequest(
        SIZES,
        elapsed_s=now - call.at,
        objective_s=call.kind.objective_s,
        runs_left=RUNS - call.runs,
        retry_budget_left=10.0,
        queueing_delay_s=queueing_delay_s,
        prefill_s={
            size: assumed_speed(PACES[size] / PACES[SIZES[-1]]).seconds(tokens)
            for size in SIZES
        },
    )
    return choose(wanted, call.size, _opinion(call))


def _opinion(call: _Call) -> int:
    """Return what the smallest model thinks of its answer."""
    right = call.hard < SMALL_IS_ENOUGH
    opinion = call.node.rng.gauss(80.0 if right else 25.0, OPINION_NOISE)
    return round(min(100.0, max(0.0, opinion)))


def _outcome(calls: list[_Call]) -> Outcome:
    on_time = [one.first_at - one.at <= one.kind.objective_s for one in calls]
    by_kind = {
        kind.name: _share(
            [ok for one, ok in zip(calls, on_time, strict=True) if one.kind is kind]
        )
        for kind in KINDS
    }
    worth = [_worth(one, ok) for one, ok in zip(calls, on_time, strict=True)]
    larger = _share([one.size != SIZES[0] for one in calls])
    return Outcome(
        len(calls), _share(on_time), by_kind, sum(worth) / len(worth), larger
    )


def _worth(call: _Call, on_time: bool) -> float:
    """Return what an answer is worth to its caller, 1 for a right one in time."""
    right = call.size == SIZES[-1] or call.hard < SMALL_IS_ENOUGH
    return (1.0 if right else WRONG_WORTH) * (1.0 if on_time else LATE_WORTH)


def _share(found: list[bool]) -> float:
    return sum(found) / len(found) if found else 1.0
