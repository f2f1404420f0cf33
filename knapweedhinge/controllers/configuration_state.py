"""Compute one node's view of the configuration from a stream of events.

``fold`` is pure and raises nothing for a known event, so that it can be the accumulator
of ``reactivex.operators.scan``. Times are seconds of the node's own monotonic clock.
"""

from dataclasses import dataclass, replace
from functools import singledispatch

from knapweedhinge.conf import Configuration
from knapweedhinge.controllers.configuration_apply import ChangeUnknownError, apply
from knapweedhinge.controllers.configuration_records import Revision

MIN_PAUSE_S = 1.0  # a longer gap between two ticks counts as a pause of the process


@dataclass(frozen=True)
class RevisionReceived:
    """An accepted revision came from the platform or a peer."""

    revision: Revision


@dataclass(frozen=True)
class DocumentReceived:
    """A whole accepted configuration came from the platform or a peer."""

    configuration: Configuration


@dataclass(frozen=True)
class RevisionConfirmed:
    """Confirmation that ``revision`` was the newest one at the time ``as_of``.

    After a read by this node, ``as_of`` is the moment before the read was sent. For a
    confirmation relayed by a peer it is the moment before the exchange began, less the
    age that the peer states.
    """

    revision: int
    as_of: float


@dataclass(frozen=True)
class Ticked:
    """The node's timer ran; a gap between ticks reveals a pause of the process."""

    now: float


Event = RevisionReceived | DocumentReceived | RevisionConfirmed | Ticked


@dataclass(frozen=True)
class ConfigurationState:
    """The configuration in force on this node and when it was last confirmed.

    ``as_of`` is the latest time at which the configuration was known to be the newest.
    ``newest_known`` is the greatest revision number known, even if this node lacks that
    revision. ``ticked_at`` is the last timer tick and ``resumed_at`` the end of the
    last pause of the process.
    """

    configuration: Configuration | None = None
    as_of: float = float("-inf")
    newest_known: int = 0
    ticked_at: float = float("-inf")
    resumed_at: float = float("-inf")

    @property
    def revision(self) -> int:
        """Return the number of the revision in force, or 0 for none."""
        return self.configuration.revision if self.configuration else 0

    @property
    def behind(self) -> bool:
        """Return whether a newer revision exists that this node lacks."""
        return self.newest_known > self.revision


@singledispatch
def fold(event: Event, state: ConfigurationState) -> ConfigurationState:
    """Return the state after the event."""
    raise TypeError(f"unsupported event type {type(event).__name__}")


def accumulate(state: ConfigurationState, event: Event) -> ConfigurationState:
    """Return the state after the event, with the argument order of ``scan``."""
    return fold(event, state)


@fold.register
def _(event: RevisionReceived, state: ConfigurationState) -> ConfigurationState:
    """Apply the next revision; after a gap only note that a newer one exists."""
    number = event.revision.number
    state = _with_newest_known(state, number)
    if number != state.revision + 1:
        return state
    base = state.configuration or Configuration((), (), (), ())
    try:
        result = apply(event.revision.change, base)
    except ChangeUnknownError:
        return state
    return replace(state, configuration=replace(result, revision=number))


@fold.register
def _(event: DocumentReceived, state: ConfigurationState) -> ConfigurationState:
    state = _with_newest_known(state, event.configuration.revision)
    if event.configuration.revision <= state.revision:
        return state
    return replace(state, configuration=event.configuration)


@fold.register
def _(event: RevisionConfirmed, state: ConfigurationState) -> ConfigurationState:
    """Confirm the configuration, unless the confirmed revision is missing here."""
    state = _with_newest_known(state, event.revision)
    if event.revision > state.revision:
        return state
    return replace(state, as_of=max(state.as_of, event.as_of))


@fold.register
def _(event: Ticked, state: ConfigurationState) -> ConfigurationState:
    paused = event.now - state.ticked_at > MIN_PAUSE_S
    resumed_at = event.now if paused else state.resumed_at
    return replace(state, ticked_at=event.now, resumed_at=resumed_at)


def _with_newest_known(state: ConfigurationState, revision: int) -> ConfigurationState:
    if revision <= state.newest_known:
        return state
    return replace(state, newest_known=revision)
