"""Simulation of balancing with delayed load reports, in virtual time.

Several nodes choose engines independently. Each knows the calls that it sent itself and
the delayed reports of all engines. Arrivals and answer lengths are drawn from a seeded
random generator.
"""

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from random import Random

from knapweedhinge.routing.balance import BalanceView, choose_endpoint
from knapweedhinge.routing.choice import ChoiceRequest
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointView, LoadReport, LocalLedger
from knapweedhinge.routing.prefix import BLOCK_TOKENS, PrefixIndex

NODES = 6
ENDPOINTS = 10
SLOTS = 8  # calls that one engine runs at once
TOKENS_PER_S = 800.0  # of one engine, over all its slots
PREFILL_TOKENS_PER_S = 8000.0
MEAN_OUTPUT_TOKENS = 200
PROMPT_BLOCKS = 30  # blocks of each prompt
DISTINCT_PROMPTS = 40
CACHED_PROMPTS = 12  # prompts in the KV cache of one engine
REPORT_INTERVAL_S = 0.5
DURATION_S = 120.0
SLOW_ENGINE_SPEED = 0.5  # share of the speed that the engine reports


@dataclass(frozen=True)
class LagCase:
    """A balancing rule and the conditions that it runs under.

    ``rule`` is "corrected" (reports plus the node's own calls since), "uncorrected"
    (reports only), "round-robin" or "random". ``lag_s`` is the age of reports when they
    arrive and ``load`` the offered load as a share of capacity. ``slow`` engines run at
    half of the speed that they report.
    """

    rule: str = "corrected"
    lag_s: float = 0.5
    load: float = 0.85
    slow: int = 0


@dataclass(frozen=True)
class LagResult:
    """Seconds from arrival to the first token, over all calls of a run.

    ``cached_share`` is the share of calls whose prompt was in the engine's KV cache.
    """

    mean_s: float
    p95_s: float
    p99_s: float
    cached_share: float


class _Engine:
    """An engine with ``SLOTS`` slots, one queue and a cache of recent prompts."""

    def __init__(self, speed: float):
        # ``speed`` is a factor on both token rates.
        self.speed = speed
        self.free_at = [0.0] * SLOTS
        self.running_until: list[float] = []
        self.prompts: dict[int, None] = {}

    def run(self, now: float, prompt: int, output_tokens: float):
        """Return the times of the first and last token, and if the cache was hit."""
        cached = prompt in self.prompts
        self.prompts.pop(prompt, None)
        self.prompts[prompt] = None
        if len(self.prompts) > CACHED_PROMPTS:
            del self.prompts[next(iter(self.prompts))]
        uncached = 0 if cached else PROMPT_BLOCKS * BLOCK_TOKENS
        start = max(now, heappop(self.free_at))
        first = start + uncached / (PREFILL_TOKENS_PER_S * self.speed)
        end = first + output_tokens / (TOKENS_PER_S * self.speed / SLOTS)
        heappush(self.free_at, end)
        heappush(self.running_until, end)
        return first, end, cached

    def in_flight(self, now: float) -> int:
        while self.running_until and self.running_until[0] <= now:
            heappop(self.running_until)
        return len(self.running_until)


class _Node:
    """A node with its balancing rule, the calls it sent and the prompts it placed."""

    def __init__(self, rule: str, rng: Random):
        self.rule = rule
        self.rng = rng
        self.ledger = LocalLedger()
        self.prefixes = PrefixIndex()
        self.last_index = rng.randrange(ENDPOINTS)

    def choose(self, index: EndpointIndex, blocks, now: float) -> str:
        if self.rule == "random":
            return f"e{self.rng.randrange(ENDPOINTS)}"
        if self.rule == "round-robin":
            self.last_index = (self.last_index + 1) % ENDPOINTS
            return f"e{self.last_index}"
        ledger = self.ledger if self.rule == "corrected" else LocalLedger()
        view = BalanceView(index, ledger=ledger, prefixes=self.prefixes)
        tokens = len(blocks) * BLOCK_TOKENS
        req = ChoiceRequest("v1", "d", "r", blocks, tokens, MEAN_OUTPUT_TOKENS)
        return choose_endpoint(req, view, now, self.rng).endpoint.id


