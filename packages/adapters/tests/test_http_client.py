import asyncio

import pytest
from persimmonferry_adapters.http_client import (
    MAX_SHORT_RESPONSE_BYTES,
    ConnectionReuse,
    Request,
    RequestFailure,
    close_connection,
    fetch_complete,
)
from persimmonferry_standins import open_session
from persimmonferry_standins.raw import RawAnswer, RawServer


# After one repeated answer, each later answer was that to the request before.
def test_a_connection_with_the_answer_to_another_request_is_closed():
    def answer(request):
        target = request.split(b" ")[1]
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
            len(target),
            target,
        )
        pending, late[:] = bytes(late), whole if target == b"/1" else b""
        return RawAnswer(pending + whole, close=False)

    late = bytearray()

    async def scenario():
        server = RawServer(answer)
        await server.start()
        async with open_session() as client:

            async def read(target):
                url = server.url + target
                request = Request(url, reuse=ConnectionReuse.ALLOWED)
                return (await fetch_complete(client, request)).body

            assert [await read("/1"), await read("/2")] == [b"/1", b"/1"]
            opened = server.connections
            await close_connection(client, server.url)
            await asyncio.sleep(0.05)
            assert (opened, server.connections) == (1, 0)
            assert [await read("/3"), await read("/4")] == [b"/3", b"/4"]
            assert len(server.requests) == 4
        await server.stop()

    asyncio.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("excess", [0, 1])
def test_a_body_above_its_limit_is_refused(excess):
    body = b"x" * (MAX_SHORT_RESPONSE_BYTES + excess)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario():
        server = RawServer(lambda request: RawAnswer(head + body))
        await server.start()
        async with open_session() as client:
            limit = {"max_response_bytes": MAX_SHORT_RESPONSE_BYTES}
            found = await fetch_complete(client, Request(server.url + "/", **limit))
        await server.stop()
        return found if excess else found.body

    expected = RequestFailure.TOO_LARGE if excess else body
    assert asyncio.run(asyncio.wait_for(scenario(), 10)) == expected
