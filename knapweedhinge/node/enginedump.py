"""Describe what a node knows of the engines, for its dump."""

from knapweedhinge.controllers.enginespeeds import endpoint_key
from knapweedhinge.filters.relay import RelayContext


def engines_dump(ctx: RelayContext, now: float) -> dict[str, dict[str, float]]:
    """Return tokens and calls held, and the relative speed, by id of the engine.

    What the settings switch off is missing.
    """
    view, nodes = ctx.fleet.view, ctx.fleet.nodes
    found: dict[str, dict[str, float]] = {}
    for service in view.catalog.services.values() if view.catalog else ():
        if service.engine is None:
            continue
        speeds = None
        if ctx.engine_speeds is not None:
            speeds = ctx.engine_speeds.speeds(service.name, view.endpoints, now, nodes)
        for endpoint_id in view.endpoints.by_service.get(service.name, ()):
            endpoint = view.endpoints.by_id[endpoint_id]
            known = found.setdefault(endpoint_id, {})
            if ctx.engine_room is not None:
                load = ctx.engine_room.load(endpoint, now, nodes)
                known["held_tokens"] = round(load.tokens)
                known["calls"] = round(load.calls)
                known["memory_tokens"] = service.engine.memory_tokens
            if speeds is not None:
                known["speed"] = round(speeds.get(endpoint_key(endpoint), 1.0), 2)
    return {endpoint_id: known for endpoint_id, known in found.items() if known}
