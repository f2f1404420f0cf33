"""Choose the endpoint of one call that is passed on as it is.

Load answered: many sessions with long common prompts on few engines, spread over
failure domains with dear traffic between them; and small services with few slots. Each
endpoint is weighed by the seconds a call is expected to lose there: to crowding, to
reading what isn't cached, to the way, and to the endpoint's recent failures. Nodes that
know nothing of each other's sends agree on an engine for a common prompt by rendezvous.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import xxhash

from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.endpointhealth import HEALTHY, Health, is_paused, penalty_s
from knapweedhinge.routing.endpointindex import EndpointIndex
from knapweedhinge.routing.load import EndpointState, EndpointView
from knapweedhinge.routing.prefix import PrefixBelief
from knapweedhinge.routing.releases import Release, goes_to_new_version, may_use

# Seconds that a call loses to each second of work that others brought to an endpoint:
# a prompt that is read stands in the way of all others.
CROWDING = 1.0
# Work of a call at a plain service, in seconds; only relations count.
SERVICE_WORK_S = 0.05
# Tokens an engine reads, and generates in a batch, in a second with its largest model.
READ_TOKENS_PER_S = 20_000.0
GENERATED_TOKENS_PER_S = 2_000.0
# Part of a common prompt that the engine first by rendezvous is expected to keep.
HOME_TRUST = 0.7
# Seconds that stand for the price of a call's bytes between failure domains.
CROSSING_S = 0.02
OTHER_REGION_S = 0.3
DRAWN = 4  # endpoints drawn at random to be weighed beside those that keep the prompt
TIE_S = 0.001  # random part that keeps nodes from choosing alike
RETRY_SOON_S = 0.3  # a paused endpoint is tried again after about this time


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What placing needs to know of a call.

    ``blocks`` are chained hashes of the prompt's parts and ``part_tokens`` the size of
    each; the last part is the call's own. ``session`` decides on roll-outs.
    """

    service: str
    session: str
    blocks: tuple[int, ...] = ()
    part_tokens: tuple[int, ...] = ()
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PlacementView:
    """The state of one moment that placing looks at.

    ``work_s`` tells the work of all nodes at an endpoint. ``cold_refused`` ones are
    cold and have had all they bear for now, ``doubtful`` ones are used only where no
    other is left. The connections of ``full`` ones are all in use; one of them soon
    comes free. ``trial_share`` is the share of sessions a release on trial receives.
    """

    endpoints: EndpointIndex
    work_s: Callable[[str], float]
    prefixes: PrefixBelief
    failure_domain: str
    region: str
    healths: Mapping[str, Health] = field(default_factory=dict)
    domains_out: frozenset[str] = frozenset()
    cold_refused: frozenset[str] = frozenset()
    doubtful: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    release: Release | None = None
    trial_share: float = 0.0
    usual_s: float = 0.1


@dataclass(frozen=True, slots=True)
class Weighed:
    """What a call is expected to lose at one endpoint, in seconds, by cause."""

    endpoint: EndpointView
    crowding_s: float
    prefill_s: float
    distance_s: float
    failure_s: float

    @property
    def cost_s(self) -> float:
        """Return the sum of the causes."""
        return self.crowding_s + self.prefill_s + self.distance_s + self.failure_s


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint chosen."""

    chosen: Weighed


@dataclass(frozen=True, slots=True)
class NoPlace:
    """No endpoint may take the call now; one may after ``retry_after_s``."""

    code: ResultCode
    retry_after_s: float
    reason: str


def place(
    req: PlacementRequest, view: PlacementView, now: float, rng: Random
) -> Placement | NoPlace:
    """Return the endpoint at which the call loses least."""
    ids = view.endpoints.by_service.get(req.service, ())
    known = [view.endpoints.by_id[one] for one in ids]
    open_ones = [one for one in known if _is_open(one, view)]
    fit = [one for one in open_ones if one.id not in req.tried]
    fit = [one for one in fit if one.id not in view.doubtful] or fit
    fit = _of_release(fit, req, view) or fit
    if not fit:
        reason = "all were tried" if open_ones else f"{len(known)} known, none open"
        return NoPlace(ResultCode.NO_ENDPOINT, RETRY_SOON_S, reason)
    fit = [one for one in fit if one.id not in view.full]
    warm = [one for one in fit if one.id not in view.cold_refused]
    running = [
        one for one in warm if not is_paused(view.healths.get(one.id, HEALTHY), now)
    ]
    if not running:
        reason = f"{len(fit)} with connections, {len(warm)} warm, none answering"
        return NoPlace(ResultCode.NO_ENDPOINT, RETRY_SOON_S, reason)
    home = _home(running, req)
    drawn = _draw(running, home, req, view, rng)
    weighed = [_weigh(one, one is home, req, view, now) for one in drawn]
    best = min(weighed, key=lambda one: one.cost_s + rng.random() * TIE_S)
    return Placement(best)


def _is_open(endpoint: EndpointView, view: PlacementView) -> bool:
    if endpoint.state is not EndpointState.LIVE:
        return False
    if endpoint.failure_domain in view.domains_out:
        return False
    return may_use(view.release, version_of(endpoint))


def version_of(endpoint: EndpointView) -> str:
    """Return the release of its service that an endpoint runs."""
    return next(iter(endpoint.versions), "")


def _of_release(
    endpoints: list[EndpointView], req: PlacementRequest, view: PlacementView
) -> list[EndpointView]:
    """Return the endpoints of the release that the call's session belongs to."""
    release = view.release
    if release is None:
        return endpoints
    new = goes_to_new_version(release, req.session, view.trial_share)
    return [one for one in endpoints if (version_of(one) == release.version) is new]


