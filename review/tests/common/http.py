"""HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass

__all__ = ["Message", "encode_message", "read_message"]


@dataclass
class Message:
    """A request or the head of a response; names of headers are in lower case."""

    first: str
    headers: dict
    body: bytes = b""

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_message(reader, *, with_body=True):
    """Read a message, with its body unless the caller reads it as a stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    message = Message(first, headers)
    if not with_body:
        return message
    if headers.get("transfer-encoding", "") == "chunked":
        message.body = b"".join([part async for part in read_chunks(reader)])
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    return message


async def read_chunks(reader):
    """Yield the chunks of a body; raises an error unless it is complete."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode_message(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    rows = [first, *(f"{name}: {value}" for name, value in headers)]
    rows.append(f"Content-Length: {len(body)}")
    return "\r\n".join(rows).encode("latin-1") + b"\r\n\r\n" + body


async def close_writer(writer) -> None:
    """Close a connection and wait for it, whatever its state."""
    writer.close()
    try:
        async with asyncio.timeout(1.0):
            await writer.wait_closed()
    except (OSError, TimeoutError):
        pass
