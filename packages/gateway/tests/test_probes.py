import asyncio
import json

import pytest
from persimmonferry_adapters.http_client import ConnectionReuse
from persimmonferry_gateway.probes import Prober
from persimmonferry_gateway.upstream_client import CancellableClient, UpstreamExchange
from persimmonferry_platform import PlatformCodec
from persimmonferry_standins.repetition import RepeatingProxy, Repetition
from platform_standins import UpstreamStandIn, seal, write_answer


async def answer_json(arrival, writer, upstream):
    write_answer(writer, 200, b"{}", seal(arrival, upstream))


async def call(client, address):
    """Make a caller's call over a kept connection, and return the answer's body."""
    exchange = UpstreamExchange(
        client,
        address,
        "GET",
        "/read/x",
        [("Request-Id", "id-1")],
        b"",
        "id-1",
        PlatformCodec().decode_response_head,
        ConnectionReuse.NO_RESEND,
        60.0,
        2.0,
    )
    await exchange.wait_for_head()
    return await exchange.read_body()


@pytest.fixture(params=Repetition)
def run_scenario(request):
    """Run a coroutine with an engine whose answers are sent twice."""

    def run(scenario):
        async def main():
            upstream = UpstreamStandIn("e1", [answer_json])
            await upstream.start()
            proxy = RepeatingProxy(upstream.address, request.param)
            await proxy.start()
            entry = json.dumps({**upstream.entry("llm"), "address": proxy.address})
            record = PlatformCodec().decode_upstream("e1", entry.encode())
            client = CancellableClient(force_instance=True)
            try:
                prober = Prober(PlatformCodec(), client)
                await scenario(prober, client, record, upstream)
            finally:
                client.close()
                await proxy.stop()
                await upstream.stop()

        asyncio.run(asyncio.wait_for(main(), 20))

    return run


# An order was given with an outdated count of orders, and the engine refused it.
def test_a_repeated_report_is_not_taken_for_the_next_one(run_scenario):
    async def scenario(prober, client, record, upstream):
        assert (await prober.ask(record)).accepted_orders == 0
        upstream.orders.append({})
        assert (await prober.ask(record)).accepted_orders == 1

    run_scenario(scenario)


# Any JSON object was taken for the report of an engine without models and orders.
def test_the_repeated_answer_to_a_call_is_not_taken_for_a_report(run_scenario):
    async def scenario(prober, client, record, upstream):
        assert await call(client, record.address) == b"{}"
        assert (await prober.ask(record)).versions == (("m1", 1),)

    run_scenario(scenario)


# A caller's call received the engine's report.
def test_a_repeated_report_is_not_taken_for_the_answer_to_a_call(run_scenario):
    async def scenario(prober, client, record, upstream):
        await prober.ask(record)
        assert await call(client, record.address) == b"{}"

    run_scenario(scenario)
