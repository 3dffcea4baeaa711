"""A server of raw bytes, for responses that no HTTP server would send."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from persimmonferry_standins.server import BACKLOG, LOOPBACK

__all__ = ["RawAnswer", "RawServer"]

_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class RawAnswer:
    """
    Response to one complete request.

    :param data: bytes to send.
    :param close: whether the server then closes the connection.
    :param reset: whether it aborts the connection, which may lose unsent bytes.
    """

    data: bytes
    close: bool = True
    reset: bool = False


class RawServer:
    """
    Reads complete HTTP requests and sends the bytes that a callback chooses.

    :param choose: returns the response to a request, given its bytes.
    """

    def __init__(self, choose: Callable[[bytes], RawAnswer]) -> None:
        self.requests: list[bytes] = []
        self.port = 0
        self._choose = choose
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def url(self) -> str:
        """The base URL, once started."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to one request; return whether the connection stays open."""
        head = await reader.readuntil(_HEAD_END)
        request = head + await reader.readexactly(_read_length(head))
        self.requests.append(request)
        answer = self._choose(request)
        writer.write(answer.data)
        await writer.drain()
        if answer.reset:
            writer.transport.abort()
        return not answer.close and not answer.reset


def _read_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0
