"""Roll-outs advanced at the pace of a node's periodic work."""

import random
from collections import Counter

import pytest

from knapweedhinge.conf.relay import Promises
from knapweedhinge.controllers.fleet import FleetTracker, ReleaseOrdered, ReleaseStaged
from knapweedhinge.controllers.release_controller import ReleaseController
from knapweedhinge.routing.releases import Stage
from knapweedhinge.routing.releaseverdict import Verdict

PERIOD_S = 24.0
TICK_S = 0.25  # between steps of the controller
RECORD_S = 0.05  # until a recorded stage is known at its own node
CALLS_PER_S = 200.0


class GoodRelease:
    """Evidence for a good release of a service with long calls on the old one."""

    def __init__(self):
        self.counts = Counter()

    def calls(self, service):
        return self.counts

    def verdict(self, release):
        return Verdict(False, True, "", as_fast=True)

    def old_in_use(self, release):
        return 40

    def forget(self, service, version):
        pass

    def keep_starts(self, running):
        pass


class Records:
    """Stages that the node learns of a moment after it recorded them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.written = []

    def to_store_clock(self, now):
        return now

    def lost(self, services, now):
        return ()

    async def record(self, release, stage, began_at):
        self.written.append((release, stage, began_at))

    def deliver(self, now):
        for release, stage, began_at in self.written:
            staged = ReleaseStaged(release.service, release.version, stage, began_at)
            self.fleet.apply(staged, now)
        self.written.clear()


@pytest.mark.parametrize("seen_after_s", [0.0, 0.1, 0.2, 0.3])
@pytest.mark.parametrize("exposure", [0.0975, 0.12, 0.15])
async def test_a_good_release_with_calls_on_the_old_one_ends_in_its_period(
    exposure, seen_after_s
):
    """Guards against roll-outs of large services that end tenths of a second late."""
    fleet, evidence = FleetTracker(random.Random(1)), GoodRelease()
    records = Records(fleet)
    controller = ReleaseController(
        fleet,
        evidence,
        records,
        lambda service: True,
        Promises(exposure=exposure, exposure_allowance=30),
    )
    fleet.apply(ReleaseOrdered("s", "v2", PERIOD_S), seen_after_s)
    now, stage = seen_after_s, Stage.TRIAL
    while now < PERIOD_S + 5.0 and stage is not Stage.COMPLETE:
        now += TICK_S
        to_new = 1.0 if stage is Stage.MOVING else 0.4 * exposure
        evidence.counts["v2"] += round(CALLS_PER_S * TICK_S * to_new)
        evidence.counts["v1"] += round(CALLS_PER_S * TICK_S * (1.0 - to_new))
        await controller.step(now)
        records.deliver(now + RECORD_S)
        stage = fleet.view.release("s").stage
    assert now + RECORD_S <= PERIOD_S
