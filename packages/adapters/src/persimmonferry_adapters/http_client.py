"""HTTP requests that report how far they got when no complete response came back."""

import enum
import logging
from functools import partial
from io import BytesIO
from typing import Any, NoReturn

import pycurl
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from persimmonferry_adapters.response_head import ResponseLines

__all__ = [
    "CONNECT_TIMEOUT_S",
    "MAX_RESPONSE_BYTES",
    "MAX_SHORT_RESPONSE_BYTES",
    "ConnectionReuse",
    "Request",
    "RequestFailure",
    "close_connection",
    "fetch",
    "fetch_complete",
    "is_framed",
    "make_upstream_error",
    "raise_upstream_error",
]

CONNECT_TIMEOUT_S = 0.5
DEFAULT_TIMEOUT_S = 5.0
# A faulty server may send bytes without end.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# For responses that hold a few fields.
MAX_SHORT_RESPONSE_BYTES = 64 * 1024


class RequestFailure(enum.Enum):
    """Why a request has no complete response."""

    NOT_SENT = "no connection, request not sent"
    CONNECTION_LOST = "connection lost"
    TIMED_OUT = "timed out waiting for the response"
    TRUNCATED = "response truncated"
    TOO_LARGE = "response too large"
    UNREADABLE = "response not readable"


_FAILURES_BY_CURL_CODE = {
    pycurl.E_OPERATION_TIMEDOUT: RequestFailure.TIMED_OUT,
    pycurl.E_PARTIAL_FILE: RequestFailure.TRUNCATED,
    pycurl.E_UNSUPPORTED_PROTOCOL: RequestFailure.UNREADABLE,
    pycurl.E_FTP_WEIRD_SERVER_REPLY: RequestFailure.UNREADABLE,
    pycurl.E_BAD_CONTENT_ENCODING: RequestFailure.UNREADABLE,
}
# Field from which Tornado's client takes the reason of a response.
_REASON_FIELD = "X-Http-Reason"

_log = logging.getLogger(__name__)


class ConnectionReuse(enum.Enum):
    """
    Whether a request may use a connection that is already open.

    libcurl resends a request by itself when a reused connection closes before the
    first byte of the response. A request that must be sent at most once, or whose
    refusal must prove that it was not run, needs a connection of its own. With
    ``NO_RESEND`` the second sending is prevented, and the request counts as lost.

    A server may answer twice, the second time late. On a reused connection that answer
    is taken for the one to the next request, so only a request whose answer can be
    identified, or whose server is a process of the product, may reuse one. ``NEW`` is
    for a request that may not be sent on the connections that are open.
    """

    ALLOWED = "allowed"
    NO_RESEND = "allowed, but the request is not sent a second time"
    NEW = "no, but the connection is kept for others"
    NEVER = "never"


