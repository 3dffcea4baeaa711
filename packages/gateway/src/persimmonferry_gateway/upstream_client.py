"""HTTP client for upstreams whose responses are relayed while they arrive."""

import asyncio
import errno
import logging
import socket
from collections import deque
from functools import partial
from typing import Any

import pycurl
from persimmonferry_adapters.http_client import (
    MAX_RESPONSE_BYTES,
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch,
)
from persimmonferry_adapters.response_head import Framing, ResponseLines
from persimmonferry_core.held_bytes import HeldAnswer, HeldBytes, Place
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPResponse

from persimmonferry_gateway.answer_identity import (
    LONGEST_PART_BYTES,
    HeadDecoder,
    Mismatch,
    ends_with_part_of_status_line,
    find_mismatch,
    is_identified,
)
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.interfaces import ResponseHead
from persimmonferry_gateway.kept_connections import (
    ConnectionAddresses,
    KeptConnections,
    has_unread_bytes,
)

__all__ = ["CancellableClient", "Framing", "ResponseLines", "UpstreamExchange"]

# TCP_USER_TIMEOUT: the connection is closed when sent data is not acknowledged for this
# long. Longer than two retransmissions on a lossy link, shorter than callers wait.
UNACKNOWLEDGED_TIMEOUT_MS = 1000
# Receive buffer of a connection in the kernel, where an answer waits for room.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Of Tornado's client.
DEFAULT_CONNECTIONS = 10
# Several round trips between failure domains. A connection that takes longer waits for
# the retransmission of its first packet; another upstream is faster.
CONNECT_TIMEOUT_S = 0.3
# A transfer is paused while this many bytes of its response are unread. libcurl alone
# would pass on all that has arrived, which may be megabytes at a time.
MAX_UNREAD_BYTES = 64 * 1024
# The network lost a connection with these errors, not the upstream.
_NETWORK_ERRORS = frozenset(
    (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN)
)


_log = logging.getLogger(__name__)


class Transfer:
    """
    The use of a handle of libcurl for one request; handles are used again.

    :param info: what Tornado keeps of the request, which identifies the use.
    """

    def __init__(self, curl: pycurl.Curl) -> None:
        self.curl = curl
        self.info = curl.info


class CancellableClient(CurlAsyncHTTPClient):
    """
    Tornado's curl client, with transfers that can be cancelled by the caller.

    :ivar kept_connections: connections of exchanges, which may be reused.
    :ivar held_bytes: counts the bytes of answers that are held.
    """

    def initialize(self, *args: Any, **options: Any) -> None:
        """Set up the client, as Tornado's constructor does."""
        super().initialize(*args, **options)
        # Idle connections are closed in favour of new ones.
        connections = options.get("max_clients", DEFAULT_CONNECTIONS)
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, connections)
        self.kept_connections = KeptConnections()
        self.held_bytes = HeldBytes()

    def cancel(self, transfer: Transfer) -> None:
        """Cancel a transfer that has not ended; libcurl closes its connection."""
        curl = transfer.curl
        if curl.info is not transfer.info:
            return
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        # Tornado uses the handle again at once.
        curl.info["is_connection_open"] = curl.getinfo(pycurl.LASTSOCKET) != -1
        curl.info["errno"] = curl.getinfo(pycurl.OS_ERRNO)
        curl.info["uploaded_bytes"] = int(curl.getinfo(pycurl.SIZE_UPLOAD_T))
        super()._finish(curl, curl_error, curl_message)

    def resume(self, transfer: Transfer) -> None:
        """Continue a transfer that was paused by its write callback."""
        curl = transfer.curl
        if curl.info is not transfer.info:
            return
        try:
            curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error as error:
            # libcurl reports the failure with the end of the transfer, too.
            _log.info("transfer failed while paused", extra={"cause": str(error)})
        self._set_timeout(0)


