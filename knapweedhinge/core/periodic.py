"""Background tasks that repeat until the process stops."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from loguru import logger

from knapweedhinge.core.exceptions import KnapweedhingeError

JITTER_FRACTION = 0.2  # each pause varies at random by up to this fraction


class PeriodicTasks:
    """Repeat coroutine functions, each with its own jittered pause between runs.

    An error doesn't end the repetition: it is logged with the function's name, a
    ``KnapweedhingeError`` at the debug level, any other exception as an error.
    ``on_wake`` gets by how many seconds each pause was longer than asked for. Its
    errors are logged, and end nothing either.
    """

    def __init__(self, rng: Random, on_wake: Callable[[float], None] | None = None):
        self._rng = rng
        self._on_wake = on_wake
        self._tasks: list[asyncio.Task] = []

    def start(self, work: Callable[[], Awaitable], interval_s: float) -> None:
        """Run ``work`` now and again after pauses of about ``interval_s`` seconds."""
        self._tasks.append(asyncio.create_task(self._repeat(work, interval_s)))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(self, work: Callable[[], Awaitable], interval_s: float) -> None:
        while True:
            try:
                await work()
            except KnapweedhingeError as exc:
                logger.bind(code=exc.code.number).debug(f"{work.__name__}: {exc}")
            except Exception as exc:
                logger.opt(exception=exc).error(f"{work.__name__} failed")
            pause_s = interval_s * self._rng.uniform(
                1 - JITTER_FRACTION, 1 + JITTER_FRACTION
            )
            due = asyncio.get_running_loop().time() + pause_s
            await asyncio.sleep(pause_s)
            self._report_wake(asyncio.get_running_loop().time() - due)

    def _report_wake(self, late_s: float) -> None:
        if self._on_wake is None:
            return
        try:
            self._on_wake(late_s)
        except Exception as exc:
            logger.opt(exception=exc).error("on_wake failed")
