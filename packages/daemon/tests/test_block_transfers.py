import asyncio
import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from persimmonferry_core.blocks import name_blocks
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import OutcomeUnknown, StoreError
from persimmonferry_core.runs import (
    CacheEvent,
    CacheEventKind,
    EngineLoad,
    RunEnd,
    RunOrder,
)
from persimmonferry_core.schema import RoutingWeights
from persimmonferry_daemon.block_stores import (
    SLOW_ERROR_S,
    UNREACHABLE_PAUSE_S,
    BlockStores,
)
from persimmonferry_daemon.block_transfers import (
    BlockSettings,
    BlockTransferManager,
    ImportResult,
)
from persimmonferry_standins.memory import MemoryPlatform, MemoryStore
from persimmonferry_standins.virtualtime import VirtualLoop

BLOCK_S = 0.2
LOAD_S = 2.0
VERSIONS = ["v1", "v2"]


class FakeEngine:
    """Computes blocks with the version it has, whatever version the names are of."""

    def __init__(self, world):
        self.world = world
        self.version = "v1"
        self.cache = {}
        self.imported = []
        self.ends = True
        self.deaf = False
        self.events = []

    def check(self):
        if self.deaf:
            raise OSError

    def hold(self, name, data):
        self.cache[name] = data
        self.publish(CacheEventKind.STORED, name)

    def clear(self):
        for name in self.cache:
            self.publish(CacheEventKind.REMOVED, name)
        self.cache.clear()

    def publish(self, kind, name):
        self.events.append(CacheEvent(len(self.events) + 1, kind, name))

    async def read_load(self):
        self.check()
        return EngineLoad("m", self.version, 0, 0, 0, 8, 1000 / BLOCK_S, 50.0)

    async def read_cache_events(self, after):
        self.check()
        return [event for event in self.events[after:] if event.sequence % 9]

    async def export_block(self, name):
        self.check()
        if name not in self.cache:
            raise StoreError(ResultCode.BLOCK_INVALID)
        return self.cache[name]

    async def import_block(self, name, data):
        self.world.check_import(name, data, self)
        self.check()
        self.imported.append(name)
        self.hold(name, data)

    async def run(self, order):
        version = self.version
        cached = 0
        for name in order.block_names:
            if name in self.cache:
                cached += 1
                continue
            await asyncio.sleep(BLOCK_S)
            self.world.computed += 1
            data = f"{self.world.owners[name]} {version} {self.world.computed}"
            self.hold(name, data.encode())
        if not self.ends:
            raise OutcomeUnknown(ResultCode.UPSTREAM_LOST)
        total = len(order.block_names) * order.block_tokens
        return RunEnd(order.run_id, version, 1, total, cached * 1000, "stop")

    async def swap(self, version):
        self.version = ""
        await asyncio.sleep(LOAD_S)
        self.version = version


class World:
    """Two engines with their block managers, two stores, and the oracle of imports."""

    def __init__(self):
        random.seed(0)
        self.loop = VirtualLoop()
        self.stores = {name: MemoryStore(self.loop.time) for name in ("s1", "s2")}
        self.owners = {}
        self.computed = 0
        self.runs = 0
        self.engines = [FakeEngine(self) for _ in range(2)]
        self.managers = [self.make_manager(engine) for engine in self.engines]

    def make_manager(self, engine):
        return BlockTransferManager(
            engine,
            lambda: self.stores,
            MemoryPlatform(self.loop.time),
            "holder",
            "team/domain",
            RoutingWeights,
            self.loop.time,
            BlockSettings(block_bytes=100.0, link_bytes_per_s=1e4),
        )

    def check_import(self, name, data, engine):
        account, version, index = self.owners[name]
        assert data.decode().startswith(f"{(account, version, index)} {version} ")
        assert engine.version == version
        stores = [store for store in self.stores.values() if store.good_reads[name]]
        assert stores, "uncommitted or freed"
        stores[0].good_reads[name] -= 1

    def forget_reads(self):
        for store in self.stores.values():
            store.good_reads.clear()

    def make_order(self, account="a", word="rose", blocks=4, version="v1"):
        tokens = [word] * blocks * 1000
        names = name_blocks(account, "m", version, "", tokens)
        for index, name in enumerate(names):
            self.owners[name] = (account, version, (word, index))
        self.runs += 1
        run_id = f"run{self.runs}"
        return RunOrder(run_id, "m", version, "", "", 9, 0, (), names)

    async def serve(self, index, order):
        manager, engine = self.managers[index], self.engines[index]
        await manager.prepare(order, self.loop.time())
        try:
            end = await engine.run(order)
        except OutcomeUnknown:
            manager.abort_run(order.run_id)
            return None
        await manager.complete_run(order, end)
        return end

    def mend(self):
        for store in self.stores.values():
            store.alive, store.delay_s = True, 0.01
        for engine in self.engines:
            engine.ends, engine.deaf = True, False

    def start(self):
        self.loop.run(self._start())

    async def _start(self):
        for manager in self.managers:
            manager.start()

    def close(self):
        self.loop.run(asyncio.wait_for(self.managers[0].close(60.0), 61.0))
        self.loop.run(asyncio.wait_for(self.managers[1].close(60.0), 61.0))
        self.loop.stop_all()


