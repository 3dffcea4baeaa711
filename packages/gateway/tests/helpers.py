"""Helpers that several test modules share."""

import asyncio
import socket


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def find_free_datagram_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
