"""Membership: the records of all nodes and the deadlines of suspected ones.

Does no I/O: methods take received records and return the records to publish.

A suspect is declared dead only after it had ``suspicion_s`` seconds to refute the
suspicion. In another region it has ``stale_after_s`` seconds more, by which time a cut
between the regions shows in missing beacons. A member of a region without beacons is
not declared dead: each member of that region (there may be 136) would publish a
refutation once the regions are connected again. When a region is heard again, and after
a pause of this node, suspects get their whole time again, as refutations may still be
under way or wait unread in the socket buffers.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from knapweedhinge.conf.node import PeerSettings
from knapweedhinge.peers.members import MAX_REFUTATIONS, Member, MemberState
from knapweedhinge.peers.views import NEVER, Fleet, LastHeard, MembershipView

ENDED_RETENTION_S = 600.0  # for records of members that died or left


@dataclass(frozen=True)
class ApplyResult:
    """Whether a record changed anything, and the refutation to publish, if any."""

    changed: bool
    refutation: Member | None = None


@dataclass(frozen=True)
class TickResult:
    """The records of suspects declared dead, to be published, and the VMs dropped."""

    declared_dead: tuple[Member, ...]
    dropped: tuple[str, ...]


class Membership:
    """The records of the fleet as known to one node.

    ``superseded`` is True once a newer process of this node's VM has joined.
    """

    def __init__(self, me: Member, cfg: PeerSettings):
        self._cfg = cfg
        self.me = me
        self.superseded = False
        self._members = {me.vm: me}
        self._forgotten: dict[str, int] = {}  # VM to incarnation
        self._deadlines: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self._last_heard = LastHeard({}, {}, {})
        self._fleet: Fleet | None = None

    def apply(
        self, record: Member, now: float, published_at: float | None = None
    ) -> ApplyResult:
        """Merge a record; one that misstates this node's own state is refuted.

        ``published_at`` is the time of the record's publication, by default ``now``.
        """
        if record.vm == self.me.vm:
            return self._apply_own(record)
        held = self._members.get(record.vm)
        if held is not None and held.version >= record.version:
            return ApplyResult(False)
        self._store(record, now, published_at)
        return ApplyResult(True)

    def suspect(self, vm: str, now: float) -> Member | None:
        """Mark an alive member as suspect and return the record to publish."""
        held = self._members.get(vm)
        if vm == self.me.vm or held is None or held.state is not MemberState.ALIVE:
            return None
        record = replace(held, state=MemberState.SUSPECT)
        self._store(record, now)
        return record

    def set_own_record(self, me: Member) -> None:
        """Set this node's own record once its port and incarnation are known."""
        self._replace_own_record(me)

    def leave(self) -> Member:
        """Mark this node as leaving and return the record to publish."""
        self._replace_own_record(replace(self.me, state=MemberState.LEAVING))
        return self.me

    def tick(self, now: float) -> TickResult:
        """Declare overdue suspects dead and drop members that ended long ago."""
        due = [vm for vm, deadline in self._deadlines.items() if deadline <= now]
        declared_dead = [
            record for vm in due if (record := self._declare_dead(vm, now))
        ]
        dropped = [
            vm for vm, end in self._ended_at.items() if now - end > ENDED_RETENTION_S
        ]
        for vm in dropped:
            self._drop(vm)
        return TickResult(tuple(declared_dead), tuple(dropped))

    def restart_suspicion_timers(self, now: float) -> None:
        """Restart the deadline of every suspect after a pause of this node."""
        self._restart_timers(self._deadlines, now)

    def forget(self, vm: str, incarnation: int) -> bool:
        """Stop expecting a member that ended, since its roster row was deleted.

        Returns whether that changed anything.
        """
        held = self._members.get(vm)
        if vm == self.me.vm or held is None or held.incarnation != incarnation:
            return False
        if held.active or vm in self._forgotten:
            return False
        self._forgotten[vm] = incarnation
        self._fleet = None
        return True

    def member(self, vm: str) -> Member | None:
        """Return the record of a VM, or None."""
        return self._members.get(vm)

    def last_heard_at(self, vm: str) -> float:
        """Return the time of the last message sent by the member itself."""
        return self._last_heard.members.get(vm, NEVER)

    def record_contact(self, vm: str, sent_at: float) -> None:
        """Record that a member itself sent a message at ``sent_at``."""
        _record_latest(self._last_heard.members, vm, sent_at)

    def record_domain_beacon(self, domain: str, sent_at: float) -> None:
        """Record a beacon of a failure domain that was sent at ``sent_at``."""
        _record_latest(self._last_heard.failure_domains, domain, sent_at)

    def record_region_beacon(self, region: str, sent_at: float, now: float) -> None:
        """Record a beacon of a region that was sent at ``sent_at``.

        If the region was not heard before, its suspects get their whole time again:
        refutations published during the cut arrive only after the first beacon.
        """
        was_heard = self._is_region_heard(region, now)
        _record_latest(self._last_heard.regions, region, sent_at)
        if not was_heard and self._is_region_heard(region, now):
            self._restart_timers(
                (vm for vm in self._deadlines if self._members[vm].region == region),
                now,
            )

    def fleet(self) -> Fleet:
        """Return all records; a new copy is made only after a change."""
        if self._fleet is None:
            self._fleet = Fleet(dict(self._members), frozenset(self._forgotten))
        return self._fleet

    def view(self) -> MembershipView:
        """Return an immutable view of the records and of the last contacts."""
        last_heard = LastHeard(
            dict(self._last_heard.members),
            dict(self._last_heard.failure_domains),
            dict(self._last_heard.regions),
        )
        return MembershipView(
            self.me, self.fleet(), last_heard, self._cfg.stale_after_s
        )

    def ended(self, now: float, grace_s: float) -> tuple[Member, ...]:
        """Return the members that died or left at least ``grace_s`` seconds ago.

        Those whose roster row is already deleted are left out.
        """
        return tuple(
            self._members[vm]
            for vm, end in self._ended_at.items()
            if now - end >= grace_s and vm not in self._forgotten
        )

    def _apply_own(self, record: Member) -> ApplyResult:
        if record.incarnation > self.me.incarnation:
            changed, self.superseded = not self.superseded, True
            return ApplyResult(changed)
        if record.version <= self.me.version or record.state is self.me.state:
            return ApplyResult(False)
        refutations = min(record.refutations + 1, MAX_REFUTATIONS)
        self._replace_own_record(replace(self.me, refutations=refutations))
        return ApplyResult(True, self.me)

    def _replace_own_record(self, me: Member) -> None:
        self.me = me
        self._members[me.vm] = me
        self._fleet = None

    def _store(
        self, record: Member, now: float, published_at: float | None = None
    ) -> None:
        vm = record.vm
        self._members[vm] = record
        self._fleet = None
        self._deadlines.pop(vm, None)
        if record.state is MemberState.SUSPECT:
            self._deadlines[vm] = self._deadline(record, now)
        if record.active:
            self._ended_at.pop(vm, None)
            self._forgotten.pop(vm, None)
        else:
            self._ended_at[vm] = now if published_at is None else published_at

    def _restart_timers(self, vms: Iterable[str], now: float) -> None:
        for vm in tuple(vms):
            self._deadlines[vm] = self._deadline(self._members[vm], now)

    def _is_region_heard(self, region: str, now: float) -> bool:
        return self.view().is_region_heard(region, now)

    def _deadline(self, record: Member, now: float) -> float:
        if record.region == self.me.region:
            return now + self._cfg.suspicion_s
        return now + self._cfg.suspicion_s + self._cfg.stale_after_s

    def _declare_dead(self, vm: str, now: float) -> Member | None:
        held = self._members[vm]
        if not self._is_region_heard(held.region, now):
            self._deadlines[vm] = now + self._cfg.suspicion_s
            return None
        record = replace(held, state=MemberState.DEAD)
        self._store(record, now)
        return record

    def _drop(self, vm: str) -> None:
        self._members.pop(vm, None)
        self._forgotten.pop(vm, None)
        self._ended_at.pop(vm, None)
        self._last_heard.members.pop(vm, None)
        self._fleet = None


def _record_latest(times: dict[str, float], key: str, sent_at: float) -> None:
    times[key] = max(sent_at, times.get(key, sent_at))