def _home(endpoints: list[EndpointView], req: PlacementRequest) -> EndpointView | None:
    """Return the engine that nodes agree on for the common part of a prompt."""
    if len(req.blocks) < 2:
        return None
    common = req.blocks[-2]
    return max(
        endpoints, key=lambda one: xxhash.xxh3_64_intdigest(one.id.encode(), common)
    )


def _draw(
    endpoints: list[EndpointView],
    home: EndpointView | None,
    req: PlacementRequest,
    view: PlacementView,
    rng: Random,
) -> list[EndpointView]:
    """Return a few endpoints to weigh: those that may keep the prompt, and some others.

    All nodes hear of the same work, some time after it began; were all endpoints
    weighed, all nodes would send to the same one until they hear of it.
    """
    if len(endpoints) <= DRAWN:
        return endpoints
    drawn = rng.sample(endpoints, DRAWN)
    holders = view.prefixes.holders(req.blocks[:-1])
    kept = [one for one in endpoints if one is home or one.id in holders]
    return [*kept, *(one for one in drawn if one not in kept)]


def _weigh(
    endpoint: EndpointView,
    is_home: bool,
    req: PlacementRequest,
    view: PlacementView,
    now: float,
) -> Weighed:
    health = view.healths.get(endpoint.id, HEALTHY)
    return Weighed(
        endpoint,
        crowding_s=CROWDING * view.work_s(endpoint.id),
        prefill_s=_uncached(endpoint, is_home, req, view) / READ_TOKENS_PER_S,
        distance_s=_distance_s(endpoint, view),
        failure_s=penalty_s(health, now, view.usual_s),
    )


def _uncached(
    endpoint: EndpointView, is_home: bool, req: PlacementRequest, view: PlacementView
) -> float:
    if not req.blocks:
        return 0.0
    leading = view.prefixes.leading(endpoint.id, req.blocks)
    cached = float(sum(req.part_tokens[:leading]))
    if is_home:
        cached = max(cached, HOME_TRUST * sum(req.part_tokens[:-1]))
    return sum(req.part_tokens) - cached


def _distance_s(endpoint: EndpointView, view: PlacementView) -> float:
    if endpoint.failure_domain == view.failure_domain:
        return 0.0
    return CROSSING_S if endpoint.region == view.region else OTHER_REGION_S


def relative_cost(costs: Mapping[str, float], model: str) -> float:
    """Return a model's cost against the dearest one's, which stands for its time."""
    dearest = max(costs.values(), default=0.0)
    return costs.get(model, dearest) / dearest if dearest > 0 else 1.0


@dataclass(frozen=True, slots=True)
class EngineWork:
    """The time an engine is expected to be busy with a call, in seconds.

    Reading the prompt holds everything else up, and is over with the first token.
    """

    read_s: float = 0.0
    generate_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Return the whole time."""
        return self.read_s + self.generate_s


SERVICE_WORK = EngineWork(0.0, SERVICE_WORK_S)


def engine_work(read_s: float, output_tokens: int, cost: float) -> EngineWork:
    """Return the work of a call whose prompt takes ``read_s`` to read.

    ``cost`` is the model's relative one.
    """
    return EngineWork(read_s, cost * output_tokens / GENERATED_TOKENS_PER_S)