def run_lag(case: LagCase, seed: int) -> LagResult:
    """Simulate a case with one seed and return its waiting times."""
    return _Run(case, seed).result()


class _Run:
    """The state of one simulation: engines, nodes, reports and running calls."""

    def __init__(self, case: LagCase, seed: int):
        self.case = case
        self.rng = Random(seed)
        self.engines = {
            f"e{i}": _Engine(SLOW_ENGINE_SPEED if i < case.slow else 1.0)
            for i in range(ENDPOINTS)
        }
        self.nodes = [_Node(case.rule, Random(seed * 100 + i)) for i in range(NODES)]
        # Load of the engines at each time of reporting: (time, calls by engine).
        self.history: list[tuple[float, dict[str, int]]] = []
        self.index = EndpointIndex(_view(name) for name in self.engines)
        # Heap of (end, index of the node, engine) of running calls.
        self.completions: list[tuple[float, int, str]] = []

    def result(self) -> LagResult:
        waits, hits = [], 0
        now, next_report = 0.0, 0.0
        service_s = MEAN_OUTPUT_TOKENS / (TOKENS_PER_S / SLOTS)
        rate = self.case.load * ENDPOINTS * SLOTS / service_s
        while now < DURATION_S:
            now += self.rng.expovariate(rate)
            while next_report <= now:
                self._report(next_report)
                next_report += REPORT_INTERVAL_S
            first, cached = self._serve(now)
            waits.append(first - now)
            hits += cached
        waits.sort()
        count = len(waits)
        return LagResult(
            sum(waits) / count,
            waits[int(0.95 * count)],
            waits[int(0.99 * count)],
            hits / count,
        )

    def _serve(self, now: float) -> tuple[float, bool]:
        """Run a new call; return the time of its first token and if it hit a cache."""
        self._complete_until(now)
        node_index = self.rng.randrange(NODES)
        prompt = min(int(self.rng.expovariate(0.1)), DISTINCT_PROMPTS - 1)
        blocks = tuple(prompt * 1000 + i + 1 for i in range(PROMPT_BLOCKS))
        node = self.nodes[node_index]
        chosen = node.choose(self.index, blocks, now)
        tokens = self.rng.expovariate(1 / MEAN_OUTPUT_TOKENS)
        first, end, cached = self.engines[chosen].run(now, prompt, tokens)
        node.ledger.dispatched(chosen, now)
        node.prefixes.dispatched(chosen, blocks)
        heappush(self.completions, (end, node_index, chosen))
        return first, cached

    def _complete_until(self, now: float) -> None:
        while self.completions and self.completions[0][0] <= now:
            at, node_index, name = heappop(self.completions)
            self.nodes[node_index].ledger.completed(name, at)

    def _report(self, now: float) -> None:
        """Record the load of the engines, and give nodes that of ``lag_s`` ago."""
        self._complete_until(now)
        counts = {name: engine.in_flight(now) for name, engine in self.engines.items()}
        self.history.append((now, counts))
        arrived = [entry for entry in self.history if entry[0] <= now - self.case.lag_s]
        if not arrived:
            return
        at, counts = arrived[-1]
        self.history = self.history[len(arrived) - 1 :]
        for name, count in counts.items():
            self.index = self.index.replace(_view(name, count, at))


def _view(name: str, count: int = 0, at: float = -1.0) -> EndpointView:
    report = LoadReport(
        running=min(count, SLOTS),
        waiting=max(0, count - SLOTS),
        tokens_per_s=TOKENS_PER_S,
        prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
        slots=SLOTS,
        reported_at=at,
    )
    view = EndpointView(name, "", "d", "r", versions=frozenset({"v1"}))
    return replace(view, report=report)
