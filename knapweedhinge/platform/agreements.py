"""Switch features on that the agreements of a deployment call for."""

from dataclasses import replace

from knapweedhinge.conf.relay import RelaySettings
from knapweedhinge.conf.switches import AGREED, ON

POOL = "pool"  # demand, endpoints and machines are uneven
PRESSURE = "pressure"  # more is asked at times than endpoints have room for


def with_agreements(settings: RelaySettings) -> RelaySettings:
    """Return the settings with what ``settings.agreements`` switches on.

    A feature that the settings switch on or off explicitly stays so.
    """
    domains = {place.failure_domain for place in settings.places}
    uneven = POOL in settings.agreements
    if settings.process.weighing == AGREED and uneven:
        settings = replace(settings, process=replace(settings.process, weighing=ON))
    if settings.leaving.switch == AGREED and uneven and len(domains) > 1:
        settings = replace(settings, leaving=replace(settings.leaving, switch=ON))
    if settings.shares.switch == AGREED and PRESSURE in settings.agreements:
        settings = replace(settings, shares=replace(settings.shares, switch=ON))
    if settings.escalation.switch == AGREED and PRESSURE in settings.agreements:
        escalation = replace(settings.escalation, switch=ON)
        settings = replace(settings, escalation=escalation)
    for switch, agreement in (("room", PRESSURE), ("speeds", POOL), ("spread", POOL)):
        is_agreed = agreement in settings.agreements
        if getattr(settings.engines, switch) == AGREED and is_agreed:
            settings = replace(
                settings, engines=replace(settings.engines, **{switch: ON})
            )
    return settings
