import asyncio

from fakeregistry import FakeRegistry
from helpers import wait_until
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.duty import SAFETY_SHARE, Duty

KEY = "duty"
LEASE_S = 0.6


def play(scene):
    async def main():
        registry = FakeRegistry()
        duties = [Duty(registry, KEY, name, LEASE_S) for name in ("g1", "g2")]
        watching = asyncio.create_task(follow(registry, duties))
        try:
            await scene(registry, *duties)
        finally:
            watching.cancel()
            registry.is_away = False
            for duty in duties:
                await duty.stop()

    asyncio.run(main())


async def follow(registry, duties):
    while True:
        for duty in duties:
            duty.note_taken(KEY in registry.items)
        await asyncio.sleep(0.02)


def is_held(duty):
    return duty.find_holding(read_boot_clock()) is not None


def test_one_of_two_holds_the_duty_with_the_fence_of_its_key():
    async def scene(registry, one, other):
        one.start()
        other.start()
        await wait_until(lambda: is_held(one) or is_held(other))
        await asyncio.sleep(2 * LEASE_S)
        assert is_held(one) != is_held(other)
        holder = one if is_held(one) else other
        fence = holder.find_holding(read_boot_clock()).fence
        assert registry.items[KEY].revision == fence

    play(scene)


def test_a_holder_that_can_not_renew_stops_before_its_lease_can_lapse():
    async def scene(registry, one, other):
        one.start()
        await wait_until(lambda: is_held(one))
        renewed_s = read_boot_clock()
        registry.is_away = True
        await wait_until(lambda: not is_held(one))
        assert read_boot_clock() - renewed_s <= LEASE_S * (1 - SAFETY_SHARE) + 0.05

    play(scene)


def test_a_holder_that_was_suspended_finds_its_holding_over():
    async def scene(registry, one, other):
        one.start()
        await wait_until(lambda: is_held(one))
        assert one.find_holding(read_boot_clock() + LEASE_S) is None

    play(scene)


def test_the_next_holder_has_a_greater_fence():
    async def scene(registry, one, other):
        one.start()
        await wait_until(lambda: is_held(one))
        first = one.find_holding(read_boot_clock()).fence
        await one.stop()
        other.start()
        await wait_until(lambda: is_held(other))
        assert other.find_holding(read_boot_clock()).fence > first

    play(scene)


def test_a_lost_answer_leaves_no_key_behind_that_nobody_renews():
    async def scene(registry, one, other):
        registry.loses_answers = True
        one.start()
        await wait_until(lambda: registry.calls.count("end") >= 1)
        assert not is_held(one)
        registry.loses_answers = False
        await wait_until(lambda: is_held(one))

    play(scene)


def test_a_lapsed_lease_ends_the_holding():
    async def scene(registry, one, other):
        one.start()
        await wait_until(lambda: is_held(one))
        lease = one.find_holding(read_boot_clock()).lease
        fence = one.find_holding(read_boot_clock()).fence
        registry.lapse(lease)
        await wait_until(
            lambda: KEY in registry.items and registry.items[KEY].revision > fence
        )
        await wait_until(lambda: is_held(one))
        assert one.find_holding(read_boot_clock()).fence > fence

    play(scene)
