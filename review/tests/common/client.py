"""Clients as PROTOCOL.md describes them."""

import asyncio
import itertools
import re
import time
from dataclasses import dataclass, field

from common.http import close_writer, read_chunks, read_message

__all__ = ["Attempt", "Stream", "ask", "stream_once"]

CONNECT_S = 1.0
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
_numbers = itertools.count(1)


@dataclass
class Attempt:
    """
    One client attempt and its answer.

    :param status: 0 without an answer; -1 if no channel could be opened.
    """

    call_id: str
    gateway: str
    sent_s: float
    headers: dict
    status: int = 0
    answer: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended_s: float = 0.0

    @property
    def events(self):
        return [(int(number), data) for number, data in _EVENT.findall(self.body)]

    @property
    def retry_after_s(self):
        return float(self.answer.get("retry-after", 0.0))


@dataclass
class Stream:
    """What a client got of one stream over its attempts."""

    client: str
    attempts: list = field(default_factory=list)

    @property
    def builds(self):
        found = {data for item in self.attempts for _, data in item.events}
        return sorted(build.decode() for build in found)

    @property
    def last_id(self):
        return max((n for item in self.attempts for n, _ in item.events), default=0)

    @property
    def first_call(self):
        """The id of the attempt that brought the first event."""
        return next(item.call_id for item in self.attempts if item.events)


def make_headers(client, budget_ms, **more):
    headers = {
        "Host": "site.example",
        "Request-Id": f"r{next(_numbers):06d}",
        "Deadline-Ms": str(int(budget_ms)),
        "X-Api-Key": "key-one",
        "Content-Length": "0",
    }
    return headers | more


def prompt_headers(client, tokens):
    return {
        "Model": "m1",
        "Token-Counts": f"160,{tokens}",
        "Prefix-Hash": f"aa01:100,{sum(client.encode()):04x}:60",
    }


async def ask(gateway, method, path, headers, timeout_s, *, on_open=None, note=None):
    """Send a request on a new channel and read its answer until its end."""
    attempt = Attempt(headers["Request-Id"], gateway.name, time.monotonic(), headers)
    if note is not None:
        note(f"{headers['Request-Id']} sent to {gateway.name}: {method} {path}")
    try:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
    except (OSError, TimeoutError):
        attempt.status, attempt.ended_s = -1, time.monotonic()
        if note is not None:
            note(f"{headers['Request-Id']} at {gateway.name}: no channel")
        return attempt
    rows = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    try:
        if on_open is not None:
            on_open(writer)
        writer.write("\r\n".join(rows).encode() + b"\r\n\r\n")
        async with asyncio.timeout(timeout_s):
            head = await read_message(reader, with_body=False)
            attempt.status, attempt.answer = head.status, head.headers
            if head.headers.get("transfer-encoding") == "chunked":
                async for part in read_chunks(reader):
                    attempt.body += part
            else:
                length = int(head.headers.get("content-length", 0))
                attempt.body = await reader.readexactly(length)
            attempt.is_whole = True
    except (asyncio.IncompleteReadError, OSError, TimeoutError, ValueError):
        pass
    finally:
        attempt.ended_s = time.monotonic()
        await close_writer(writer)
    if note is not None:
        note(
            f"{headers['Request-Id']} at {gateway.name}: status {attempt.status}, "
            f"whole {attempt.is_whole}, {len(attempt.events)} events, "
            f"resumes {headers.get('Resumes', '-')}"
        )
    return attempt


async def stream_once(gateway, client, path, tokens, budget_s, stream, **options):
    """Send a stream, or take it up where its attempts have ended."""
    headers = make_headers(client, budget_s * 1000) | prompt_headers(client, tokens)
    if stream.last_id:
        headers["Resumes"] = stream.first_call
        headers["Last-Event-Id"] = str(stream.last_id)
    attempt = await ask(gateway, "POST", path, headers, budget_s, **options)
    stream.attempts.append(attempt)
    return attempt
