"""Choose the endpoint of a call that the proxy forwards unchanged.

Designed for many sessions with long common prompts on few engines, in failure domains
between which traffic is expensive, and for small services with few slots. The endpoint
with the least expected delay is chosen, in seconds: queueing behind other calls, the
prefill of uncached tokens, the network distance, and the retries that its recent
failures make likely. Nodes do not know what other nodes have just sent; they agree on
an engine for a common prompt by rendezvous hashing.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import nlargest
from random import Random

import xxhash

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.domainshare import Assignment
from knapweedhinge.routing.endpointhealth import HEALTHY, Health, is_paused, penalty_s
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.engineroom import (
    RoomChoice,
    RoomRefusal,
    RoomView,
    engines_with_room,
)
from knapweedhinge.routing.hotparts import MAX_PREFERRED
from knapweedhinge.routing.load import EndpointState, EndpointView
from knapweedhinge.routing.prefix import PrefixIndex
from knapweedhinge.routing.releases import Release, goes_to_new_version, may_use

# Seconds by which each second of outstanding work at an endpoint delays a new call.
# All of the work counts, since the prefill of a prompt blocks all other calls.
QUEUEING_DELAY_PER_WORK = 1.0
# Work assumed for a call at a plain service, in seconds. It sets how many outstanding
# calls outweigh a longer distance, and how many make a load band of ``releaseverdict``.
SERVICE_WORK_S = 0.05
# Tokens a second of an engine with its largest model: prefill, and output summed over
# the calls of a batch.
PREFILL_TOKENS_PER_S = 20_000.0
DECODE_TOKENS_PER_S = 2_000.0
# Share of a common prompt that the engine preferred by hashing is expected to cache.
PREFERRED_CACHED_SHARE = 0.7
# Delay in seconds that stands for the price of the traffic of a call between failure
# domains of one region, and between regions.
OTHER_DOMAIN_S = 0.02
OTHER_REGION_S = 0.3
# Endpoints compared in addition to those expected to cache the prompt.
SAMPLE_SIZE = 4
# Number of nodes from which on a fleet counts as large. A node of a large fleet learns
# of almost all calls only after tenths of a second, and an endpoint that looks idle
# meanwhile is chosen by all nodes that compare it: they compare fewer endpoints.
LARGE_FLEET_NODES = 24
# Endpoints of a sample in a large fleet, and in each part if a call prefers a domain.
FEW_COMPARED = 2
# In a large fleet, endpoints that a node expects to cache a prompt are compared only if
# that saves so many tokens, and at most so many of them.
MIN_CACHED_TOKENS = 1_000
MAX_CACHING_COMPARED = 2
# Share of failed calls over all nodes from which an endpoint counts as failing.
FAILING_SHARE = 0.1
# Upper bound in seconds of the random delay added to each endpoint, so that nodes with
# the same view do not all choose the same endpoint.
MAX_JITTER_S = 0.001
# Seconds after which a refused client should retry; about the time after which a
# paused endpoint is tried again.
RETRY_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """The properties of a call that the choice of its endpoint depends on.

    ``blocks`` are chained hashes of the prompt's parts and ``part_tokens`` the size of
    each part; the last part belongs to this call only, earlier ones may be shared.
    ``in_trial`` says whether the call's session takes part in a release's trial.
    ``tried`` holds the endpoints of earlier attempts. ``decode_s`` is the work of the
    call's output at an engine of the usual speed, in seconds.
    """

    service: str
    in_trial: bool = False
    blocks: tuple[int, ...] = ()
    part_tokens: tuple[int, ...] = ()
    tried: frozenset[str] = frozenset()
    decode_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementView:
    """The state of the fleet that the choice of an endpoint depends on.

    ``work_s`` returns the outstanding work of all nodes at an endpoint, in seconds.
    ``failure_domain`` and ``region`` are those of this node. The sets hold names:

    * ``domains_out``: failure domains that are out of service;
    * ``cold_rate_limited``: cold endpoints at which this node's share of the call rate
      is used up at present;
    * ``lapsed_ids``: endpoints whose registration lapsed, used only if no other is
      left;
    * ``full``: endpoints whose connections are all in use, which passes soon.

    ``typical_first_piece_s`` is the typical time to the first piece of the answer to
    such a call, in seconds. ``nodes`` is the number of nodes that choose by the same
    sums of work. ``assigned`` is the failure domain whose endpoints the call prefers;
    without it, those of this node are preferred by ``OTHER_DOMAIN_S``.

    ``speed`` returns the relative speed of an engine, 1 for a usual one; None takes all
    for that. ``room`` says what the engines' memory and slots allow, None for no limit.
    ``hot`` holds the ids of engines that have much more work than the others, and
    ``failure_shares`` the share of failed calls over all nodes, by endpoint id.
    """

    endpoints: EndpointIndex
    work_s: Callable[[str], float]
    prefixes: PrefixIndex
    failure_domain: str
    region: str
    healths: Mapping[str, Health] = field(default_factory=dict)
    domains_out: frozenset[str] = frozenset()
    cold_rate_limited: frozenset[str] = frozenset()
    lapsed_ids: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    release: Release | None = None
    typical_first_piece_s: float = 0.1
    nodes: int = 1
    assigned: Assignment | None = None
    speed: Callable[[EndpointView], float] | None = None
    room: RoomView | None = None
    hot: frozenset[str] = frozenset()
    failure_shares: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EndpointDelay:
    """The expected delay of a call at one endpoint, in seconds, by cause.

    ``decode_delay_s`` is how much longer the output takes than at an engine of the
    usual speed.
    """

    endpoint: EndpointView
    queueing_delay_s: float
    prefill_s: float
    distance_s: float
    failure_s: float
    decode_delay_s: float = 0.0

    @property
    def delay_s(self) -> float:
        """Return the expected delay from all causes, in seconds."""
        return (
            self.queueing_delay_s
            + self.prefill_s
            + self.distance_s
            + self.failure_s
            + self.decode_delay_s
        )


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint chosen for a call, with its expected delay.

    ``room`` says what engines' room left of the choice, None if it didn't count.
    """

    chosen: EndpointDelay
    room: RoomChoice | None = None


