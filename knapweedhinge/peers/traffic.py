"""Counters of the calls and bytes exchanged with other nodes, and of refusals.

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
    """The purpose of a call, used as the label of its counters.

    ``PUSH`` and ``REPAIR`` are gossip messages: new entries, and the steps of an
    anti-entropy repair. ``CALL`` is a call of a registered method.
    """

    HANDSHAKE = "handshake"
    PROBE = "probe"
    INDIRECT_PROBE = "indirect-probe"
    PUSH = "push"
    REPAIR = "repair"
    CALL = "call"


class RefusalReason(StrEnum):
    """Why a connection or message was refused, used as a counter label.

    ``STRANGER`` is a peer that failed to authenticate, ``VERSION`` one without a common
    protocol version. ``TIMEOUT`` is a handshake that took too long; ``OVERLOADED``
    means that too many connections were in their handshake, ``EXCESS`` that one held or
    sent too much, or a call found no room. ``MALFORMED`` counts
    invalid messages, and connections that ended before they were authenticated.
    """

    STRANGER = "stranger"
    MALFORMED = "malformed"
    VERSION = "version"
    TIMEOUT = "timeout"
    OVERLOADED = "overloaded"
    EXCESS = "excess"


@dataclass(frozen=True)
class TrafficCount:
    """The calls of one cause and their bytes, each way.

    The bytes of a call include its request, its response and the fixed overhead.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class TrafficCounters:
    """Traffic and refusal counters of one node since it started."""

    def __init__(self):
        self._counts = {cause: [0, 0, 0, 0] for cause in Cause}
        self._refusals = dict.fromkeys(RefusalReason, 0)
        self._topic_bytes: dict[str, int] = {}

    def count_sent(self, cause: Cause, size_bytes: int) -> None:
        """Count an outgoing call.

        ``size_bytes`` is the payload of the request and the response together.
        """
        count = self._counts[cause]
        count[0] += 1
        count[1] += size_bytes + CALL_OVERHEAD_BYTES

    def count_received(self, cause: Cause, size_bytes: int) -> None:
        """Count an incoming call.

        ``size_bytes`` is the payload of the request and the response together.
        """
        count = self._counts[cause]
        count[2] += 1
        count[3] += size_bytes + CALL_OVERHEAD_BYTES

    def count_pushed(self, topic: str, size_bytes: int) -> None:
        """Add the size of a pushed entry to the total of its topic."""
        self._topic_bytes[topic] = self._topic_bytes.get(topic, 0) + size_bytes

    def count_refused(self, reason: RefusalReason) -> None:
        """Count a refused connection or message."""
        self._refusals[reason] += 1

    def counts(self) -> dict[str, TrafficCount]:
        """Return the counted calls and bytes by the value of their ``Cause``."""
        return {
            cause.value: TrafficCount(*count) for cause, count in self._counts.items()
        }

    def refusals(self) -> dict[str, int]:
        """Return the number of refusals by the value of their ``RefusalReason``."""
        return {reason.value: count for reason, count in self._refusals.items()}

    def topic_bytes(self) -> dict[str, int]:
        """Return the bytes of all entries pushed, by topic."""
        return dict(self._topic_bytes)
