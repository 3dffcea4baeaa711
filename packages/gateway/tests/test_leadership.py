import asyncio

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.leadership import SAFETY_SHARE, LeaderElection

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


def test_only_one_gateway_leads_with_the_revision_of_its_key_as_fencing_token():
    async def scenario(registry, one, other):
        one.start()
        other.start()
        await wait_until(lambda: is_leader(one) or is_leader(other))
        await asyncio.sleep(2 * LEASE_S)
        assert is_leader(one) != is_leader(other)
        holder = one if is_leader(one) else other
        fence = holder.find_leadership(read_boot_clock()).fence
        assert registry.items[KEY].revision == fence

    run_scenario(scenario)


def test_a_leader_that_can_not_renew_stops_before_its_lease_expires():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        renewed_s = read_boot_clock()
        registry.is_unavailable = True
        await wait_until(lambda: not is_leader(one))
        assert read_boot_clock() - renewed_s <= LEASE_S * (1 - SAFETY_SHARE) + 0.05

    run_scenario(scenario)


def test_leadership_is_over_after_a_suspension():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        assert one.find_leadership(read_boot_clock() + LEASE_S) is None

    run_scenario(scenario)


def test_the_next_leader_has_a_greater_fencing_token():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        first = one.find_leadership(read_boot_clock()).fence
        await one.stop()
        other.start()
        await wait_until(lambda: is_leader(other))
        assert other.find_leadership(read_boot_clock()).fence > first

    run_scenario(scenario)


def test_a_lost_write_response_leaves_no_key_without_a_leader():
    async def scenario(registry, one, other):
        registry.drops_answers = True
        one.start()
        await wait_until(lambda: registry.calls.count("end") >= 1)
        assert not is_leader(one)
        registry.drops_answers = False
        await wait_until(lambda: is_leader(one))

    run_scenario(scenario)


def test_an_expired_lease_ends_the_leadership():
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


# The next leader acted while the one that the older copy lacked still did.
def test_no_leader_acts_before_one_of_the_lost_history_has_stopped():
    async def scenario(registry, one, other):
        one.start()
        await wait_until(lambda: is_leader(one))
        former = one.find_leadership(read_boot_clock())
        registry.restore()
        restored_s = read_boot_clock()
        for election in (one, other):
            election.record_history_replaced(restored_s)
        assert not is_leader(one)
        other.start()
        await wait_until(lambda: is_leader(one) or is_leader(other))
        assert read_boot_clock() >= max(former.until_s, restored_s + LEASE_S)

    run_scenario(scenario)
