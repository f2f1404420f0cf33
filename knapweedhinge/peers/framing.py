"""Follow the messages in a stream of Cap'n Proto's RPC protocol, without their content.

A message on the wire is the number of its segments, less one, and their sizes in words,
as numbers of 4 bytes that are filled up to whole words, then the segments. The first
begins with a pointer to the message's structure, which begins with the message's kind.
"""

import struct
from collections.abc import Iterator

from knapweedhinge.peers.wire import WORD_BYTES

MAX_SEGMENTS = 512  # the RPC library refuses more
# The root pointer's offset to the structure, which writers leave 0, and the kind.
KIND = struct.Struct("<I4xH")
CALL, RETURN, FINISH, BOOTSTRAP = 2, 3, 4, 8  # kinds of messages


class MessageFollower:
    """Finds the messages of one direction.

    ``arrived`` counts the bytes of one that is not complete. ``is_valid`` becomes False
    with the first message that the library refuses, after which no more are found.
    """

    def __init__(self):
        self.arrived = 0
        self.is_valid = True
        self._head = bytearray()
        self._left = 0  # bytes of the message that are still to come after its head

    def feed(self, data: memoryview | bytes) -> Iterator[int]:
        """Take bytes and yield the kind of each message whose beginning is complete."""
        while data and self.is_valid:
            if self._left:
                taken = min(self._left, len(data))
                data = data[taken:]
                self._left -= taken
                self.arrived = self.arrived + taken if self._left else 0
                continue
            lacking = self._head_size() - len(self._head)
            self._head += data[:lacking]
            self.arrived += min(lacking, len(data))
            data = data[lacking:]
            if len(self._head) == self._head_size():
                yield self._end_head()

    def _head_size(self) -> int:
        """Return the size of the numbers and the start of the first segment."""
        if len(self._head) < 4:
            return 4
        count = int.from_bytes(self._head[:4], "little") + 1
        if count > MAX_SEGMENTS:
            self.is_valid = False
        sizes = 4 * (count + 1 + (count + 1) % 2)
        if not self.is_valid or len(self._head) < sizes:
            return sizes
        return sizes + min(KIND.size, self._body_size(count))

    def _body_size(self, count: int) -> int:
        sizes = struct.unpack_from(f"<{count}I", self._head, 4)
        return sum(sizes) * WORD_BYTES

    def _end_head(self) -> int:
        count = int.from_bytes(self._head[:4], "little") + 1
        body = self._body_size(count)
        start = min(KIND.size, body)
        kind = CALL  # of a message of another shape, which may be one
        if start == KIND.size:
            pointer, found = KIND.unpack_from(self._head, len(self._head) - start)
            kind = found if pointer == 0 else CALL
        self._left = body - start
        self._head.clear()
        if not self._left:
            self.arrived = 0
        return kind
