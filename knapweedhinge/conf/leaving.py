"""Settings that decide when calls leave a node's failure domain."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import setting
from knapweedhinge.conf.switches import OFF, ON, SWITCH_VALUES


@dataclass(frozen=True)
class LeavingSettings:
    """Prices and limits of traffic between failure domains of a region."""

    switch: str = setting(
        "Decide by load which share of the calls leaves the failure domain: 'on', "
        "'off', or 'agreed' to do so where the agreements of the deployment call for "
        "it.",
        default=OFF,
        choices=SWITCH_VALUES,
    )
    delay_per_call_s: float = setting(
        "Delay of a call that is accepted rather than let it leave.",
        default=0.3,
        minimum=0.0,
        unit="s",
    )
    delay_per_megabyte_s: float = setting(
        "Delay that is accepted, in addition, for each megabyte of a call and its "
        "answer.",
        default=2.0,
        minimum=0.0,
        unit="s",
    )
    tolerated_share: float = setting(
        "Share of a route's latency objective up to which a delay counts nothing.",
        default=0.5,
        minimum=0.0,
        maximum=1.0,
    )
    max_change_per_s: float = setting(
        "Largest change in a second of the share of calls that leave.",
        default=0.2,
        minimum=0.01,
        unit="1/s",
    )

    @property
    def enabled(self) -> bool:
        """Return whether shares are decided; agreements have been applied before."""
        return self.switch == ON
