"""In-memory fakes of the outside systems, for fuzzing in virtual time."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    StoreError,
    SwapConflict,
)
from persimmonferry_core.interfaces import Lease, StoredBlock, StoreUsage, Versioned

__all__ = ["MemoryCell", "MemoryPlatform", "MemoryStore"]

HEAD_BYTES = 40


@dataclass
class MemoryCell:
    """Space of one block, which may change in place while it is read or written."""

    generation: int
    data: bytes
    committed: bool = False


class MemoryStore:
    """
    A store VM whose space can be freed and rewritten during a transfer.

    :param clock: returns the present time in seconds.
    :param delay_s: duration of one transfer.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        delay_s: float = 0.01,
        capacity_bytes: int = 10**6,
    ) -> None:
        self.clock = clock
        self.delay_s = delay_s
        self.capacity_bytes = capacity_bytes
        self.alive = True
        self.calls = 0
        self.cells: dict[str, MemoryCell] = {}
        self.freed_s: dict[int, float] = {}
        self.good_reads: Counter[str] = Counter()
        self._generations = 0

    @property
    def used_bytes(self) -> int:
        """Bytes of all blocks."""
        return sum(len(cell.data) for cell in self.cells.values())

    def free(self, name: str) -> None:
        """Free a block if it exists."""
        cell = self.cells.pop(name, None)
        if cell:
            self.freed_s[cell.generation] = self.clock()

    def open_cell(self, name: str, data: bytes) -> MemoryCell:
        """Write an uncommitted block and free an earlier one of the same name."""
        self.free(name)
        self._generations += 1
        self.cells[name] = MemoryCell(self._generations, data)
        return self.cells[name]

    def die(self) -> None:
        """Lose all blocks and fail every later call."""
        self.alive = False
        for name in tuple(self.cells):
            self.free(name)

    async def write(self, name: str, data: bytes) -> int:
        """
        Write half of a block at the start of the transfer and all of it at its end.

        :raises StoreError: the store is full or has failed.
        """
        self._check()
        if self.used_bytes + len(data) > self.capacity_bytes:
            raise StoreError(ResultCode.STORE_FULL)
        cell = self.open_cell(name, data[: len(data) // 2])
        await self._transfer(self.delay_s)
        cell.data = data
        return cell.generation

    async def commit(self, name: str, generation: int) -> None:
        """
        Set the commit mark.

        :raises StoreError: the block is gone or was replaced, or the store has failed.
        """
        self._check()
        cell = self.cells.get(name)
        if cell is None or cell.generation != generation:
            raise StoreError(ResultCode.BLOCK_INVALID)
        cell.committed = True

    async def read(self, name: str) -> StoredBlock:
        """
        Return the head as of the start of the transfer and the rest as of its end.

        ``good_reads`` counts the reads of blocks that were committed at the start and
        not freed by the end.

        :raises StoreError: there is no such block or the store has failed.
        """
        self._check()
        cell = self.cells.get(name)
        if cell is None:
            raise StoreError(ResultCode.BLOCK_INVALID)
        head, committed = cell.data[:HEAD_BYTES], cell.committed
        await self._transfer(self.delay_s)
        tail = self.cells.get(name, cell).data[HEAD_BYTES:]
        self.good_reads[name] += committed and cell.generation not in self.freed_s
        return StoredBlock(name, cell.generation, committed, head + tail)

    async def read_generation(self, name: str) -> int:
        """Return the generation of a committed block, 0 when there is none."""
        self._check()
        await self._transfer(self.delay_s / 2)
        cell = self.cells.get(name)
        return cell.generation if cell and cell.committed else 0

    async def remove(self, name: str, generation: int) -> None:
        """Free a block if it still has that generation."""
        self._check()
        cell = self.cells.get(name)
        if cell and cell.generation == generation:
            self.free(name)

    async def list_names(self) -> tuple[str, ...]:
        """Return the names of all blocks."""
        self._check()
        return tuple(self.cells)

    async def read_usage(self) -> StoreUsage:
        """Return how full the store is."""
        self._check()
        return StoreUsage(self.used_bytes, self.capacity_bytes)

    async def _transfer(self, duration_s: float) -> None:
        await asyncio.sleep(duration_s)
        self._check()

    def _check(self) -> None:
        self.calls += 1
        if not self.alive:
            raise StoreError(ResultCode.STORE_UNAVAILABLE)


class MemoryPlatform:
    """
    The key-value service, whose calls can fail before or after they take effect.

    :param clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float], delay_s: float = 0.01) -> None:
        self.clock = clock
        self.delay_s = delay_s
        self.fault: type[PlatformError] | None = None
        self.values: dict[str, Versioned] = {}
        self.grants: dict[str, Lease] = {}

    async def read(self, key: str) -> Versioned:
        """Return a value."""
        await self._begin()
        return self.values.get(key, Versioned(key, b"", 0))

    async def swap(self, key: str, value: bytes, expected: int) -> Versioned:
        """
        Write a value if the key still has the expected revision.

        :raises SwapConflict: it has another revision.
        """
        await self._begin()
        revision = self.values.get(key, Versioned(key, b"", 0)).revision
        if revision != expected:
            raise SwapConflict(key, revision)
        self.values[key] = Versioned(key, value, expected + 1)
        self._end()
        return self.values[key]

    async def acquire_lease(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Lease | None:
        """Take or renew a lease; None when another holder has it."""
        await self._begin()
        present_s = self.clock()
        grant = self.grants.get(name, Lease(name, "", 0, 0.0))
        live = grant.expires_s > present_s
        if live and grant.holder != holder:
            return None
        fencing = grant.fencing if live else grant.fencing + 1
        self.grants[name] = Lease(name, holder, fencing, present_s + duration_s)
        self._end()
        return Lease(name, holder, fencing, now + duration_s)

    async def release_lease(self, lease: Lease) -> None:
        """Release a lease if its holder and fencing token still match."""
        await self._begin()
        grant = self.grants.get(lease.name)
        if grant and (grant.holder, grant.fencing) == (lease.holder, lease.fencing):
            self.grants[lease.name] = Lease(lease.name, "", lease.fencing, 0.0)
        self._end()

    async def _begin(self) -> None:
        await asyncio.sleep(self.delay_s)
        if self.fault is not None and self.fault is not PlatformAnswerLost:
            raise self.fault()

    def _end(self) -> None:
        if self.fault is PlatformAnswerLost:
            raise PlatformAnswerLost()
