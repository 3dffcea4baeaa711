"""Tests of the server for callers, with handlers that make mistakes."""

import asyncio
from contextlib import suppress

import pytest
from helpers import wait_until
from persimmonferry_core.deployment import CallerLimits
from persimmonferry_core.held_bytes import Place
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


LIMITS = CallerLimits(16384, 400_000, header_timeout_s=3.0, idle_timeout_s=15.0)
BODY = b"b" * LIMITS.body_bytes


class Server:
    """A server whose clock stands still, and whose requests are not answered."""

    def __init__(self):
        self.now = 0.0
        self.requests = []
        self.server = CallerServer("127.0.0.1", 0, self._accept, lambda: self.now)
        self.server.set_limits(LIMITS)
        self.server.room.limit_bytes = 100_000

    def _accept(self, request, caller):
        self.requests.append(request)

    async def connect(self, size, body=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size
        writer.write(head + body)
        return reader, writer

    def pass_time(self, seconds, interval_s=0.25):
        for _ in range(int(seconds / interval_s)):
            self.now += interval_s
            self.server.check(self.now)


def run_server(scenario):
    async def run():
        server = Server()
        server.server.start()
        try:
            await scenario(server)
        finally:
            await server.server.close()

    asyncio.run(run())


# A caller that still sends reads the refusal, not a reset.
def test_a_body_without_room_is_refused_with_a_time_to_return():
    async def scenario(server):
        await server.connect(len(BODY), BODY)
        await wait_until(lambda: server.requests)
        reader, writer = await server.connect(len(BODY), BODY[: len(BODY) // 2])
        waiting = server.server.room._waiting
        await wait_until(lambda: waiting)
        server.pass_time(1.5)
        writer.write(BODY[len(BODY) // 2 :])
        received = await reader.read()
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 0.300" in received
        assert received.count(b"HTTP/1.1 ") == 1
        server.requests[0].release()
        assert server.server.memory.find_size(Place.REQUEST) == 0

    run_server(scenario)


# The rest of the body is malformed; Tornado answers that by itself.
def test_nothing_follows_the_refusal_of_a_body_that_stalls():
    async def scenario(server):
        reader, writer = await server.connect(10, b"b")
        connections = server.server.connections
        await wait_until(lambda: server.server.memory.size)
        server.server.room.idle_s = 1.0
        server.pass_time(2.0)
        writer.write(b"b" * 9 + b"no request\r\n\r\n")
        received = await reader.read()
        assert received.startswith(b"HTTP/1.1 408 ")
        assert received.count(b"HTTP/1.1 ") == 1
        await wait_until(lambda: not len(connections))

    run_server(scenario)


# Without a configuration no limit of bodies is known.
def test_a_body_larger_than_the_room_is_refused_before_there_are_limits():
    async def scenario(server):
        server.server.limits = None
        reader, _ = await server.connect(len(BODY))
        assert (await reader.read()).startswith(b"HTTP/1.1 503 ")

    run_server(scenario)


# Closed connections stayed listed.
def test_closed_connections_are_dropped():
    async def scenario(server):
        for _ in range(20):
            _, writer = await server.connect(10)
            await wait_until(lambda: len(server.server.connections))
            writer.close()
            await wait_until(lambda: not len(server.server.connections))

    run_server(scenario)


def test_a_new_connection_is_served_once_another_one_is_closed():
    async def scenario(server):
        server.server.connections.limit = 1
        _, writer = await server.connect(10)
        connections = server.server.connections
        await wait_until(lambda: connections._busy)
        await server.connect(1, b"b")
        await wait_until(lambda: connections.line_length)
        writer.close()
        await wait_until(lambda: server.requests)

    run_server(scenario)


def test_silent_connections_are_closed():
    async def scenario(server):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.server.port)
        writer.write(b"POST / HT")
        await wait_until(lambda: len(server.server.connections))
        server.pass_time(LIMITS.idle_timeout_s + LIMITS.header_timeout_s + 0.5)
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        assert server.server.count_callers()["caller_connections"] == 0

    run_server(scenario)
