"""Remember which release of a service each recently active session ran on.

Only this node's sessions of the last few seconds are kept: callers expect answers of
one release within a conversation, and one that was idle for longer counts as a new
conversation.
"""

from collections import OrderedDict
from dataclasses import dataclass

MAX_SESSIONS = 10_000  # the session that was active least recently is dropped first


@dataclass(slots=True)
class SessionActivity:
    """The release that a session last ran on, and its running attempts.

    ``version`` is empty before the session's first attempt. ``last_active_at`` is in
    seconds on the node's monotonic clock.
    """

    version: str = ""
    running: int = 0
    last_active_at: float = 0.0


class SessionTracker:
    """Track the sessions of calls to each service.

    A session is active while an attempt runs and for ``idle_s`` seconds after that.
    Calls without a session are ignored.
    """

    def __init__(self, idle_s: float):
        self._idle_s = idle_s
        # Keys are service and session, the least recently active first.
        self._sessions: OrderedDict[tuple[str, str], SessionActivity] = OrderedDict()

    def arrived(self, service: str, session: str, version: str, now: float) -> None:
        """Record a call that will be sent to ``version``, "" if that is not decided."""
        if session:
            activity = self._touch(service, session, now)
            activity.version = version or activity.version

    def began(self, service: str, session: str, version: str, now: float) -> None:
        """Record an attempt that was started on a release."""
        if session:
            activity = self._touch(service, session, now)
            activity.version = version
            activity.running += 1

    def ended(self, service: str, session: str, now: float) -> None:
        """Record that an attempt has ended, whatever its outcome."""
        if session:
            activity = self._touch(service, session, now)
            activity.running = max(0, activity.running - 1)

    def version(self, service: str, session: str, now: float) -> str | None:
        """Return the release that an active session last ran on.

        It is "" if the session has not run yet, None if it isn't active here.
        """
        activity = self._sessions.get((service, session))
        if activity is None or not self._is_active(activity, now):
            return None
        return activity.version

    def active(self, service: str, now: float) -> list[tuple[str, str]]:
        """Return the active sessions of a service, each with its release."""
        self.expire(now)
        return [
            (session, activity.version)
            for (name, session), activity in self._sessions.items()
            if name == service and self._is_active(activity, now)
        ]

    def expire(self, now: float) -> None:
        """Drop sessions that aren't active any more."""
        while self._sessions:
            key, activity = next(iter(self._sessions.items()))
            if now - activity.last_active_at <= self._idle_s:
                return
            if activity.running:
                self._touch(*key, now)
            else:
                del self._sessions[key]

    def _is_active(self, activity: SessionActivity, now: float) -> bool:
        return activity.running > 0 or now - activity.last_active_at <= self._idle_s

    def _touch(self, service: str, session: str, now: float) -> SessionActivity:
        key = service, session
        activity = self._sessions.setdefault(key, SessionActivity())
        activity.last_active_at = now
        self._sessions.move_to_end(key)
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return activity
