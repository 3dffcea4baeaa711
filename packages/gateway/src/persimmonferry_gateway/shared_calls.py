"""Calls whose result serves all that asked for it before the call was made."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

__all__ = ["SharedCall"]

_Result = TypeVar("_Result")


class SharedCall(Generic[_Result]):
    """
    A call that is made at most once at a time, however many wait for its result.

    :param call: makes the call; it handles its own errors.
    :param read_clock: of the times at which results are asked for.
    """

    def __init__(
        self,
        call: Callable[[], Awaitable[_Result]],
        read_clock: Callable[[], float],
    ) -> None:
        self._call = call
        self._read_clock = read_clock
        self._task: asyncio.Task | None = None
        self._begun_s = float("-inf")

    @property
    def is_running(self) -> bool:
        """Whether a call is being made."""
        return self._task is not None and not self._task.done()

    async def get(self, since_s: float) -> _Result:
        """Return the result of a call that began at a time or later."""
        while True:
            if not self.is_running:
                self._begun_s = self._read_clock()
                self._task = asyncio.create_task(self._make())
            begun_s, task = self._begun_s, self._task
            # One that waits may be cancelled, the others still need the result.
            result = await asyncio.shield(task)
            if begun_s >= since_s:
                return result

    async def stop(self) -> None:
        """Cancel a call in progress."""
        if self.is_running:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _make(self) -> _Result:
        return await self._call()
