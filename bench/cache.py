"""
Cost and benefit of cache blocks: naming, eviction, and imports in virtual time.

Baselines of the same run: least-recently-used eviction, and engines of the same fleet
without stores.
"""

import asyncio
import heapq
import random
import time
from collections import OrderedDict
from dataclasses import dataclass

from persimmonferry_core.blocks import name_blocks, read_position
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.eviction import UseHistory, is_eviction_due, plan_eviction
from persimmonferry_core.exceptions import StoreError
from persimmonferry_core.interfaces import StoreUsage
from persimmonferry_core.runs import (
    CacheEvent,
    CacheEventKind,
    EngineLoad,
    RunEnd,
    RunOrder,
)
from persimmonferry_core.schema import RoutingWeights
from persimmonferry_daemon.block_transfers import BlockSettings, BlockTransferManager
from persimmonferry_standins.memory import MemoryPlatform, MemoryStore
from persimmonferry_standins.virtualtime import VirtualLoop

from bench.tables import print_table, take_percentile

SEED = 7
LONG_PROMPT_TOKENS = 100_000
NAMING_RUNS = 20
DAY_S = 86_400.0
MINUTE_S = 60.0
PROMPTS = 150
PROMPT_BLOCKS = 8
ONE_OFF_SHARE = 0.3
TRACE_DAYS = 4
WORKERS = 6
ENGINE_BLOCKS = 160
BLOCK_BYTES = 2000
PREFILL_TOKENS_PER_S = 10_000.0
TRANSFER_S = 0.02


def measure_naming() -> None:
    """Print the time to name the blocks of a long prompt."""
    tokens = tuple(f" word{index}" for index in range(LONG_PROMPT_TOKENS))
    times_ms = []
    for _ in range(NAMING_RUNS):
        started = time.perf_counter()
        name_blocks("secret", "m", "v1", "", tokens)
        times_ms.append((time.perf_counter() - started) * 1000)
    row = ("100,000 tokens", min(times_ms), take_percentile(times_ms, 50))
    print_table("Naming blocks", ("prompt", "least, ms", "p50, ms"), [row])


@dataclass(frozen=True, order=True)
class Visit:
    """One use of a prompt."""

    time_s: float
    names: tuple[str, ...]


def make_trace(days: float, prompts: int = PROMPTS) -> list[Visit]:
    """Return uses of prompts; each prompt recurs at an interval of minutes to days."""
    rng = random.Random(SEED)
    waiting: list[Visit] = []
    intervals: dict[tuple[str, ...], float] = {}
    for index in range(prompts):
        tokens = [str(index)] * PROMPT_BLOCKS
        names = name_blocks("secret", "m", "v1", "", tokens, block_tokens=1)
        one_off = rng.random() < ONE_OFF_SHARE
        spread = rng.uniform(0.0, 1.0)
        intervals[names] = 0.0 if one_off else 5 * MINUTE_S * 576.0**spread
        first_s = rng.uniform(0.0, intervals[names] or days * DAY_S)
        waiting.append(Visit(first_s, names))
    heapq.heapify(waiting)
    trace = []
    while waiting and waiting[0].time_s < days * DAY_S:
        visit = heapq.heappop(waiting)
        trace.append(visit)
        if intervals[visit.names]:
            pause_s = intervals[visit.names] * rng.lognormvariate(0.0, 0.5)
            heapq.heappush(waiting, Visit(visit.time_s + pause_s, visit.names))
    return trace


def evict_by_reuse(
    held: OrderedDict[str, None], capacity: int, history: UseHistory, now: float
) -> None:
    """Evict the blocks that the system's eviction plan selects."""
    usage = StoreUsage(len(held), capacity)
    plan = plan_eviction(held, usage, history, now)
    for name in plan.candidates[: plan.count]:
        del held[name]


def evict_oldest(
    held: OrderedDict[str, None], capacity: int, history: UseHistory, now: float
) -> None:
    """Evict as many blocks, least recently used first, later ones of a prompt first."""
    usage = StoreUsage(len(held), capacity)
    plan = plan_eviction(held, usage, history, now)

    def rank(name: str) -> tuple[float, int]:
        return history.find(name).last_used_s, -read_position(name).index

    for name in sorted(held, key=rank)[: plan.count]:
        del held[name]


def replay(trace: list[Visit], capacity: int, evict) -> float:
    """Return the share of blocks not found, not counting a warm-up of one day."""
    held: OrderedDict[str, None] = OrderedDict()
    history = UseHistory()
    requested = missed = 0
    for visit in trace:
        found = 0
        while found < len(visit.names) and visit.names[found] in held:
            found += 1
        history.note(visit.names[0], visit.time_s)
        if visit.time_s > DAY_S:
            requested += len(visit.names)
            missed += len(visit.names) - found
        held.update(dict.fromkeys(visit.names))
        if is_eviction_due(StoreUsage(len(held), capacity)):
            evict(held, capacity, history, visit.time_s)
    return missed / requested


