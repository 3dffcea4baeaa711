"""An event loop in virtual time, for tests that would sleep for minutes."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

__all__ = ["VirtualLoop"]


class VirtualLoop(asyncio.SelectorEventLoop):
    """
    An event loop whose clock jumps to the next timer when no callback is ready.

    Its tasks must not wait for sockets, as virtual time does not wait for them.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds since the loop was created."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Advance virtual time without running callbacks."""
        self._now_s += duration_s

    def run_for(self, duration_s: float) -> None:
        """Run all callbacks that are due within a duration of virtual time."""
        self.run_until_complete(asyncio.sleep(duration_s))

    def run(self, work: Coroutine) -> Any:
        """Run a coroutine until it completes and return its result."""
        return self.run_until_complete(work)

    def stop_all(self) -> None:
        """Cancel all tasks and close the loop."""
        self.run_until_complete(self._cancel_tasks())
        self.close()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks(self) - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of blocking."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        """
        Advance the clock by ``timeout`` and poll without blocking.

        :raises RuntimeError: without a timer, nothing could ever become ready.
        """
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: tasks wait, but no timer is scheduled"
            )
        self._loop.advance(timeout)
        return super().select(0)
