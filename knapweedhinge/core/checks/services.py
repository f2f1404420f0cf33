"""Checks of plain services and their routes."""

from collections.abc import Iterator

from knapweedhinge.conf import Configuration, Route
from knapweedhinge.core.checks.messages import CheckMessage, Tag, message
from knapweedhinge.core.checks.registry import register

ANY_METHOD = "*"  # as the method of a route: matches every HTTP method


@register(Tag.SERVICES, needs=("configuration",))
def check_routes(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that each route can be reached and that repeated calls are safe."""
    for service_index, service in enumerate(cfg.services):
        path = f"services[{service_index}].routes"
        if not service.routes:
            text = f"{service.id} has no route."
            yield message("W131", path, text, "Add a route, or remove the service.")
        for index, route in enumerate(service.routes):
            yield from _check_reachable(service.routes, index, f"{path}[{index}]")
            yield from _check_retries(route, f"{path}[{index}]")


@register(Tag.SERVICES, needs=("configuration",))
def check_users(cfg: Configuration) -> Iterator[CheckMessage]:
    """Check that at least one organisation may call each service."""
    called = {
        name
        for organisation in cfg.organisations
        for name in organisation.allowed_services
    }
    for index, service in enumerate(cfg.services):
        if service.id not in called:
            text = f"No organisation may call {service.id}."
            hint = "Add it to allowed_services."
            yield message("W132", f"services[{index}]", text, hint)


def _check_reachable(
    routes: tuple[Route, ...], index: int, path: str
) -> Iterator[CheckMessage]:
    for earlier in routes[:index]:
        if _covers(earlier, routes[index]):
            text = (
                f"Every call matches the earlier route {earlier.method} {earlier.path}."
            )
            yield message("E131", path, text, "Put the more specific route first.")


def _check_retries(route: Route, path: str) -> Iterator[CheckMessage]:
    if not route.idempotent and not route.require_key:
        yield message(
            "W133",
            f"{path}.require_key",
            "A call that is retried without an Idempotency-Key runs a second time.",
            "Require the key unless callers can't send one.",
        )


def _covers(earlier: Route, later: Route) -> bool:
    """Return whether a route matches every call that a later one matches."""
    if earlier.method not in (ANY_METHOD, later.method):
        return False
    if earlier.path.endswith("*"):
        return later.path.startswith(earlier.path[:-1])
    return earlier.path == later.path