@dataclass(frozen=True, slots=True)
class NoPlacement:
    """No endpoint may take the call now; one may after ``retry_after_s`` seconds.

    No endpoint ever will if ``is_final``.
    """

    code: ResultCode
    retry_after_s: float
    reason: str
    is_final: bool = False


def place(
    req: PlacementRequest, view: PlacementView, now: float, rng: Random
) -> Placement | NoPlacement:
    """Return the endpoint with the least expected delay, or why no endpoint is chosen.

    Endpoints of the release that the call is assigned to come first. The call
    changes to another release only if all of these were tried, are not in use, or have
    lapsed registrations while others have not; that they are full, paused or limited by
    a cold start is no reason to, since it would send a release on trial more than its
    share.
    """
    ids = view.endpoints.by_service.get(req.service, ())
    known = [view.endpoints.by_id[endpoint_id] for endpoint_id in ids]
    allowed = [endpoint for endpoint in known if _may_be_used(endpoint, view)]
    eligible = [endpoint for endpoint in allowed if endpoint.id not in req.tried]
    eligible = [
        endpoint for endpoint in eligible if endpoint.id not in view.lapsed_ids
    ] or eligible
    eligible = _of_release(eligible, req, view) or eligible
    if not eligible:
        reason = (
            "all available endpoints were tried"
            if allowed
            else f"{len(known)} endpoints known, none available"
        )
        return NoPlacement(ResultCode.NO_ENDPOINT, RETRY_AFTER_S, reason)
    eligible = [endpoint for endpoint in eligible if endpoint.id not in view.full]
    admitted = [
        endpoint for endpoint in eligible if endpoint.id not in view.cold_rate_limited
    ]
    unpaused = [
        endpoint
        for endpoint in admitted
        if not is_paused(view.healths.get(endpoint.id, HEALTHY), now)
    ]
    if not unpaused:
        reason = (
            f"{len(eligible)} endpoints with free connections, "
            f"{len(admitted)} of them not limited by a cold start, none answering"
        )
        return NoPlacement(
            ResultCode.NO_ENDPOINT, _retry_after_s(admitted, view, now), reason
        )
    room = None
    if view.room is not None:
        room = engines_with_room(unpaused, view.room)
        if room.refusal is not None:
            return _no_room(room.refusal, len(unpaused))
        unpaused = list(room.engines)
    near, rest = _by_assigned_domain(unpaused, view)
    preferred = _preferred_engines(near, req, view.hot)
    # While room is short, the sums of all nodes point at the same few engines.
    is_short = room is not None and room.left_out > 0
    sampled = _sample(near, preferred, req, view, rng, is_short=is_short)
    if rest:
        sampled += _sample(rest, [], req, view, rng, is_short=is_short)
    delays = [
        _expected_delay(endpoint, endpoint in preferred, req, view, now)
        for endpoint in sampled
    ]
    best = min(delays, key=lambda delay: delay.delay_s + rng.random() * MAX_JITTER_S)
    return Placement(best, room)


