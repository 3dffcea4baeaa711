import asyncio

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.duty import SAFETY_SHARE, LeaderElection

KEY = "duty"
LEASE_S = 0.6


def run_scenario(scenario):
    async def main():
        registry = FakeRegistry()
        elections = [
            LeaderElection(registry, KEY, name, LEASE_S) for name in ("g1", "g2")
        ]
        watching = asyncio.create_task(follow(registry, elections))
        try:
            await scenario(registry, *elections)
        finally:
            watching.cancel()
            registry.is_unavailable = False
            for election in elections:
                await election.stop()

    asyncio.run(main())


async def follow(registry, elections):
    while True:
        for election in elections:
            election.record_leader(KEY in registry.items)
        await asyncio.sleep(0.02)


def is_leader(election):
    return election.find_leadership(read_boot_clock()) is not None


def test_one_of_two_holds_the_duty_with_the_fence_of_its_key():
    async def scenario(registry, one, other):
        one.start()
        other.start()
        await wait_until(lambda: is_leader(one) or is_leader(other))
        await asyncio.sleep(2 * LEASE_S)
        assert is_leader(one) != is_leader(other)
        leader = one if is_leader(one) else other
        fence = leader.find_leadership(read_boot_clock()).fence
        assert registry.items[KEY].revision == fence

    run_scenario(scenario)


def test_a_holder_that_can_not_renew_stops_before_its_lease_can_lapse():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        renewed_s = read_boot_clock()
        registry.is_unavailable = True
        await wait_until(lambda: not is_leader(one))
        assert read_boot_clock() - renewed_s <= LEASE_S * (1 - SAFETY_SHARE) + 0.05

    run_scenario(scenario)


def test_a_holder_that_was_suspended_finds_its_holding_over():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        assert one.find_leadership(read_boot_clock() + LEASE_S) is None

    run_scenario(scenario)


def test_the_next_holder_has_a_greater_fence():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        first = one.find_leadership(read_boot_clock()).fence
        await one.stop()
        other.start()
        await wait_until(lambda: is_leader(other))
        assert other.find_leadership(read_boot_clock()).fence > first

    run_scenario(scenario)


def test_a_lost_answer_leaves_no_key_behind_that_nobody_renews():
    async def scenario(registry, one, other):
        registry.drops_answers = True
        one.start()
        await wait_until(lambda: registry.calls.count("end") >= 1)
        assert not is_leader(one)
        registry.drops_answers = False
        await wait_until(lambda: is_leader(one))

    run_scenario(scenario)


def test_a_lapsed_lease_ends_the_holding():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        lease = one.find_leadership(read_boot_clock()).lease
        fence = one.find_leadership(read_boot_clock()).fence
        registry.expire_lease(lease)
        await wait_until(
            lambda: KEY in registry.items and registry.items[KEY].revision > fence
        )
        await wait_until(lambda: is_leader(one))
        assert one.find_leadership(read_boot_clock()).fence > fence

    run_scenario(scenario)
