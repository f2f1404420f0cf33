"""Settings of the second ask of a larger model."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import setting
from knapweedhinge.conf.switches import OFF, ON, SWITCH_VALUES


@dataclass(frozen=True)
class EscalationSettings:
    """Whether second asks are weighed against other calls, and by which values."""

    switch: str = setting(
        "Weigh what a caller gains by a larger model's answer against what it takes "
        "from others: 'on', 'off', or 'agreed' to do so where the agreements of the "
        "deployment call for it.",
        default=OFF,
        choices=SWITCH_VALUES,
    )
    late_value: float = setting(
        "Value to its caller of a good answer after the latency objective, against 1 "
        "for one in time.",
        default=0.3,
        minimum=0.0,
        maximum=1.0,
    )
    poor_value: float = setting(
        "Value to its caller of a poor answer, against 1 for a good one.",
        default=0.1,
        minimum=0.0,
        maximum=1.0,
    )

    @property
    def enabled(self) -> bool:
        """Return whether they are weighed; agreements have been applied before."""
        return self.switch == ON
