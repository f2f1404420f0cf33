"""Limits on the traffic of a version under roll-out, without a shared counter.

Three rules apply together:

* Sessions: a session is in the share if its hash is below the share. All nodes agree on
  this, and a session stays in the share as the share grows.
* Requests: each node gives the new version at most the voted share of the requests it
  receives itself, so the share holds over all nodes as well.
* Unrated answers: the voted number of unrated answers is divided into evidence slots,
  one for each answer and each owned by one node. New sessions may use half of a node's
  slots. The other half is reserved for later requests of sessions on the version, which
  may not be moved.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from knapweedhinge.conf.cooperative import ClassOfWork, RollOut
from knapweedhinge.routing.evidence import unit_hash
from knapweedhinge.routing.ratings import PendingRatings

# Wait after gaining a slot, until its former owner has given it up.
SLOT_GAIN_DELAY_S = 10.0
NEW_SESSION_SLOT_SHARE = 0.5  # share of a node's slots that new sessions may use


def exposed_share(roll_out: RollOut, work_class: ClassOfWork) -> float:
    """Return the share of the class's sessions exposed to the new version, 0 to 1."""
    return min(roll_out.exposure, work_class.max_exposure)


def in_share(roll_out_id: str, unit: str, share: float) -> bool:
    """Return whether a session, or a request without one, is in the exposed share.

    The other rules must allow it as well. ``unit`` is the session id, or the request id
    where there is no session.
    """
    return unit_hash("exposure", roll_out_id, unit) < share


def slot_owners(
    roll_out_id: str, members: Iterable[str], slots: int
) -> tuple[str, ...]:
    """Return the owner of each evidence slot.

    The members take the slots in turn, in the order of a hash that depends on the
    roll-out, so all nodes with the same members agree.
    """
    ranked = sorted(
        members,
        key=lambda member: unit_hash("slots", roll_out_id, member),
        reverse=True,
    )
    if not ranked:
        return ()
    return tuple(ranked[slot % len(ranked)] for slot in range(slots))


@dataclass(frozen=True)
class OwnedSlots:
    """Evidence slots of one roll-out that a node owns.

    A slot gained by a membership change may be used only after ``SLOT_GAIN_DELAY_S``; a
    lost slot is given up immediately. ``gained`` pairs each slot with the time in
    seconds when it was gained.
    """

    gained: tuple[tuple[int, float], ...] = ()

    def refresh(self, own: str, owners: tuple[str, ...], now: float) -> "OwnedSlots":
        """Return the slots of node ``own`` after a membership change.

        ``owners`` names the owner of each slot, as returned by ``slot_owners``.
        """
        gained_at = dict(self.gained)
        own_slots = [slot for slot, owner in enumerate(owners) if owner == own]
        return OwnedSlots(tuple((slot, gained_at.get(slot, now)) for slot in own_slots))

    def usable(self, now: float) -> int:
        """Return the number of slots that may be used at ``now``."""
        return sum(now - since >= SLOT_GAIN_DELAY_S for _, since in self.gained)


@dataclass(frozen=True)
class Allowance:
    """What the next request may take part in: roll-outs and exploration.

    Exploration sends a request to a plan that is not proven yet, to gain evidence.
    """

    open_roll_outs: frozenset[str] = frozenset()
    may_explore: bool = False


@dataclass
class _ClassCount:
    seen: int = 0
    exposed: int = 0
    explored: int = 0


@dataclass
class ExposureLedger:
    """Request counts of one node incarnation that enforce the voted shares.

    No node exposes more than the voted share of the requests that it has seen, so the
    share holds over any set of nodes as well.
    """

    classes: dict[str, _ClassCount] = field(default_factory=dict)
    ratings: PendingRatings = field(default_factory=PendingRatings)

    def allowance(
        self,
        work_class: ClassOfWork,
        roll_outs: Iterable[RollOut],
        slots: dict[str, int],
        exploration_share: float,
    ) -> Allowance:
        """Return the roll-outs and the exploration allowed for the next request.

        ``slots`` holds the number of this node's usable evidence slots by roll-out id.
        """
        count = self.classes.get(work_class.id, _ClassCount())
        remaining = (
            math.floor(work_class.max_exposure * (count.seen + 1)) - count.exposed
        )
        open_ids = frozenset(
            roll_out.id
            for roll_out in roll_outs
            if remaining >= 1 and self._has_slot(roll_out.id, slots.get(roll_out.id, 0))
        )
        may_explore = count.explored + 1 <= exploration_share * (count.seen + 1)
        return Allowance(open_ids, may_explore)

    def record_request(self, class_id: str) -> None:
        """Count a received request of the class."""
        self.classes.setdefault(class_id, _ClassCount()).seen += 1

    def record_exposed(
        self, class_id: str, roll_out_id: str, request_id: str, now: float
    ) -> None:
        """Count a request given to a version under roll-out and expect its rating."""
        self.classes.setdefault(class_id, _ClassCount()).exposed += 1
        self.ratings.expect(request_id, roll_out_id, now)

    def record_explored(self, class_id: str) -> None:
        """Count a request that was used for exploration."""
        self.classes.setdefault(class_id, _ClassCount()).explored += 1

    def _has_slot(self, roll_out_id: str, slots: int) -> bool:
        unrated = self.ratings.unrated(roll_out_id)
        return unrated < math.ceil(slots * NEW_SESSION_SLOT_SHARE)
