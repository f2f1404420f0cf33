"""Draw a random sample, of bounded size, of the usable endpoints for one request."""

from collections import Counter
from random import Random

from knapweedhinge.routing.choice import (
    ChoiceRequest,
    EndpointExclusion,
    ExclusionCount,
    NoEndpoint,
    ServiceRequest,
)
from knapweedhinge.routing.eligibility import BalanceView, exclusion
from knapweedhinge.routing.load import EndpointView

# Number of usable endpoints in a sample.
SAMPLE_SIZE = 4
# Number of endpoints drawn to find them. If neither these nor the prefix holders are
# usable, all endpoints are considered in random order.
MAX_DRAWS = 16
# Number of usable endpoints added because they cache a prefix of the prompt.
MAX_PREFIX_HOLDERS = 2
# Share of work of a failure domain that is not restricted.
FULL_SHARE = 1.0


class Draw:
    """The endpoints drawn for one request, each of them once.

    ``usable`` are those that may receive it. ``cold`` lists the ids of those excluded
    only because the node has no permit for them. ``over_share`` are endpoints left out
    since their failure domain is returning and receives only a share of its usual work;
    they are used if there are no others.
    """

    def __init__(
        self, req: ChoiceRequest | ServiceRequest, view: BalanceView, rng: Random
    ):
        self.req = req
        self.view = view
        self.rng = rng
        self.usable: list[EndpointView] = []
        self.over_share: list[EndpointView] = []
        self.cold: list[str] = []
        self._seen: set[str] = set()
        self._excluded: Counter[EndpointExclusion] = Counter()

    def add_holders(self) -> None:
        """Add usable endpoints that cache the longest prefix of the prompt."""
        by_id = self.view.endpoints.by_id
        for endpoint_id in self.view.prefixes.holders(self.req.prompt_blocks):
            endpoint = by_id.get(endpoint_id)
            if endpoint is not None and self.req.version in endpoint.versions:
                self._consider(endpoint)
            if len(self.usable) == MAX_PREFIX_HOLDERS:
                break

    def add_sample(self, ids: tuple[str, ...]) -> None:
        """Add up to ``SAMPLE_SIZE`` usable endpoints out of ``ids``."""
        wanted = len(self.usable) + SAMPLE_SIZE
        if len(ids) <= MAX_DRAWS:
            self._consider_all(self.rng.sample(ids, len(ids)), wanted)
        else:
            picks = (ids[self.rng.randrange(len(ids))] for _ in range(MAX_DRAWS))
            self._consider_all(picks, wanted)
            if not self.usable:
                self._consider_all(self.rng.sample(ids, len(ids)), wanted)
        if not self.usable:
            self.usable = self.over_share[:SAMPLE_SIZE]

    def no_endpoint(self) -> NoEndpoint:
        """Return how many endpoints each rule excluded, once none was usable.

        All endpoints were considered then, so the counts are complete.
        """
        counts = sorted(self._excluded.items())
        exclusions = tuple(ExclusionCount(rule, count) for rule, count in counts)
        return NoEndpoint(exclusions, tuple(self.cold[:SAMPLE_SIZE]))

    def _consider_all(self, ids, wanted: int) -> None:
        by_id = self.view.endpoints.by_id
        for endpoint_id in ids:
            if len(self.usable) == wanted:
                return
            self._consider(by_id[endpoint_id])

    def _consider(self, endpoint: EndpointView) -> None:
        if endpoint.id in self._seen:
            return
        self._seen.add(endpoint.id)
        rule = exclusion(endpoint, self.view, self.req.tried, self.req.permits)
        if rule is not None:
            self._excluded[rule] += 1
        if rule is EndpointExclusion.COLD:
            self.cold.append(endpoint.id)
        if rule is not None:
            return
        if self._within_share(endpoint):
            self.usable.append(endpoint)
        else:
            self.over_share.append(endpoint)

    def _within_share(self, endpoint: EndpointView) -> bool:
        """Return whether the endpoint's domain may take this request, at random."""
        share = self.view.domain_shares.get(endpoint.failure_domain, FULL_SHARE)
        return share >= FULL_SHARE or self.rng.random() < share
