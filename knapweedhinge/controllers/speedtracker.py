"""Estimate the prefill speed of each model of each service from observed answers."""

from knapweedhinge.conf.catalog import CallService
from knapweedhinge.routing.placement import relative_cost
from knapweedhinge.routing.prefillspeed import PrefillSpeed, assumed_speed


class PrefillSpeedTracker:
    """Estimate prefill speeds from the time to the first piece of answers."""

    def __init__(self):
        self._speeds: dict[tuple[str, str], PrefillSpeed] = {}

    def of(self, service: CallService | None, model: str) -> PrefillSpeed:
        """Return a model's prefill speed at a service.

        Until an answer of the model was observed, the speed is estimated from its
        relative cost.
        """
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
        """Update a model's speed from one answer.

        ``fresh_tokens`` counts the prompt tokens that were not in the KV cache;
        ``first_s`` is the time to the first piece in seconds.
        """
        speed = self.of(service, model)
        self._speeds[service.name, model] = speed.updated(fresh_tokens, first_s)