def _no_room(refusal: RoomRefusal, engines: int) -> NoPlacement:
    if refusal is RoomRefusal.TOO_LARGE:
        reason = "the prompt is longer than the memory of an engine"
        return NoPlacement(ResultCode.PROMPT_TOO_LARGE, 0.0, reason, is_final=True)
    reason = f"none of {engines} engines has room for the call"
    return NoPlacement(ResultCode.NO_ROOM, RETRY_AFTER_S, reason)


def _retry_after_s(
    endpoints: list[EndpointView], view: PlacementView, now: float
) -> float:
    """Return when the first of these endpoints may take calls that it asked to wait."""
    waits = (
        view.healths.get(endpoint.id, HEALTHY).wait_until - now
        for endpoint in endpoints
    )
    return max(RETRY_AFTER_S, min(waits, default=0.0))


def _may_be_used(endpoint: EndpointView, view: PlacementView) -> bool:
    """Return whether the endpoint, its failure domain and its release are in use."""
    if endpoint.state is not EndpointState.LIVE:
        return False
    if endpoint.failure_domain in view.domains_out:
        return False
    return may_use(view.release, version_of(endpoint))


def version_of(endpoint: EndpointView) -> str:
    """Return the release of its service that an endpoint runs, "" if unknown."""
    return next(iter(endpoint.versions), "")


def _of_release(
    endpoints: list[EndpointView], req: PlacementRequest, view: PlacementView
) -> list[EndpointView]:
    """Return the endpoints of the release that the call is assigned to."""
    release = view.release
    if release is None:
        return endpoints
    new = goes_to_new_version(release, req.in_trial)
    return [
        endpoint
        for endpoint in endpoints
        if (version_of(endpoint) == release.version) is new
    ]


def _by_assigned_domain(
    endpoints: list[EndpointView], view: PlacementView
) -> tuple[list[EndpointView], list[EndpointView]]:
    """Split endpoints into those of the domain assigned to the call, and the rest.

    Without such a domain, or if it has none of them, there is no rest.
    """
    if view.assigned is None:
        return endpoints, []
    near, rest = [], []
    for endpoint in endpoints:
        is_near = endpoint.failure_domain == view.assigned.domain
        (near if is_near else rest).append(endpoint)
    return (near, rest) if near else (rest, [])


def _preferred_engines(
    endpoints: list[EndpointView], req: PlacementRequest, hot: frozenset[str]
) -> list[EndpointView]:
    """Return the engines that all nodes prefer for the common part of a prompt.

    It is one engine, found by rendezvous hashing, so that the part is cached there. If
    it is hot, the next ones in the order of hashing follow up to one that isn't. Return
    an empty list for a prompt without a common part.
    """
    if len(req.blocks) < 2:
        return []
    common = req.blocks[-2]

    def rank(endpoint: EndpointView) -> int:
        return xxhash.xxh3_64_intdigest(endpoint.id.encode(), common)

    if not hot:
        return [max(endpoints, key=rank)]
    preferred = []
    for endpoint in nlargest(MAX_PREFERRED, endpoints, key=rank):
        preferred.append(endpoint)
        if endpoint.id not in hot:
            break
    return preferred


def _sample(
    endpoints: list[EndpointView],
    preferred: list[EndpointView],
    req: PlacementRequest,
    view: PlacementView,
    rng: Random,
    *,
    is_short: bool,
) -> list[EndpointView]:
    """Return the endpoints to compare: those that may cache the prompt, and a sample.

    All nodes get the same numbers of each other's work, with a delay. If each compared
    all endpoints, all would send to the same one until they learn of the work there.
    ``is_short`` says that some engines have no room.
    """
    is_large = view.nodes >= LARGE_FLEET_NODES
    in_domain = view.assigned is not None
    size = FEW_COMPARED if is_large or in_domain else SAMPLE_SIZE
    all_compared = size if in_domain else SAMPLE_SIZE
    if is_short:
        size = all_compared = 1
    if len(endpoints) <= all_compared:
        return list(endpoints)
    sampled = _sampled(endpoints, view, rng, size)
    holders = view.prefixes.holders(req.blocks[:-1])
    if is_large:
        if sum(req.part_tokens[:-1]) < MIN_CACHED_TOKENS:
            return sampled
        holders = rng.sample(holders, min(len(holders), MAX_CACHING_COMPARED))
    caching = [
        endpoint
        for endpoint in endpoints
        if endpoint in preferred or endpoint.id in holders
    ]
    return [*caching, *(endpoint for endpoint in sampled if endpoint not in caching)]


