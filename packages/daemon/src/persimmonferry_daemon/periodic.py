"""Work that a process repeats at intervals."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

__all__ = ["Periodic"]

_log = logging.getLogger(__name__)


class Periodic:
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
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin; the first action comes after the first interval."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End, also in the middle of an action."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._choose_interval())
            try:
                await self._act()
            except Exception:
                _log.exception("periodic work failed")
