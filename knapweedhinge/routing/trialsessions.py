"""Decide which sessions take part in the trial of a release.

A session that ran on the old release a short time ago stays there, so that its caller
doesn't see answers of two releases in one conversation. The hash of a session alone
can't tell, and the call before may have been at any node, so one node decides for all.
It first collects the recently active sessions of every node. Only sessions that the
hash assigns to the trial are asked for, a few percent of all calls.

A small service has few sessions in its trial, too few to tell a slow release from a
good one in time. Some sessions beyond the share therefore join when the trial begins,
from the allowance that operators grant beyond the share.
"""

from collections.abc import Iterable

# Seconds after which the trial begins even if some nodes have not reported. They may be
# cut off; a few sessions moved by the trial do less harm than a roll-out that waits.
COLLECT_S = 1.5
# Sessions beyond the share, for each call of the allowance. A session has one or two
# calls, so most of the allowance is left for what follows the trial.
EARLY_SESSIONS_PER_CALL = 0.3
# Share of sessions that are asked for while early sessions join, in trial shares.
EARLY_SHARE_FACTOR = 3.0


def early_sessions(allowance: float) -> int:
    """Return how many sessions beyond the share join, from the operators' allowance."""
    return int(EARLY_SESSIONS_PER_CALL * allowance)


class TrialSessions:
    """The sessions of one trial, on the node that decides.

    Sessions are identified by their hash. ``most_early`` is the number of sessions
    beyond the share that may join. ``began_at`` and ``now`` are in seconds on the
    node's monotonic clock.
    """

    def __init__(self, began_at: float, most_early: int = 0):
        self._most_early = most_early
        self._early: list[int] = []
        self.began_at = began_at
        self._reported: set[str] = set()
        self._open = False
        self._on_old: set[int] = set()
        self._on_new: set[int] = set()

    @property
    def early_joined(self) -> tuple[int, ...] | None:
        """Return the sessions beyond the share that joined, None while more may."""
        full = len(self._early) >= self._most_early
        return tuple(self._early) if full else None

    def report(self, vm: str, on_old: Iterable[int], on_new: Iterable[int]) -> None:
        """Record the sessions that recently ran at a node, by release.

        The first release recorded for a session is kept.
        """
        self._reported.add(vm)
        self._on_new.update(set(on_new) - self._on_old)
        self._on_old.update(set(on_old) - self._on_new)

    def joins(
        self, session: int, members: Iterable[str], now: float, *, early: bool = False
    ) -> bool:
        """Return whether a session takes part; later calls return the same.

        ``members`` are the VMs of the active nodes. A session asked for before all of
        them have reported stays on the old release. ``early`` marks a session beyond
        the share.
        """
        if session in self._on_new:
            return True
        if session in self._on_old:
            return False
        self._open = (
            self._open
            or now - self.began_at >= COLLECT_S
            or self._reported.issuperset(members)
        )
        joined = self._open and not (early and len(self._early) >= self._most_early)
        if joined and early:
            self._early.append(session)
        (self._on_new if joined else self._on_old).add(session)
        return joined
