"""Logging as JSON lines, limited in rate and never blocking the process."""

import os
import sys
import time
import traceback
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from knapweedhinge.conf import LogSettings

# Rate limit for lines logged by the same statement: lines a second, and the burst. A
# node at full load finishes a few hundred calls a second; beyond that, single lines
# tell nothing that the metrics don't.
LINES_PER_S = 200.0
BURST_LINES = 400.0
# Bytes buffered while the reader of the pipe is slow; further lines are dropped.
MAX_PENDING_BYTES = 256 * 1024
MAX_FRAMES = 4  # innermost frames of an exception's traceback in its log line


class LineRateLimit:
    """Limit the rate of log lines of each kind with a token bucket.

    Lines logged by the same statement are of one kind. ``per_s`` is the sustained rate
    in lines a second, ``burst`` the most lines at once.
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._per_s = per_s
        self._burst = burst
        # By kind: tokens left, time of the last update in seconds, lines dropped since
        # the last one logged.
        self._buckets: dict[str, list[float]] = {}

    def admit(self, kind: str, now: float) -> int | None:
        """Return how many lines of this kind were dropped since the last one logged.

        Return None if this line must be dropped too. ``now`` is in seconds.
        """
        bucket = self._buckets.setdefault(kind, [self._burst, now, 0])
        tokens = min(self._burst, bucket[0] + (now - bucket[1]) * self._per_s)
        bucket[1] = now
        if tokens < 1.0:
            bucket[0] = tokens
            bucket[2] += 1
            return None
        bucket[0] = tokens - 1.0
        dropped, bucket[2] = int(bucket[2]), 0
        return dropped


class NonBlockingWriter:
    """Write lines to a non-blocking descriptor, with a bounded buffer.

    Lines that don't fit into the buffer are dropped and counted in ``dropped``.
    """

    def __init__(self, descriptor: int, write: Callable[[int, bytes], int] = os.write):
        self._descriptor = descriptor
        self._write = write
        self._pending = b""
        self.dropped = 0

    def put(self, line: bytes) -> None:
        """Queue a line and write as much as the descriptor takes now."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self._pending += line
        try:
            while self._pending:
                written = self._write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe; there is nowhere left to report it.
            self.dropped += 1
            self._pending = b""


def record_line(record: Any, **fields: Any) -> bytes:
    """Return a log record as one line of JSON; ``fields`` are added to it."""
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
        **fields,
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
        frames = traceback.extract_tb(record["exception"].traceback)[-MAX_FRAMES:]
        line["frames"] = [
            f"{frame.name} {frame.filename}:{frame.lineno}" for frame in frames
        ]
    return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _write_to_stderr(message) -> None:
    sys.stderr.write(record_line(message.record).decode())


def configure_stderr(cfg: LogSettings, **fields: str) -> None:
    """Log to standard error at the configured level; add ``fields`` to each line."""
    logger.remove()
    logger.add(_write_to_stderr, level=cfg.level, format="{message}")
    logger.configure(extra=fields)


def configure_stdout(cfg: LogSettings, **fields: str) -> None:
    """Log to standard output, limited in rate and without blocking.

    Each line has ``fields``, and the field ``dropped`` if lines of the same statement
    were dropped before it.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    limit, writer = LineRateLimit(), NonBlockingWriter(descriptor)

    def write(message) -> None:
        record = message.record
        kind = f"{record['name']}:{record['line']}"
        dropped = limit.admit(kind, time.monotonic())
        if dropped is not None:
            extra = {"dropped": dropped} if dropped else {}
            writer.put(record_line(record, **extra))

    logger.remove()
    logger.add(write, level=cfg.level, format="{message}")
    logger.configure(extra=fields)
