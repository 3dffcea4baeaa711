import asyncio
from contextlib import asynccontextmanager

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_core.stream_origins import ServiceBuild
from persimmonferry_gateway import build_records
from persimmonferry_gateway.build_records import BuildRecords

PREFIX = "builds/"
SERVING = {"s": frozenset({"v1", "v2"})}


@asynccontextmanager
async def open_records(registry, is_responsible=lambda item: True):
    records = BuildRecords(registry, PREFIX, is_responsible)
    records.apply_snapshot(await registry.list_items(""))
    records.set_serving(SERVING)
    records.start()
    try:
        yield records
    finally:
        await records.stop()


def test_builds_are_recorded_for_gateways_that_start_later():
    async def scenario():
        registry = FakeRegistry()
        async with open_records(registry):
            await wait_until(lambda: len(registry.items) == 2)
        async with open_records(registry, lambda item: False) as later:
            assert later.list_recorded() == {
                ServiceBuild("s", "v1"),
                ServiceBuild("s", "v2"),
            }

    asyncio.run(scenario())


# A registry that comes back from an older copy has lost the records.
def test_lost_records_are_not_written_again():
    async def scenario():
        registry = FakeRegistry()
        async with open_records(registry) as records:
            await wait_until(lambda: len(registry.items) == 2)
            registry.restore()
            records.apply_snapshot(await registry.list_items(""))
            assert records.list_recorded() == frozenset()
            records.set_serving(SERVING)
            await wait_until(lambda: len(registry.items) == 2)

    asyncio.run(scenario())


def test_a_record_ends_while_its_build_serves(monkeypatch):
    monkeypatch.setattr(build_records, "RENEWAL_INTERVAL_S", 0.05)

    async def scenario():
        registry = FakeRegistry()
        async with open_records(registry):
            await wait_until(lambda: len(registry.items) == 2)
            await wait_until(lambda: registry.calls.count("keep") >= 4)
            for lease in tuple(registry.open_leases):
                registry.expire_lease(lease)
            await wait_until(lambda: len(registry.items) == 2)

    asyncio.run(scenario())


def test_a_failing_registry_keeps_builds_from_being_recorded():
    async def scenario():
        registry = FakeRegistry()
        async with open_records(registry):
            registry.is_unavailable = True
            await wait_until(lambda: "open" in registry.calls)
            registry.is_unavailable = False
            await wait_until(lambda: len(registry.items) == 2)

    asyncio.run(scenario())


def test_a_malformed_record_is_written_again_and_again():
    async def scenario():
        registry = FakeRegistry()
        async with open_records(registry):
            await wait_until(lambda: len(registry.items) == 2)
        for key in tuple(registry.items):
            registry.put(key, b'{"service": 1}')
        registry.calls.clear()
        async with open_records(registry) as records:
            for _ in range(5):
                records.set_serving(SERVING)
                await asyncio.sleep(0.01)
        assert registry.calls.count("write") == 0
        assert records.list_recorded() == frozenset()

    asyncio.run(scenario())
