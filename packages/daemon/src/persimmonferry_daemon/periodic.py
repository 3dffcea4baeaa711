"""Background tasks of a process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine

__all__ = ["BackgroundTask", "PeriodicTask"]

_log = logging.getLogger(__name__)


class BackgroundTask:
    """
    A coroutine that runs until it is stopped.

    :param run: makes the coroutine.
    """

    def __init__(self, run: Callable[[], Coroutine[None, None, None]]) -> None:
        self._run = run
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the coroutine as a task."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait until it has ended."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class PeriodicTask:
    """
    Repeats an action until it is stopped, also after errors, which are logged.

    :param act: the action; the interval starts after it has ended.
    :param choose_interval: returns the seconds until the next one.
    """

    def __init__(
        self, act: Callable[[], Awaitable[None]], choose_interval: Callable[[], float]
    ) -> None:
        self._act = act
        self._choose_interval = choose_interval
        self._background = BackgroundTask(self._run)

    def start(self) -> None:
        """Start; the first action follows the first interval."""
        self._background.start()

    async def stop(self) -> None:
        """Stop; an action in progress is cancelled."""
        await self._background.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._choose_interval())
            try:
                await self._act()
            except Exception:
                _log.exception("periodic task failed")