def measure_eviction() -> None:
    """Print the share of blocks recomputed for stores of several sizes."""
    trace = make_trace(TRACE_DAYS)
    total = PROMPTS * PROMPT_BLOCKS
    rows = []
    for share in (0.1, 0.3, 0.5, 0.7):
        capacity = round(total * share)
        oldest = replay(trace, capacity, evict_oldest)
        reuse = replay(trace, capacity, evict_by_reuse)
        rows.append((f"{share:.0%} of all blocks", oldest, reuse, reuse / oldest))
    header = ("store holds", "longest ago first", "expected reuse", "ratio")
    print_table("Share of blocks not found in the store, days 2 to 4", header, rows)


class BenchEngine:
    """An engine with a small cache that evicts the least recently used block."""

    def __init__(self) -> None:
        self.cache: OrderedDict[str, bytes] = OrderedDict()
        self.events: list[CacheEvent] = []
        self.computed = 0

    def hold(self, name: str, data: bytes) -> None:
        self.cache[name] = data
        self.publish(CacheEventKind.STORED, name)
        if len(self.cache) > ENGINE_BLOCKS:
            self.publish(CacheEventKind.REMOVED, self.cache.popitem(last=False)[0])

    def publish(self, kind: CacheEventKind, name: str) -> None:
        self.events.append(CacheEvent(len(self.events) + 1, kind, name))

    async def read_load(self) -> EngineLoad:
        return EngineLoad("m", "v1", 0, 0, 0, 8, PREFILL_TOKENS_PER_S, 50.0)

    async def read_cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        return tuple(self.events[after:])

    async def export_block(self, name: str) -> bytes:
        if name not in self.cache:
            raise StoreError(ResultCode.BLOCK_INVALID)
        return self.cache[name]

    async def import_block(self, name: str, data: bytes) -> None:
        self.hold(name, data)

    async def run(self, order: RunOrder) -> RunEnd:
        cached = 0
        names = order.block_names
        while cached < len(names) and names[cached] in self.cache:
            self.cache.move_to_end(names[cached])
            cached += 1
        for name in names[cached:]:
            await asyncio.sleep(order.block_tokens / PREFILL_TOKENS_PER_S)
            self.computed += 1
            self.hold(name, name.encode().ljust(BLOCK_BYTES))
        tokens = order.block_tokens
        return RunEnd(order.run_id, "v1", 1, len(names) * tokens, cached * tokens, "")


class BenchFleet:
    """Engines that prompts are sent to at random, with or without stores."""

    def __init__(self, stores: int, transfer_s: float) -> None:
        random.seed(SEED)
        self.loop = VirtualLoop()
        self.stores = {
            f"s{index}": MemoryStore(self.loop.time, transfer_s, 10**8)
            for index in range(stores)
        }
        self.engines = [BenchEngine() for _ in range(WORKERS)]
        self.transfer_managers = [
            self.make_transfers(engine) for engine in self.engines
        ]
        self.imported = 0
        self.first_tokens_s: list[float] = []

    def make_transfers(self, engine: BenchEngine) -> BlockTransferManager:
        rate = BLOCK_BYTES / TRANSFER_S
        return BlockTransferManager(
            engine,
            lambda: self.stores,
            MemoryPlatform(self.loop.time),
            "bench",
            "team/domain",
            RoutingWeights,
            self.loop.time,
            BlockSettings(BLOCK_BYTES, rate, 0.0, 1e6, 1e7),
        )

    async def serve(self, number: int, visit: Visit) -> None:
        index = random.randrange(WORKERS)
        transfers, engine = self.transfer_managers[index], self.engines[index]
        order = RunOrder(f"run{number}", "m", "v1", "", "", 1, 0, (), visit.names)
        start_s = self.loop.time()
        result = await transfers.prepare(order, start_s)
        self.imported += result.blocks
        end = await engine.run(order)
        transfers.finish_prefill(order.run_id)
        self.first_tokens_s.append(self.loop.time() - start_s)
        await transfers.complete_run(order, end)

    async def replay(self, trace: list[Visit]) -> None:
        for transfers in self.transfer_managers:
            transfers.start()
        running = []
        for number, visit in enumerate(trace):
            await asyncio.sleep(max(0.0, visit.time_s - self.loop.time()))
            running.append(asyncio.create_task(self.serve(number, visit)))
        await asyncio.gather(*running)


def measure_imports() -> None:
    """Print what stores save when engines evict a prompt before it is used again."""
    trace = make_trace(days=0.25, prompts=PROMPTS)
    blocks = sum(len(visit.names) for visit in trace)
    rows = []
    for title, stores, transfer_s in (
        ("no store", 0, TRANSFER_S),
        ("two stores", 2, TRANSFER_S),
        ("two stores, link 20 times slower", 2, 20 * TRANSFER_S),
    ):
        fleet = BenchFleet(stores, transfer_s)
        fleet.loop.run(fleet.replay(trace))
        fleet.loop.stop_all()
        computed = sum(engine.computed for engine in fleet.engines)
        times_s = fleet.first_tokens_s
        rows.append(
            (
                title,
                computed / blocks,
                fleet.imported / blocks,
                take_percentile(times_s, 50),
                take_percentile(times_s, 95),
            )
        )
    header = ("", "recomputed", "imported", "first token p50, s", "p95, s")
    print_table(f"{len(trace)} returns at {WORKERS} engines", header, rows)


def main() -> None:
    """Run all measurements."""
    measure_naming()
    measure_eviction()
    measure_imports()


if __name__ == "__main__":
    main()
