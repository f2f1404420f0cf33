"""Distinguish changes that need a vote of the members from those of operators.

Changes of limits, of voting rules and of the list of organisations need a vote; the
rest does not. A new class of work needs none either, although it sets its own limits.
"""

from functools import singledispatch
from typing import Any

from knapweedhinge.conf import Configuration, changes


@singledispatch
def requires_vote(change: changes.Change, configuration: Configuration) -> bool:
    """Return whether the member organisations must accept the change by vote."""
    return False


@requires_vote.register(changes.SetLimits)
@requires_vote.register(changes.SetVotingRules)
@requires_vote.register(changes.SetClassLimits)
@requires_vote.register(changes.SetOrganisationLimits)
@requires_vote.register(changes.RemoveOrganisation)
def _(change, configuration: Configuration) -> bool:
    return True


@requires_vote.register
def _(change: changes.PutOrganisation, configuration: Configuration) -> bool:
    existing = configuration.organisation(change.value.id)
    if existing is None:
        return True
    limits = ("allowed_versions", "allowed_services", "cost_limit_micros_per_day")
    return _differ(existing, change.value, limits)


@requires_vote.register
def _(change: changes.PutClass, configuration: Configuration) -> bool:
    existing = configuration.class_of_work(change.value.id)
    limits = ("cost_limit_micros", "max_exposure")
    return bool(existing) and _differ(existing, change.value, limits)


def _differ(old: Any, new: Any, names: tuple[str, ...]) -> bool:
    return any(getattr(old, name) != getattr(new, name) for name in names)
