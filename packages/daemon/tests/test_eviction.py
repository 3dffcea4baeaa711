import asyncio

from persimmonferry_core.blocks import name_blocks
from persimmonferry_core.eviction import UseHistory
from persimmonferry_daemon.eviction import WRITE_GRACE_S, StoreEvictor
from persimmonferry_standins.memory import MemoryPlatform, MemoryStore

NAME = name_blocks("secret", "m", "v", "", ["a"], block_tokens=1)[0]


class World:
    """A full store, a platform and evictors at a time that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.platform = MemoryPlatform(self.read_time, delay_s=0.0)
        self.store = MemoryStore(self.read_time, delay_s=0.0, capacity_bytes=100)

    def read_time(self):
        return self.now

    def evict(self, holder="a"):
        return asyncio.run(self.make_evictor(holder, UseHistory()).evict())

    def make_evictor(self, holder, history):
        stores = {"s1": self.store}
        return StoreEvictor(
            lambda: stores, self.platform, holder, "scope", history, self.read_time
        )


def test_only_an_uncommitted_write_unchanged_for_the_grace_period_is_removed():
    world = World()
    evictor = world.make_evictor("a", UseHistory())
    for world.now, rewrite in (
        (0.0, True),
        (WRITE_GRACE_S - 1, False),
        (WRITE_GRACE_S + 1, True),
        (2 * WRITE_GRACE_S, False),
    ):
        if rewrite:
            world.store.open_cell(NAME, b"x" * 100)
        assert asyncio.run(evictor.evict()) == 0
    world.now = 2 * WRITE_GRACE_S + 1
    assert asyncio.run(evictor.evict()) == 1
    assert not world.store.cells


def test_without_the_lease_nothing_is_removed():
    world = World()
    world.store.open_cell(NAME, b"x" * 100).committed = True
    taken = world.platform.acquire_lease("evict/scope/s1", "b", 60.0, 0.0)
    asyncio.run(taken)
    assert world.evict("a") == 0
    assert world.evict("b") == 1


def test_use_histories_are_shared_through_the_platform():
    world, histories = World(), [UseHistory(), UseHistory()]
    histories[0].note(NAME, 7.0)
    for history in histories:
        asyncio.run(world.make_evictor("a", history).share_history())
    assert histories[1].find(NAME).last_used_s == 7.0
