"""Checks of a catalog: what can't work, and limits that contradict each other."""

from collections.abc import Iterator
from dataclasses import fields

from knapweedhinge.conf.catalog import CallRoute, Catalog, EngineCosts
from knapweedhinge.conf.catalogfile import CatalogFile
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register


@register(Tag.CATALOG, needs=("catalog",))
def check_unknown_fields(file: CatalogFile) -> Iterator[CheckMessage]:
    """Check that nodes know all fields."""
    for places in file.unknown:
        text = (
            f"Nodes don't know this field and ignore it; places: {', '.join(places)}."
        )
        yield message("W401", places[0], text, "Look for a misspelt name.")


@register(Tag.CATALOG, needs=("catalog",))
def check_matching(file: CatalogFile) -> Iterator[CheckMessage]:
    """Check that a call can match each route."""
    for index, route in enumerate(file.catalog.routes):
        path = f"routes[{index}]"
        name, _, port = route.host.rpartition(":")
        if not route.prefix.startswith("/") or set("?#") & set(route.prefix):
            text = f"No path begins with {route.prefix!r}."
            yield message("E402", path, text, "Begin with / and leave out any query.")
        elif not route.host or (name and port.isdigit()):
            text = f"No call names the host {route.host!r}; ports are left out."
            yield message("E402", path, text, "Name the host without its port.")
        elif file.catalog.route(route.host, route.prefix) is not route:
            text = f"An earlier route takes all calls of {route.host}{route.prefix}."
            yield message("E401", path, text, "Remove one of the two.")


@register(Tag.CATALOG, needs=("catalog",))
def check_targets(file: CatalogFile) -> Iterator[CheckMessage]:
    """Check that the services of each route exist, get calls and have its models."""
    for index, route in enumerate(file.catalog.routes):
        path = f"routes[{index}]"
        if len(route.targets) > 1:
            yield from _check_weights(route, path)
        for target in route.targets:
            if target.service not in file.catalog.services:
                text = f"There is no service {target.service!r}."
                yield message("E404", path, text, "Add it, or correct the name.")
        yield from _check_models(file.catalog, route, path)


def _check_weights(route: CallRoute, path: str) -> Iterator[CheckMessage]:
    weights = [target.weight for target in route.targets]
    if min(weights) < 0 or sum(weights) <= 0:
        text = "A weight is negative, or all are 0."
        yield message("E403", path, text, "Give each service a share above 0.")
        return
    for target in route.targets:
        if target.weight == 0:
            text = f"{target.service} has weight 0 and gets no calls."
            yield message("W402", path, text, "Remove it, or give it a share.")


def _check_models(
    catalog: Catalog, route: CallRoute, path: str
) -> Iterator[CheckMessage]:
    served = {
        target.service: catalog.services[target.service].engine or EngineCosts()
        for target in route.targets
        if target.service in catalog.services
    }
    for model in route.sizes:
        lacking = [name for name, engine in served.items() if model not in engine.costs]
        if lacking:
            short_id = "E405" if len(lacking) == len(served) else "W406"
            text = f"No engine of {', '.join(lacking)} has the model {model}."
            yield message(short_id, path, text, "Add it, or correct the sizes.")


@register(Tag.CATALOG, Tag.KEYS, needs=("catalog",))
def check_catalog_keys(file: CatalogFile) -> Iterator[CheckMessage]:
    """Check that each organisation has keys that no other one has."""
    owners: dict[str, str] = {}
    for index, organisation in enumerate(file.catalog.organisations or ()):
        path = f"{file.organisations}[{index}]"
        if not any(organisation.keys):
            text = f"{organisation.name} has no key and can't call."
            yield message("W403", path, text, "Add a key, or remove it.")
        for key in filter(None, organisation.keys):
            if key not in owners:
                owners[key] = organisation.name
            elif owners[key] == organisation.name:
                text = f"{organisation.name} has a key twice."
                yield message("W404", path, text, "Remove one of the two.")
            else:
                text = f"{organisation.name} has a key of {owners[key]}."
                yield message("E406", path, text, "Give each its own key.")


@register(Tag.CATALOG, needs=("catalog",))
def check_limits(file: CatalogFile) -> Iterator[CheckMessage]:
    """Check that limits are positive and don't contradict each other."""
    for index, route in enumerate(file.catalog.routes):
        yield from _check_route_limits(route, file.most_attempts, f"routes[{index}]")
    limits = file.catalog.limits
    for item in fields(limits):
        if getattr(limits, item.name) <= 0:
            text = f"{item.name} isn't above 0."
            yield message("E409", "limits", text, "Correct the limit.")


def _check_route_limits(
    route: CallRoute, most_attempts: int, path: str
) -> Iterator[CheckMessage]:
    if route.timeout_s <= 0 or route.objective_s <= 0:
        text = "The timeout or the target latency isn't above 0."
        yield message("E409", path, text, "Correct it.")
    elif route.timeout_s < route.objective_s:
        text = (
            f"Calls end after {route.timeout_s:g} s, before the target latency of"
            f" {route.objective_s:g} s."
        )
        yield message("E407", path, text, "Raise the timeout or lower the target.")
    if route.pause_s > 0 and route.pause_s >= route.timeout_s:
        text = (
            f"A pause of {route.pause_s:g} s is accepted, but calls end after"
            f" {route.timeout_s:g} s."
        )
        yield message("E408", path, text, "Accept shorter pauses.")
    if route.most_runs > most_attempts:
        text = (
            f"A call may run {route.most_runs} times, but nodes make at most"
            f" {most_attempts} attempts."
        )
        yield message("W405", path, text, f"Allow at most {most_attempts}.")