DELAYS_S = [0.0, 0.006, 0.012, 0.017, 0.1, 0.5, 2.5]
MOVES = ["free", "reuse", "tear", "kill", "start", "fill", "slow", "fast"]
ENGINE_MOVES = ["swap", "lose_ends", "give_ends", "deafen", "hear", "clear"]


class Blocks(RuleBasedStateMachine):
    """Stores and engines fail, free, tear and swap at any moment of a transfer."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.start()
        self.tasks = []

    def spawn(self, work):
        self.tasks.append(self.world.loop.create_task(work))

    @rule(
        index=st.integers(0, 1),
        account=st.sampled_from("ab"),
        blocks=st.integers(1, 4),
        version=st.sampled_from(["", "", "", *VERSIONS]),
        moves=st.lists(
            st.tuples(
                st.sampled_from(DELAYS_S),
                st.sampled_from(MOVES + ENGINE_MOVES),
                st.integers(0, 9),
            ),
            max_size=4,
        ),
        rest_s=st.sampled_from([0.0, 1.0, 5.0, 70.0]),
    )
    def serve(self, index, account, blocks, version, moves, rest_s):
        if all(task.done() for task in self.tasks):
            self.world.forget_reads()
        version = version or self.world.engines[index].version or "v1"
        order = self.world.make_order(account, "rose", blocks, version)
        self.spawn(self.world.serve(index, order))
        for delay_s, move, pick in moves:
            self.world.loop.run_for(delay_s)
            if move in MOVES:
                self.move_store(move, pick)
            else:
                self.move_engine(move, self.world.engines[pick % 2])
        self.world.loop.run_for(rest_s)

    @rule(index=st.integers(0, 1))
    def clear(self, index):
        self.world.engines[index].clear()
        self.world.loop.run_for(3.0)

    def move_store(self, move, pick):
        store = list(self.world.stores.values())[pick % 2]
        name = sorted(store.cells)[pick % len(store.cells)] if store.cells else None
        match move:
            case "free":
                store.free(name)
            case "reuse" if name:
                store.open_cell(name, store.cells[name].data[::-1])
            case "tear" if name:
                cell = store.cells[name]
                cell.data = cell.data[:-1] + b"?"
            case "kill":
                store.die()
            case "start":
                store.alive = True
            case "fill":
                store.capacity_bytes = 150 * pick
            case "slow":
                store.delay_s = 20.0
            case "fast":
                store.delay_s = 0.01

    def move_engine(self, move, engine):
        match move:
            case "swap" if engine.version:
                other = VERSIONS[engine.version == "v1"]
                self.spawn(engine.swap(other))
            case "lose_ends" | "give_ends":
                engine.ends = move == "give_ends"
            case "deafen" | "hear":
                engine.deaf = move == "deafen"
            case "clear":
                engine.clear()

    def teardown(self):
        self.world.mend()
        self.world.loop.run_for(120.0)
        for task in self.tasks:
            task.result()
        self.world.close()


Blocks.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=15, deadline=None
)
TestBlocks = Blocks.TestCase


@pytest.fixture
def world():
    world = World()
    world.start()
    yield world
    world.close()


def serve_first(world, **order):
    """Run a prompt at the first engine and let its blocks reach the stores."""
    world.loop.run(world.serve(0, world.make_order(**order)))
    world.loop.run_for(5.0)
    assert sum(len(store.cells) for store in world.stores.values()) == 4


def test_a_repeated_prompt_at_another_engine_is_imported_and_not_computed(world):
    serve_first(world)
    end = world.loop.run(world.serve(1, world.make_order()))
    assert (end.cached_tokens, world.computed) == (4000, 4)


def test_concurrent_runs_of_one_prompt_share_one_prefill(world):
    orders = [world.make_order() for _ in range(2)]

    async def serve_both():
        return await asyncio.gather(*(world.serve(0, order) for order in orders))

    ends = world.loop.run(serve_both())
    assert [end.cached_tokens for end in ends] == [0, 4000]
    assert world.computed == 4


def test_no_block_is_imported_once_a_weight_load_starts_during_the_import(world):
    serve_first(world, blocks=4)
    for store in world.stores.values():
        store.delay_s = 0.1
    order = world.make_order()
    world.loop.run(prepare_during_load(world, order))
    assert world.engines[1].imported == []


async def prepare_during_load(world, order):
    preparing = asyncio.create_task(world.managers[1].prepare(order, world.loop.time()))
    await asyncio.sleep(0.05)
    swapping = asyncio.create_task(world.engines[1].swap("v2"))
    assert (await preparing).blocks == 0
    await swapping
    calls = [store.calls for store in world.stores.values()]
    assert await world.managers[1].prepare(order, world.loop.time()) == ImportResult()
    assert calls == [store.calls for store in world.stores.values()]


def test_blocks_come_from_the_failure_domain_that_the_entry_chose(world):
    serve_first(world, blocks=4)
    stores = dict(world.stores)
    manager = BlockTransferManager(
        world.engines[1],
        dict,
        MemoryPlatform(world.loop.time),
        "holder",
        "team/other",
        RoutingWeights,
        world.loop.time,
        BlockSettings(block_bytes=100.0, link_bytes_per_s=1e4),
        {"domain": stores}.__getitem__,
    )
    order = world.make_order()
    now = world.loop.time()
    assert world.loop.run(manager.prepare(order, now)) == ImportResult()
    result = world.loop.run(manager.prepare(order, now, "domain"))
    assert result.blocks == 4
    assert result.total_bytes > 0


@pytest.mark.parametrize("reused", [False, True])
def test_a_block_freed_while_it_is_read_is_not_imported(world, reused):
    serve_first(world)
    order = world.make_order()
    preparing = world.loop.create_task(world.managers[1].prepare(order, 0.0))
    world.loop.run_for(0.005)
    for store in world.stores.values():
        cell = store.cells.get(order.block_names[1])
        store.free(order.block_names[1])
        if cell and reused:
            store.open_cell(order.block_names[1], cell.data)
    world.loop.run(preparing)
    assert world.engines[1].imported == [order.block_names[0]]


def test_a_run_during_which_weights_are_loaded_exports_nothing(world):
    order = world.make_order()

    async def resume():
        serving = asyncio.create_task(world.serve(0, order))
        await asyncio.sleep(BLOCK_S)
        await world.engines[0].swap("v2")
        return await serving

    assert world.loop.run(resume()).version == "v1"
    world.loop.run_for(5.0)
    assert not any(store.cells for store in world.stores.values())


def test_a_run_answered_by_another_version_exports_nothing(world):
    world.engines[0].version = "v2"
    order = world.make_order(version="v1")
    assert world.loop.run(world.serve(0, order)).version == "v2"
    world.engines[0].version = "v1"
    assert world.loop.run(world.serve(0, world.make_order())).version == "v1"
    world.loop.run_for(5.0)
    assert not any(store.cells for store in world.stores.values())


@pytest.mark.parametrize("lost", [False, True])
def test_a_run_without_end_mark_under_another_version_taints_its_block_names(
    world, lost
):
    engine = world.engines[0]
    engine.version, engine.ends = "v2", not lost
    order = world.make_order(version="v1", blocks=8)
    serving = world.loop.create_task(world.serve(0, order))
    world.loop.run_for((10 if lost else 3) * BLOCK_S)
    engine.version, engine.ends = "v1", True
    world.loop.run(world.serve(0, world.make_order(blocks=2)))
    world.loop.run_for(BLOCK_S)
    assert serving.done() is lost
    assert not any(store.cells for store in world.stores.values())


def test_blocks_go_to_the_second_choice_when_a_store_is_full(world):
    world.stores["s1"].capacity_bytes = 10
    serve_first(world)
    assert len(world.stores["s2"].cells) == 4
    world.loop.run(world.serve(1, world.make_order()))
    assert world.computed == 4


def test_unreachable_stores_delay_a_run_by_no_more_than_its_prefill(world):
    serve_first(world)
    for store in world.stores.values():
        store.die()
    start_s = world.loop.time()
    world.loop.run(world.serve(1, world.make_order()))
    assert world.loop.time() - start_s == pytest.approx(4 * BLOCK_S)


def test_a_store_that_fails_slowly_is_paused():
    loop = VirtualLoop()
    store = MemoryStore(loop.time, delay_s=SLOW_ERROR_S)
    store.open_cell("name", b"torn").committed = True
    stores = BlockStores(lambda: {"s1": store}, loop.time)
    for now_s in (0.0, UNREACHABLE_PAUSE_S / 2, UNREACHABLE_PAUSE_S + SLOW_ERROR_S):
        loop.run_for(now_s - loop.time() if now_s > loop.time() else 0.0)
        with pytest.raises(StoreError):
            loop.run(stores.fetch("name"))
    assert store.calls == 4
    loop.stop_all()


def test_an_import_over_a_slow_link_stops_at_the_estimated_prefill_end(world):
    serve_first(world)
    for store in world.stores.values():
        store.delay_s = 3600.0
    start_s = world.loop.time()
    world.loop.run(world.serve(1, world.make_order()))
    assert world.loop.time() - start_s == pytest.approx(2 * 4 * BLOCK_S)
    world.engines[1].clear()
    world.loop.run_for(3.0)
    start_s = world.loop.time()
    world.loop.run(world.serve(1, world.make_order()))
    assert world.loop.time() - start_s == pytest.approx(4 * BLOCK_S)


def test_two_evictors_free_a_full_store_and_keep_a_write_in_progress(world):
    serve_first(world)
    store = max(world.stores.values(), key=lambda store: len(store.cells))
    last = sorted(store.cells)[-1]
    count = len(store.cells)
    written = store.open_cell(last, store.cells[last].data)
    store.capacity_bytes = store.used_bytes
    world.loop.run_for(100.0)
    assert 0 < len(store.cells) < count
    assert store.cells[last] is written
    store.capacity_bytes = len(written.data)
    world.loop.run_for(400.0)
    assert last not in store.cells
