import asyncio

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway.registration import Registration


def run_scenario(scenario):
    async def main():
        registry = FakeRegistry()
        registration = Registration(registry, "g/1", b"here:1", 0.3)
        try:
            await scenario(registry, registration)
        finally:
            registry.is_unavailable = False
            await registration.stop()
        assert "g/1" not in registry.items

    asyncio.run(main())


def test_the_key_exists_while_the_process_renews_its_lease():
    async def scenario(registry, registration):
        registration.start()
        await wait_until(lambda: "g/1" in registry.items)
        await wait_until(lambda: registry.calls.count("keep") >= 2)

    run_scenario(scenario)


def test_a_key_left_by_an_earlier_process_is_replaced():
    async def scenario(registry, registration):
        registry.put("g/1", b"there:1")
        registration.start()
        await wait_until(lambda: registry.items["g/1"].value == b"here:1")

    run_scenario(scenario)


def test_an_expired_lease_is_replaced():
    async def scenario(registry, registration):
        registration.start()
        await wait_until(lambda: "g/1" in registry.items)
        revision = registry.items["g/1"].revision
        registry.expire_lease(registry.leases["g/1"])
        await wait_until(
            lambda: (
                "g/1" in registry.items and registry.items["g/1"].revision > revision
            )
        )

    run_scenario(scenario)


def test_registration_succeeds_after_a_registry_outage():
    async def scenario(registry, registration):
        registry.is_unavailable = True
        registration.start()
        await asyncio.sleep(0.2)
        registry.is_unavailable = False
        await wait_until(lambda: "g/1" in registry.items)

    run_scenario(scenario)
