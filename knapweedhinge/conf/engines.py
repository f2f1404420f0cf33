"""Settings of what nodes know of inference engines."""

from dataclasses import dataclass

from knapweedhinge.conf.fields import setting
from knapweedhinge.conf.switches import AGREED, SWITCH_VALUES


@dataclass(frozen=True)
class EngineSettings:
    """What endpoint choice takes into account of inference engines."""

    room: str = setting(
        "Whether calls go only to engines with room in their memory. If 'agreed', the "
        "deployment's agreements decide; off without them.",
        default=AGREED,
        choices=SWITCH_VALUES,
    )
    speeds: str = setting(
        "Whether engines are told apart by the speed of their answers. If 'agreed', "
        "the deployment's agreements decide; off without them.",
        default=AGREED,
        choices=SWITCH_VALUES,
    )
    spread: str = setting(
        "Whether a common prompt part spreads to further engines while the one that "
        "is preferred for it has much more work than others. If 'agreed', the "
        "deployment's agreements decide; off without them.",
        default=AGREED,
        choices=SWITCH_VALUES,
    )
    full_share: float = setting(
        "Share of an engine's memory that calls may fill. The rest is for outputs that "
        "are longer than expected and for calls that a node doesn't know of yet.",
        default=0.9,
        minimum=0.1,
        maximum=1.0,
    )
    urgent_rank: int = setting(
        "Calls of this priority or a higher one, 0 being the highest, are sent even "
        "if no engine has room.",
        default=0,
        minimum=0,
    )
