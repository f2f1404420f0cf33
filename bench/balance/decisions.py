"""Microseconds for one endpoint decision, by number of endpoints in sight."""

from dataclasses import dataclass
from random import Random
from time import perf_counter

from knapweedhinge.routing.balance import BalanceView, choose_endpoint
from knapweedhinge.routing.choice import ChoiceRequest
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointState, EndpointView, LoadReport
from knapweedhinge.routing.prefix import PrefixIndex, prompt_blocks

SIZES = (10, 100, 1000)
DOMAINS = 16
REGIONS = 7
DECISIONS = 5000
WARM_UP = 500
PROMPTS = 50
PROMPT_BYTES = 8192
MICROSECONDS = 1e6


@dataclass(frozen=True)
class DecisionCost:
    """Microseconds for one call, at one number of endpoints."""

    endpoints: int
    choose_us: float
    choose_prefix_us: float
    none_usable_us: float
    replace_us: float
    hash_us: float


def _endpoint(index: int, state: EndpointState) -> EndpointView:
    return EndpointView(
        f"e{index}",
        f"http://127.0.0.1:{index}",
        f"d{index % DOMAINS}",
        f"r{index % REGIONS}",
        versions=frozenset({"v1"}),
        state=state,
        report=LoadReport(running=index % 7, reported_at=0.0),
    )


def measure_decisions(size: int) -> DecisionCost:
    """Measure each decision over many calls with one thread."""
    live = [_endpoint(index, EndpointState.LIVE) for index in range(size)]
    leaving = [_endpoint(index, EndpointState.LEAVING) for index in range(size)]
    rng = Random(1)
    prefixes = PrefixIndex()
    prompts = [rng.randbytes(PROMPT_BYTES) for _ in range(PROMPTS)]
    requests = [_request(prompt) for prompt in prompts]
    for req in requests:
        prefixes.dispatched(f"e{rng.randrange(size)}", req.prompt_blocks)
    view = BalanceView(EndpointIndex(live), prefixes=prefixes)
    none = BalanceView(EndpointIndex(leaving))
    plain = ChoiceRequest("v1", "d0", "r0", prompt_tokens=500)
    return DecisionCost(
        size,
        _time(lambda i: choose_endpoint(plain, view, 0.0, rng)),
        _time(lambda i: choose_endpoint(requests[i % PROMPTS], view, 0.0, rng)),
        _time(lambda i: choose_endpoint(plain, none, 0.0, rng), DECISIONS // 50),
        _time(lambda i: view.endpoints.replace(live[i % size])),
        _time(lambda i: prompt_blocks("v1", prompts[i % PROMPTS])),
    )


def _request(prompt: bytes) -> ChoiceRequest:
    blocks = prompt_blocks("v1", prompt)
    return ChoiceRequest("v1", "d0", "r0", blocks, prompt_tokens=PROMPT_BYTES // 4)


def _time(call, count: int = DECISIONS) -> float:
    for index in range(min(WARM_UP, count)):
        call(index)
    started = perf_counter()
    for index in range(count):
        call(index)
    return (perf_counter() - started) / count * MICROSECONDS
