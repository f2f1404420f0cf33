"""Hold the state of this node and publish it as immutable snapshots."""

from dataclasses import replace

import reactivex as rx
from reactivex import operators as ops
from reactivex.subject import BehaviorSubject, Subject

from knapweedhinge.controllers import endpoints
from knapweedhinge.controllers.addresses import Address
from knapweedhinge.controllers.configuration_state import ConfigurationState
from knapweedhinge.controllers.snapshot import Phase, Snapshot
from knapweedhinge.peers import MembershipView


class NodeState:
    """Collect updates from the rest of the node into the current snapshot.

    All methods run on the event loop. An update replaces the snapshot and never changes
    it in place, so a request may keep the one that it started with. Events sent to
    ``endpoint_events`` update the table of endpoints.
    """

    def __init__(self):
        self.endpoint_events: Subject = Subject()
        self._snapshot = BehaviorSubject(Snapshot())
        table = self.endpoint_events.pipe(
            ops.scan(
                lambda table, event: endpoints.fold(event, table),
                endpoints.EndpointTable(),
            )
        )
        table.subscribe(lambda table: self._update(endpoints=table))

    @property
    def current(self) -> Snapshot:
        """Return the current snapshot."""
        return self._snapshot.value

    @property
    def snapshots(self) -> rx.Observable:
        """Return an observable of snapshots that starts with the current one."""
        return self._snapshot

    def set_phase(self, phase: Phase) -> None:
        """Set the phase of the node's life cycle."""
        self._update(phase=phase)

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Set the addresses of the nodes that clients may use."""
        self._update(addresses=addresses)

    def configure(self, configured: ConfigurationState) -> None:
        """Set the configuration in force, with the time of its last confirmation."""
        self._update(configured=configured)

    def set_membership(self, membership: MembershipView) -> None:
        """Set this node's view of the other member nodes."""
        self._update(membership=membership)

    def _update(self, **fields) -> None:
        self._snapshot.on_next(replace(self.current, **fields))
