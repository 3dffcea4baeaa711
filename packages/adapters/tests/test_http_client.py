import asyncio

import pytest
from persimmonferry_adapters.http_client import (
    MAX_SHORT_RESPONSE_BYTES,
    ConnectionReuse,
    Request,
    RequestFailure,
    close_connection,
    fetch,
    fetch_complete,
)
from persimmonferry_standins import open_session
from persimmonferry_standins.heads import SOUND_HEADS, SPOILT_HEADS, RawHead
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


def request_once(data, send=fetch_complete, **options):
    """Return what one request to a server gets that answers with these bytes."""

    async def scenario():
        server = RawServer(lambda request: RawAnswer(data))
        await server.start()
        async with open_session() as client:
            found = await send(client, Request(server.url + "/", **options))
        await server.stop()
        return found

    return asyncio.run(asyncio.wait_for(scenario(), 10))


# Two lengths, or a length and chunks, passed for one.
@pytest.mark.parametrize("name", SPOILT_HEADS)
def test_a_response_with_a_spoilt_head_is_complete(name):
    found = request_once(SPOILT_HEADS[name].encode(b"whole"))
    assert found is RequestFailure.UNREADABLE


# A stream of an engine or an agent was read behind a spoilt head.
@pytest.mark.parametrize("name", SPOILT_HEADS)
def test_bytes_behind_a_spoilt_head_are_delivered(name):
    data, parts = SPOILT_HEADS[name].encode(b"whole"), []
    found = request_once(data, fetch, streaming_callback=parts.append)
    assert (found, parts) == (RequestFailure.UNREADABLE, [])


@pytest.mark.parametrize("name", SOUND_HEADS)
def test_a_response_with_a_sound_head_is_refused(name):
    found = request_once(SOUND_HEADS[name].encode(b"whole"))
    if name in ("no length", "no coding"):
        assert found is RequestFailure.TRUNCATED
    else:
        assert (found.code, found.body) == (200, b"whole")


# Tornado's client adds the fields of trailers to those of the head.
def test_a_trailer_counts_as_a_field_of_the_head():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    found = request_once(head + b"1\r\na\r\n0\r\nStore-Era: 9\r\n\r\n")
    assert (found.body, found.headers.get("Store-Era")) == (b"a", None)


@pytest.mark.parametrize(
    "trailer", [b": x", b"A : x", b"A: \x01", b"Content-Length: 1"]
)
def test_a_response_with_a_spoilt_trailer_is_complete(trailer):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    found = request_once(head + b"1\r\na\r\n0\r\n" + trailer + b"\r\n\r\n")
    assert found is RequestFailure.UNREADABLE


# Nothing marks a body there, so no bytes of it are the response's.
@pytest.mark.parametrize("line", ["Content-Length: 5", "Transfer-Encoding: chunked"])
def test_a_response_without_a_body_announces_one(line):
    head = RawHead((line,), status_line="HTTP/1.1 204 X")
    assert request_once(head.encode(b"whole")) is RequestFailure.UNREADABLE


def test_the_length_of_a_body_that_is_not_sent_is_refused():
    head = RawHead(("Content-Length: 800",), status_line="HTTP/1.1 304 X")
    assert request_once(head.encode(b"")).code == 304
    assert (
        request_once(RawHead(("Content-Length: 800",)).encode(b""), method="HEAD").code
        == 200
    )