class UpstreamExchange:
    """
    One request to an upstream and its response.

    A response that can't be that to the request is aborted at the end of its head, and
    its connection closed, as the later responses on it belong to other requests, too.
    So is a refusal, as a copy of it would take the place of the next response.

    :param call_id: states the request in its response.
    :param decode_head: decodes the status, reason and fields of a response.
    :param reuse: whether it may be sent on an open connection.
    :param idle_s: open connections that were idle for longer are not used.
    :ivar sent_s: when it was sent, None before that.
    :ivar connected_s: when the connection on which it was sent had been made, on the
        boot clock.
    """

    def __init__(
        self,
        client: CancellableClient,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        call_id: str,
        decode_head: HeadDecoder,
        reuse: ConnectionReuse,
        idle_s: float,
        timeout_s: float,
    ) -> None:
        self.head: ResponseHead | None = None
        self.mismatch: Mismatch | None = None
        self.loss: RequestFailure | None = None
        self._client = client
        self._call_id = call_id
        self._decode_head = decode_head
        self._lines = ResponseLines()
        self._target = target
        self._headers = [f"{name}: {value}" for name, value in headers]
        self._idle_s = max(1, int(idle_s))
        self._transfer: Transfer | None = None
        self._chunks: deque[bytes] = deque()
        self.received_bytes = 0
        self.held = HeldAnswer(client.held_bytes, self._resume)
        self._is_paused = False
        self._is_ended = False
        self._is_cancelled = False
        self._is_rejected = False
        self.sent_s: float | None = None
        self.connected_s = float("inf")
        self._opened_descriptor: int | None = None
        self._is_connection_stale = False
        self._is_connection_open = False
        self._errno = 0
        self._unsent_bytes = len(body)
        self._addresses: ConnectionAddresses | None = None
        self._descriptor: int | None = None
        self._has_length = False
        # Stays empty unless the response has a length; other ends are marked.
        self._body_end = b""
        self._is_followed = False
        self._progress = asyncio.Event()
        has_body = bool(body) or method in ("POST", "PUT", "PATCH")
        self._body: bytes | None = body if has_body else None
        self._make_request = partial(
            Request,
            f"http://{address}/",
            method=method,
            timeout_s=timeout_s,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            call_id=call_id,
        )
        self._request = self._make_request(body=self._body, reuse=reuse)
        self._task = asyncio.create_task(self._run())

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the request may have reached the upstream."""
        return self._request.sent

    @property
    def is_cut_off(self) -> bool:
        """
        Whether it was sent, and its connection closed before the response had ended.

        The upstream may not notice this, and work on it until its time budget ends. One
        that refuses a request does not work on it.
        """
        if self._is_refusal:
            return False
        is_limited = self.loss in (RequestFailure.TIMED_OUT, RequestFailure.TOO_LARGE)
        return self.was_sent and (self._is_cancelled or self._is_rejected or is_limited)

    @property
    def is_ended_by_upstream(self) -> bool:
        """Whether the upstream ended or reset the connection before a whole head."""
        is_lost = self.loss in (
            RequestFailure.CONNECTION_LOST,
            RequestFailure.TRUNCATED,
        )
        is_own_end = self.is_cut_off or self._errno in _NETWORK_ERRORS
        return self.was_sent and self.head is None and is_lost and not is_own_end

    @property
    def is_connection_kept(self) -> bool:
        """Whether it was sent on a connection that had carried other requests."""
        return self.was_sent and self._opened_descriptor is None

    @property
    def is_answer_hidden(self) -> bool:
        """Whether bytes of no request took the place of its response."""
        return self._is_rejected and self.is_connection_kept

    @property
    def local_port(self) -> int | None:
        """Return the own port of its connection, None before it was sent."""
        return self._request.local_port

    @property
    def ends_in_another(self) -> bool:
        """
        Whether the body ended with a part of a status line, and more bytes followed.

        They wait in the socket, or libcurl dropped them and closed the connection.
        """
        was_dropped = not (self._is_connection_open or self._lines.announces_close)
        is_followed = self._is_followed or was_dropped
        return is_followed and ends_with_part_of_status_line(self._body_end)

    @property
    def framing(self) -> Framing:
        """Return what marks the end of the response."""
        return self._lines.framing

    @property
    def _ends_before_upload(self) -> bool:
        """
        Whether the connection ended a success while the request was being written.

        The kernel ends the connection of a process that crashes like this when it has
        read all that had arrived, and resets it only afterwards.
        """
        is_unframed = self.framing is Framing.CONNECTION
        return is_unframed and self.head.status < 300 and self._unsent_bytes > 0

    @property
    def _is_refusal(self) -> bool:
        is_own = self.head is not None and self.mismatch is None
        return is_own and self.head.is_refusal

    async def wait_for_head(self) -> ResponseHead | None:
        """Wait for the head of the response; return None if it was not complete."""
        while self.head is None and not self._is_ended:
            self._progress.clear()
            await self._progress.wait()
        return self.head

    async def read_chunk(self) -> bytes | None:
        """Return the bytes of the body since the last call, None at its end."""
        while not self._chunks:
            if self._is_ended:
                return None
            self._progress.clear()
            await self._progress.wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.held.set_size(Place.UNREAD, 0)
        self._resume()
        return data

    async def read_body(self) -> bytes:
        """Return the rest of the body; it is complete if ``loss`` is None."""
        # One buffer that grows: many parts would leave gaps in memory.
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            body += chunk
            self.held.set_size(Place.BODY, len(body))
            if len(body) > MAX_RESPONSE_BYTES:
                self.cancel()
                self.loss = RequestFailure.TOO_LARGE
                return b""
        return bytes(body)

    def cancel(self) -> None:
        """Cancel the request, so that the upstream stops working on it."""
        if self._is_ended or self._is_cancelled:
            return
        self._is_cancelled = True
        self._request.forbid_sending()
        if self._transfer is not None:
            self._client.cancel(self._transfer)

    def close(self) -> None:
        """Cancel the request unless it has ended, and drop what it holds."""
        self.cancel()
        if self._request.http.body:
            # Cycles keep the request until the garbage is collected.
            self._request.http.body = b""
            self._body = b""
        self._chunks.clear()
        self.held.release()

    async def _run(self) -> None:
        result = await self._fetch()
        if self._is_connection_stale and not self._is_cancelled:
            self._request = self._make_request(
                body=self._body, reuse=ConnectionReuse.NEW
            )
            result = await self._fetch()
        if isinstance(result, RequestFailure):
            self.loss = result
        elif self.head is None or self._ends_before_upload:
            self.loss = RequestFailure.TRUNCATED
        self._is_ended = True
        self.held.end_receiving()
        self._progress.set()

    async def _fetch(self) -> HTTPResponse | RequestFailure:
        self._request.http.prepare_curl_callback = self._prepare
        result = await fetch(self._client, self._request)
        if self._transfer is not None:
            self._is_connection_open = self._transfer.info["is_connection_open"]
            self._errno = self._transfer.info["errno"]
            self._unsent_bytes -= self._transfer.info["uploaded_bytes"]
            self._is_rejected |= result is RequestFailure.UNREADABLE
        self._transfer = None
        if self.is_answer_hidden:
            self._client.kept_connections.retire_upstream(self._addresses)
        return result

    def _prepare(self, curl: pycurl.Curl) -> None:
        self._transfer = Transfer(curl)
        self._request.prepare(curl)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.REQUEST_TARGET, self._target)
        # An empty value keeps libcurl from adding headers of its own.
        own = ["User-Agent:", "Accept:", "Expect:", "Pragma:"]
        if not any(line.lower().startswith("content-type:") for line in self._headers):
            own.append("Content-Type:")
        if any(line.lower().startswith("accept:") for line in self._headers):
            own.remove("Accept:")
        if any(line.lower().startswith("user-agent:") for line in self._headers):
            own.remove("User-Agent:")
        lines = [line.encode("latin-1") for line in (*own, *self._headers)]
        curl.setopt(pycurl.HTTPHEADER, lines)
        curl.setopt(pycurl.MAXAGE_CONN, self._idle_s)
        curl.setopt(pycurl.HEADERFUNCTION, self._read_line)
        curl.setopt(pycurl.WRITEFUNCTION, self._read_data)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._set_up_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._check_connection)

    def _set_up_socket(self, descriptor: int, _purpose: int) -> int:
        """Called by libcurl for each new connection."""
        self._opened_descriptor = descriptor
        _set_socket_options(descriptor)
        return pycurl.SOCKOPT_OK

    def _check_connection(self, *addresses: Any) -> int:
        """Called by libcurl before the first byte is sent on a connection."""
        connections = self._client.kept_connections
        # Tornado's own clock is the time of day.
        self.sent_s = self._client.io_loop.asyncio_loop.time()
        if self._opened_descriptor is not None:
            connections.record_opened(
                self._opened_descriptor, addresses, read_boot_clock()
            )
        elif not self.was_sent and not connections.may_carry(addresses, self._call_id):
            # Aborting closes the connection; the request is sent on a new one.
            self._is_connection_stale = True
            return pycurl.PREREQFUNC_ABORT
        self._addresses = addresses
        # Of a connection that is not known, it is known only that it is open.
        self.connected_s = read_boot_clock()
        self._descriptor = connections.find(addresses)
        if self._descriptor is not None:
            connections.record_call(self._descriptor, self._call_id)
            self.connected_s = connections.find_opening_time(self._descriptor)
        return self._request.check_sending(*addresses)

    def _read_line(self, line: bytes) -> int:
        """
        Called by libcurl for each line; a short count aborts the transfer.

        Aborting closes the connection at once; libcurl may send the next request on it
        as soon as a transfer has ended.
        """
        self._is_rejected = not self._accept_line(line)
        return 0 if self._is_rejected or self._is_refusal else len(line)

    def _accept_line(self, line: bytes) -> bool:
        """Parse a line, and return whether it can be one of the response."""
        try:
            if self.head is not None:
                fields = self._lines.parse_trailer(line)
                if is_identified(fields, self._decode_head):
                    raise ValueError("call id or seal after the body")
                return True
            self._lines.feed(line)
        except ValueError as error:
            self._request.fault = str(error)
            return False
        if not self._lines.is_whole:
            return True
        self.head = self._decode_head(
            self._lines.status, self._lines.reason, self._lines.fields
        )
        self._has_length = self._lines.framing is Framing.LENGTH
        self.mismatch = find_mismatch(self.head, self._call_id)
        self._progress.set()
        return self.mismatch is None

    def _read_data(self, data: bytes) -> int:
        """Called by libcurl for each part of the body, again after a pause."""
        unread_bytes = self.held.find_size(Place.UNREAD)
        if unread_bytes >= MAX_UNREAD_BYTES or not self.held.may_grow():
            self._is_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self.received_bytes += len(data)
        self.held.set_size(Place.UNREAD, unread_bytes + len(data))
        self._chunks.append(data)
        if self._has_length:
            self._look_behind(data)
        self._progress.set()
        return len(data)

    def _look_behind(self, data: bytes) -> None:
        """Note whether bytes wait behind a body that may end in another response."""
        self._body_end = (self._body_end + data)[-LONGEST_PART_BYTES:]
        self._is_followed = (
            ends_with_part_of_status_line(self._body_end)
            and self._descriptor is not None
            and has_unread_bytes(self._descriptor)
        )

    def _resume(self) -> None:
        if self._is_paused and self._transfer is not None and not self._is_cancelled:
            self._is_paused = False
            self._client.resume(self._transfer)


def _set_socket_options(descriptor: int) -> None:
    opened = socket.socket(fileno=descriptor)
    try:
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    finally:
        opened.detach()
