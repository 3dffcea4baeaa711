import asyncio

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway.registration import Registration


def play(scene):
    async def main():
        registry = FakeRegistry()
        registration = Registration(registry, "g/1", b"here:1", 0.3)
        try:
            await scene(registry, registration)
        finally:
            registry.is_away = False
            await registration.stop()
        assert "g/1" not in registry.items

    asyncio.run(main())


def test_the_key_is_there_while_the_process_renews():
    async def scene(registry, registration):
        registration.start()
        await wait_until(lambda: "g/1" in registry.items)
        await wait_until(lambda: registry.calls.count("keep") >= 2)

    play(scene)


def test_a_key_left_by_an_earlier_process_is_taken_over():
    async def scene(registry, registration):
        registry.put("g/1", b"there:1")
        registration.start()
        await wait_until(lambda: registry.items["g/1"].value == b"here:1")

    play(scene)


def test_a_lapsed_lease_is_replaced():
    async def scene(registry, registration):
        registration.start()
        await wait_until(lambda: "g/1" in registry.items)
        revision = registry.items["g/1"].revision
        registry.lapse(registry.leases["g/1"])
        await wait_until(
            lambda: (
                "g/1" in registry.items and registry.items["g/1"].revision > revision
            )
        )

    play(scene)


def test_an_outage_is_survived():
    async def scene(registry, registration):
        registry.is_away = True
        registration.start()
        await asyncio.sleep(0.2)
        registry.is_away = False
        await wait_until(lambda: "g/1" in registry.items)

    play(scene)
