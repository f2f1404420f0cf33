"""Time that one choice of an endpoint takes, by number of known endpoints."""

from dataclasses import dataclass
from random import Random
from time import perf_counter

from knapweedhinge.routing.balance import BalanceView, choose_endpoint
from knapweedhinge.routing.choice import ChoiceRequest
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointState, EndpointView, LoadReport
from knapweedhinge.routing.prefix import PrefixIndex, prompt_blocks

ENDPOINT_COUNTS = (10, 100, 1000)
FAILURE_DOMAINS = 16
REGIONS = 7
TIMED_CALLS = 5000  # calls that one mean is taken over
WARM_UP_CALLS = 500  # untimed calls before them
DISTINCT_PROMPTS = 50
PROMPT_BYTES = 8192
US_PER_S = 1e6


@dataclass(frozen=True)
class DecisionCost:
    """Mean microseconds of one call, by operation, with ``endpoints`` endpoints.

    ``choose_us`` is a choice without a prompt, ``choose_prefix_us`` one that looks for
    cached prompt prefixes, ``none_usable_us`` one where every endpoint is leaving,
    ``replace_us`` an update of one endpoint in the index and ``hash_us`` the hashing of
    a prompt of 8,192 bytes into blocks.
    """

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
        f"d{index % FAILURE_DOMAINS}",
        f"r{index % REGIONS}",
        versions=frozenset({"v1"}),
        state=state,
        report=LoadReport(running=index % 7, reported_at=0.0),
    )


def measure_decisions(endpoint_count: int) -> DecisionCost:
    """Time each operation in one thread with this number of endpoints."""
    live = [_endpoint(index, EndpointState.LIVE) for index in range(endpoint_count)]
    leaving = [
        _endpoint(index, EndpointState.LEAVING) for index in range(endpoint_count)
    ]
    rng = Random(1)
    prefixes = PrefixIndex()
    prompts = [rng.randbytes(PROMPT_BYTES) for _ in range(DISTINCT_PROMPTS)]
    requests = [_request(prompt) for prompt in prompts]
    for req in requests:
        prefixes.dispatched(f"e{rng.randrange(endpoint_count)}", req.prompt_blocks)
    view = BalanceView(EndpointIndex(live), prefixes=prefixes)
    view_without_live = BalanceView(EndpointIndex(leaving))
    short_request = ChoiceRequest("v1", "d0", "r0", prompt_tokens=500)
    return DecisionCost(
        endpoint_count,
        _mean_us(lambda i: choose_endpoint(short_request, view, 0.0, rng)),
        _mean_us(
            lambda i: choose_endpoint(requests[i % DISTINCT_PROMPTS], view, 0.0, rng)
        ),
        _mean_us(
            lambda i: choose_endpoint(short_request, view_without_live, 0.0, rng),
            TIMED_CALLS // 50,
        ),
        _mean_us(lambda i: view.endpoints.replace(live[i % endpoint_count])),
        _mean_us(lambda i: prompt_blocks("v1", prompts[i % DISTINCT_PROMPTS])),
    )


def _request(prompt: bytes) -> ChoiceRequest:
    blocks = prompt_blocks("v1", prompt)
    return ChoiceRequest("v1", "d0", "r0", blocks, prompt_tokens=PROMPT_BYTES // 4)


def _mean_us(call, count: int = TIMED_CALLS) -> float:
    for index in range(min(WARM_UP_CALLS, count)):
        call(index)
    started = perf_counter()
    for index in range(count):
        call(index)
    return (perf_counter() - started) / count * US_PER_S
