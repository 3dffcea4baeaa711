"""A proxy that sends answers twice, in front of any server."""

import asyncio
import enum
from collections.abc import Callable

from persimmonferry_standins.server import LOOPBACK

__all__ = ["RepeatingProxy", "Repetition"]

IDLE_DELAY_S = 0.02
_HEAD_END = b"\r\n\r\n"


class Repetition(enum.Enum):
    """When the second answer is sent."""

    SAME_SEGMENT = "in one segment with the first"
    IDLE = "while the connection is idle"
    NEXT_REQUEST = "after the next request on the connection was received"


class RepeatingProxy:
    """
    Forwards requests to a server, and sends its answers twice.

    :param target: HOST:PORT of the server.
    :param is_repeated: whether the answer to a request, given its bytes, is repeated.
    """

    def __init__(
        self,
        target: str,
        repetition: Repetition = Repetition.NEXT_REQUEST,
        is_repeated: Callable[[bytes], bool] = lambda _: True,
    ) -> None:
        self._target = target
        self._repetition = repetition
        self._is_repeated = is_repeated
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ""
        self.connections = 0

    @property
    def url(self) -> str:
        """The base URL, once started."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        late = b""
        try:
            while True:
                request = await _read_message(reader)
                writer.write(late)
                late = b""
                answer = await self._forward(request)
                writer.write(answer)
                if not self._is_repeated(request):
                    continue
                match self._repetition:
                    case Repetition.SAME_SEGMENT:
                        writer.write(answer)
                    case Repetition.IDLE:
                        await asyncio.sleep(IDLE_DELAY_S)
                        writer.write(answer)
                    case Repetition.NEXT_REQUEST:
                        late = answer
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _forward(self, request: bytes) -> bytes:
        host, _, port = self._target.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            return await _read_message(reader)
        finally:
            writer.close()


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(_HEAD_END)
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return head + await reader.readexactly(int(line.partition(b":")[2]))
    return head
