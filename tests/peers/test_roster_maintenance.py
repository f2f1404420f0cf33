"""Joining the roster, and deletion of stale rows."""

import asyncio
from random import Random

import pytest

from knapweedhinge.peers.members import MemberState
from knapweedhinge.peers.roster import AUDIT_INTERVAL_S, PAGE_ROWS, Roster, row_key
from knapweedhinge.peers.roster_maintenance import RosterMaintenance
from knapweedhinge.peers.views import Fleet, LastHeard, MembershipView
from tests.peers.conftest import make_member

NOW = 10_000.0


class CallbackRecorder:
    """Runs a ``RosterMaintenance`` and records its callbacks."""

    def __init__(self, table, me=0):
        self.applied, self.forgotten = [], []
        self.roster_maintenance = RosterMaintenance(
            Roster(table),
            rng=Random(me),
            apply_roster_records=self.applied.extend,
            forget=self.forgotten.append,
        )

    async def tick(self, view, ended=(), now=NOW):
        self.roster_maintenance.tick(view, ended, now)
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def view_of(me, members, heard=True):
    at = NOW if heard else 0.0
    direct = {member.vm: at for member in members}
    fleet = Fleet({m.vm: m for m in members}, frozenset())
    return MembershipView(me, fleet, LastHeard(direct, {}, {}), 3.0)


async def insert(table, *members):
    for member in members:
        await Roster(table).insert(member)


async def test_a_restarted_node_replaces_the_earlier_rows_of_its_vm(table):
    await insert(table, make_member(0, incarnation=50), make_member(1))
    joined = await CallbackRecorder(table).roster_maintenance.join(
        make_member(0, incarnation=7), NOW
    )
    assert joined.me.incarnation == 51
    assert [member.vm for member in joined.others] == ["vm-001"]
    assert sorted(table.rows) == ["vm-000/51", "vm-001/1"]


@pytest.mark.looptime
async def test_joining_waits_for_the_platform(table):
    table.down = True
    task = asyncio.create_task(
        CallbackRecorder(table).roster_maintenance.join(make_member(0), NOW)
    )
    await asyncio.sleep(60)
    assert not task.done()
    table.down = False
    assert (await task).me.vm == "vm-000"
    assert table.writes == 1


async def test_the_roster_is_read_page_by_page(table):
    members = [make_member(i) for i in range(PAGE_ROWS + 5)]
    await insert(table, *members)
    assert len(await Roster(table).members()) == len(members)


async def test_only_the_owner_deletes_the_row_of_a_dead_vm(table):
    alive = [make_member(i) for i in range(5)]
    dead = make_member(5, state=MemberState.DEAD)
    await insert(table, make_member(5))
    recorders = [CallbackRecorder(table, i) for i in range(5)]
    for recorder, me in zip(recorders, alive, strict=True):
        await recorder.tick(view_of(me, [*alive, dead]), (dead,))
    assert row_key(dead) not in table.rows
    assert [member.vm for recorder in recorders for member in recorder.forgotten] == [
        "vm-005"
    ]
    assert table.writes == 2


async def test_a_node_that_is_cut_off_deletes_nothing_and_scans_the_roster(table):
    me, dead = make_member(0), make_member(1, state=MemberState.DEAD)
    others = [make_member(i, state=MemberState.DEAD) for i in range(2, 5)]
    await insert(table, make_member(1), make_member(9))
    recorder = CallbackRecorder(table)
    for _ in range(3):
        await recorder.tick(view_of(me, [me, dead, *others]), (dead,))
    assert row_key(dead) in table.rows
    assert {member.vm for member in recorder.applied} == {"vm-001", "vm-009"}
    assert recorder.roster_maintenance._roster.reads == 1


async def test_a_platform_outage_postpones_the_deletion(table):
    me, dead = make_member(0), make_member(1, state=MemberState.DEAD)
    await insert(table, make_member(1))
    recorder, view = (
        CallbackRecorder(table),
        view_of(make_member(0), [me, make_member(2), dead]),
    )
    table.down = True
    await recorder.tick(view, (dead,))
    assert recorder.forgotten == []
    table.down = False
    await recorder.tick(view, (dead,))
    assert recorder.forgotten == [dead]


async def test_the_audit_applies_rows_of_unknown_members(table):
    me = make_member(0)
    await insert(table, me, make_member(8))
    recorder = CallbackRecorder(table)
    await recorder.tick(view_of(me, [me]), now=NOW + 2 * AUDIT_INTERVAL_S)
    assert [member.vm for member in recorder.applied] == ["vm-008"]


async def test_of_two_nodes_that_join_at_once_at_least_one_sees_the_other(table):
    joined = await asyncio.gather(
        CallbackRecorder(table).roster_maintenance.join(make_member(0), NOW),
        CallbackRecorder(table).roster_maintenance.join(make_member(1), NOW),
    )
    seen = [member.vm for result in joined for member in result.others]
    assert seen
