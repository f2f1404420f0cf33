"""Decisions on evidence reach all nodes, and are written by exactly one of them."""

import asyncio
import time
from dataclasses import replace

import pytest

from knapweedhinge.conf import load_configuration, load_deployment
from knapweedhinge.conf.cooperative import RollOut
from knapweedhinge.controllers.cuts import Watch
from knapweedhinge.routing.baselines import Baseline
from knapweedhinge.routing.records import RatingRecord
from knapweedhinge.routing.sequential import WatchKey
from knapweedhinge.test.fleet import Fleet
from tests.conftest import EXAMPLES

BASELINE = Baseline(failure=0.06, slow=0.25, bad=0.06, bad_rating=0.4, badness=0.25)
WAIT_S = 15.0  # bound on waiting for all nodes of the fleet


def example_with_roll_out():
    """Return an example with a running roll-out of one version of a class."""
    folder = EXAMPLES / "guanacaste"
    configuration = load_configuration(folder / "configuration.json")
    work_class = next(
        candidate for candidate in configuration.classes if len(candidate.versions) > 1
    )
    stable, new = work_class.versions[:2]
    running = (RollOut("trial", new, stable, exposure=0.01),)
    deployment = load_deployment(folder / "deployment.json")
    return replace(configuration, roll_outs=running), deployment


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.05)


@pytest.mark.asyncio
async def test_cut_reaches_all_nodes_and_is_withdrawn_once():
    configuration, deployment = example_with_roll_out()
    version = configuration.roll_outs[0].version
    async with Fleet(configuration, deployment, 3) as fleet:
        revision = fleet.nodes[0].state.current.configuration.revision
        cuts = fleet.nodes[0].ctx.learning.cuts
        watch = Watch(WatchKey(version, "trial"), BASELINE)
        while not cuts.versions:
            # Answers that failed and weren't slow.
            cuts.answered(watch, True, False, fleet.nodes[0].clock())

        def all_cut():
            trackers = [node.ctx.learning.cuts for node in fleet.nodes]
            return all(tracker.versions == {version} for tracker in trackers)

        def current():
            return [node.state.current.configuration for node in fleet.nodes]

        await wait_until(all_cut)
        await wait_until(
            lambda: all(cfg.version(version).withdrawn for cfg in current())
        )
        # A second withdrawal would be written within this time.
        await asyncio.sleep(1.5)
        assert [cfg.revision for cfg in current()] == [revision + 1] * 3
        assert all(cfg.roll_outs[0].state == "rolled-back" for cfg in current())


@pytest.mark.asyncio
async def test_proven_step_is_written_by_one_node():
    configuration, deployment = example_with_roll_out()
    trial = configuration.roll_outs[0]
    async with Fleet(configuration, deployment, 3) as fleet:
        first_exposure = configuration.roll_outs[0].exposure

        def current():
            return [node.state.current.configuration for node in fleet.nodes]

        def all_heard():
            nodes = fleet.nodes
            fractions = [
                node.state.current.heard_fraction(node.clock()) for node in nodes
            ]
            return min(fractions) == 1

        await wait_until(all_heard)
        revision = current()[0].revision
        # Equally good ratings of both versions, enough for a larger exposure.
        for node in fleet.nodes:
            wall = time.time()
            for work_class in configuration.classes:
                for version in (trial.version, trial.stable):
                    for _ in range(40):
                        record = RatingRecord(work_class.id, version, 100, 1.0)
                        node.ctx.learning.statistics.record_rating(record, wall)
            await node.decision_writer.step_roll_outs()
        await wait_until(
            lambda: all(cfg.roll_outs[0].exposure > first_exposure for cfg in current())
        )
        assert [cfg.revision for cfg in current()] == [revision + 1] * 3
