"""HTTP server for callers: reads complete requests, streams answers back."""

import asyncio
import json
import logging
import math
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.deployment import CallerLimits
from persimmonferry_core.exceptions import FerryError, NotRun
from persimmonferry_core.held_bytes import HeldBytes, Place
from persimmonferry_core.request_room import HeldRequest, Refusal, RequestRoom
from persimmonferry_daemon.servers import describe_error
from tornado.concurrent import future_add_done_callback
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from persimmonferry_gateway.open_connections import OpenConnections

__all__ = ["AnswerBegun", "CallerConnection", "CallerServer", "ReceivedRequest"]

BACKLOG = 1024
# Tornado closes the connection without a response above these limits, so they are
# greater than the configured ones, which are answered with a status.
HARD_HEADER_BYTES = 64 * 1024
HARD_HEADER_FACTOR = 2
HARD_BODY_BYTES = 64 * 1024 * 1024
HARD_IDLE_TIMEOUT_S = 60.0
# Read at a time; each connection that waits for room holds about as much.
READ_BYTES = 16 * 1024
# Receive buffer of a connection in the kernel, which holds half as much again. Without
# it, the kernel lets it grow to megabytes.
RECEIVE_BUFFER_BYTES = 16 * 1024
# For which the rest of a refused body is read, so that its caller reads the refusal.
LINGER_S = 1.0
NO_CONFIGURATION_RETRY_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# The only version for which Tornado marks the end of an answer without a length.
CHUNKED_VERSION = "HTTP/1.1"
# SO_LINGER: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)
LINGER_OFF = struct.pack("ii", 0, 0)

_log = logging.getLogger(__name__)


