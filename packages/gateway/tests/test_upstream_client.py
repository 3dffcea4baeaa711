"""Exchanges with upstreams over one client."""

import asyncio

import pytest
from persimmonferry_adapters.http_client import ConnectionReuse, RequestFailure
from persimmonferry_core.held_bytes import MIN_ANSWER_BYTES, Place
from persimmonferry_gateway.interfaces import ResponseHead
from persimmonferry_gateway.upstream_client import (
    MAX_UNREAD_BYTES,
    CancellableClient,
    UpstreamExchange,
)

LARGE_BODY = bytes(range(256)) * 32 * 1024


async def answer_calls(reader, writer):
    """Answer each call at once with its target, and ``/never`` not at all."""
    while line := await reader.readline():
        target = line.split()[1]
        await reader.readuntil(b"\r\n\r\n")
        if target == b"/never":
            continue
        if target == b"/large":
            target = LARGE_BODY
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(target)}\r\nId: a\r\n\r\n"
        writer.write(head.encode() + target)
    writer.close()
    await writer.wait_closed()


def decode_head(status, reason, fields):
    return ResponseHead(status, reason, (), dict(fields)["Id"], False, True)


def run_exchanges(scenario, limit_bytes=MIN_ANSWER_BYTES, **options):
    """Run a coroutine with a function that sends a call, and return its result."""

    async def main():
        server = await asyncio.start_server(answer_calls, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = CancellableClient(force_instance=True, **options)

        client.held_bytes.limit_bytes = limit_bytes

        def send(target):
            reuse = ConnectionReuse.NO_RESEND
            return UpstreamExchange(
                client,
                address,
                "GET",
                target,
                [],
                b"",
                "a",
                decode_head,
                reuse,
                4.0,
                2.0,
            )

        try:
            async with asyncio.timeout(5.0):
                return await scenario(send)
        finally:
            client.close()
            server.close()
            await asyncio.sleep(0.05)

    return asyncio.run(main())


# Cancelling an exchange that had ended ended the one that used its handle next.
def test_cancelling_an_ended_exchange_ends_another_one():
    async def scenario(send):
        # The second exchange waits for the only handle.
        first, second = send("/first"), send("/second")
        await first.wait_for_head()
        first.cancel()
        return await second.read_body(), second.loss

    assert run_exchanges(scenario, max_clients=1) == (b"/second", None)


def test_a_cancelled_exchange_ends_at_once():
    async def scenario(send):
        exchange = send("/never")
        await asyncio.sleep(0.05)
        exchange.cancel()
        return await exchange.wait_for_head(), exchange.was_sent, exchange.loss

    lost = RequestFailure.CONNECTION_LOST
    assert run_exchanges(scenario) == (None, True, lost)


# A response was received as fast as it came, up to 16 MiB for each call.
def test_responses_are_received_before_they_are_read():
    async def scenario(send):
        exchanges = [send("/large") for _ in range(4)]
        memory = exchanges[0]._client.held_bytes
        await asyncio.gather(*(exchange.wait_for_head() for exchange in exchanges))
        await asyncio.sleep(0.3)
        unread_bytes = memory.most[Place.UNREAD]
        bodies = await asyncio.gather(*(exchange.read_body() for exchange in exchanges))
        for exchange in exchanges:
            exchange.close()
        return unread_bytes, bodies, memory.present.values()

    unread_bytes, bodies, left = run_exchanges(scenario)
    # libcurl passes on 16 KiB at a time.
    assert unread_bytes <= 4 * (MAX_UNREAD_BYTES + 16 * 1024)
    assert bodies == [LARGE_BODY] * 4
    assert set(left) == {0}


# Bodies of many calls were received side by side, each up to 16 MiB.
@pytest.mark.parametrize("cancelled", range(3))
def test_large_bodies_exceed_the_limit_of_all_answers(cancelled):
    async def scenario(send):
        exchanges = [send("/large") for _ in range(3)]
        memory = exchanges[0]._client.held_bytes

        async def read(exchange):
            body = await exchange.read_body()
            exchange.close()
            return body

        tasks = [asyncio.create_task(read(exchange)) for exchange in exchanges]
        await asyncio.sleep(0.002)
        exchanges[cancelled].cancel()
        bodies = await asyncio.gather(*tasks)
        return memory.most, [body == LARGE_BODY for body in bodies]

    most, are_whole = run_exchanges(scenario)
    assert most[Place.BODY] < 2 * len(LARGE_BODY)
    assert [are_whole[n] for n in range(3) if n != cancelled] == [True, True]
