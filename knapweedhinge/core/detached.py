"""Tasks that keep running when the task that awaits them is cancelled."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from loguru import logger

T = TypeVar("T")


class DetachedTasks:
    """Run coroutines in tasks that the cancellation of a caller doesn't stop.

    Claimed requests run this way: they complete even when the client disconnects.
    """

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run ``work`` and return its result; it goes on if the caller is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return await asyncio.shield(task)

    async def drain(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for all tasks, then cancel the rest."""
        if not self._tasks:
            return
        _, unfinished = await asyncio.wait(tuple(self._tasks), timeout=timeout_s)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # otherwise asyncio logs that nobody retrieved it


def log_failure(task: asyncio.Task) -> None:
    """Log the exception of a task that nobody awaits; use as a done callback."""
    if not task.cancelled() and task.exception() is not None:
        logger.opt(exception=task.exception()).error("a background task failed")
