"""Keep this node's configuration current from the platform and from peers."""

from collections.abc import Callable

import reactivex as rx
from loguru import logger
from reactivex import operators as ops
from reactivex.subject import BehaviorSubject, Subject

from knapweedhinge.controllers.configuration import ConfigurationStore
from knapweedhinge.controllers.configuration_codec import (
    decode_revision,
    encode_revision,
)
from knapweedhinge.controllers.configuration_records import (
    Accepted,
    ChangeRequest,
    Revision,
)
from knapweedhinge.controllers.configuration_state import (
    ConfigurationState,
    DocumentReceived,
    Event,
    RevisionConfirmed,
    RevisionReceived,
    Ticked,
    accumulate,
)


class ConfigurationController:
    """Hold this node's configuration state and publish each new state.

    The state is computed from events: reads of the store, messages of peers, timer
    ticks. ``clock`` returns the node's monotonic clock and ``wall`` the wall clock,
    both in seconds.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ):
        self.store = store
        self._clock = clock
        self._wall = wall
        self._events: Subject = Subject()
        self._states = BehaviorSubject(ConfigurationState())
        accumulated = self._events.pipe(ops.scan(accumulate, ConfigurationState()))
        accumulated.subscribe(self._states)

    @property
    def state(self) -> ConfigurationState:
        """Return the current configuration state."""
        return self._states.value

    @property
    def states(self) -> rx.Observable:
        """Return an observable of states that starts with the current one."""
        return self._states

    def handle_event(self, event: Event) -> None:
        """Update the state with an event."""
        self._events.on_next(event)

    def now(self) -> float:
        """Return the node's monotonic time in seconds, as used in the state."""
        return self._clock()

    def tick(self) -> None:
        """Record that the process runs; a gap between ticks reveals a pause."""
        self.handle_event(Ticked(self._clock()))

    async def poll(self) -> None:
        """Read the newest configuration from the store and put it in force.

        The configuration then counts as confirmed at the moment before the read was
        sent. Raises PlatformError if the read fails.
        """
        asked_at = self._clock()
        configuration = await self.store.load()
        if configuration is None:
            logger.warning("the platform holds no configuration")
            return
        self.handle_event(DocumentReceived(configuration))
        self.handle_event(RevisionConfirmed(configuration.revision, asked_at))

    async def append(self, request: ChangeRequest, expected_revision: int) -> Accepted:
        """Append a change to the store and put it in force on this node at once.

        Raises the errors of ConfigurationStore.append.
        """
        accepted = await self.store.append(request, expected_revision, self._wall())
        self.handle_event(DocumentReceived(accepted.configuration))
        return accepted


def pack_revision(revision: Revision) -> dict:
    """Return a revision as JSON types, including its number."""
    return {"number": revision.number, **encode_revision(revision)}


def handle_packed_revisions(
    controller: ConfigurationController, packed: list[dict]
) -> None:
    """Handle revisions from a peer, in the form of ``pack_revision``, oldest first.

    Raises PlatformError, KeyError or TypeError if one of them is malformed.
    """
    for value in packed:
        revision = decode_revision(value["number"], value)
        controller.handle_event(RevisionReceived(revision))
