"""Counts the work in progress, and refuses new work while draining."""

import asyncio
import enum
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun

__all__ = ["CloseReason", "DrainGate", "LoadDrainGate"]

RETRY_AFTER_S = 0.5


class CloseReason(enum.Enum):
    """Why new work is refused."""

    STOPPING = "the process is stopping"
    DRAINED = "an operator drained it"
    LOADING = "weights are being loaded"
    LEAVING = "its VM is leaving"


class DrainGate:
    """
    Counts all work of a process, and refuses new work while it is closed.

    :param name: of the process, for refusals.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.on_change: list[Callable[[], None]] = []
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._reasons: set[CloseReason] = set()

    @property
    def closed(self) -> bool:
        """Whether new work is refused."""
        return bool(self._reasons)

    @property
    def count(self) -> int:
        """Number of requests, runs or calls in progress."""
        return self._count

    def close(self, reason: CloseReason) -> None:
        """Refuse new work until ``open`` is called with the same reason."""
        if reason not in self._reasons:
            self._reasons.add(reason)
            self._notify()

    def open(self, reason: CloseReason) -> None:
        """Accept new work again, unless it is closed for another reason, too."""
        if reason in self._reasons:
            self._reasons.discard(reason)
            self._notify()

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()

    def find_refusal(self) -> NotRun | None:
        """Return the error for new work, None when it is accepted."""
        if not self._reasons:
            return None
        reasons = sorted(reason.value for reason in self._reasons)
        detail = f"{self._name}: {', '.join(reasons)}"
        return NotRun(ResultCode.STOPPING, detail, RETRY_AFTER_S)

    @contextmanager
    def hold(self) -> Iterator[None]:
        """
        Count one piece of new work for as long as the context lasts.

        :raises NotRun: the gate is closed.
        """
        refusal = self.find_refusal()
        if refusal is not None:
            raise refusal
        with self.track_work():
            yield

    @contextmanager
    def track_work(self) -> Iterator[None]:
        """Count one piece of work without checking whether the gate is closed."""
        self._count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._count -= 1
            if self._count == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Return when no work is in progress."""
        await self._idle.wait()


class LoadDrainGate:
    """Closes a gate while weights are loaded."""

    def __init__(self, gate: DrainGate) -> None:
        self._gate = gate

    def drain(self) -> None:
        """Refuse new runs."""
        self._gate.close(CloseReason.LOADING)

    def resume(self) -> None:
        """Accept new runs again, unless the agent is stopping or drained."""
        self._gate.open(CloseReason.LOADING)

    async def wait_idle(self) -> None:
        """Return when no run is in progress."""
        await self._gate.wait_idle()
