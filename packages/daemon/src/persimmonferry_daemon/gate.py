"""Counts the work under way, and refuses new work once a stop has begun."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun

__all__ = ["Gate"]

STOP_RETRY_AFTER_S = 0.5


class Gate:
    """
    The door that all work of a process goes through.

    ``closed`` refuses new work; ``wait_idle`` returns when the last work has ended.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.closed = False

    @property
    def count(self) -> int:
        """How much work is under way."""
        return self._count

    @contextmanager
    def hold(self) -> Iterator[None]:
        """
        Count one piece of work for as long as the context lasts.

        :raises NotRun: the gate is closed.
        """
        if self.closed:
            raise NotRun(ResultCode.STOPPING, self._name, STOP_RETRY_AFTER_S)
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Return when no work is under way."""
        await self._idle.wait()
