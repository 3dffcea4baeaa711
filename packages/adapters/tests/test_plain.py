import asyncio

from persimmonferry_adapters import HttpPlainService
from persimmonferry_core.runs import CallOrder
from persimmonferry_standins import Control, PlainStandIn, open_session


def test_a_call_brings_its_answer_and_runs_once():
    async def scenario():
        plain = PlainStandIn()
        async with open_session(plain) as client:
            order = CallOrder("run", "POST", "/orders", "text/plain", b"7")
            answer = await HttpPlainService(client, plain.url).call(order)
            assert (answer.status, answer.body) == (200, b"done 7")
            runs = await Control(client, plain.url).read_order_runs()
            assert runs.by_order == {"7": 1}

    asyncio.run(scenario())
