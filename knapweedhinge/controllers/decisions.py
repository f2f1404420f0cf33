"""Keep recent routing decisions, so that operators can ask for their reasons."""

from collections import OrderedDict

from knapweedhinge.routing.explain import DecisionRecord, explain
from knapweedhinge.routing.plans import PlanDecision

MAX_DECISIONS = 2_000  # decisions kept in memory


class DecisionHistory:
    """Keep the latest MAX_DECISIONS decisions by request id."""

    def __init__(self):
        self._decisions: OrderedDict[str, PlanDecision] = OrderedDict()

    def keep(self, request_id: str, decision: PlanDecision) -> None:
        """Store a decision, dropping the oldest one above MAX_DECISIONS."""
        self._decisions[request_id] = decision
        if len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def explain(self, request_id: str) -> DecisionRecord | None:
        """Return why a request got its plan, or None if no decision on it is kept."""
        decision = self._decisions.get(request_id)
        return explain(decision) if decision else None
