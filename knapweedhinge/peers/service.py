"""Public interface of the peer layer: membership, gossip and RPC calls.

``Peers`` runs in the daemon's ordinary asyncio loop, beside aiohttp servers and
clients. Several nodes may run in one process::

    async def main():
        peers = Peers(cfg, tables)
        peers.handle("grant", grant)
        await peers.start()   # joins; retries until the roster row is stored
        ...                   # aiohttp, controllers
        await peers.leave()   # others send no new work; still serving
        ...                   # drain
        await peers.stop()

    asyncio.run(main())

``start`` attaches pycapnp to the running loop and ``stop`` detaches it again; the
daemon must call both from the same loop and needs no ``capnp.run``.
"""

import time
from collections.abc import Callable
from random import Random

from loguru import logger
from reactivex import Observable
from reactivex.subject import Subject

from knapweedhinge.conf.node import NodeSettings
from knapweedhinge.core.codes import RunState
from knapweedhinge.core.exceptions import PeerError
from knapweedhinge.peers.assignments import Assignments
from knapweedhinge.peers.engine import Engine
from knapweedhinge.peers.entries import Entry
from knapweedhinge.peers.limits import PeerLimits
from knapweedhinge.peers.members import Member
from knapweedhinge.peers.request_handlers import Handler
from knapweedhinge.peers.roster import RosterTable
from knapweedhinge.peers.state import PeersState, TopicState
from knapweedhinge.peers.views import MembershipView


class Peers:
    """Membership, gossip and calls of one node.

    ``clock`` is monotonic, ``wall`` is Unix time; both in seconds. ``capacity`` is what
    this machine can bear, 0 if unknown. ``on_closed`` gets the reason for each
    connection that was closed since it held too much for ``limits``.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        roster: RosterTable,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
        rng: Random | None = None,
        capacity: int = 0,
        limits: PeerLimits | None = None,
        on_closed: Callable[[str], None] = lambda reason: None,
    ):
        self._clock = clock
        self._subjects: dict[str, Subject] = {}
        self._changes: Subject = Subject()
        self._engine = Engine(
            cfg,
            roster,
            clock=clock,
            wall=wall,
            rng=rng or Random(),
            on_entry=lambda entry: _emit(self._subjects.get(entry.topic), entry),
            on_change=lambda view: _emit(self._changes, view),
            capacity=capacity,
            limits=limits,
            on_closed=on_closed,
        )

    async def start(self) -> None:
        """Listen, join the roster and start probing and gossip.

        Retries until the platform has stored the roster row; cancel it to give up.
        """
        await self._engine.start()

    async def leave(self) -> None:
        """Announce that this node leaves, and delete its roster row.

        The node continues to serve; others stop sending it new work.
        """
        await self._engine.leave()

    def table_returned(self) -> None:
        """Note that the roster's table came back from a copy that may lack rows."""
        self._engine.table_returned()

    async def stop(self) -> None:
        """Leave the fleet, if not done yet, then stop all tasks and close all links."""
        await self._engine.stop()

    @property
    def me(self) -> Member:
        """Return this node's own membership record."""
        return self._engine.membership.me

    @property
    def superseded(self) -> bool:
        """Return whether a newer process of this VM joined; this one must stop."""
        return self._engine.membership.superseded

    @property
    def membership(self) -> MembershipView:
        """Return the current view of the fleet."""
        return self._engine.membership.view()

    @property
    def assignments(self) -> Assignments:
        """Return the assignments of keys to the active members."""
        return self._engine.assignments

    @property
    def changes(self) -> Observable:
        """Return an observable that emits the view after each membership change."""
        return self._changes

    def publish(self, topic: str, key: str, version: int, payload: bytes) -> bool:
        """Publish an entry and return whether it was stored.

        It is not if the stored one is not older or if it exceeds the limits of its
        topic.
        """
        now = self._clock()
        entry = self._engine.dissemination.publish(topic, key, version, payload, now)
        if entry is None:
            return False
        if self._engine.running:
            self._engine.gossip.schedule_urgent_push()
        _emit(self._subjects.get(topic), entry)
        return True

    def next_version(self) -> int:
        """Return a version for topics keyed by VM whose entries replace each other.

        It is this process's incarnation plus its age in milliseconds, or one more than
        the last version. It is above the versions of earlier processes of the VM unless
        the VM's clock was set back.
        """
        return self._engine.next_version()

    def subscribe(self, topic: str) -> Observable:
        """Return an observable of a topic's entries, both published and received."""
        return self._subjects.setdefault(topic, Subject())

    def entries(self, topic: str) -> tuple[Entry, ...]:
        """Return the stored entries of a topic."""
        return self._engine.dissemination.store.entries(topic)

    def handle(self, method: str, handler: Handler) -> None:
        """Register the handler of a method.

        It is called with the caller's membership record and the payload.
        """
        self._engine.request_handlers.register(method, handler)

    async def call(
        self, vm: str, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of a member and return its answer.

        Raises PeerError on failure. Its run state is ``not-run`` only if the call
        certainly did not reach the handler. A call of this node itself runs the handler
        directly: without a timeout, and with the handler's own exceptions.
        """
        member = self._engine.membership.member(vm)
        if member is None:
            raise PeerError(f"unknown member {vm}", run_state=RunState.NOT_RUN)
        if vm == self.me.vm:
            return await self._engine.request_handlers.run(method, member, payload)
        deadline = self._clock() + timeout_s
        link = await self._engine.links.get_or_dial(member, timeout_s)
        left_s = max(0.0, deadline - self._clock())
        return await self._engine.client.call(link, method, payload, left_s)

    def state(self, now: float) -> PeersState:
        """Return the state of the peer layer for a dump."""
        view, store = self.membership, self._engine.dissemination.store
        pushed = self._engine.counters.topic_bytes()
        topics = {
            topic: TopicState(len(store.entries(topic)), pushed.get(topic, 0))
            for topic in store.topics()
        }
        return PeersState(
            me=view.me,
            superseded=self._engine.membership.superseded,
            members=tuple(sorted(view.members.values(), key=lambda m: m.vm)),
            forgotten=tuple(sorted(view.fleet.forgotten)),
            heard=view.heard_fraction(now),
            heard_by_region=view.heard_by_region(now),
            neighbours=tuple(member.vm for member in self._engine.neighbours.all),
            linked=tuple(sorted(link.member.vm for link in self._engine.links.all())),
            self_doubt=self._engine.detector.health.score,
            topics=topics,
            stored_bytes=store.size_bytes(),
            evicted=store.evicted,
            counts=self._engine.counters.counts(),
            faults=self._engine.counters.refusals(),
            roster_reads=self._engine.roster.reads,
            roster_writes=self._engine.roster.writes,
        )


def _emit(subject: Subject | None, value: object) -> None:
    if subject is None:
        return
    try:
        subject.on_next(value)
    except Exception:
        logger.exception("an observer of the peers failed")
