"""Counts of messages and bytes between nodes, split by cause.

The RPC library doesn't tell the size of its frames: a call counts as its payloads
both ways and a fixed overhead, the mean of frames relayed by a test, and the headers
of one packet each way.
"""

from dataclasses import dataclass
from enum import StrEnum

CALL_FRAMING_BYTES = 232
TCP_IP_HEADERS_BYTES = 2 * 52
CALL_OVERHEAD_BYTES = CALL_FRAMING_BYTES + TCP_IP_HEADERS_BYTES


class Cause(StrEnum):
    """Why a message was sent."""

    HANDSHAKE = "handshake"
    PROBE = "probe"
    INDIRECT_PROBE = "indirect-probe"
    PUSH = "push"
    REPAIR = "repair"
    CALL = "call"


class RefusalReason(StrEnum):
    """Why a connection or message was refused."""

    STRANGER = "stranger"
    MALFORMED = "malformed"
    VERSION = "version"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"


@dataclass(frozen=True)
class Count:
    """Calls and their bytes, requests with answers, framing included."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class Accounting:
    """Counters of one node."""

    def __init__(self):
        self._counts = {cause: [0, 0, 0, 0] for cause in Cause}
        self._refusals = dict.fromkeys(RefusalReason, 0)
        self._topic_bytes: dict[str, int] = {}

    def sent(self, cause: Cause, size_bytes: int) -> None:
        """Count a call made, its answer included."""
        count = self._counts[cause]
        count[0] += 1
        count[1] += size_bytes + CALL_OVERHEAD_BYTES

    def received(self, cause: Cause, size_bytes: int) -> None:
        """Count a call served, its answer included."""
        count = self._counts[cause]
        count[2] += 1
        count[3] += size_bytes + CALL_OVERHEAD_BYTES

    def pushed(self, topic: str, size_bytes: int) -> None:
        """Count the bytes of a pushed entry under its topic."""
        self._topic_bytes[topic] = self._topic_bytes.get(topic, 0) + size_bytes

    def refused(self, reason: RefusalReason) -> None:
        """Count a refused connection or message."""
        self._refusals[reason] += 1

    def counts(self) -> dict[str, Count]:
        """Return the calls of each cause."""
        return {cause.value: Count(*count) for cause, count in self._counts.items()}

    def faults(self) -> dict[str, int]:
        """Return the refusals of each kind."""
        return {reason.value: count for reason, count in self._refusals.items()}

    def topic_bytes(self) -> dict[str, int]:
        """Return the bytes of entries pushed, by topic."""
        return dict(self._topic_bytes)
