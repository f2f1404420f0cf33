"""Apply accepted changes to a configuration.

``apply`` validates nothing. A stored change has been accepted already, and every node
must compute the same configuration from it, even if the releases of two nodes check
different rules before they accept a change.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch
from typing import Any

from knapweedhinge.conf import Configuration, RollOut, changes

MAX_VALID_KEYS = 2  # keys valid at once: the previous one and its replacement


class ChangeUnknownError(Exception):
    """The change is of a type that this release does not know how to apply."""


@singledispatch
def apply(change: changes.Change, configuration: Configuration) -> Configuration:
    """Return the configuration with the change applied and the same revision number.

    Raises ChangeUnknownError for a change type of a newer release.
    """
    raise ChangeUnknownError(str(change))


@apply.register
def _(change: changes.FoundCooperative, configuration: Configuration) -> Configuration:
    return replace(change.configuration, revision=configuration.revision)


@apply.register
def _(change: changes.PutOrganisation, configuration: Configuration) -> Configuration:
    items = _insert_or_replace(configuration.organisations, change.value)
    return replace(configuration, organisations=items)


@apply.register
def _(
    change: changes.RemoveOrganisation, configuration: Configuration
) -> Configuration:
    items = configuration.organisations
    kept = tuple(item for item in items if item.id != change.organisation)
    return replace(configuration, organisations=kept)


@apply.register
def _(
    change: changes.SetOrganisationLimits, configuration: Configuration
) -> Configuration:
    return _edit_organisation(
        configuration,
        change.organisation,
        lambda item: replace(
            item,
            allowed_versions=change.allowed_versions,
            allowed_services=change.allowed_services,
            cost_limit_micros_per_day=change.cost_limit_micros_per_day,
        ),
    )


@apply.register
def _(change: changes.RotateKey, configuration: Configuration) -> Configuration:
    return _edit_organisation(
        configuration,
        change.organisation,
        lambda item: replace(
            item, key_sha256=_with_new_key(item.key_sha256, change.key_sha256)
        ),
    )


@apply.register
def _(change: changes.RetireKey, configuration: Configuration) -> Configuration:
    def edit(item):
        kept = tuple(key for key in item.key_sha256 if key != change.key_sha256)
        return replace(item, key_sha256=kept)

    return _edit_organisation(configuration, change.organisation, edit)


@apply.register
def _(change: changes.RotateOperatorKey, configuration: Configuration) -> Configuration:
    keys = _with_new_key(configuration.operator_key_sha256, change.key_sha256)
    return replace(configuration, operator_key_sha256=keys)


@apply.register
def _(change: changes.PutVersion, configuration: Configuration) -> Configuration:
    existing = configuration.version(change.value.id)
    withdrawn = change.value.withdrawn or bool(existing and existing.withdrawn)
    version = replace(change.value, withdrawn=withdrawn)
    versions = _insert_or_replace(configuration.versions, version)
    return _roll_back_withdrawn(replace(configuration, versions=versions))


@apply.register
def _(change: changes.WithdrawVersion, configuration: Configuration) -> Configuration:
    versions = _edit_item(
        configuration.versions, change.version, lambda v: replace(v, withdrawn=True)
    )
    return _roll_back_withdrawn(replace(configuration, versions=versions))


@apply.register
def _(change: changes.PutClass, configuration: Configuration) -> Configuration:
    items = _insert_or_replace(configuration.classes, change.value)
    return replace(configuration, classes=items)


@apply.register
def _(change: changes.SetClassTargets, configuration: Configuration) -> Configuration:
    return _edit_class(
        configuration,
        change.class_of_work,
        quality_target=change.quality_target,
        first_token_s=change.first_token_s,
        between_tokens_s=change.between_tokens_s,
        deadline_s=change.deadline_s,
    )


@apply.register
def _(change: changes.SetClassLimits, configuration: Configuration) -> Configuration:
    return _edit_class(
        configuration,
        change.class_of_work,
        cost_limit_micros=change.cost_limit_micros,
        max_exposure=change.max_exposure,
    )


@apply.register
def _(change: changes.PutService, configuration: Configuration) -> Configuration:
    items = _insert_or_replace(configuration.services, change.value)
    return replace(configuration, services=items)


@apply.register
def _(change: changes.PutFailureDomain, configuration: Configuration) -> Configuration:
    items = _insert_or_replace(configuration.failure_domains, change.value)
    return replace(configuration, failure_domains=items)


@apply.register
def _(change: changes.SetFailureDomain, configuration: Configuration) -> Configuration:
    items = _edit_item(
        configuration.failure_domains,
        change.failure_domain,
        lambda item: replace(item, out=change.out),
    )
    return replace(configuration, failure_domains=items)


@apply.register
def _(change: changes.SetLimits, configuration: Configuration) -> Configuration:
    return replace(configuration, limits=change.limits)


@apply.register
def _(change: changes.SetVotingRules, configuration: Configuration) -> Configuration:
    return replace(configuration, voting=change.voting)


@apply.register
def _(change: changes.StartRollOut, configuration: Configuration) -> Configuration:
    roll_out = RollOut(
        id=change.id,
        version=change.version,
        stable=change.stable,
        exposure=change.exposure,
        max_unrated=change.max_unrated,
    )
    return replace(
        configuration, roll_outs=_insert_or_replace(configuration.roll_outs, roll_out)
    )


@apply.register
def _(change: changes.AdvanceRollOut, configuration: Configuration) -> Configuration:
    return _edit_roll_out(
        configuration,
        change.id,
        lambda item: replace(item, exposure=change.exposure),
    )


@apply.register
def _(change: changes.FinishRollOut, configuration: Configuration) -> Configuration:
    return _edit_roll_out(
        configuration,
        change.id,
        lambda item: replace(item, exposure=1.0, state="finished"),
    )


@apply.register
def _(change: changes.RollBackRollOut, configuration: Configuration) -> Configuration:
    return _edit_roll_out(configuration, change.id, _rolled_back)


def _insert_or_replace(items: tuple, item: Any) -> tuple:
    if any(existing.id == item.id for existing in items):
        return _edit_item(items, item.id, lambda _: item)
    return (*items, item)


def _edit_item(items: tuple, item_id: str, edit: Callable[[Any], Any]) -> tuple:
    return tuple(edit(item) if item.id == item_id else item for item in items)


def _edit_organisation(configuration, item_id, edit) -> Configuration:
    items = _edit_item(configuration.organisations, item_id, edit)
    return replace(configuration, organisations=items)


def _edit_class(configuration, item_id, **fields) -> Configuration:
    items = _edit_item(
        configuration.classes, item_id, lambda item: replace(item, **fields)
    )
    return replace(configuration, classes=items)


def _edit_roll_out(configuration, item_id, edit) -> Configuration:
    items = _edit_item(configuration.roll_outs, item_id, edit)
    return replace(configuration, roll_outs=items)


def _roll_back_withdrawn(configuration: Configuration) -> Configuration:
    withdrawn = {item.id for item in configuration.versions if item.withdrawn}
    roll_outs = tuple(
        _rolled_back(item) if _is_running(item) and item.version in withdrawn else item
        for item in configuration.roll_outs
    )
    return replace(configuration, roll_outs=roll_outs)


def _is_running(roll_out: RollOut) -> bool:
    return roll_out.state == "running"


def _rolled_back(roll_out: RollOut) -> RollOut:
    return replace(roll_out, exposure=0.0, state="rolled-back")


def _with_new_key(keys: tuple[str, ...], key: str) -> tuple[str, ...]:
    kept = [existing for existing in keys if existing != key]
    return (*kept, key)[-MAX_VALID_KEYS:]
