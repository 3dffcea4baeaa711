"""Writes the usage of client accounts to the platform's service, each batch once."""

import asyncio
import logging
import random
import time
import zlib
from collections.abc import Callable

from persimmonferry_core.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    SwapConflict,
)
from persimmonferry_core.interfaces import Platform
from persimmonferry_core.ledger import (
    Ledger,
    add_batch,
    decode_ledger,
    encode_ledger,
)
from persimmonferry_core.usage import UsageBatch, UsageLine, UsageMeter

from persimmonferry_daemon.periodic import PeriodicTask

__all__ = ["LedgerWriter"]

SHARDS = 8
WRITE_INTERVAL_S = 30.0
FLEET_WRITES_PER_S = 3.0
MAX_TRIES = 5
STOP_TIMEOUT_S = 3.0
S_PER_DAY = 86_400

_log = logging.getLogger(__name__)


class LedgerWriter:
    """
    Writes charges from the meter to the team's ledger of the day.

    Each writer uses one shard, which limits write conflicts. A batch has an id: when
    the reply to its write was lost, it is written again and counted once.

    :param writer: name of this process.
    :param read_clock: seconds since 1970.
    :param count_writers: returns how many entries of the team write; the more there
        are, the less often each does, so that the platform's writes stay few.
    """

    def __init__(
        self,
        meter: UsageMeter,
        platform: Platform,
        team: str,
        writer: str,
        read_clock: Callable[[], float] = time.time,
        count_writers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._meter = meter
        self._platform = platform
        self._team = team
        self._shard = zlib.crc32(writer.encode()) % SHARDS
        self._read_clock = read_clock
        self._count_writers = count_writers
        self._writing = PeriodicTask(self._write_or_log, self._choose_interval)
        self._open_id = ""
        self._open_key = ""

    def start(self) -> None:
        """Start to write at intervals."""
        self._writing.start()

    async def stop(self) -> None:
        """Write the remaining charges, if that succeeds in ``STOP_TIMEOUT_S``."""
        await self._writing.stop()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while await self.write():
                    continue
        except (TimeoutError, PlatformError) as error:
            _log.error("usage not written", extra={"why": str(error)})

    async def write(self) -> bool:
        """
        Write one batch; return False when there is none.

        :raises PlatformError: it may not have been written, and will be written again.
        """
        batch = self._meter.open_batch()
        if batch is None:
            return False
        if batch.batch_id != self._open_id:
            # A retry uses the same key, also after midnight, to find the batch's id.
            self._open_id = batch.batch_id
            self._open_key = self._name_key(self._shard)
        await self._add(batch, self._open_key)
        self._meter.confirm(batch.batch_id)
        return True

    async def read_day(self) -> tuple[UsageLine, ...]:
        """
        Return the usage of all accounts today, as far as it was written.

        :raises PlatformError: the platform did not respond.
        """
        merged = Ledger()
        for shard in range(SHARDS):
            value = await self._platform.read(self._name_key(shard))
            lines = decode_ledger(value.value).lines
            merged = add_batch(merged, UsageBatch(f"shard-{shard}", lines))
        return merged.lines

    def _name_key(self, shard: int) -> str:
        day = int(self._read_clock() // S_PER_DAY)
        return f"teams/{self._team}/usage/{day}/{shard}"

    def _choose_interval(self) -> float:
        fleet_s = self._count_writers() / FLEET_WRITES_PER_S
        return max(WRITE_INTERVAL_S, fleet_s) * random.uniform(0.5, 1.5)

    async def _write_or_log(self) -> None:
        try:
            await self.write()
        except PlatformError as error:
            _log.warning("usage write failed, will retry", extra={"why": str(error)})

    async def _add(self, batch: UsageBatch, key: str) -> None:
        for _ in range(MAX_TRIES):
            value = await self._platform.read(key)
            ledger = decode_ledger(value.value)
            added = add_batch(ledger, batch)
            if added == ledger:
                return
            try:
                await self._platform.swap(key, encode_ledger(added), value.revision)
                return
            except (SwapConflict, PlatformAnswerLost):
                # Reading again shows whether the batch was written.
                continue
        raise PlatformAnswerLost(f"usage {batch.batch_id}")
