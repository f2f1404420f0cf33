"""Value types of plan choice: requests, snapshots, candidates and decisions.

A plan is one model version, or a cascade of two.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from knapweedhinge.conf.cooperative import ClassOfWork, Configuration
from knapweedhinge.core.codes import ResultCode
from knapweedhinge.routing.allowed import AllowedIndex, AllowedSet, ExcludedVersion
from knapweedhinge.routing.cascade import CheckRule, Plan, PlanLatency
from knapweedhinge.routing.estimates import QualityBound
from knapweedhinge.routing.exposure import Allowance
from knapweedhinge.routing.statistics import StatisticsView


class Verdict(StrEnum):
    """Whether a plan is eligible for its class, and if not, why."""

    ELIGIBLE = "eligible"
    QUALITY_UNPROVEN = "quality-unproven"
    QUALITY_BELOW_TARGET = "quality-below-target"
    TOO_SLOW = "too-slow"
    OVER_COST_LIMIT = "over-cost-limit"
    NO_ENDPOINT = "no-endpoint"
    UNDER_ROLL_OUT = "under-roll-out"


class Choice(StrEnum):
    """The rule by which a decision selected its plan."""

    CHEAPEST_ELIGIBLE = "cheapest-eligible"
    PINNED = "pinned"
    NAMED = "named"
    ROLL_OUT = "roll-out"
    EXPLORATION = "exploration"
    BEST_EFFORT = "best-effort"
    REFUSED = "refused"


class Target(StrEnum):
    """A target of the class that the evidence does not show the plan to meet."""

    QUALITY = "quality"
    LATENCY = "latency"


@dataclass(frozen=True)
class Candidate:
    """A plan with its predicted quality, cost and latency, and the verdict on it.

    ``cost_micros`` is the expected cost of one request, in millionths of the currency
    unit, like the configured prices.
    """

    plan: Plan
    quality: QualityBound
    cost_micros: float
    latency: PlanLatency
    verdict: Verdict


@dataclass(frozen=True)
class PlanTable:
    """The candidates of one class, prompt bin and allowed set, cheapest first.

    ``eligible`` are those that meet every target, ``explorable`` the one to collect
    ratings of, ``best_effort`` the one to use if none is eligible. ``singles`` holds
    the candidates of one version, by its id.
    """

    candidates: tuple[Candidate, ...]
    eligible: tuple[Candidate, ...]
    explorable: Candidate | None
    best_effort: Candidate | None
    singles: Mapping[str, Candidate]


@dataclass(frozen=True)
class PlanRequest:
    """The properties of a request that plan choice depends on.

    ``pinned`` is the version the session is bound to, ``named`` a version the client
    asks for by id, ``deadline_s`` the seconds left for the whole answer, None for no
    deadline. ``allowance`` says which roll-outs and explorations it may take part in.
    """

    request_id: str
    organisation: str
    class_id: str
    prompt_tokens: int
    session: str = ""
    pinned: str = ""
    named: str = ""
    deadline_s: float | None = None
    allowance: Allowance = field(default_factory=Allowance)

    @property
    def unit(self) -> str:
        """Return the id that is hashed to assign the request to a share of traffic.

        Requests of one session share the id, so all of them are assigned alike.
        """
        return self.session or self.request_id


@dataclass(frozen=True)
class RoutingSnapshot:
    """The state that plan choice reads; it does not change during a decision.

    ``cuts`` holds the versions this node or its peers stopped using. ``waits_s`` holds
    the queueing delay by version that the balancer expects, in seconds: infinity for a
    version without an endpoint, no entry where the delay is unknown. ``check`` is the
    rule that cheap answers of cascades must pass. ``index`` and ``tables`` are caches,
    which each new snapshot starts empty.
    """

    cfg: Configuration
    statistics: StatisticsView = field(default_factory=StatisticsView)
    cuts: frozenset[str] = frozenset()
    waits_s: Mapping[str, float] = field(default_factory=dict)
    check: CheckRule = field(default_factory=CheckRule)
    index: AllowedIndex = field(init=False, repr=False, compare=False)
    tables: dict = field(default_factory=dict, init=False, repr=False, compare=False)

    def __post_init__(self):
        """Build the index of allowed versions."""
        object.__setattr__(self, "index", AllowedIndex(self.cfg, self.cuts))


@dataclass(frozen=True)
class Explanation:
    """The inputs and the outcome of one decision, for explaining it later.

    ``decided_at`` is the ``now`` of the decision. ``table`` is shared with other
    requests. ``moved_from`` is the pinned version that may no longer run.
    """

    revision: int
    decided_at: float
    work_class: ClassOfWork | None
    prompt_bin: int
    allowed: AllowedSet
    table: PlanTable | None
    choice: Choice
    moved_from: ExcludedVersion | None = None


@dataclass(frozen=True)
class PlanDecision:
    """The plan of one request, or the result code of its refusal.

    ``check`` is set for cascades. ``unmet`` lists the targets that the plan is not
    shown to meet. ``roll_out`` is the id of the roll-out that the answer is part of,
    if any, and ``explores`` tells whether it is an exploration. ``wants_rating`` asks
    for a rating of the answer in addition to the usual sample: for roll-outs, for
    explorations, and while few ratings of the plan are known.
    """

    explanation: Explanation
    plan: Plan | None = None
    refusal: ResultCode | None = None
    check: CheckRule | None = None
    unmet: tuple[Target, ...] = ()
    roll_out: str = ""
    explores: bool = False
    wants_rating: bool = False

    @property
    def moved(self) -> bool:
        """Return whether the session had to leave a version that may no longer run."""
        return self.explanation.moved_from is not None