class ReceivedRequest:
    """
    A request that was received completely.

    :param release: to be called when its body is held no more.
    """

    def __init__(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        release: Callable[[], None],
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.release = release


class AnswerBegun(Exception):
    """The head of another answer was about to be sent into one that has begun."""


class CallerConnection:
    """
    Sends the answer to one request to its caller.

    An answer has one head and one end: whatever else is sent would be read as a part of
    it, or as the answer to the next request of the connection. ``is_closed`` tells that
    nothing more can be sent: the answer has ended, or the connection is closed.
    ``is_answer_ended`` tells that its end was written, and may wait to be sent.

    :param announce_close: whether answers announce that the connection will be closed.
    :param version: of HTTP, as stated by the request.
    :param has_body: False if the answer must have no body, as that to HEAD.
    :param memory: counts the bytes that wait for the caller to read.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        announce_close: bool,
        version: str = CHUNKED_VERSION,
        has_body: bool = True,
        memory: HeldBytes | None = None,
    ) -> None:
        self._connection = connection
        self._has_body = has_body
        self._memory = memory
        self._announce_close = announce_close
        self._accepts_chunks = version == CHUNKED_VERSION
        self._is_unframed = False
        self.is_closed = False
        self.is_head_sent = False
        self.is_answer_ended = False
        self._last_flush: Awaitable[None] | None = None
        self._on_disconnect: Callable[[], None] | None = None
        connection.set_close_callback(self._record_close)

    def set_disconnect_callback(self, callback: Callable[[], None]) -> None:
        """Set a function to call if the caller disconnects before the answer ends."""
        self._on_disconnect = callback
        if self.is_closed:
            callback()

    def send_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> None:
        """
        Send the head of an answer of unknown length.

        A length among the headers is dropped: it need not be that of the events, which
        may come from several upstreams.

        :raises AnswerBegun: the answer has its head already.
        """
        if not self.is_closed and not self._accepts_chunks:
            self._is_unframed = True
            self._set_linger(LINGER_RESET)
        self._write_head(status, reason, _drop_length(headers))

    def _write_head(
        self, status: int, reason: str, headers: list[tuple[str, str]]
    ) -> None:
        if self.is_closed:
            return
        if self.is_head_sent:
            raise AnswerBegun(f"answer has a head already, status {status} not sent")
        fields = HTTPHeaders()
        for name, value in headers:
            # Raises an exception for a header that can't be sent.
            fields.add(name, value)
        self.is_head_sent = True
        if self._announce_close:
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason)
        _ignore_closed(self._connection.write_headers(line, fields))

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if not self.is_closed and data and self._has_body:
            _ignore_closed(self._connection.write(data))
            self._count_unsent(len(data))

    def finish(self) -> None:
        """End the answer as a complete one."""
        self._on_disconnect = None
        if self.is_closed:
            return
        if not self._is_unframed:
            self._connection.finish()
        elif (flushed := self._flush()) is not None:
            future_add_done_callback(flushed, self._end_unframed)
        self.is_answer_ended = True
        self._last_flush = self._find_flush()
        # From here on, the connection may be in use for the next request.
        self.is_closed = True

    def send_complete(
        self, status: int, reason: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""
        fields = _drop_length(headers)
        fields.append(("Content-Length", str(len(body))))
        self._write_head(status, reason, fields)
        self.send_chunk(body)
        self.finish()

    def send_error(
        self, error: FerryError, reason: str = "", *, is_read_on: bool = False
    ) -> None:
        """
        Answer with an error and, if it has one, the time after which to retry.

        :param is_read_on: whether the rest of the request is still to be read, so that
            the connection may not be closed yet.
        """
        headers = [("Content-Type", "application/json")]
        if error.retry_after_s is not None:
            after_s = max(MIN_RETRY_AFTER_S, error.retry_after_s)
            headers.append(("Retry-After", f"{after_s:.3f}"))
        body = json.dumps(describe_error(error)).encode()
        status = error.code.http_status
        reason = reason or error.code.name.title()
        if not is_read_on:
            self.send_complete(status, reason, headers, body)
            return
        headers.append(("Content-Length", str(len(body))))
        self._write_head(status, reason, headers)
        self.send_chunk(body)

    async def wait_until_sent(self) -> None:
        """Wait until all bytes are handed to the kernel or the connection is closed."""
        flushed = self._find_flush()
        if flushed is not None:
            await asyncio.wait((flushed,))

    def abort(self) -> None:
        """Close the connection so that the answer is visibly truncated."""
        self._on_disconnect = None
        # Until it is sent, the connection is not in use for the next request.
        is_sending = self._last_flush is not None and not self._last_flush.done()
        if is_sending or not self.is_closed:
            self.is_closed = True
            self._connection.close()

    def _count_unsent(self, size: int) -> None:
        """Count bytes until they are handed to the kernel or the connection closes."""
        memory = self._memory
        if memory is None or (flushed := self._find_flush()) is None:
            return
        memory.add(Place.UNSENT, size)
        future_add_done_callback(flushed, lambda _: memory.add(Place.UNSENT, -size))

    def _find_flush(self) -> Awaitable[None] | None:
        """Return the future of all bytes written so far, None if none are waiting."""
        return self._flush() if self._connection.stream.writing() else None

    def _flush(self) -> Awaitable[None] | None:
        """Return the future of all bytes written so far, None without a connection."""
        stream = self._connection.stream
        return None if stream.closed() else stream.write(b"")

    def _end_unframed(self, flushed: Awaitable[None]) -> None:
        """Close the connection, which marks the end of the answer."""
        if flushed.exception() is None:
            self._set_linger(LINGER_OFF)
            self._connection.close()

    def _set_linger(self, value: bytes) -> None:
        opened = self._connection.stream.socket
        if opened is not None:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def _record_close(self) -> None:
        self.is_closed = True
        callback, self._on_disconnect = self._on_disconnect, None
        if callback is not None:
            callback()


def _drop_length(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [item for item in headers if item[0].lower() != "content-length"]


def _ignore_closed(future: Awaitable[None]) -> None:
    # The close callback handles a closed connection; the write need not report it.
    future.add_done_callback(_read_write_error)


def _read_write_error(future: Awaitable[None]) -> None:
    error = None if future.cancelled() else future.exception()
    if error is not None and not isinstance(error, StreamClosedError):
        _log.error("write to caller failed", extra={"cause": repr(error)})


def _discard_unread(stream: IOStream) -> None:
    """
    Free the bytes that a closed connection has received and nobody will read.

    What refers to the stream may be collected much later.
    """
    if stream.closed():
        with suppress(StreamClosedError):
            stream.read_bytes(HARD_BODY_BYTES, partial=True)


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and refuses it if it is larger than the limits."""

    def __init__(
        self,
        server: "CallerServer",
        connection: HTTP1Connection,
    ) -> None:
        self._server = server
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers: list[tuple[str, str]] = []
        # One buffer that grows: many parts would leave gaps in memory.
        self._body = bytearray()
        self._held: HeldRequest | None = None
        self._room_found: asyncio.Future | None = None
        self._is_refused = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        if self._connection.stream.closed():
            # The caller disconnected after sending these bytes; the request must not be
            # forwarded.
            self._is_refused = True
            return None
        server = self._server
        server.connections.record_busy(self._connection.stream)
        self._line = start_line
        self._headers = list(headers.get_all())
        self._held = server.room.begin(
            self._resume, self._refuse_for_room, server.read_clock()
        )
        length = headers.get("Content-Length", "")
        size = int(length) if length.isdecimal() else 0
        limits = server.limits
        if limits is None:
            return self._refuse_unlimited(size)
        head_bytes = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if head_bytes + len(start_line.path) > limits.header_bytes:
            return self._refuse(NotRun(ResultCode.HEAD_TOO_LARGE))
        if size > limits.body_bytes:
            return self._refuse(NotRun(ResultCode.BODY_TOO_LARGE))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._is_refused:
            return None
        self._body += chunk
        size, limits = len(self._body), self._server.limits
        if limits is None and (refused := self._refuse_unlimited(size)) is not None:
            return refused
        if limits is not None and size > limits.body_bytes:
            return self._refuse(NotRun(ResultCode.BODY_TOO_LARGE))
        if self._held.receive(len(chunk), self._server.read_clock()):
            return None
        self._room_found = asyncio.get_running_loop().create_future()
        return self._room_found

    def finish(self) -> None:
        if self._is_refused:
            # The rest of the body of a request that was refused for want of room.
            self._connection.close()
            return
        if self._connection.stream.closed():
            self._drop()
            return
        self._held.complete()
        body, self._body = bytes(self._body), bytearray()
        request = ReceivedRequest(
            self._line.method, self._line.path, self._headers, body, self._held.release
        )
        caller = CallerConnection(
            self._connection,
            self._server.is_stopping,
            self._line.version,
            has_body=request.method != "HEAD",
            memory=self._server.memory,
        )
        self._server.accept(request, caller)

    def on_connection_close(self) -> None:
        self._is_refused = True
        self._drop()

    def _drop(self) -> None:
        self._body = bytearray()
        if self._held is not None:
            self._held.release()
        self._resume()

    def _resume(self) -> None:
        """Read on; called when there is room again."""
        found, self._room_found = self._room_found, None
        if found is not None and not found.done():
            found.set_result(None)

    def _make_caller(self) -> CallerConnection:
        has_body = self._line.method != "HEAD"
        return CallerConnection(self._connection, True, has_body=has_body)

    def _refuse(self, error: NotRun) -> Awaitable[None]:
        """
        Refuse the request before it is read completely.

        Tornado closes the connection after the answer. Until then it must not read on,
        as it answers a malformed body by itself.
        """
        self._is_refused = True
        self._drop()
        self._server.refusals[error.code] += 1
        caller = self._make_caller()
        caller.send_error(error)
        return caller.wait_until_sent()

    def _refuse_unlimited(self, size: int) -> Awaitable[None] | None:
        """Refuse a body for which there is no room while no limit is known."""
        if size <= self._server.room.limit_bytes:
            return None
        code = ResultCode.NO_CONFIGURATION
        return self._refuse(NotRun(code, "", NO_CONFIGURATION_RETRY_S))

    def _refuse_for_room(self, refusal: Refusal) -> None:
        """
        Refuse the request while it is received.

        Closing a connection with unread bytes would reset it, and its caller might not
        read the refusal. So the rest of the body is read, for a time, and dropped.
        """
        self._is_refused = True
        self._server.refusals[refusal.code] += 1
        caller = self._make_caller()
        caller.send_error(NotRun(refusal.code, "", refusal.retry_s), is_read_on=True)
        stream = self._connection.stream
        if stream.closed() or stream.writing():
            self._connection.close()
        else:
            # Nothing follows the refusal, whatever is read. Reading notices a
            # connection that the caller has reset meanwhile.
            with suppress(OSError):
                stream.socket.shutdown(socket.SHUT_WR)
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_S, self._connection.close)
        self._drop()


