"""Exchanges with upstreams over one client."""

import asyncio

from persimmonferry_adapters.http_client import ConnectionReuse, RequestFailure
from persimmonferry_gateway.interfaces import ResponseHead
from persimmonferry_gateway.upstream_client import CancellableClient, UpstreamExchange


async def answer_calls(reader, writer):
    """Answer each call at once with its target, and ``/never`` not at all."""
    while line := await reader.readline():
        target = line.split()[1]
        await reader.readuntil(b"\r\n\r\n")
        if target == b"/never":
            continue
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(target)}\r\nId: a\r\n\r\n"
        writer.write(head.encode() + target)
    writer.close()
    await writer.wait_closed()


def decode_head(status, reason, fields):
    return ResponseHead(status, reason, (), dict(fields)["Id"], False, True)


def run_exchanges(scenario, **options):
    """Run a coroutine with a function that sends a call, and return its result."""

    async def main():
        server = await asyncio.start_server(answer_calls, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = CancellableClient(force_instance=True, **options)

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
