import asyncio
from contextlib import suppress

import pytest
from persimmonferry_adapters import (
    HttpEngine,
    HttpPlainService,
    HttpPlatform,
    HttpStore,
    HttpVMList,
)
from persimmonferry_core.exceptions import (
    NotRun,
    OutcomeUnknown,
    PlatformError,
    PlatformUnavailable,
    StoreError,
)
from persimmonferry_core.interfaces import Lease
from persimmonferry_core.runs import CallOrder, EngineOrder, LoadVersion, RunOrder
from persimmonferry_standins import open_session
from persimmonferry_standins.raw import RawAnswer, RawServer

RUN = RunOrder("run", "model", "v1", "", "prompt", 3, 0)
CALL = CallOrder("run", "POST", "/orders", "", b"7")
ORDER = EngineOrder(1, LoadVersion("model", "v1"))
STATUSES = (200, 201, 204, 302, 400, 404, 409, 413, 500, 503, 507)
BODIES = (
    b"",
    b"[]",
    b"{}",
    b"3",
    b"\xff",
    b"<html></html>\n",
    b'{"run_id":"run","refused":{}}\n',
    b'{"refused":3}',
    b'{"run_id":"run","refused":{"code":2013,"reason":"","retry_after_s":"x"}}\n',
    b'{"run_id":"run","refused":{"code":[],"reason":""}}\n',
    b'{"generation":"x","names":3,"fencing":[],"vms":[{}],"events":[1]}',
    b'{"surprise":1}',
)
ENGINE_ERRORS = (NotRun, OutcomeUnknown, StoreError)
CASES = {
    "run": (HttpEngine, lambda a: a.run(RUN, print), OutcomeUnknown),
    "cancel": (HttpEngine, lambda a: a.cancel("run"), ENGINE_ERRORS),
    "engine load": (HttpEngine, lambda a: a.read_load(), ENGINE_ERRORS),
    "events": (HttpEngine, lambda a: a.read_cache_events(0), ENGINE_ERRORS),
    "export": (HttpEngine, lambda a: a.export_block("a"), ENGINE_ERRORS),
    "import": (HttpEngine, lambda a: a.import_block("a", b"x"), ENGINE_ERRORS),
    "order": (HttpEngine, lambda a: a.give_order(ORDER), OutcomeUnknown),
    "call": (HttpPlainService, lambda a: a.call(CALL), OutcomeUnknown),
    "plain load": (HttpPlainService, lambda a: a.read_load(), OutcomeUnknown),
    "read": (HttpPlatform, lambda a: a.read("k"), PlatformUnavailable),
    "swap": (HttpPlatform, lambda a: a.swap("k", b"", 1), PlatformError),
    "watch": (HttpPlatform, lambda a: a.watch("k", 1, 0.1), PlatformUnavailable),
    "acquire": (
        HttpPlatform,
        lambda a: a.acquire_lease("n", "h", 1.0, 0.0),
        PlatformUnavailable,
    ),
    "release": (
        HttpPlatform,
        lambda a: a.release_lease(Lease("n", "h", 1, 1.0)),
        PlatformUnavailable,
    ),
    "write": (HttpStore, lambda a: a.write("a", b"x"), StoreError),
    "commit": (HttpStore, lambda a: a.commit("a", 1), StoreError),
    "block": (HttpStore, lambda a: a.read("a"), StoreError),
    "generation": (HttpStore, lambda a: a.read_generation("a"), StoreError),
    "remove": (HttpStore, lambda a: a.remove("a", 1), StoreError),
    "names": (HttpStore, lambda a: a.list_names(), StoreError),
    "usage": (HttpStore, lambda a: a.read_usage(), StoreError),
    "vms": (HttpVMList, lambda a: a.read(), PlatformUnavailable),
}
# Methods for which a status alone is a valid response, and that status.
STATUS_ONLY_RESPONSES = {
    "cancel": 200,
    "import": 200,
    "order": 200,
    "watch": 204,
    "acquire": 409,
    "release": 200,
    "commit": 200,
    "remove": 200,
}


def make_responses():
    """Yield responses that the interfaces do not allow, with their statuses."""
    for status in STATUSES:
        for body in (b"",) if status == 204 else BODIES:
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
            yield status, head % (status, len(body)) + body


@pytest.mark.parametrize("name", CASES)
def test_unexpected_response_raises_declared_error(name):
    kind, call, errors = CASES[name]
    answers = list(make_responses())

    async def scenario():
        server = RawServer(lambda _: RawAnswer(answers[len(server.requests) - 1][1]))
        await server.start()
        async with open_session() as client:
            adapter = kind(client, server.url)
            for status, _ in answers:
                plain = status == STATUS_ONLY_RESPONSES.get(name)
                with suppress(errors) if plain else pytest.raises(errors):
                    await call(adapter)
        await server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))
