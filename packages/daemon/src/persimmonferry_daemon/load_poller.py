"""Polls the load of an upstream."""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from persimmonferry_core.exceptions import FerryError

from persimmonferry_daemon.periodic import PeriodicTask

__all__ = ["LoadPoller"]

Load = TypeVar("Load")

LOAD_INTERVAL_S = 0.25
MAX_FAILED_READS = 3


class LoadPoller(Generic[Load]):
    """
    Polls the load of an upstream, and holds the newest one.

    :param read: reads the load from the upstream.
    """

    def __init__(self, read: Callable[[], Awaitable[Load]]) -> None:
        self._read = read
        self._failed_reads = 0
        self._polling = PeriodicTask(self._refresh, lambda: LOAD_INTERVAL_S)
        self.latest: Load | None = None

    async def start(self) -> None:
        """Read once, and continue in the background."""
        await self._refresh()
        self._polling.start()

    async def stop(self) -> None:
        """Stop polling."""
        await self._polling.stop()

    async def _refresh(self) -> None:
        try:
            self.latest = await self._read()
            self._failed_reads = 0
        except FerryError:
            self._failed_reads += 1
            if self._failed_reads >= MAX_FAILED_READS:
                self.latest = None