class Request:
    """
    One HTTP request; redirects are not followed and proxies not used.

    ``sent`` tells whether a byte of it may have been sent, ``headers_complete`` whether
    all headers of the response have arrived: libcurl accepts a response that is
    truncated within its headers as complete. ``local_port`` identifies the connection
    on which it was sent. ``is_too_large`` tells that the body of the response exceeded
    its limit, ``fault`` why its head or a trailer is none; both end the transfer.

    :param call_id: of the call that it serves, for the log.
    :param timeout_s: for request and response; 0 means no limit.
    :param connect_timeout_s: for a new connection; included in ``timeout_s``.
    :param max_response_bytes: limit of a body that is received as a whole, None for
        that of the client.
    :param options: further options of Tornado's ``HTTPRequest``.
    """

    def __init__(
        self,
        url: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        content_type: str = "",
        headers: dict[str, str] | None = None,
        reuse: ConnectionReuse = ConnectionReuse.NEVER,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_response_bytes: int | None = None,
        call_id: str = "",
        **options: Any,
    ) -> None:
        # An empty value keeps libcurl from adding a content type of its own.
        all_headers = {"Content-Type": content_type, **(headers or {})}
        self._reuse = reuse
        self._sending_forbidden = False
        self.sent = False
        self.is_too_large = False
        self.fault = ""
        self.call_id = call_id
        self._lines = ResponseLines()
        self.local_port: int | None = None
        self._max_response_bytes = max_response_bytes
        self.http = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=all_headers,
            connect_timeout=connect_timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=self.prepare,
            **options,
        )

    @property
    def headers_complete(self) -> bool:
        """Whether the head of the response has arrived as a whole."""
        return self._lines.is_whole

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of libcurl that Tornado does not expose."""
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PREREQFUNCTION, self.check_sending)
        receive_line = partial(self._receive_line, curl.info["headers"])
        curl.setopt(pycurl.HEADERFUNCTION, receive_line)
        if self._reuse in (ConnectionReuse.NEW, ConnectionReuse.NEVER):
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if self._reuse is ConnectionReuse.NEVER:
            curl.setopt(pycurl.FORBID_REUSE, 1)
        if self._max_response_bytes is not None:
            receive = partial(self._receive_body, curl.info["buffer"])
            curl.setopt(pycurl.WRITEFUNCTION, receive)

    def forbid_sending(self) -> None:
        """Keep the request from being sent, even if it is queued in the client."""
        self._sending_forbidden = True

    def _receive_line(self, headers: HTTPHeaders, line: bytes) -> int:
        """
        Called by libcurl for each line of the head and each trailer.

        A short count ends the transfer and closes the connection.
        """
        try:
            if self._lines.is_whole:
                self._lines.parse_trailer(line)
                return len(line)
            self._lines.feed(line)
        except ValueError as error:
            self.fault = str(error)
            return 0
        if self._lines.is_whole:
            headers.clear()
            headers[_REASON_FIELD] = self._lines.reason
            for name, value in self._lines.fields:
                headers.add(name, value)
        return len(line)

    def _receive_body(self, buffer: BytesIO, data: bytes) -> int:
        """Called by libcurl for each part of the body; a short count ends it."""
        if buffer.tell() + len(data) > self._max_response_bytes:
            self.is_too_large = True
            return 0
        return buffer.write(data)

    def check_sending(
        self, _remote_ip: str, _local_ip: str, _remote_port: int, local_port: int
    ) -> int:
        """Called by libcurl before the first byte is sent; records or prevents it."""
        if self._sending_forbidden or (
            self.sent and self._reuse is not ConnectionReuse.ALLOWED
        ):
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        self.local_port = local_port
        return pycurl.PREREQFUNC_OK


async def fetch(
    client: AsyncHTTPClient, request: Request
) -> HTTPResponse | RequestFailure:
    """
    Send a request and return the response as it came, or why there is none.

    Cancelling the coroutine while the request is queued in the client keeps it from
    being sent later.
    """
    try:
        return await client.fetch(request.http, raise_error=False)
    except CurlError as error:
        if not request.sent:
            return RequestFailure.NOT_SENT
        if request.is_too_large:
            return RequestFailure.TOO_LARGE
        if request.fault:
            _log_fault(request, request.fault)
            return RequestFailure.UNREADABLE
        failure = _FAILURES_BY_CURL_CODE.get(
            error.errno, RequestFailure.CONNECTION_LOST
        )
        if failure is RequestFailure.UNREADABLE:
            _log_fault(request, error.message)
        return failure
    except (ValueError, KeyError, pycurl.error):
        # Tornado could not prepare the request.
        return (
            RequestFailure.CONNECTION_LOST if request.sent else RequestFailure.NOT_SENT
        )
    finally:
        request.forbid_sending()


def _log_fault(request: Request, cause: str) -> None:
    fields = {
        "call": request.call_id,
        "url": request.http.url,
        "cause": cause,
        "local_port": request.local_port,
    }
    _log.warning("response not readable", extra=fields)


async def close_connection(client: AsyncHTTPClient, url: str) -> None:
    """
    Close an idle connection to a server, on which an answer to another request arrived.

    libcurl uses a connection again on which bytes wait to be read, unless it was idle
    for about a second, so each later answer would be that to the request before.
    """
    request = Request(url, reuse=ConnectionReuse.ALLOWED)
    request.forbid_sending()
    await fetch(client, request)


def is_framed(response: HTTPResponse) -> bool:
    """Return whether the body's length was marked, so that truncation is detected."""
    if response.code in (204, 304) or response.request.method == "HEAD":
        return True
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return True
    length = response.headers.get("Content-Length", "")
    return length.isdigit() and int(length) == len(response.body)


async def fetch_complete(
    client: AsyncHTTPClient, request: Request
) -> HTTPResponse | RequestFailure:
    """Send a request and return the complete response, or why there is none."""
    match await fetch(client, request):
        case RequestFailure() as failure:
            return failure
        case response if request.headers_complete and is_framed(response):
            return response
    return RequestFailure.TRUNCATED


def make_upstream_error(failure: RequestFailure, detail: str) -> FerryError:
    """Return the error for a failed request to an upstream."""
    text = f"{detail}: {failure.value}"
    match failure:
        case RequestFailure.NOT_SENT:
            return NotRun(ResultCode.UPSTREAM_REFUSED, text)
        case RequestFailure.CONNECTION_LOST | RequestFailure.UNREADABLE:
            return OutcomeUnknown(ResultCode.UPSTREAM_LOST, text)
        case RequestFailure.TIMED_OUT:
            return OutcomeUnknown(ResultCode.UPSTREAM_TIMEOUT, text)
        case RequestFailure.TRUNCATED | RequestFailure.TOO_LARGE:
            return OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, text)


def raise_upstream_error(failure: RequestFailure, detail: str) -> NoReturn:
    """
    Raise the error for a failed request to an upstream.

    :raises NotRun: no connection was made.
    :raises OutcomeUnknown: every other failure.
    """
    raise make_upstream_error(failure, detail)
