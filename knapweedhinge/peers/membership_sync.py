"""Synchronises the membership with the gossip entries that describe it.

Membership records, deleted roster rows and beacons travel as entries of their own
topics. This module converts between those entries and the local ``Membership``.
"""

from collections.abc import Callable

import msgspec

from knapweedhinge.peers.beacons import Beacon
from knapweedhinge.peers.dissemination import Dissemination
from knapweedhinge.peers.entries import Entry
from knapweedhinge.peers.members import Member, decode_member, encode_member
from knapweedhinge.peers.membership import ENDED_RETENTION_S, Membership
from knapweedhinge.peers.topics import (
    DOMAIN_BEACON,
    FORGOTTEN,
    MEMBER,
    REGION_BEACON,
)


class MembershipSync:
    """Publishes membership changes as entries and applies received entries.

    ``on_changed`` is called after each step that changed the membership.
    """

    def __init__(
        self,
        membership: Membership,
        dissemination: Dissemination,
        *,
        clock: Callable[[], float],
        on_changed: Callable[[], None],
    ):
        self._membership = membership
        self._dissemination = dissemination
        self._clock = clock
        self._on_changed = on_changed
        self._appliers = {
            MEMBER: self._apply_member,
            FORGOTTEN: self._apply_forgotten,
            DOMAIN_BEACON: self._apply_domain_beacon,
            REGION_BEACON: self._apply_region_beacon,
        }
        dissemination.set_validator(MEMBER, self._is_valid_member)

    def apply_entries(self, entries: tuple[Entry, ...], now: float) -> None:
        """Apply newly accepted entries; those of unrelated topics are ignored."""
        changed = False
        for entry in entries:
            applier = self._appliers.get(entry.topic)
            if applier is not None:
                changed |= applier(entry, now)
        if changed:
            self._on_changed()

    def publish_own_record(self, now: float) -> None:
        """Publish this node's own membership record."""
        self._publish(self._membership.me, now)
        self._on_changed()

    def apply_roster_records(self, records: tuple[Member, ...], now: float) -> None:
        """Apply records read from the roster and publish those that were new."""
        applied = [self._membership.apply(record, now) for record in records]
        for record, outcome in zip(records, applied, strict=True):
            if outcome.changed and record.vm != self._membership.me.vm:
                self._publish(record, now)
        if any(outcome.changed for outcome in applied):
            self._on_changed()

    def suspect(self, vm: str, now: float) -> None:
        """Mark a member that failed its probes as suspect and publish that."""
        record = self._membership.suspect(vm, now)
        if record is not None:
            self._publish(record, now)
            self._on_changed()

    def leave(self, now: float) -> None:
        """Mark this node as leaving and publish that."""
        self._publish(self._membership.leave(), now)
        self._on_changed()

    def forget(self, member: Member, now: float) -> None:
        """Stop expecting a member whose roster row was deleted, and publish that."""
        if self._membership.forget(member.vm, member.incarnation):
            self._on_changed()
        self._dissemination.publish(FORGOTTEN, member.vm, member.incarnation, b"", now)

    def publish_beacon(self, beacon: Beacon, version: int, now: float) -> None:
        """Publish a beacon on behalf of its failure domain or region."""
        me = self._membership.me.vm
        payload = beacon.place.encode()
        self._dissemination.publish(beacon.topic, me, version, payload, now)

    def tick(self, now: float) -> None:
        """Declare overdue suspects dead and drop members that ended long ago."""
        expired = self._membership.tick(now)
        for record in expired.declared_dead:
            self._publish(record, now)
        for vm in expired.dropped:
            self._dissemination.store.remove(MEMBER, vm)
        if expired.declared_dead or expired.dropped:
            self._on_changed()

    def _publish(self, record: Member, now: float) -> None:
        payload = encode_member(record)
        self._dissemination.publish(MEMBER, record.vm, record.version, payload, now)

    def _apply_member(self, entry: Entry, now: float) -> bool:
        record = decode_member(entry.payload)
        applied = self._membership.apply(record, now, entry.published_at)
        if applied.refutation is not None:
            self._publish(applied.refutation, now)
        if not record.active:
            self._reapply_forgotten(record)
        return applied.changed

    def _reapply_forgotten(self, record: Member) -> None:
        """Forget a member if the entry about its deleted row came before its record."""
        held = self._dissemination.store.get(FORGOTTEN, record.vm)
        if held is not None:
            self._membership.forget(record.vm, held.version)

    def _apply_forgotten(self, entry: Entry, now: float) -> bool:
        return self._membership.forget(entry.key, entry.version)

    def _apply_domain_beacon(self, entry: Entry, now: float) -> bool:
        place = entry.payload.decode(errors="replace")
        self._membership.record_domain_beacon(place, entry.published_at)
        return False

    def _apply_region_beacon(self, entry: Entry, now: float) -> bool:
        place = entry.payload.decode(errors="replace")
        self._membership.record_region_beacon(place, entry.published_at, now)
        return False

    def _is_valid_member(self, entry: Entry) -> bool:
        try:
            record = decode_member(entry.payload)
        except msgspec.MsgspecError:
            return False
        if record.vm != entry.key or record.version != entry.version:
            return False
        return record.active or self._clock() - entry.published_at <= ENDED_RETENTION_S
