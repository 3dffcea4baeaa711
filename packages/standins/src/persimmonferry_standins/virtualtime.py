"""An event loop in virtual time, for tests that wait for minutes in milliseconds."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

__all__ = ["VirtualLoop"]


class VirtualLoop(asyncio.SelectorEventLoop):
    """
    A loop whose clock jumps to the next timer as soon as nothing else is to do.

    It must not wait for sockets.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return virtual seconds since the loop was made."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Let virtual time pass without running anything."""
        self._now_s += duration_s

    def run_for(self, duration_s: float) -> None:
        """Run everything that is due within a duration."""
        self.run_until_complete(asyncio.sleep(duration_s))

    def run(self, work: Coroutine) -> Any:
        """Run a coroutine to its end and return its result."""
        return self.run_until_complete(work)

    def stop_all(self) -> None:
        """Cancel what is left and close the loop."""
        self.run_until_complete(self._cancel_tasks())
        self.close()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks(self) - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's clock in place of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now; nothing else can become ready by waiting."""
        if timeout is None:
            raise RuntimeError("the loop waits for something that can't come")
        self._loop.advance(timeout)
        return super().select(0)
