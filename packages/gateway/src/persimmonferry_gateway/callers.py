"""HTTP server for callers: reads complete requests, streams answers back."""

import asyncio
import json
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.deployment import CallerLimits
from persimmonferry_core.exceptions import FerryError, NotRun
from persimmonferry_daemon.servers import describe_error
from tornado.concurrent import future_add_done_callback
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from persimmonferry_gateway.answer_memory import AnswerMemory, Place

__all__ = ["AnswerBegun", "CallerConnection", "CallerServer", "ReceivedRequest"]

BACKLOG = 1024
# Tornado closes the connection without a response above these limits, so they are
# greater than the configured ones, which are answered with a status.
HARD_HEADER_BYTES = 256 * 1024
HARD_BODY_BYTES = 64 * 1024 * 1024
HARD_IDLE_TIMEOUT_S = 60.0
MIN_RETRY_AFTER_S = 0.05
# Longer than an answer takes to reach its caller.
IDLE_BEFORE_CLOSE_S = 0.1
# The only version for which Tornado marks the end of an answer without a length.
CHUNKED_VERSION = "HTTP/1.1"
# SO_LINGER: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)
LINGER_OFF = struct.pack("ii", 0, 0)

_log = logging.getLogger(__name__)


class ReceivedRequest:
    """A request that was received completely."""

    def __init__(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


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
        memory: AnswerMemory | None = None,
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

    def send_error(self, error: FerryError, reason: str = "") -> None:
        """Answer with an error and, if it has one, the time after which to retry."""
        headers = [("Content-Type", "application/json")]
        if error.retry_after_s is not None:
            after_s = max(MIN_RETRY_AFTER_S, error.retry_after_s)
            headers.append(("Retry-After", f"{after_s:.3f}"))
        body = json.dumps(describe_error(error)).encode()
        status = error.code.http_status
        self.send_complete(status, reason or error.code.name.title(), headers, body)

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


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and refuses it if it is larger than the limits."""

    def __init__(
        self,
        server: "CallerServer",
        server_connection: object,
        connection: HTTP1Connection,
    ) -> None:
        self._server = server
        self._server_connection = server_connection
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers: list[tuple[str, str]] = []
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_refused = False

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        if self._connection.stream.closed():
            # The caller disconnected after sending these bytes; the request must not be
            # forwarded.
            self._is_refused = True
            return None
        self._server.record_busy(self._server_connection)
        self._line = start_line
        self._headers = list(headers.get_all())
        limits = self._server.limits
        if limits is None:
            return None
        head_bytes = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if head_bytes + len(start_line.path) > limits.header_bytes:
            return self._refuse(ResultCode.HEAD_TOO_LARGE)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > limits.body_bytes:
            return self._refuse(ResultCode.BODY_TOO_LARGE)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        limits = self._server.limits
        self._size += len(chunk)
        if self._is_refused:
            return None
        if limits is not None and self._size > limits.body_bytes:
            self._chunks.clear()
            return self._refuse(ResultCode.BODY_TOO_LARGE)
        self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        if self._is_refused or self._connection.stream.closed():
            return
        request = ReceivedRequest(
            self._line.method, self._line.path, self._headers, b"".join(self._chunks)
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
        self._chunks.clear()

    def _refuse(self, code: ResultCode) -> Awaitable[None]:
        """
        Refuse the request before it is read completely.

        Tornado closes the connection after the answer. Until then it must not read on,
        as it answers a malformed body by itself.
        """
        self._is_refused = True
        has_body = self._line.method != "HEAD"
        caller = CallerConnection(self._connection, True, has_body=has_body)
        caller.send_error(NotRun(code))
        return caller.wait_until_sent()


@dataclass(frozen=True)
class _IdleConnection:
    """A connection that waits for its next request, since when."""

    connection: HTTP1Connection
    since_s: float


class CallerServer(HTTPServerConnectionDelegate):
    """
    Accepts callers' connections and reads their requests.

    :param accept: called with each complete request and the connection for its answer.
    :param memory: counts the bytes of answers that are held.
    """

    def __init__(
        self,
        host: str,
        port: int,
        accept: Callable[[ReceivedRequest, CallerConnection], None],
        read_clock: Callable[[], float],
        memory: AnswerMemory | None = None,
    ) -> None:
        self.memory = memory or AnswerMemory()
        self._read_clock = read_clock
        self.accept = accept
        self.limits: CallerLimits | None = None
        self.is_stopping = False
        self._sockets = bind_sockets(port, host, backlog=BACKLOG)
        self.port = self._sockets[0].getsockname()[1]
        self._idle: dict[object, _IdleConnection] = {}
        self._busy: set[object] = set()
        self._server = HTTPServer(
            self,
            max_header_size=HARD_HEADER_BYTES,
            max_body_size=HARD_BODY_BYTES,
            idle_connection_timeout=HARD_IDLE_TIMEOUT_S,
        )

    def start(self) -> None:
        """Start accepting connections."""
        self._server.add_sockets(self._sockets)

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        self._busy.discard(server_conn)
        self._idle[server_conn] = _IdleConnection(request_conn, self._read_clock())
        return _RequestReader(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Drop a connection that was closed."""
        self._idle.pop(server_conn, None)
        self._busy.discard(server_conn)

    def record_busy(self, server_connection: object) -> None:
        """Record that a request is being received on a connection."""
        self._idle.pop(server_connection, None)
        self._busy.add(server_connection)

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
        for key, waiting in tuple(self._idle.items()):
            if now >= waiting.since_s + IDLE_BEFORE_CLOSE_S:
                del self._idle[key]
                waiting.connection.close()
        return len(self._idle) + len(self._busy)

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close_all_connections()
