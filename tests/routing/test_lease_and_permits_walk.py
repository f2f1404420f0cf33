"""Random histories: leases and permits together limit requests to a cold endpoint.

Two nodes with different views compete for the lease and grant permits. The platform
fails or loses answers, owners and holders pause, and permit messages are lost, repeated
and reordered. At first the endpoint gets requests without a permit from nodes that
still take it to be warm, and it may restart.
"""

from dataclasses import dataclass, field, replace
from random import Random

import pytest

from knapweedhinge.conf import LeaseSettings, PermitSettings, VotedLimits
from knapweedhinge.controllers.leases import Lease, LeaseRow, LeaseStep
from knapweedhinge.controllers.permits import OwnedPermits
from knapweedhinge.endpoints.types import EndpointStatus
from knapweedhinge.routing.load import LoadReport
from knapweedhinge.routing.permits import HeldPermit, PermitGrant, PermitRequest

LEASES = LeaseSettings(term_s=4, margin_s=0)
PERMITS = PermitSettings(start_s=3, run_s=50, news_s=4, margin_s=0)
LIMITS = VotedLimits(cold_concurrency=2)
STEPS = 1_500
WALKS = 100


@dataclass
class Node:
    lease: Lease
    owned: OwnedPermits = field(default_factory=lambda: OwnedPermits(PERMITS))
    paused_until: int = 0
    disconnected_until: int = 0


class History:
    """Nodes, lease row, endpoint and messages, changed by random steps.

    ``worst`` is the greatest number of running requests when a permitted one started.
    """

    def __init__(self, seed, lease=Lease, permits=OwnedPermits):
        self.rng = Random(seed)
        self.now = 0
        self.row = LeaseRow()
        self.delayed_writes = []
        self.nodes = [Node(lease("permits", vm, vm), permits(PERMITS)) for vm in "ab"]
        self.incarnation = 0
        self.running = set()
        self.messages = []
        self.held = {}
        self.starts = 0
        self.worst = 0
        self.warm_until = PERMITS.news_s

    def run(self):
        steps = (
            *(self.tick, self.pause, self.rare_fault),
            *(self.keep_lease, self.read_endpoint) * 4,
            *(self.ask_permit, self.end_request) * 2,
            *(self.deliver, self.start_request) * 6,
        )
        for _ in range(STEPS):
            self.rng.choice(steps)()
        return self

    def tick(self):
        self.now += 1

    def pause(self):
        """Pause a node, or disconnect it from the platform."""
        node = self.rng.choice(self.nodes)
        until = self.now + self.rng.randrange(8)
        if self.rng.random() < 0.5:
            node.paused_until = until
        else:
            node.disconnected_until = until

    def rare_fault(self):
        """Restart the endpoint, or apply a delayed write to the lease row."""
        if self.rng.random() < 0.1:
            self.incarnation += 1
            self.running.clear()
        if self.delayed_writes:
            self.store(self.delayed_writes.pop())

    def awake_node(self):
        nodes = [node for node in self.nodes if node.paused_until <= self.now]
        return self.rng.choice(nodes) if nodes else None

    def store(self, new):
        applied = new.version == self.row.version + 1
        if applied:
            self.row = new
        return applied

    def keep_lease(self):
        node = self.awake_node()
        if node is None or node.disconnected_until > self.now:
            return
        wanted = self.rng.random() < 0.98
        step = node.lease.next_step(wanted, self.now, LEASES)
        if step is LeaseStep.READ:
            node.lease = node.lease.seen(self.row, self.now)
        elif step is not LeaseStep.NOTHING:
            self.write(node, step)

    def write(self, node, step):
        new = node.lease.row_after(step)
        if step is LeaseStep.RELEASE:
            node.lease = node.lease.given_up()
        draw = self.rng.random()
        if draw < 0.2:
            node.lease = node.lease.unsettled()
            if draw < 0.1:
                self.delayed_writes.append(new)
        elif self.store(new):
            node.lease = node.lease.written(new, self.now, self.now, LEASES)
            if draw < 0.3:
                node.lease = replace(node.lease, row=None)
        else:
            node.lease = node.lease.seen(self.row, self.now)

    def read_endpoint(self):
        node = self.awake_node()
        if node is None or not node.lease.is_held(self.now):
            return
        report = LoadReport(running=len(self.running), reported_at=self.now)
        name = str(self.incarnation)
        status = EndpointStatus("e", name, frozenset(), True, report)
        node.owned.observed(status, node.lease, LIMITS, self.now)

    def ask_permit(self):
        req = PermitRequest(f"r{len(self.held)}", "e", str(self.incarnation))
        self.held[req.id] = HeldPermit(req, self.now)
        self.messages.append((req, self.rng.choice(self.nodes)))

    def deliver(self):
        if not self.messages:
            return
        message = self.rng.choice(self.messages)
        if self.rng.random() < 0.8:
            self.messages.remove(message)
        payload, node = message
        if isinstance(payload, PermitGrant):
            held = self.held[payload.request_id]
            self.held[payload.request_id] = held.granted(payload)
        elif node.paused_until > self.now:
            return
        elif isinstance(payload, PermitRequest):
            answer = node.owned.answer(payload, node.lease, self.now)
            if isinstance(answer, PermitGrant):
                self.messages.append((answer, None))
        else:
            node.owned.released(payload, LIMITS)

    def start_request(self):
        if self.now < self.warm_until and len(self.running) < 6:
            self.running.add(f"warm{self.rng.random()}")
        for id, held in self.held.items():
            if held.usable(held.request.incarnation, self.now, PERMITS):
                self.held[id] = held.used()
                self.running.add(id)
                self.starts += 1
                self.worst = max(self.worst, len(self.running))
                return

    def end_request(self):
        if not self.running:
            return
        id = self.rng.choice(sorted(self.running))
        self.running.remove(id)
        if id in self.held and self.rng.random() < 0.8:
            release = self.held[id].closed().release(ok=True)
            self.messages += [(release, node) for node in self.nodes]


def walks(**classes):
    return [History(seed, **classes).run() for seed in range(WALKS)]


def test_leases_and_permits_bound_the_requests_of_the_endpoint():
    histories = walks()
    assert max(history.worst for history in histories) == LIMITS.cold_concurrency
    assert sum(history.starts for history in histories) > WALKS


class NeverExpiringLease(Lease):
    """Faulty lease that is still held after its term."""

    def holds(self, fencing, now, stop_s=0.0):
        return fencing != 0 and fencing == self.fencing


class UnsettledPermits(OwnedPermits):
    """Faulty owner that doesn't wait for requests that others may still send."""

    def _begin(self, endpoint_id, lease, limits, now):
        super()._begin(endpoint_id, lease, limits, now)
        owner = self._owners.get(endpoint_id)
        if owner is not None:
            self._owners[endpoint_id] = replace(owner, settled_at=0)


@pytest.mark.parametrize(
    "classes", [{"lease": NeverExpiringLease}, {"permits": UnsettledPermits}]
)
def test_walks_detect_faulty_rules(classes):
    worst = max(history.worst for history in walks(**classes))
    assert worst > LIMITS.cold_concurrency
