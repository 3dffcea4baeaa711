"""Stand-in for a store VM."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from persimmonferry_adapters.http_formats import (
    BLOCK_NAME_HEADER,
    COMMITTED_HEADER,
    GENERATION_HEADER,
    OCTETS_TYPE,
)

from persimmonferry_standins.faults import TearWrite
from persimmonferry_standins.server import LOOPBACK, Handler, Route, StandIn

__all__ = ["StoreSettings", "StoreStandIn"]

STORE_FULL_STATUS = 507


@dataclass(frozen=True)
class StoreSettings:
    """
    Parameters of a simulated store VM.

    :param capacity_bytes: space for blocks.
    :param bytes_per_s: rate of its link, on which transfers run one after another;
        0 for no limit.
    :param latency_s: added to each transfer.
    """

    capacity_bytes: int = 64 * 1024 * 1024
    bytes_per_s: float = 0.0
    latency_s: float = 0.0


@dataclass(eq=False)
class _Space:
    """Space for one block; once freed, it is reused for another block."""

    data: bytearray
    name: str = ""
    generation: int = 0
    committed: bool = False


class StoreStandIn(StandIn):
    """
    A store of limited capacity that reuses freed space and reads without locking.

    A read copies the first half of the bytes at its start and the second half at its
    end, so if the space is reused meanwhile, it returns bytes of another block.

    Counters: ``bytes_written``, ``bytes_read``.
    """

    def __init__(
        self,
        settings: StoreSettings | None = None,
        port: int = 0,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(port, host)
        self.settings = settings or StoreSettings()
        self._spaces: dict[str, _Space] = {}
        self._free: list[_Space] = []
        self._generation = 0
        self._link_free_s = 0.0

    def make_routes(self) -> list[Route]:
        """Return the routes of a store VM."""
        options = {"standin": self}
        return [
            (r"/v1/blocks", _NamesHandler, options),
            (r"/v1/blocks/([^/]+)", _BlockHandler, options),
            (r"/v1/blocks/([^/]+)/commit", _CommitHandler, options),
            (r"/v1/blocks/([^/]+)/generation", _GenerationHandler, options),
            (r"/v1/usage", _UsageHandler, options),
        ]

    def make_state(self) -> dict[str, Any]:
        """Return the names of the committed and of the uncommitted blocks."""
        committed = [name for name, space in self._spaces.items() if space.committed]
        uncommitted = [
            name for name, space in self._spaces.items() if not space.committed
        ]
        return {"committed": committed, "uncommitted": uncommitted}

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all blocks."""
        return tuple(self._spaces)

    @property
    def used_bytes(self) -> int:
        """Bytes of all blocks."""
        return sum(len(space.data) for space in self._spaces.values())

    def find(self, name: str) -> _Space | None:
        """Return the space of a block."""
        return self._spaces.get(name)

    def allocate(self, name: str, size: int) -> _Space | None:
        """
        Return space for a block, or None if the store is full.

        An earlier block of the name is freed; freed space of the same size is reused.
        """
        old = self._spaces.get(name)
        if self.used_bytes - (len(old.data) if old else 0) + size > (
            self.settings.capacity_bytes
        ):
            return None
        if old is not None:
            self.free(name, old.generation)
        space = self._take_free(size)
        self._generation += 1
        space.name = name
        space.generation = self._generation
        space.committed = False
        self._spaces[name] = space
        return space

    def free(self, name: str, generation: int) -> None:
        """Free a block if it still has that generation; its space keeps its bytes."""
        space = self._spaces.get(name)
        if space is not None and space.generation == generation:
            del self._spaces[name]
            self._free.append(space)

    async def transfer(self, size: int) -> None:
        """Wait as long as the transfer of so many bytes takes on the link."""
        if not self.settings.bytes_per_s and not self.settings.latency_s:
            return
        now = asyncio.get_running_loop().time()
        rate = self.settings.bytes_per_s
        seconds = size / rate * self.slow_factor if rate else 0.0
        self._link_free_s = max(now, self._link_free_s) + seconds
        latency_s = self.settings.latency_s * self.slow_factor
        await asyncio.sleep(self._link_free_s - now + latency_s)

    def _take_free(self, size: int) -> _Space:
        for space in self._free:
            if len(space.data) == size:
                self._free.remove(space)
                return space
        return _Space(bytearray(size))


class _StoreHandler(Handler):
    standin: StoreStandIn


class _BlockHandler(_StoreHandler):
    async def put(self, name: str) -> None:
        data = self.request.body
        space = self.standin.allocate(name, len(data))
        if space is None:
            await self.answer(status=STORE_FULL_STATUS)
            return
        generation = space.generation
        torn = self._take_fault(TearWrite)
        half = len(data) // 2 if torn is None else torn.after_bytes
        space.data[:half] = data[:half]
        if torn is not None:
            self.close_connection()
            return
        await self.standin.transfer(len(data))
        if space.generation != generation:
            await self.answer(status=409)
            return
        space.data[half:] = data[half:]
        self.standin.counters["bytes_written"] += len(data)
        await self.answer_json({"generation": generation})

    async def get(self, name: str) -> None:
        space = self.standin.find(name)
        if space is None:
            await self.answer(status=404)
            return
        self.set_header("Content-Type", OCTETS_TYPE)
        self.set_header(BLOCK_NAME_HEADER, space.name)
        self.set_header(GENERATION_HEADER, str(space.generation))
        self.set_header(COMMITTED_HEADER, str(int(space.committed)))
        half = len(space.data) // 2
        start = bytes(space.data[:half])
        await self.standin.transfer(len(space.data))
        data = start + bytes(space.data[half:])
        self.standin.counters["bytes_read"] += len(data)
        await self.answer(data)

    async def delete(self, name: str) -> None:
        self.standin.free(name, int(self.get_query_argument("generation")))
        await self.answer()


class _CommitHandler(_StoreHandler):
    async def post(self, name: str) -> None:
        generation = json.loads(self.request.body)["generation"]
        space = self.standin.find(name)
        if space is None or space.generation != generation:
            await self.answer(status=409)
            return
        space.committed = True
        await self.answer()


class _GenerationHandler(_StoreHandler):
    async def get(self, name: str) -> None:
        space = self.standin.find(name)
        known = space is not None and space.committed
        await self.answer_json({"generation": space.generation if known else 0})


class _NamesHandler(_StoreHandler):
    async def get(self) -> None:
        await self.answer_json({"names": self.standin.names})


class _UsageHandler(_StoreHandler):
    async def get(self) -> None:
        await self.answer_json(
            {
                "used_bytes": self.standin.used_bytes,
                "capacity_bytes": self.standin.settings.capacity_bytes,
            }
        )
