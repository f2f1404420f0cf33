"""Counters of the messages and bytes exchanged with other nodes, by cause.

The RPC library doesn't report the size of its frames. A call is therefore counted as
its request and response payloads plus a fixed overhead: the mean framing of a call
and the TCP/IP headers of one packet each way.
"""

from dataclasses import dataclass
from enum import StrEnum

CALL_FRAMING_BYTES = 232  # mean RPC framing of a request and its response
TCP_IP_HEADERS_BYTES = 2 * 52  # one packet each way
CALL_OVERHEAD_BYTES = CALL_FRAMING_BYTES + TCP_IP_HEADERS_BYTES


class Cause(StrEnum):
    """The purpose of a message, used as the label of its counters."""

    HANDSHAKE = "handshake"
    PROBE = "probe"
    INDIRECT_PROBE = "indirect-probe"
    PUSH = "push"
    REPAIR = "repair"
    CALL = "call"


class RefusalReason(StrEnum):
    """Why a connection or message was refused, used as a counter label.

    ``STRANGER`` is a peer that failed to authenticate; ``OVERLOADED`` means that too
    many connections were waiting to authenticate.
    """

    STRANGER = "stranger"
    MALFORMED = "malformed"
    VERSION = "version"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"


@dataclass(frozen=True)
class Count:
    """Calls and their bytes; request, response and framing are all included."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class Accounting:
    """Traffic and refusal counters of one node since it started."""

    def __init__(self):
        self._counts = {cause: [0, 0, 0, 0] for cause in Cause}
        self._refusals = dict.fromkeys(RefusalReason, 0)
        self._topic_bytes: dict[str, int] = {}

    def sent(self, cause: Cause, size_bytes: int) -> None:
        """Count an outgoing call.

        ``size_bytes`` is the payload of the request and the response together.
        """
        count = self._counts[cause]
        count[0] += 1
        count[1] += size_bytes + CALL_OVERHEAD_BYTES

    def received(self, cause: Cause, size_bytes: int) -> None:
        """Count an incoming call.

        ``size_bytes`` is the payload of the request and the response together.
        """
        count = self._counts[cause]
        count[2] += 1
        count[3] += size_bytes + CALL_OVERHEAD_BYTES

    def pushed(self, topic: str, size_bytes: int) -> None:
        """Add the size of a pushed entry to the total of its topic."""
        self._topic_bytes[topic] = self._topic_bytes.get(topic, 0) + size_bytes

    def refused(self, reason: RefusalReason) -> None:
        """Count a refused connection or message."""
        self._refusals[reason] += 1

    def counts(self) -> dict[str, Count]:
        """Return the counted calls and bytes by the value of their ``Cause``."""
        return {cause.value: Count(*count) for cause, count in self._counts.items()}

    def faults(self) -> dict[str, int]:
        """Return the number of refusals by the value of their ``RefusalReason``."""
        return {reason.value: count for reason, count in self._refusals.items()}

    def topic_bytes(self) -> dict[str, int]:
        """Return the bytes of all entries pushed, by topic."""
        return dict(self._topic_bytes)
