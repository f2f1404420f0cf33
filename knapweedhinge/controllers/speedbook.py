"""The reading speed of each model of each service, as this node saw it."""

from knapweedhinge.conf.catalog import CallService
from knapweedhinge.routing.placement import relative_cost
from knapweedhinge.routing.prefillspeed import PrefillSpeed, assumed_speed


class SpeedBook:
    """Learn speeds from answers."""

    def __init__(self):
        self._speeds: dict[tuple[str, str], PrefillSpeed] = {}

    def of(self, service: CallService | None, model: str) -> PrefillSpeed:
        """Return a model's speed, assumed from its cost until it was seen."""
        if service is None:
            return assumed_speed(1.0)
        known = self._speeds.get((service.name, model))
        if known is not None:
            return known
        costs = service.engine.costs if service.engine else {}
        return assumed_speed(relative_cost(costs, model))

    def answered(
        self, service: CallService, model: str, fresh_tokens: int, first_s: float
    ) -> None:
        """Take in how long the first piece of an answer took."""
        speed = self.of(service, model)
        self._speeds[service.name, model] = speed.updated(fresh_tokens, first_s)
