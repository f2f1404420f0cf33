"""Validate a change before it is accepted.

Each change type has its own rules; the resulting configuration is validated too.
"""

import re
from dataclasses import replace
from functools import singledispatch
from typing import Any

from knapweedhinge.conf import Configuration, changes, validate
from knapweedhinge.controllers.configuration_apply import apply
from knapweedhinge.controllers.configuration_records import ChangeInvalidError


def validate_and_apply(
    change: changes.Change, configuration: Configuration
) -> Configuration:
    """Return the configuration with the change applied.

    Raises ChangeInvalidError if the change breaks a rule of its type, or if an item
    that it altered has a value out of bounds, a dangling reference or a duplicate id.
    """
    check(change, configuration)
    result = apply(change, configuration)
    altered = _only_altered(configuration, result)
    for problem in validate(altered):
        found = f", found {problem.value}" if problem.value else ""
        raise ChangeInvalidError(
            _path_by_id(problem.path, altered), f"expected {problem.expected}{found}"
        )
    return result


@singledispatch
def check(change: changes.Change, configuration: Configuration) -> None:
    """Raise ChangeInvalidError if the change breaks a rule of its type."""


@check.register
def _(change: changes.UnknownChange, configuration: Configuration) -> None:
    raise ChangeInvalidError("type", f"unknown type {change.type_name!r}")


@check.register
def _(change: changes.FoundCooperative, configuration: Configuration) -> None:
    if configuration.revision:
        raise ChangeInvalidError("type", "the co-operative is founded already")


@check.register
def _(change: changes.PutOrganisation, configuration: Configuration) -> None:
    organisation = change.value
    for key in organisation.key_sha256:
        _require_unshared_key(organisation.id, key, "key_sha256", configuration)


@check.register
def _(change: changes.RemoveOrganisation, configuration: Configuration) -> None:
    _require_organisation(change, configuration)
    if len(configuration.organisations) == 1:
        raise ChangeInvalidError(
            "organisation", "the last organisation cannot be removed"
        )


@check.register
def _(change: changes.SetOrganisationLimits, configuration: Configuration) -> None:
    _require_organisation(change, configuration)


@check.register
def _(change: changes.RotateKey, configuration: Configuration) -> None:
    _require_organisation(change, configuration)
    _require_unshared_key(
        change.organisation, change.key_sha256, "key_sha256", configuration
    )


@check.register
def _(change: changes.RetireKey, configuration: Configuration) -> None:
    keys = _require_organisation(change, configuration).key_sha256
    if change.key_sha256 not in keys:
        raise ChangeInvalidError("key_sha256", "is not a key of the organisation")
    if len(keys) == 1:
        raise ChangeInvalidError("key_sha256", "is the organisation's last key")


@check.register
def _(change: changes.PutVersion, configuration: Configuration) -> None:
    existing = configuration.version(change.value.id)
    if existing and existing.withdrawn and not change.value.withdrawn:
        raise ChangeInvalidError("withdrawn", "a withdrawal is final")


@check.register
def _(change: changes.WithdrawVersion, configuration: Configuration) -> None:
    _require_found(configuration.version(change.version), "version", change.version)


@check.register
def _(change: changes.SetClassTargets, configuration: Configuration) -> None:
    _require_class_of_work(change, configuration)


@check.register
def _(change: changes.SetClassLimits, configuration: Configuration) -> None:
    _require_class_of_work(change, configuration)


@check.register
def _(change: changes.SetFailureDomain, configuration: Configuration) -> None:
    _require_failure_domain(change, configuration)


@check.register
def _(change: changes.StartRollOut, configuration: Configuration) -> None:
    if any(item.id == change.id for item in configuration.roll_outs):
        raise ChangeInvalidError(
            "id", f"a roll-out with the id {change.id!r} already exists"
        )
    _require_usable_version(configuration, "version", change.version)
    _require_usable_version(configuration, "stable", change.stable)
    if change.version == change.stable:
        raise ChangeInvalidError("stable", "is the same as the new version")
    _require_no_overlap(change, configuration)
    _require_exposure_within_limit(
        change.version, change.stable, change.exposure, configuration
    )


