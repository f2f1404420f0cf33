"""Logs are limited in rate and never block the process."""

import os

import pytest

from knapweedhinge.core.logs import MAX_PENDING_BYTES, LineRateLimit, NonBlockingWriter


def test_lines_of_a_kind_are_limited_and_dropped_lines_are_counted():
    limit = LineRateLimit(per_s=10.0, burst=3.0)
    found = [limit.admit("a", 0.0) for _ in range(5)]
    assert found == [0, 0, 0, None, None]
    assert limit.admit("b", 0.0) == 0
    assert limit.admit("a", 0.1) == 2
    assert limit.admit("a", 0.11) is None


class Pipe:
    """Stand in for a descriptor that takes ``room`` bytes and then raises ``error``."""

    def __init__(self, room: int, error: type[OSError] = BlockingIOError):
        self.room = room
        self.error = error
        self.taken = b""

    def write(self, descriptor: int, data: bytes) -> int:
        if not self.room:
            raise self.error
        chunk = data[: self.room]
        self.room -= len(chunk)
        self.taken += chunk
        return len(chunk)


def test_lines_are_buffered_for_a_slow_reader_and_arrive_whole():
    pipe = Pipe(room=6)
    writer = NonBlockingWriter(1, pipe.write)
    writer.put(b"one\n")
    writer.put(b"two\n")
    assert pipe.taken == b"one\ntw"
    pipe.room = 100
    writer.put(b"three\n")
    assert pipe.taken == b"one\ntwo\nthree\n"
    assert writer.dropped == 0


def test_blocked_reader_costs_bounded_memory():
    writer = NonBlockingWriter(1, Pipe(room=0).write)
    line = b"x" * 1023 + b"\n"
    for _ in range(2 * MAX_PENDING_BYTES // len(line)):
        writer.put(line)
    assert writer.dropped >= MAX_PENDING_BYTES // len(line)


@pytest.mark.parametrize("error", [BrokenPipeError, OSError])
def test_closed_pipe_raises_nothing(error):
    writer = NonBlockingWriter(1, Pipe(room=0, error=error).write)
    writer.put(b"line\n")
    assert writer.dropped == 1


def test_full_real_pipe_does_not_block():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    writer = NonBlockingWriter(writing)
    for _ in range(1000):
        writer.put(b"y" * 1000)
    assert writer.dropped
    os.close(reading)
    os.close(writing)
