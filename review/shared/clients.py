"""
Clients of one gateway, as a process of their own, on kept channels.

It reads a job (JSON) from its standard input, and writes a line for each request that
has ended to its standard output.
"""

import asyncio
import json
import sys
import time

from parts import LOOPBACK, encode_call, read_head

__all__: list[str] = []

KINDS = {
    # Path, requests a second, time budget, time without an event after which the
    # client leaves, and whether it is a prompt.
    "tool-advice": ("/advice/q", 10.4, 3000, 2.4, True),
    "quote-draft": ("/draft/q", 2.8, 15000, 4.0, True),
    "reserve": ("/reserve/q", 3.3, 1500, 9.9, False),
    "stock-look": ("/stock/q", 1.3, 1500, 9.9, False),
}
# A client gives up this long after its time budget.
SLACK_S = 0.1


class Channel:
    """A kept channel of a client."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.is_kept = False

    async def open(self) -> None:
        """Open the channel unless it is open."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                LOOPBACK, self.port, limit=1 << 20
            )
            self.is_kept = False

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Patience:
    """The time at which a client leaves a stream, as no event has come."""

    def __init__(self, gap_s: float, budget_s: float) -> None:
        self.end_s = time.monotonic() + budget_s
        self.gap_s = gap_s
        self._tail = b""
        self.event_s = time.monotonic()

    def feed(self, data: bytes) -> None:
        """Look for events: an id line at the start of a line."""
        text = self._tail + data
        if b"\nid: " in text or text.startswith(b"id: "):
            self.event_s = time.monotonic()
        self._tail = text[-8:]

    def left(self) -> float:
        """Return the seconds until the client leaves."""
        now = time.monotonic()
        return min(self.end_s - now, self.event_s + self.gap_s - now)


async def read_body(reader: asyncio.StreamReader, fields: dict, left: Patience) -> int:
    """Read a body, and return its length."""

    async def within(work: object) -> bytes:
        return await asyncio.wait_for(work, max(0.001, left.left()))

    size = 0
    if fields.get("transfer-encoding") != "chunked":
        length = int(fields.get("content-length", 0))
        return len(await within(reader.readexactly(length)))
    while count := int(await within(reader.readuntil(b"\r\n")), 16):
        while count:
            data = await within(reader.read(min(count, 1 << 18)))
            if not data:
                raise ConnectionResetError
            count -= len(data)
            size += len(data)
            left.feed(data)
        await within(reader.readexactly(2))
    await within(reader.readexactly(2))
    return size


async def ask(channel: Channel, kind: str, number: int, prefix: str, size: int) -> dict:
    """Send a request, and return how it ended."""
    path, _, budget_ms, gap_s, is_prompt = KINDS[kind]
    parts = f"a{number % 60:x}:1861,b{number:x}:507" if is_prompt else ""
    tokens = "2368,5" if is_prompt else ""
    call_id = f"{prefix}{number:08x}"
    request = encode_call(
        call_id,
        path,
        body=b"x" * size,
        budget_ms=budget_ms,
        parts=parts,
        tokens=tokens,
    )
    result = {"id": call_id, "kind": kind, "status": 0, "kept": False}
    began_s = time.monotonic()
    left = Patience(gap_s, budget_ms / 1000 + SLACK_S)
    try:
        await asyncio.wait_for(channel.open(), 1.0)
        result["kept"] = channel.is_kept
        channel.writer.write(request)
        head = await asyncio.wait_for(read_head(channel.reader), left.left())
        result["status"] = int(head.line.split(" ")[1])
        result["bytes"] = await read_body(channel.reader, head.fields, left)
        result["end"] = "whole"
        channel.is_kept = True
        if head.fields.get("connection", "").lower() == "close":
            channel.close()
    except TimeoutError:
        result["end"] = "the client left"
        channel.close()
    except (OSError, asyncio.IncompleteReadError, ValueError):
        result["end"] = "the gateway closed the channel"
        channel.close()
    result["s"] = round(time.monotonic() - began_s, 3)
    return result


async def run() -> None:
    """Send requests as the job says."""
    job = json.loads(sys.stdin.readline())
    end_s = time.monotonic() + job["for_s"]
    idle: list[Channel] = []
    number = 0
    tasks: set[asyncio.Task] = set()

    async def send(kind: str, number: int) -> None:
        channel = idle.pop() if idle else Channel(job["port"])
        size = job["sizes"].get(kind, 600)
        result = await ask(channel, kind, number, job["prefix"], size)
        print(json.dumps(result), flush=True)
        idle.append(channel)

    async def send_all(kind: str) -> None:
        nonlocal number
        pause_s = 1 / (KINDS[kind][1] * job.get("x", 1.0))
        while time.monotonic() < end_s:
            number += 1
            task = asyncio.create_task(send(kind, number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(pause_s)

    await asyncio.gather(*(send_all(kind) for kind in KINDS))
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(run())
