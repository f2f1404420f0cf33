"""Checks of a catalog against the version in force."""

from collections.abc import Iterator

from knapweedhinge.conf.catalogfile import CatalogFile
from knapweedhinge.core.checks.differences import dropped, lost_keys
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register


@register(Tag.DIFFERENCES, needs=("catalog_in_force", "catalog"))
def check_revision(old: CatalogFile, new: CatalogFile) -> Iterator[CheckMessage]:
    """Check that nodes would take the catalog for a newer one."""
    if new.catalog.revision <= old.catalog.revision:
        text = f"Nodes have version {old.catalog.revision} and ignore this one."
        yield message("E301", "version", text, "Increase the version.")


@register(Tag.DIFFERENCES, needs=("catalog_in_force", "catalog"))
def check_catalog_drops(old: CatalogFile, new: CatalogFile) -> Iterator[CheckMessage]:
    """Check whether a route, a service, a model or an organisation is dropped."""
    services = new.catalog.services
    yield from dropped("W305", "routes", old.catalog.routes, new.catalog.routes)
    yield from dropped(
        "W305", "services", old.catalog.services.values(), services.values()
    )
    for name, service in old.catalog.services.items():
        if service.engine is None or name not in services:
            continue
        engine = services[name].engine
        for model in service.engine.costs:
            if engine is None or model not in engine.costs:
                text = f"{model} is in service now and dropped by this version."
                hint = "Keep it, or be sure that nobody uses it."
                yield message("W304", f"services[{name}].engine", text, hint)


@register(Tag.DIFFERENCES, needs=("catalog_in_force", "catalog"))
def check_catalog_keys(old: CatalogFile, new: CatalogFile) -> Iterator[CheckMessage]:
    """Check whether callers lose access, or everybody gains it."""
    before, after = old.catalog.organisations, new.catalog.organisations
    path = new.organisations
    if after is None:
        if before is not None:
            text = "Calls need a key now, and none by this version."
            yield message("W308", path, text, "Keep the list of organisations.")
        return
    if before is None:
        text = "Calls need no key now, and need one by this version."
        yield message("W302", path, text, "Be sure that all callers have keys.")
        return
    yield from dropped("W301", path, before, after)
    kept = {organisation.name: organisation for organisation in after}
    for organisation in before:
        if organisation.name in kept:
            place = f"{path}[{organisation.name}]"
            yield from lost_keys(place, organisation.keys, kept[organisation.name].keys)
