"""Answers of the systems outside of the product that are sent twice, once late."""

import asyncio

import pytest
from persimmonferry_adapters import (
    HttpEngine,
    HttpPlainService,
    HttpPlatform,
    HttpStore,
    HttpVMList,
)
from persimmonferry_core.exceptions import StoreError
from persimmonferry_core.topology import VM, Address, FailureDomain, Role, VMState
from persimmonferry_standins import (
    EngineStandIn,
    PlainStandIn,
    PlatformStandIn,
    StoreStandIn,
    VMListStandIn,
    block_bytes,
    open_session,
)
from persimmonferry_standins.faults import Refuse
from persimmonferry_standins.repetition import RepeatingProxy, Repetition


@pytest.fixture(params=Repetition)
def run_scenario(request):
    """Run a coroutine with an adapter to a stand-in whose answers are sent twice."""

    def run(scenario, adapter, standin):
        async def main():
            async with open_session(standin) as client:
                target = f"127.0.0.1:{standin.port}"
                proxy = RepeatingProxy(target, request.param)
                await proxy.start()
                try:
                    await scenario(adapter(client, proxy.url), standin)
                finally:
                    await proxy.stop()

        asyncio.run(asyncio.wait_for(main(), 20))

    return run


# A value was returned as that of another key, such as a journal segment.
def test_a_repeated_value_is_not_taken_for_that_of_another_key(run_scenario):
    async def scenario(adapter, platform):
        platform.swap("a", b"of a", 0)
        platform.swap("b", b"of b", 0)
        assert (await adapter.read("a")).value == b"of a"
        assert (await adapter.read("b")).value == b"of b"
        assert (await adapter.watch("a", 0, 1.0)).value == b"of a"
        assert (await adapter.watch("b", 0, 1.0)).value == b"of b"

    run_scenario(scenario, HttpPlatform, PlatformStandIn())


# Two holders had the same lease.
def test_a_repeated_grant_does_not_renew_a_lost_lease(run_scenario):
    async def scenario(adapter, platform):
        lease = await adapter.acquire_lease("n", "h1", 10.0, 0.0)
        platform.release("n", "h1", lease.fencing)
        platform.acquire("n", "h2", 10.0, asyncio.get_running_loop().time())
        assert await adapter.acquire_lease("n", "h1", 10.0, 0.0) is None

    run_scenario(scenario, HttpPlatform, PlatformStandIn())


# A block counted as stored whose commit the store had refused.
def test_a_repeated_commit_does_not_confirm_another_one(run_scenario):
    async def scenario(adapter, store):
        first = await adapter.write("a", b"data")
        await adapter.commit("a", first)
        with pytest.raises(StoreError):
            await adapter.commit("b", 99)

    run_scenario(scenario, HttpStore, StoreStandIn())


# A block was read as freed, or as stored, by the generation of another one.
def test_a_repeated_generation_is_not_taken_for_that_of_another_block(run_scenario):
    async def scenario(adapter, store):
        first = await adapter.write("a", b"data")
        await adapter.commit("a", first)
        assert await adapter.read_generation("a") == first
        assert await adapter.read_generation("b") == 0
        assert await adapter.list_names() == ("a",)
        assert (await adapter.read_usage()).used_bytes == 4
        assert (await adapter.read("a")).data == b"data"

    run_scenario(scenario, HttpStore, StoreStandIn())


# A block counted as imported that the engine had refused.
def test_a_repeated_import_does_not_confirm_another_one(run_scenario):
    async def scenario(adapter, engine):
        await adapter.import_block("a", block_bytes("a", 128))
        engine.set_fault(Refuse(path="/v1/blocks/b"))
        with pytest.raises(StoreError):
            await adapter.import_block("b", block_bytes("b", 128))
        assert await adapter.export_block("a")
        assert await adapter.read_cache_events(0)
        assert (await adapter.read_load()).running == 0

    run_scenario(scenario, HttpEngine, EngineStandIn())


def test_a_repeated_load_is_not_taken_for_the_next_one(run_scenario):
    async def scenario(adapter, service):
        assert (await adapter.read_load()).running == 0
        service.running = 1
        assert (await adapter.read_load()).running == 1

    run_scenario(scenario, HttpPlainService, PlainStandIn())


def test_a_repeated_list_of_vms_is_not_taken_for_the_next_one(run_scenario):
    vm = VM(
        "vm",
        Role.ENTRY,
        Address("127.0.0.1", 1),
        FailureDomain("region", "domain"),
        VMState.LIVE,
    )

    async def scenario(adapter, vms):
        assert await adapter.read() == ()
        vms.set_vms((vm,), 0.0)
        assert await adapter.read() == (vm,)

    run_scenario(scenario, HttpVMList, VMListStandIn())
