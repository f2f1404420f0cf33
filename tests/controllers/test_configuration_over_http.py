"""Revisions and votes over HTTP, with a platform that drops answers to writes."""

import asyncio
from itertools import count
from random import Random

import pytest

from knapweedhinge.backing import connect
from knapweedhinge.conf import PlatformSettings, VotedLimits
from knapweedhinge.conf.changes import SetFailureDomain, SetLimits
from knapweedhinge.controllers.ballots import ProposalState
from knapweedhinge.controllers.configuration import ConfigurationStore
from knapweedhinge.controllers.configuration_records import (
    ChangeRequest,
    RevisionConflict,
)
from knapweedhinge.controllers.proposals import ProposalStore
from knapweedhinge.test.platform import serve
from tests.controllers.samples import CONFIGURATION, ORGANISATIONS

LIMITS = SetLimits(VotedLimits(retry_share=0.3))


@pytest.fixture
async def standin():
    """Yield the platform's stand-in and its URL."""
    served = await serve()
    yield served.standin, served.url
    await served.close()


@pytest.fixture
async def platforms(standin):
    cfg = PlatformSettings(url=standin[1])
    connected = [await connect(cfg, rng=Random(seed)) for seed in range(2)]
    yield connected
    for platform in connected:
        await platform.close()


async def test_one_of_two_concurrent_changes_wins_when_an_answer_is_lost(
    standin, platforms
):
    stores = [ConfigurationStore(platform.tables) for platform in platforms]
    await stores[0].append_first_revision(CONFIGURATION, "found", "op", 0.0)
    standin[0].faults.lose_writes = 1
    requests = [
        ChangeRequest("c0", "ana", LIMITS, voted=True),
        ChangeRequest("c1", "minh", SetFailureDomain("sj-1", True)),
    ]
    results = await asyncio.gather(
        *(
            store.append(req, 1, 1.0)
            for store, req in zip(stores, requests, strict=True)
        ),
        return_exceptions=True,
    )
    (lost,) = [item for item in results if isinstance(item, RevisionConflict)]
    (won,) = [item for item in results if item is not lost]
    assert lost.winner == won.revision
    assert await stores[0].load() == await stores[1].load() == won.configuration
    assert await stores[0].read_after(1) == (won.revision,)


async def test_members_accept_a_limit_once(standin, platforms):
    new_id = map("w{}".format, count()).__next__
    stores = []
    for platform in platforms:
        configurations = ConfigurationStore(platform.tables)
        stores.append(ProposalStore(platform.tables, configurations, new_id))
    await ConfigurationStore(platforms[0].tables).append_first_revision(
        CONFIGURATION, "found", "op", 0.0
    )
    await stores[0].propose("p", "ana", LIMITS, 1, 1.0)
    for name in ORGANISATIONS[:2]:
        standin[0].faults.lose_writes = 1
        await stores[1].vote("p", name, True, 2.0)
    standin[0].faults.lose_writes = 1
    await asyncio.gather(*(store.tally("p", 3.0) for store in stores))
    proposal = await stores[0].get("p")
    assert proposal.state is ProposalState.ACCEPTED
    assert proposal.accepted_revision == 2
    chain = await ConfigurationStore(platforms[1].tables).read_after(1)
    assert [revision.change_id for revision in chain] == ["proposal/p"]
    assert [item.id for item in await stores[1].list()] == ["p"]