def _sampled(
    endpoints: list[EndpointView], view: PlacementView, rng: Random, size: int
) -> list[EndpointView]:
    """Return ``size`` random endpoints, and one at which many calls fail if there is.

    A sample of all would often hold only such endpoints when they are many.
    """
    failing, sound = [], []
    for endpoint in endpoints:
        fails = view.failure_shares.get(endpoint.id, 0.0) >= FAILING_SHARE
        (failing if fails else sound).append(endpoint)
    if not failing or len(sound) < size:
        return rng.sample(endpoints, size)
    return [*rng.sample(sound, size), rng.choice(failing)]


def _expected_delay(
    endpoint: EndpointView,
    is_preferred: bool,
    req: PlacementRequest,
    view: PlacementView,
    now: float,
) -> EndpointDelay:
    health = view.healths.get(endpoint.id, HEALTHY)
    speed = view.speed(endpoint) if view.speed else 1.0
    return EndpointDelay(
        endpoint,
        queueing_delay_s=QUEUEING_DELAY_PER_WORK * view.work_s(endpoint.id) / speed,
        prefill_s=_uncached_tokens(endpoint, is_preferred, req, view)
        / (PREFILL_TOKENS_PER_S * speed),
        distance_s=_distance_s(endpoint, view),
        failure_s=penalty_s(
            health,
            now,
            view.typical_first_piece_s,
            view.failure_shares.get(endpoint.id, 0.0),
        ),
        decode_delay_s=req.decode_s * (1.0 / speed - 1.0),
    )


def _uncached_tokens(
    endpoint: EndpointView,
    is_preferred: bool,
    req: PlacementRequest,
    view: PlacementView,
) -> float:
    """Return the expected number of tokens of the prompt that need prefill."""
    if not req.blocks:
        return 0.0
    cached_block_count = view.prefixes.cached_block_count(endpoint.id, req.blocks)
    cached = float(sum(req.part_tokens[:cached_block_count]))
    if is_preferred:
        cached = max(cached, PREFERRED_CACHED_SHARE * sum(req.part_tokens[:-1]))
    return sum(req.part_tokens) - cached


def _distance_s(endpoint: EndpointView, view: PlacementView) -> float:
    if view.assigned is not None and endpoint.region == view.region:
        is_near = endpoint.failure_domain == view.assigned.domain
        return 0.0 if is_near else view.assigned.penalty_s
    if endpoint.failure_domain == view.failure_domain:
        return 0.0
    return OTHER_DOMAIN_S if endpoint.region == view.region else OTHER_REGION_S


def relative_cost(costs: Mapping[str, float], model: str) -> float:
    """Return a model's cost as a share of the most expensive model's.

    The computing times of models are assumed to have the same ratio. A model without a
    cost counts as the most expensive one.
    """
    highest = max(costs.values(), default=0.0)
    return costs.get(model, highest) / highest if highest > 0 else 1.0


@dataclass(frozen=True, slots=True)
class EngineWork:
    """The time an engine is expected to be busy with a call, in seconds.

    ``prefill_s`` is the prefill of the prompt, which blocks other calls and ends with
    the first token. ``decode_s`` is the decoding of the output.
    """

    prefill_s: float = 0.0
    decode_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Return the time of prefill and decoding together, in seconds."""
        return self.prefill_s + self.decode_s


SERVICE_WORK = EngineWork(0.0, SERVICE_WORK_S)


def engine_work(prefill_s: float, output_tokens: int, cost: float) -> EngineWork:
    """Return the work of a call whose prefill takes ``prefill_s`` seconds.

    ``cost`` is the relative cost of the model, see ``relative_cost()``.
    """
    return EngineWork(prefill_s, cost * output_tokens / DECODE_TOKENS_PER_S)