@check.register
def _(change: changes.AdvanceRollOut, configuration: Configuration) -> None:
    item = _require_running(change, configuration)
    _require_usable_version(configuration, "version", item.version)
    _require_exposure_within_limit(
        item.version, item.stable, change.exposure, configuration
    )


@check.register
def _(change: changes.FinishRollOut, configuration: Configuration) -> None:
    item = _require_running(change, configuration)
    _require_usable_version(configuration, "version", item.version)


@check.register
def _(change: changes.RollBackRollOut, configuration: Configuration) -> None:
    _require_running(change, configuration)


def _only_altered(before: Configuration, after: Configuration) -> Configuration:
    """Return ``after`` without the items that the change left as they were.

    Versions and services are kept whole, since altered items may refer to any of them.
    """
    names = ("organisations", "classes", "failure_domains", "roll_outs")
    return replace(
        after,
        **{
            name: _items_not_in(getattr(before, name), getattr(after, name))
            for name in names
        },
    )


def _items_not_in(before: tuple, after: tuple) -> tuple:
    """Return the items of ``after`` that are not the same objects as in ``before``."""
    kept = {id(item) for item in before}
    return tuple(item for item in after if id(item) not in kept)


def _path_by_id(path: str, configuration: Configuration) -> str:
    """Return the path with its first list index replaced by the id of that item."""
    match = re.match(r"(\w+)\[(\d+)\](.*)", path)
    if match is None:
        return path
    name, index, rest = match.groups()
    return f"{name}[{getattr(configuration, name)[int(index)].id}]{rest}"


def _require_unshared_key(
    organisation_id, key, field: str, configuration: Configuration
) -> None:
    for item in configuration.organisations:
        if item.id != organisation_id and key in item.key_sha256:
            raise ChangeInvalidError(field, f"is a key of {item.id!r}")


def _require_found(item: Any, field: str, item_id: str) -> Any:
    if item is None:
        raise ChangeInvalidError(field, f"unknown id {item_id!r}")
    return item


def _require_organisation(change, configuration: Configuration):
    item = configuration.organisation(change.organisation)
    return _require_found(item, "organisation", change.organisation)


def _require_class_of_work(change, configuration: Configuration):
    item = configuration.class_of_work(change.class_of_work)
    return _require_found(item, "class_of_work", change.class_of_work)


def _require_failure_domain(change, configuration: Configuration):
    item = configuration.failure_domain(change.failure_domain)
    return _require_found(item, "failure_domain", change.failure_domain)


def _require_usable_version(
    configuration: Configuration, field: str, version_id: str
) -> None:
    version = _require_found(configuration.version(version_id), field, version_id)
    if version.withdrawn:
        raise ChangeInvalidError(field, f"{version_id!r} is withdrawn")


def _require_running(change, configuration: Configuration):
    roll_outs = {item.id: item for item in configuration.roll_outs}
    item = _require_found(roll_outs.get(change.id), "id", change.id)
    if item.state != "running":
        raise ChangeInvalidError("id", f"{change.id!r} is {item.state}")
    return item


def _require_no_overlap(change, configuration: Configuration) -> None:
    for item in configuration.roll_outs:
        if item.state != "running":
            continue
        for field in ("version", "stable"):
            if getattr(change, field) in (item.version, item.stable):
                raise ChangeInvalidError(field, f"is part of roll-out {item.id!r}")


def _require_exposure_within_limit(
    version, stable, exposure, configuration: Configuration
) -> None:
    limit = exposure_limit(version, stable, configuration)
    if exposure > limit:
        raise ChangeInvalidError("exposure", f"over the voted limit {limit}")


def exposure_limit(version: str, stable: str, configuration: Configuration) -> float:
    """Return the lowest voted ``max_exposure`` of the classes that use either version.

    Exposure is the share of calls, in [0, 1], that a roll-out sends to the new version.
    """
    limits = [
        item.max_exposure
        for item in configuration.classes
        if version in item.versions or stable in item.versions
    ]
    return min(limits, default=1.0)
