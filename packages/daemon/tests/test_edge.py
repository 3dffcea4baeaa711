"""Malformed requests over real sockets get their error and affect nothing else."""

import asyncio
import json
import random

from persimmonferry_core.codes import ResultCode
from persimmonferry_standins.callers import Caller
from persimmonferry_standins.scenarios import make_caller, plan_small, run_with_fleet

SEED = 11
BODY_LIMIT_BYTES = 4 * 1024 * 1024
HEAD = (
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
    "Authorization: Bearer demo-key-drivers\r\nContent-Length: {}\r\n\r\n"
)


async def send_raw(fleet, data, hold_s=0.0):
    """Send bytes, and return the response received within ``hold_s``."""
    address = fleet.processes["entry-1"].addresses["callers"]
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    await writer.drain()
    try:
        if hold_s:
            return await asyncio.wait_for(reader.read(65536), hold_s)
        return b""
    except (TimeoutError, ConnectionError):
        return b""
    finally:
        writer.close()


def read_code(answer):
    _, _, body = answer.partition(b"\r\n\r\n")
    return json.loads(body)["error"]["code"]


async def check_all(fleet):
    caller = make_caller(fleet)
    url = fleet.callers_url("entry-1")
    wrong_key = Caller(fleet.client, url, "demo-key-nobody")
    for receipt, code in (
        (await caller.complete("", "roses"), ResultCode.MALFORMED_REQUEST),
        (await caller.complete("weather", "roses"), ResultCode.UNKNOWN_SERVICE),
        (await caller.complete("orders", "roses"), ResultCode.UNKNOWN_SERVICE),
        (await caller.complete("notes", "x", tier="never"), ResultCode.UNKNOWN_TIER),
        (await wrong_key.complete("notes", "roses"), ResultCode.INVALID_KEY),
        (await caller.call("notes", "/x"), ResultCode.UNKNOWN_SERVICE),
        (await caller.call("orders", "/x"), ResultCode.IDEMPOTENCY_KEY_MISSING),
    ):
        assert receipt.code == code.number
    too_large = HEAD.format(BODY_LIMIT_BYTES + 1).encode() + b"{"
    answer = await send_raw(fleet, too_large, hold_s=5.0)
    assert read_code(answer) == ResultCode.BODY_TOO_LARGE.number


def test_each_bad_request_ends_in_its_numbered_error():
    run_with_fleet(plan_small(models=1), check_all)


def test_malformed_and_aborted_requests_do_not_affect_other_callers():
    async def scenario(fleet):
        source = random.Random(SEED)
        whole = HEAD.format(60).encode()
        body = json.dumps(
            {"model": "notes", "prompt": "x", "max_tokens": 300, "stream": True}
        ).encode()
        whole = HEAD.format(len(body)).encode() + body
        good = asyncio.ensure_future(
            make_caller(fleet).complete("notes", "roses", max_tokens=200)
        )
        for _ in range(120):
            data = bytearray(whole[: source.randrange(1, len(whole) + 1)])
            for _ in range(source.randrange(3)):
                data[source.randrange(len(data))] = source.randrange(256)
            await send_raw(fleet, bytes(data), hold_s=source.choice([0.0, 0.02]))
        assert (await good).whole
        assert (await make_caller(fleet).complete("notes", "roses")).whole

    run_with_fleet(plan_small(models=1), scenario)


def test_a_slow_body_is_refused_with_its_own_code():
    async def scenario(fleet):
        data = HEAD.format(100).encode() + b"{"
        answer = await send_raw(fleet, data, hold_s=8.0)
        assert read_code(answer) == ResultCode.CALLER_TOO_SLOW.number

    run_with_fleet(plan_small(models=1), scenario)