class _Server(HTTPServer):
    """Tornado's server, which leaves it to ``CallerServer`` what connections it has."""

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        if self.request_callback.make_way(stream, address):
            super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


class CallerServer(HTTPServerConnectionDelegate):
    """
    Accepts callers' connections and reads their requests.

    :param accept: called with each complete request and the connection for its answer.
    :param memory: counts the bytes of requests and answers that are held.
    :ivar connections: decides which connections are served.
    :ivar room: decides which bodies are received.
    :ivar refusals: number of requests that were refused before they were whole, by
        code.
    :ivar closed: number of connections that were closed without an answer, by cause.
    """

    def __init__(
        self,
        host: str,
        port: int,
        accept: Callable[[ReceivedRequest, CallerConnection], None],
        read_clock: Callable[[], float],
        memory: HeldBytes | None = None,
    ) -> None:
        self.memory = memory or HeldBytes()
        self.room = RequestRoom(self.memory)
        self.connections: OpenConnections = OpenConnections()
        self.refusals: Counter[ResultCode] = Counter()
        self.closed: Counter[str] = Counter()
        self.read_clock = read_clock
        self.accept = accept
        self.limits: CallerLimits | None = None
        self.is_stopping = False
        self._sockets = bind_sockets(port, host, backlog=BACKLOG)
        for opened in self._sockets:
            # Connections inherit it, also those that are not accepted yet.
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.port = self._sockets[0].getsockname()[1]
        self._server = _Server(
            self,
            chunk_size=READ_BYTES,
            max_header_size=HARD_HEADER_BYTES,
            max_body_size=HARD_BODY_BYTES,
            idle_connection_timeout=HARD_IDLE_TIMEOUT_S,
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._server.add_sockets(self._sockets)

    def set_limits(self, limits: CallerLimits) -> None:
        """Set the limits on what callers send."""
        self.limits = limits
        self.room.body_bytes = limits.body_bytes
        self.room.idle_s = limits.idle_timeout_s
        hard_bytes = max(HARD_HEADER_BYTES, HARD_HEADER_FACTOR * limits.header_bytes)
        self._server.conn_params.max_header_size = hard_bytes

    def make_way(self, stream: IOStream, address: tuple) -> bool:
        """
        Return whether a new connection is served now.

        If not, it waits in the line, or in its place the first one there is closed.
        """
        connections = self.connections
        if connections.is_full and (found := connections.find_replaced()) is not None:
            self._close(found, "replaced")
        now = self.read_clock()
        if not connections.is_full:
            connections.open(stream, now)
            return True
        late = connections.queue((stream, address), now)
        if late is not None:
            self._close_unserved(late)
        return False

    def check(self, now: float) -> None:
        """Close and refuse what callers leave open without need."""
        connections = self.connections
        for item in connections.take_late(now):
            self._close_unserved(item)
        limits = self.limits
        if limits is not None:
            silent_s = limits.idle_timeout_s + limits.header_timeout_s
            for stream in connections.list_silent(now, silent_s):
                self._close(stream, "silent")
        self.room.are_callers_waiting = connections.line_length > 0
        self.room.check(now)
        self._serve_line()

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        self.connections.record_idle(server_conn.stream, self.read_clock())
        return _RequestReader(self, request_conn)

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Drop a connection that was closed."""
        self.connections.drop(server_conn.stream)
        _discard_unread(server_conn.stream)
        self._serve_line()

    def count_callers(self) -> dict[str, int]:
        """Return the counters of connections and refused requests, by name."""
        counts = {"caller_connections": len(self.connections)}
        for code in sorted(self.refusals, key=lambda code: code.number):
            name = f'requests_not_received{{code="{code.number}"}}'
            counts[name] = self.refusals[code]
        for cause in sorted(self.closed):
            name = f'caller_connections_closed{{cause="{cause}"}}'
            counts[name] = self.closed[cause]
        return counts

    def stop_accepting(self) -> None:
        """Accept no more connections; open ones are still served."""
        self._server.stop()

    def close_idle(self, now: float) -> int:
        """
        Close the connections that have been idle for ``IDLE_BEFORE_CLOSE_S``.

        A caller that has just been answered receives the end of the answer before the
        close.

        :returns: the number of connections that are still open.
        """
        for stream in self.connections.list_idle(now):
            self._close(stream, "stopping")
        return len(self.connections)

    async def close(self) -> None:
        """Close all connections."""
        for item in self.connections.take_late(math.inf):
            self._close_unserved(item)
        await self._server.close_all_connections()

    def _serve_line(self) -> None:
        while (item := self.connections.take_next()) is not None:
            stream, address = item
            if not stream.closed():
                self._server.handle_stream(stream, address)

    def _close(self, stream: IOStream, cause: str) -> None:
        self.closed[cause] += 1
        self.connections.drop(stream)
        stream.close()

    def _close_unserved(self, item: tuple[IOStream, tuple]) -> None:
        self.closed["not served"] += 1
        item[0].close()
