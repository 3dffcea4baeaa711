"""Each charge is counted once, although replies to writes are lost."""

import asyncio
import random

import pytest
from persimmonferry_core.exceptions import (
    PlatformAnswerLost,
    PlatformUnavailable,
    SwapConflict,
)
from persimmonferry_core.interfaces import Versioned
from persimmonferry_core.schema import Tier
from persimmonferry_core.usage import UsageMeter
from persimmonferry_daemon.ledgers import S_PER_DAY, LedgerWriter

TIER = Tier("dawn", 600.0, 1.0, 0.1)
CHARGES = 200


class FaultyPlatform:
    """Stores values, and randomly refuses calls or loses replies."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.values = {}

    async def read(self, key):
        if self.source.random() < 0.1:
            raise PlatformUnavailable("down")
        return self.values.get(key, Versioned(key, b"", 0))

    async def swap(self, key, value, expected):
        if self.source.random() < 0.2:
            raise PlatformUnavailable("down")
        present = self.values.get(key, Versioned(key, b"", 0))
        if present.revision != expected:
            raise SwapConflict(key, present.revision)
        self.values[key] = Versioned(key, value, expected + 1)
        if self.source.random() < 0.3:
            raise PlatformAnswerLost("lost")
        return self.values[key]


@pytest.mark.parametrize("seed", range(5))
def test_each_charge_is_counted_once(seed):
    platform = FaultyPlatform(seed)
    source = random.Random(seed)
    now = [5 * S_PER_DAY - 60.0]
    meters = [UsageMeter(f"entry-{number}-1") for number in range(3)]
    writers = [
        LedgerWriter(meter, platform, "kovanci", f"entry-{number}", lambda: now[0])
        for number, meter in enumerate(meters)
    ]

    async def run():
        for number in range(CHARGES):
            chosen = source.randrange(3)
            meters[chosen].charge(f"request-{number}", "florist", TIER, 100, 40, 7)
            now[0] += 1.0
            try:
                await writers[chosen].write()
            except (PlatformUnavailable, PlatformAnswerLost):
                continue
        for writer in writers:
            while True:
                try:
                    if not await writer.write():
                        break
                except (PlatformUnavailable, PlatformAnswerLost):
                    continue
        total = 0
        for day in (4, 5):
            now[0] = day * S_PER_DAY + 1.0
            total += sum(line.requests for line in await read_day(writers[0]))
        assert total == CHARGES

    asyncio.run(run())


async def read_day(writer):
    while True:
        try:
            return await writer.read_day()
        except PlatformUnavailable:
            continue
