"""Bound the memory of answers that a node reads whole before it passes them on."""

# Bytes of each answer that don't count, so that common answers are read even while
# large ones use up the limit.
UNCOUNTED_BYTES = 64 * 1024


class AnswerMemory:
    """Count the bytes of the large answers that are being read on this node."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._held = 0

    def grow(self, size: int, more: int) -> bool:
        """Count ``more`` bytes of an answer that has ``size``; False over the limit.

        Nothing is counted in that case.
        """
        added = _counted(size + more) - _counted(size)
        if self._held + added > self._max_bytes:
            return False
        self._held += added
        return True

    def release(self, size: int) -> None:
        """Stop counting an answer of ``size`` bytes."""
        self._held -= _counted(size)


def _counted(size: int) -> int:
    return max(0, size - UNCOUNTED_BYTES)
