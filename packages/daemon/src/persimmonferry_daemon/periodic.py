"""Work that goes on beside the calls of a process."""

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
        """Begin."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End, also in the middle of a call."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class PeriodicTask:
    """
    Repeats an action until it is stopped; one that fails is logged and repeated too.

    :param act: the action; the next one begins after it has ended.
    :param choose_interval: returns the seconds until the next one.
    """

    def __init__(
        self, act: Callable[[], Awaitable[None]], choose_interval: Callable[[], float]
    ) -> None:
        self._act = act
        self._choose_interval = choose_interval
        self._background = BackgroundTask(self._run)

    def start(self) -> None:
        """Begin; the first action comes after the first interval."""
        self._background.start()

    async def stop(self) -> None:
        """End, also in the middle of an action."""
        await self._background.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._choose_interval())
            try:
                await self._act()
            except Exception:
                _log.exception("periodic work failed")
