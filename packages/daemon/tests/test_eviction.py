import asyncio

from persimmonferry_core.blocks import name_blocks
from persimmonferry_core.eviction import UseHistory
from persimmonferry_core.exceptions import PlatformUnavailable, SwapConflict
from persimmonferry_core.interfaces import Lease, StoredBlock, StoreUsage, Versioned
from persimmonferry_daemon.eviction import WRITE_GRACE_S, StoreEvictor

NAME = name_blocks("secret", "m", "v", "", ["a"], block_tokens=1)[0]


class FullStore:
    """Holds one block whose write goes on."""

    generation = 1
    removed = ()

    async def read_usage(self):
        return StoreUsage(100, 100)

    async def list_names(self):
        return (NAME,)

    async def read_generation(self, name):
        return 0

    async def read(self, name):
        return StoredBlock(name, self.generation, False, b"")

    async def remove(self, name, generation):
        self.removed = (*self.removed, generation)


class FakePlatform:
    def __init__(self):
        self.value = Versioned("uses/scope", b"", 0)
        self.holder = None

    async def read(self, key):
        return self.value

    async def swap(self, key, value, expected):
        if expected != self.value.revision:
            raise SwapConflict(key, self.value.revision)
        self.value = Versioned(key, value, expected + 1)

    async def acquire_lease(self, name, holder, duration_s, now):
        return None if self.holder else Lease(name, holder, 1, now + duration_s)

    async def release_lease(self, lease):
        raise PlatformUnavailable()


def make_evictor(platform, store, times, history=None):
    return StoreEvictor(
        lambda: {"s1": store},
        platform,
        "holder",
        "scope",
        history or UseHistory(),
        lambda: times[0],
    )


def test_only_a_write_that_stays_open_without_change_is_removed():
    store, times = FullStore(), [0.0]
    evictor = make_evictor(FakePlatform(), store, times)
    for times[0], store.generation in (
        (0.0, 1),
        (WRITE_GRACE_S - 1, 1),
        (WRITE_GRACE_S + 1, 2),
        (2 * WRITE_GRACE_S, 2),
    ):
        assert asyncio.run(evictor.evict()) == 0
    times[0] = 2 * WRITE_GRACE_S + 1
    assert asyncio.run(evictor.evict()) == 1
    assert store.removed == (2,)


def test_without_the_lease_nothing_is_removed():
    platform, store, times = FakePlatform(), FullStore(), [0.0]
    evictor = make_evictor(platform, store, times)
    asyncio.run(evictor.evict())
    platform.holder, times[0] = "another", 2 * WRITE_GRACE_S
    assert asyncio.run(evictor.evict()) == 0
    assert store.removed == ()


def test_processes_learn_of_each_others_uses():
    platform, histories = FakePlatform(), [UseHistory(), UseHistory()]
    histories[0].note(NAME, 7.0)
    for history in histories:
        evictor = make_evictor(platform, FullStore(), [0.0], history)
        asyncio.run(evictor.share_history())
    assert histories[1].find(NAME).last_used_s == 7.0
