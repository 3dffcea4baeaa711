"""
Platform writes per order and latency of a claim: ``python -m bench.claims``.

Several entries in one process place claims and record outcomes at a given rate. The
platform's service and the messages between entries are stand-ins that respond after a
fixed delay. Baseline: one write for each claim and one for each outcome.
"""

import asyncio
import random
import time
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from persimmonferry_core.attempts import Answered, Attempt
from persimmonferry_core.exceptions import FerryError, SwapConflict
from persimmonferry_core.idempotency import create_key, parse_key
from persimmonferry_core.interfaces import Versioned
from persimmonferry_core.journal import Claim, JournalShape, locate_segment
from persimmonferry_core.runs import CallAnswer
from persimmonferry_core.topology import Address
from persimmonferry_daemon.claims import ClaimJournal, EntryPeer

PLATFORM_DELAY_S = 0.004
PEER_DELAY_S = 0.001
ANSWER = b"x" * 200


@dataclass(frozen=True)
class Load:
    entries: int
    orders_per_s: float
    duration_s: float
    partitions: int = JournalShape().partitions


LOADS = (
    Load(entries=1, orders_per_s=2, duration_s=6),
    Load(entries=3, orders_per_s=50, duration_s=6),
    Load(entries=3, orders_per_s=400, duration_s=6),
    Load(entries=3, orders_per_s=800, duration_s=6),
    Load(entries=8, orders_per_s=800, duration_s=6),
    Load(entries=8, orders_per_s=1600, duration_s=6),
)


class DelayedPlatform:
    def __init__(self):
        self.values = {}
        self.reads = 0
        self.writes = 0
        self.conflicts = 0
        self.written_bytes = 0

    async def read(self, key):
        self.reads += 1
        await asyncio.sleep(PLATFORM_DELAY_S)
        return self.values.get(key, Versioned(key, b"", 0))

    async def swap(self, key, value, expected):
        self.writes += 1
        self.written_bytes += len(value)
        await asyncio.sleep(PLATFORM_DELAY_S)
        stored = self.values.get(key, Versioned(key, b"", 0))
        if stored.revision != expected:
            self.conflicts += 1
            raise SwapConflict(key, stored.revision)
        self.values[key] = Versioned(key, value, expected + 1)
        return self.values[key]


class DelayedPeers:
    def __init__(self):
        self.claim_journals = {}

    async def ask(self, url, message, kind, timeout_s):
        await asyncio.sleep(PEER_DELAY_S)
        claim_journal = next(
            self.claim_journals[name] for name in self.claim_journals if name in url
        )
        return await claim_journal.answer_commit(message)


class Trial:
    def __init__(self, load):
        self.load = load
        self.platform = DelayedPlatform()
        self.claim_us = HdrHistogram(1, 60_000_000, 3)
        self.placed = 0
        self.refused = 0
        peers = DelayedPeers()
        shape = JournalShape(partitions=load.partitions)
        entries = [
            EntryPeer(f"entry{number}", Address(f"entry{number}", 1))
            for number in range(load.entries)
        ]
        for entry in entries:
            peers.claim_journals[entry.name] = ClaimJournal(
                self.platform, peers, entry, lambda: entries, time.time, shape
            )
        self.claim_journals = list(peers.claim_journals.values())

    async def run(self):
        orders = []
        rng = random.Random(1)
        started = time.perf_counter()
        next_s = started
        while next_s < started + self.load.duration_s:
            await asyncio.sleep(max(0.0, next_s - time.perf_counter()))
            claim_journal = rng.choice(self.claim_journals)
            orders.append(asyncio.create_task(self.place_order(claim_journal, rng)))
            next_s += rng.expovariate(self.load.orders_per_s)
        await asyncio.gather(*orders)
        for claim_journal in self.claim_journals:
            await claim_journal.close()

    async def place_order(self, claim_journal, rng):
        now = time.time()
        shape = claim_journal.shape
        key = parse_key(create_key(now, rng.getrandbits(74)), now, 60.0, 60.0)
        digest = key.digest("kovanci")
        place = locate_segment(digest, key.issued_s, shape)
        attempt = Attempt(f"{rng.getrandbits(128):032x}", 1, now + 5.0)
        address = Address("10.0.0.1", 7000)
        claim = Claim(digest, digest, "agent-order-1", address, attempt)
        started = time.perf_counter()
        try:
            entry = await claim_journal.claim(place, claim)
        except FerryError:
            self.refused += 1
            return
        self.claim_us.record_value(int((time.perf_counter() - started) * 1e6))
        self.placed += entry.claim.run_id == claim.run_id
        answer = CallAnswer(claim.run_id, 201, "application/json", ANSWER)
        claim_journal.record(place, claim, Answered(answer))

    def describe(self):
        load, platform = self.load, self.platform
        return (
            f"{load.entries:7} {load.orders_per_s:8.0f} {self.placed:7} "
            f"{self.refused:7} {platform.writes / max(1, self.placed):12.3f} "
            f"{2.0:9.1f} {platform.writes / load.duration_s:8.1f} "
            f"{platform.conflicts:9} {platform.reads / load.duration_s:7.1f} "
            f"{platform.written_bytes / load.duration_s / 1e6:7.2f} "
            f"{self.claim_us.get_value_at_percentile(50) / 1e3:8.1f} "
            f"{self.claim_us.get_value_at_percentile(99) / 1e3:8.1f}"
        )


def main():
    print(
        "entries orders/s  placed refused writes/order  baseline writes/s "
        "conflicts reads/s    MB/s   p50 ms   p99 ms"
    )
    for load in LOADS:
        trial = Trial(load)
        started = time.process_time()
        asyncio.run(trial.run())
        share = (time.process_time() - started) / load.duration_s
        print(f"{trial.describe()}  processor share {share:.2f}", flush=True)


if __name__ == "__main__":
    main()
