"""Settings of the fair shares of organisations where room is short."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import setting
from knapweedhinge.conf.switches import AGREED, ON, SWITCH_VALUES


@dataclass(frozen=True)
class ShareWeight:
    """The weight of an organisation, against 1 for all others."""

    organisation: str = setting("Name of the organisation.")
    weight: float = setting("Its weight.", default=1.0, minimum=0.01, maximum=100.0)


@dataclass(frozen=True)
class ShareSettings:
    """Whether and how a service that is short of room is divided."""

    switch: str = setting(
        "Divide services that are short of room among organisations: 'on', 'off', or "
        "'agreed' to do so where the agreements of the deployment call for it.",
        default=AGREED,
        choices=SWITCH_VALUES,
    )
    weights: tuple[ShareWeight, ...] = setting(
        "Weights of organisations other than 1.", default=()
    )

    @property
    def enabled(self) -> bool:
        """Return whether services are divided; agreements have been applied before."""
        return self.switch == ON
