import asyncio

from persimmonferry_adapters import HttpEngine
from persimmonferry_core.runs import RunOrder
from persimmonferry_standins import EngineStandIn, answer_tokens, open_session


def make_order(run_id="run", **fields):
    defaults = dict(
        model="model",
        version="v1",
        adapter="",
        prompt="two red roses",
        max_tokens=20,
        priority=0,
    )
    return RunOrder(run_id=run_id, **{**defaults, **fields})


def test_a_run_delivers_the_right_answer_and_its_end_mark():
    async def scenario():
        engine = EngineStandIn()
        async with open_session(engine) as client:
            batches = []
            end = await HttpEngine(client, engine.url).run(make_order(), batches.append)
            tokens = tuple(token for batch in batches for token in batch.tokens)
            assert tokens == answer_tokens("two red roses", "v1", 20)
            assert end.total_tokens == 20
            assert end.prompt_tokens == 3

    asyncio.run(scenario())
