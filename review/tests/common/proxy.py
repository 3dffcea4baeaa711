"""A proxy whose open channels can go silent while new ones work."""

import asyncio

__all__ = ["Proxy"]


class Proxy:
    """
    Relays channels to a port of the same host.

    A channel that has gone silent stays open; bytes in either direction are lost.
    """

    def __init__(self, host, port, target_port) -> None:
        self.address = f"{host}:{port}"
        self._host, self._port, self._target_port = host, port, target_port
        self._server = None
        self._open = set()
        self._silent = set()
        self._tasks = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self):
        """Have all open channels go silent for good; return their number."""
        self._silent |= self._open
        return len(self._open)

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        channel = object()
        self._open.add(channel)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
            relays = (
                asyncio.create_task(self._relay(channel, reader, far_writer)),
                asyncio.create_task(self._relay(channel, far_reader, writer)),
            )
            try:
                await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for relay in relays:
                    relay.cancel()
                await asyncio.gather(*relays, return_exceptions=True)
                far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(channel)
            self._silent.discard(channel)
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _relay(self, channel, reader, writer) -> None:
        while data := await reader.read(65536):
            if channel not in self._silent:
                writer.write(data)
                await writer.drain()
