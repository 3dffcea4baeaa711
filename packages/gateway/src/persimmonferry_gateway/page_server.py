"""HTTP server for short pages, which are asked for without a body."""

import socket

from persimmonferry_core.topology import Address
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application

__all__ = ["PageServer"]

MAX_CONNECTIONS = 64
MAX_HEADER_BYTES = 8 * 1024
MAX_BODY_BYTES = 1024
# Of a connection: read at a time, held, and received by the kernel.
READ_BYTES = 4 * 1024
MAX_BUFFER_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 16 * 1024
# For a body, and without a request.
BODY_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 10.0


class PageServer:
    """
    Serves pages to those who may only ask, whatever they send.

    A new connection above the limit takes the place of the oldest one.

    :param rules: of Tornado's ``Application``.
    """

    def __init__(self, address: Address, rules: list[tuple]) -> None:
        self._address = address
        self._server = _BoundedServer(
            Application(rules),
            chunk_size=READ_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def start(self) -> None:
        """Bind the address and start serving."""
        sockets = bind_sockets(self._address.port, self._address.host)
        for opened in sockets:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close the server and its connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _BoundedServer(HTTPServer):
    def initialize(self, *args: object, **options: object) -> None:
        super().initialize(*args, **options)
        # In the order in which they were opened.
        self._streams: dict[IOStream, None] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        self._streams[stream] = None
        super().handle_stream(stream, address)
        if len(self._streams) > MAX_CONNECTIONS:
            next(iter(self._streams)).close()

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self._streams.pop(server_conn.stream, None)
