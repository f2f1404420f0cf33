"""Checks of a configuration against the version in force: what takes service away."""

from collections.abc import Iterable, Iterator
from typing import Any

from knapweedhinge.conf import Configuration
from knapweedhinge.conf.differences import identified
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register

KEEP = "Keep it, or be sure that nobody uses it."


@register(Tag.DIFFERENCES, needs=("configuration_in_force", "configuration"))
def check_taken_away(old: Configuration, new: Configuration) -> Iterator[CheckMessage]:
    """Check whether a member, a version, a class, a service or a domain is dropped."""
    yield from dropped("W301", "organisations", old.organisations, new.organisations)
    yield from dropped("W303", "failure_domains", _in(old), _in(new))
    yield from dropped("W304", "versions", _offered(old), _offered(new))
    yield from dropped("W305", "services", old.services, new.services)
    yield from dropped("W306", "classes", old.classes, new.classes)
    for service, kept in _pairs(old.services, new.services):
        path = f"services[{service.id}].routes"
        yield from dropped("W305", path, service.routes, kept.routes)


@register(Tag.DIFFERENCES, needs=("configuration_in_force", "configuration"))
def check_less_allowed(
    old: Configuration, new: Configuration
) -> Iterator[CheckMessage]:
    """Check whether keys stop working, or what is still offered is allowed less."""
    offered = {item.id for item in (*_offered(new), *new.services)}
    for organisation, kept in _pairs(old.organisations, new.organisations):
        path = f"organisations[{organisation.id}]"
        yield from lost_keys(path, organisation.key_sha256, kept.key_sha256)
        for name in ("allowed_versions", "allowed_services"):
            lost = offered & (
                set(getattr(organisation, name)) - set(getattr(kept, name))
            )
            yield from _less_allowed(f"{path}.{name}", lost)
    yield from lost_keys("", old.operator_key_sha256, new.operator_key_sha256)
    for class_of_work, kept in _pairs(old.classes, new.classes):
        path = f"classes[{class_of_work.id}].versions"
        lost = offered & (set(class_of_work.versions) - set(kept.versions))
        yield from _less_allowed(path, lost)


def dropped(
    short_id: str, path: str, old: Iterable, new: Iterable
) -> Iterator[CheckMessage]:
    """Yield a warning for each item of a list that the new version lacks."""
    kept = identified(tuple(new))
    for name in identified(tuple(old)):
        if name not in kept:
            text = "It is in service now and dropped by this version."
            yield message(short_id, f"{path}[{name}]", text, KEEP)


def lost_keys(
    path: str, old: tuple[str, ...], new: tuple[str, ...]
) -> Iterator[CheckMessage]:
    """Yield a warning if the new version lacks keys; they aren't shown."""
    lost = len(set(old) - set(new))
    if lost:
        text = f"{lost} of {len(set(old))} keys stop working."
        hint = "Remove a key only after its users have the new one."
        yield message("W302", path or "operator_key_sha256", text, hint)


def _less_allowed(path: str, lost: set[str]) -> Iterator[CheckMessage]:
    for name in sorted(lost):
        text = f"{name} is allowed now and isn't by this version."
        yield message("W307", path, text, KEEP)


def _pairs(old: Iterable, new: Iterable) -> Iterator[tuple[Any, Any]]:
    """Yield the items that both lists have, the old one first."""
    kept = identified(tuple(new))
    for name, item in identified(tuple(old)).items():
        if name in kept:
            yield item, kept[name]


def _offered(cfg: Configuration) -> list:
    return [version for version in cfg.versions if not version.withdrawn]


def _in(cfg: Configuration) -> list:
    return [domain for domain in cfg.failure_domains if not domain.out]
