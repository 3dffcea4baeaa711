"""Crowds of callers that send large bodies to the process of an entry."""

import asyncio
import re
from contextlib import suppress
from pathlib import Path

import pytest
from persimmonferry_standins.scenarios import make_caller, plan_small, run_with_fleet

pytestmark = pytest.mark.alone

MEMORY_MB = 160
MAX_BODY_BYTES = 4 * 1024 * 1024
CROWD = 40
CROWD_S = 6.0
AFTERWARDS_S = 2.0
PART = b" " * 64 * 1024
LISTENING = "0A"
KEY = "Authorization: Bearer demo-key-drivers\r\n"


def encode_head(path, key):
    length = f"Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    return f"POST {path} HTTP/1.1\r\nHost: x\r\n{key}{length}".encode()


CROWDS = {
    "no route": (encode_head("/nowhere", KEY), MAX_BODY_BYTES - 1),
    "no key": (encode_head("/v1/completions", ""), MAX_BODY_BYTES - 1),
    "without the last byte": (
        encode_head("/v1/completions", KEY),
        MAX_BODY_BYTES - 1,
    ),
    "whole": (encode_head("/v1/completions", KEY), MAX_BODY_BYTES),
    "calls without the last byte": (
        encode_head("/services/orders/x", KEY),
        MAX_BODY_BYTES - 1,
    ),
}


async def return_until(address, head, size, until):
    """Send, and come again whenever the entry answers or closes the connection."""
    while not until.is_set():
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            with suppress(OSError):
                writer.write(head)
                for begin in range(0, size, len(PART)):
                    writer.write(PART[: size - begin])
                    await writer.drain()
            leave = asyncio.create_task(until.wait())
            read = asyncio.create_task(reader.read(1))
            await asyncio.wait((leave, read), return_when=asyncio.FIRST_COMPLETED)
            leave.cancel()
            read.cancel()
            await asyncio.gather(leave, read, return_exceptions=True)
        finally:
            writer.transport.abort()


def read_memory_mb(process, port):
    """Return the present memory, with what was received and has not been read."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    total = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) * 1024
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues = row.split()[:5]
        if int(local.partition(":")[2], 16) == port and state != LISTENING:
            total += int(queues.partition(":")[2], 16)
    return total / 1e6


# Bodies of all callers together had no bound, and those of refused ones were read.
@pytest.mark.parametrize("crowd", CROWDS)
def test_a_crowd_of_large_bodies_ends_no_entry(crowd):
    async def scenario(fleet):
        entry = fleet.processes["entry-1"]
        address = entry.addresses["callers"]
        loop, until = asyncio.get_running_loop(), asyncio.Event()
        members = [
            asyncio.create_task(return_until(address, *CROWDS[crowd], until))
            for _ in range(CROWD)
        ]
        most, leave_s = 0.0, loop.time() + CROWD_S
        while loop.time() < leave_s + AFTERWARDS_S:
            if loop.time() > leave_s:
                until.set()
            most = max(most, read_memory_mb(entry.process, address.port))
            await asyncio.sleep(0.02)
        left = read_memory_mb(entry.process, address.port)
        for member in members:
            member.cancel()
        await asyncio.gather(*members, return_exceptions=True)
        answer = await make_caller(fleet).complete("notes", "roses")
        print(f"{most:.0f} MB with unread ones, {left:.0f} MB afterwards")
        assert entry.is_running
        assert most < MEMORY_MB
        assert answer.whole

    run_with_fleet(plan_small(models=1), scenario)
