import asyncio

from persimmonferry_gateway.shared_calls import SharedCall


def open_call(results):
    """Return a call that waits to be released, and the list of its times."""
    begun = []

    async def make():
        begun.append(len(begun))
        await asyncio.sleep(0.01)
        return results[len(begun) - 1]

    clock = iter(range(100))
    return SharedCall(make, lambda: float(next(clock))), begun


def test_one_call_serves_all_that_asked_before_it():
    async def scenario():
        call, begun = open_call(["a", "b"])
        answers = await asyncio.gather(*(call.get(0.0) for _ in range(5)))
        assert (answers, len(begun)) == (["a"] * 5, 1)

    asyncio.run(scenario())


def test_a_call_that_began_earlier_serves_one_that_asks_later():
    async def scenario():
        call, begun = open_call(["a", "b"])
        first = asyncio.create_task(call.get(0.0))
        await asyncio.sleep(0)
        assert await call.get(0.5) == "b"
        assert (await first, len(begun)) == ("a", 2)

    asyncio.run(scenario())


def test_one_that_waits_no_longer_ends_the_call_of_the_others():
    async def scenario():
        call, begun = open_call(["a"])
        first, second = (asyncio.create_task(call.get(0.0)) for _ in range(2))
        await asyncio.sleep(0.005)
        first.cancel()
        assert (await second, len(begun)) == ("a", 1)

    asyncio.run(scenario())
