"""A set of background tasks that are cancelled together."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from knapweedhinge.core.exceptions import PeerError


class Tasks:
    """Holds references to running tasks and logs those that fail."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()
        self._stopped = False

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task | None:
        """Run a coroutine in the background.

        After ``stop``, the coroutine is closed without being run and None is returned.
        """
        if self._stopped:
            coro.close()
            return None
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    async def stop(self) -> None:
        """Cancel every task and wait for its end; later ones are not started."""
        self._stopped = True
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(task.exception(), PeerError):
            logger.debug("background task ended: {}", task.exception())
        else:
            logger.opt(exception=task.exception()).error("background task failed")
