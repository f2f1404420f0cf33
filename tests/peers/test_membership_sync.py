"""Membership of several nodes under lost, repeated and late records, and restarts."""

from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.peers.beacons import Beacon
from knapweedhinge.peers.dissemination import Dissemination
from knapweedhinge.peers.entries import Entry
from knapweedhinge.peers.members import MemberState, encode_member
from knapweedhinge.peers.membership import ENDED_RETENTION_S, Membership
from knapweedhinge.peers.membership_sync import MembershipSync
from knapweedhinge.peers.topics import DOMAIN_BEACON, MEMBER, REGION_BEACON
from tests.peers.conftest import make_member

CFG = PeerSettings()
COUNT = 4


class Node:
    """The parts of one node that do no I/O."""

    def __init__(self, index, fleet, incarnation=1):
        self.fleet = fleet
        me = make_member(index, incarnation=incarnation)
        self.membership = Membership(me, CFG)
        self.dissemination = Dissemination(me.vm, incarnation, me.region)
        self.membership_sync = MembershipSync(
            self.membership,
            self.dissemination,
            clock=lambda: fleet.now,
            on_changed=lambda: None,
        )
        others = {f"vm-{i:03}": "region-0" for i in range(COUNT) if i != index}
        self.dissemination.set_peers(others)
        self.membership_sync.publish_own_record(fleet.now)

    def take(self, entries, sender):
        received = self.dissemination.receive(entries, sender, self.fleet.now)
        self.membership_sync.apply_entries(received.accepted, self.fleet.now)

    def states(self):
        members = self.membership.view().members.values()
        return {m.vm: (m.incarnation, m.state) for m in members}


class Fleet:
    """A few nodes with a simulated clock and network."""

    def __init__(self):
        self.now = 100.0
        self.nodes = [Node(index, self) for index in range(COUNT)]
        self.mail = []
        self.settle()

    def post(self):
        for node in self.nodes:
            me = node.membership.me.vm
            for index in range(COUNT):
                batch = node.dissemination.next_batch(f"vm-{index:03}")
                if batch:
                    self.mail.append((me, index, batch))

    def deliver(self, position):
        sender, index, batch = self.mail[position % len(self.mail)]
        self.nodes[index].take(batch, sender)

    def settle(self):
        """Send the membership entries of each node to every other one, twice."""
        for _ in range(2):
            for node in self.nodes:
                for other in self.nodes:
                    entries = node.dissemination.store.entries(MEMBER)
                    other.take(entries, node.membership.me.vm)
        self.mail.clear()


@dataclass(frozen=True)
class Step:
    """One event of a history.

    ``node`` selects the node concerned; the meaning of ``argument`` (a node, a message
    or a time) depends on the kind.
    """

    kind: str
    node: int
    argument: int


def run(fleet, step):
    node = fleet.nodes[step.node % COUNT]
    if step.kind == "suspect":
        node.membership_sync.suspect(f"vm-{step.argument % COUNT:03}", fleet.now)
    elif step.kind == "wait":
        fleet.now += step.argument / 4
        node.membership_sync.tick(fleet.now)
    elif step.kind == "wake":
        node.membership.restart_suspicion_timers(fleet.now)
    elif step.kind == "deliver" and fleet.mail:
        fleet.deliver(step.argument)
    elif step.kind == "lose" and fleet.mail:
        fleet.mail.pop(step.argument % len(fleet.mail))
    elif step.kind == "restart":
        newer = node.membership.me.incarnation + 1
        fleet.nodes[step.node % COUNT] = Node(step.node % COUNT, fleet, newer)
    fleet.post()


kinds = st.sampled_from(["suspect", "wait", "wake", "deliver", "lose", "restart"])
steps = st.builds(Step, kinds, st.integers(0, 3), st.integers(0, 12))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(steps, max_size=40))
def test_all_nodes_finally_agree_that_every_running_process_is_alive(history):
    fleet = Fleet()
    for step in history:
        run(fleet, step)
    for _ in range(3):
        fleet.settle()
    expected = {
        node.membership.me.vm: (node.membership.me.incarnation, MemberState.ALIVE)
        for node in fleet.nodes
    }
    for node in fleet.nodes:
        assert node.states() == expected
        assert not node.membership.superseded


def member_entry(record, published_at=100.0, **fields):
    values = {"key": record.vm, "version": record.version} | fields
    payload = values.pop("payload", encode_member(record))
    return Entry(
        MEMBER, values["key"], values["version"], "vm-001", 1, payload, published_at
    )


OTHER = make_member(7)
DEAD = replace(OTHER, state=MemberState.DEAD)


@pytest.mark.parametrize(
    "refused",
    [
        member_entry(OTHER, key="vm-008"),
        member_entry(OTHER, version=OTHER.version + 1),
        member_entry(OTHER, payload=b"\xc1"),
        member_entry(replace(OTHER, peer_port=0)),
        member_entry(replace(OTHER, incarnation=1 << 48)),
        member_entry(DEAD, published_at=100.0 - ENDED_RETENTION_S - 1),
    ],
)
def test_inconsistent_or_malformed_records_are_refused(refused):
    node = Fleet().nodes[0]
    node.take((refused,), "vm-001")
    assert "vm-007" not in node.states()


def test_a_dead_member_is_forgotten_in_any_order_of_entries():
    fleet = Fleet()
    node, other = fleet.nodes[:2]
    node.take((member_entry(DEAD),), "vm-003")
    node.membership_sync.forget(DEAD, fleet.now)
    for entry in reversed(node.dissemination.next_batch("vm-001")):
        other.take((entry,), "vm-000")
    assert other.membership.view().fleet.forgotten == {"vm-007"}


def test_a_beacon_counts_from_the_time_it_was_sent():
    fleet = Fleet()
    node, other = fleet.nodes[:2]
    node.membership_sync.publish_beacon(Beacon(DOMAIN_BEACON, "fd-0"), 1, fleet.now)
    node.membership_sync.publish_beacon(Beacon(REGION_BEACON, "region-9"), 1, fleet.now)
    late = [
        replace(e, published_at=90.0) for e in node.dissemination.next_batch("vm-001")
    ]
    other.take(tuple(late), "vm-000")
    heard = other.membership.view().last_heard
    assert heard.failure_domains == {"fd-0": 90.0}
    assert heard.regions == {"region-9": 90.0}
