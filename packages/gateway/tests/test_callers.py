"""Tests of the server for callers, with handlers that make mistakes."""

import asyncio

import pytest
from persimmonferry_gateway.callers import CallerServer

REQUEST = b"POST /%d HTTP/1.1\r\nHost: host.example\r\nContent-Length: 0\r\n\r\n"


def serve(accept, requests=1):
    """Return all bytes that a caller receives for requests that are sent at once."""

    async def run():
        read_clock = asyncio.get_running_loop().time
        server = CallerServer("127.0.0.1", 0, accept, read_clock)
        server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        for number in range(requests):
            writer.write(REQUEST % number)
        received = b""
        try:
            async with asyncio.timeout(0.5):
                while data := await reader.read(65536):
                    received += data
        except TimeoutError:
            pass
        writer.close()
        await server.close()
        return received

    return asyncio.run(run())


# A second answer was written into the answer that had begun.
@pytest.mark.parametrize("begins", ["whole", "head"])
def test_a_request_gets_one_head(begins):
    def accept(request, caller):
        caller.send_head(200, "OK", [])
        caller.send_chunk(b"begun")
        if begins == "whole":
            caller.send_complete(500, "Fault", [], b"second")
        else:
            caller.send_head(500, "Fault", [])
            caller.send_chunk(b"second")
            caller.finish()

    received = serve(accept)
    assert received.count(b"HTTP/1.1 ") == 1
    assert b"second" not in received
    assert not received.endswith(b"0\r\n\r\n")


# What a handler did after its answer had ended affected the answer of the next request.
@pytest.mark.parametrize("mistake", ["abort", "chunk", "finish", "whole"])
def test_nothing_follows_an_answer_that_has_ended(mistake):
    earlier = []

    def accept(request, caller):
        match earlier and mistake:
            case "abort":
                earlier[0].abort()
            case "chunk":
                earlier[0].send_chunk(b"late")
            case "finish":
                earlier[0].finish()
            case "whole":
                earlier[0].send_complete(500, "Fault", [], b"late")
        earlier.append(caller)
        caller.send_complete(200, "OK", [], request.target.encode())

    received = serve(accept, requests=2)
    answers = received.split(b"HTTP/1.1 ")[1:]
    assert [answer.partition(b"\r\n\r\n")[2] for answer in answers] == [b"/0", b"/1"]
