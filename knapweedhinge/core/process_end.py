"""End the process at once, or at a fixed time from now.

The interpreter's own end waits for tasks and threads and takes processor time, of which
a process that has little time left may get too little.
"""

import os
import threading
from typing import NoReturn

from loguru import logger

LOG_TIMEOUT_S = 0.05  # for the log line of a process that ends late


def end_process(status: int) -> NoReturn:
    """End the process without waiting for anything.

    What was written to sockets is still sent by the kernel.
    """
    os._exit(status)


def end_process_after(seconds: float, status: int) -> None:
    """End the process some seconds from now, also if the event loop hangs then."""
    timer = threading.Timer(max(0.0, seconds), _end_late, (status,))
    timer.daemon = True
    timer.start()


def _end_late(status: int) -> NoReturn:
    # The thread that hangs may hold the lock of the log.
    last = threading.Timer(LOG_TIMEOUT_S, os._exit, (status,))
    last.daemon = True
    last.start()
    logger.warning("process ended while it was still stopping")
    end_process(status)
