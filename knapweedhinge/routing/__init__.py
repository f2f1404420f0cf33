"""Routing decisions, computed without I/O; the present time is always an argument.

The names in ``__all__`` are imported from their modules on first use. Other types are
imported from the modules that define them.
"""

from knapweedhinge.core.lazy import lazy_exports

EXPORT_MODULES = {
    "Allowance": "exposure",
    "AnswerRecord": "records",
    "CheapAnswer": "cascade",
    "CheckRule": "cascade",
    "CheckVerdict": "cascade",
    "ExposureLedger": "exposure",
    "Outcome": "records",
    "PlanDecision": "plans",
    "PlanRequest": "plans",
    "RatingRecord": "records",
    "RoutingSnapshot": "plans",
    "Statistics": "statistics",
    "check_answer": "cascade",
    "choose_endpoint": "balance",
    "choose_service_endpoint": "balance",
    "decide_hedge": "hedge",
    "decide_plan": "planchoice",
    "decide_retry": "retry",
    "explain": "explain",
}

__getattr__ = lazy_exports(__name__, EXPORT_MODULES)
__all__ = list(EXPORT_MODULES)
