"""One HTTP exchange, and how far a request got when no whole answer came back."""

import enum
from typing import Any, NoReturn

import pycurl
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, NotRun, OutcomeUnknown
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

__all__ = [
    "CONNECT_TIMEOUT_S",
    "ConnectionReuse",
    "Request",
    "RequestFailure",
    "fetch",
    "fetch_complete",
    "is_framed",
    "make_upstream_error",
    "raise_upstream_error",
]

CONNECT_TIMEOUT_S = 0.5
DEFAULT_TIMEOUT_S = 5.0


class RequestFailure(enum.Enum):
    """How far a request got that brought no whole answer."""

    NOT_SENT = "no connection was made"
    CONNECTION_LOST = "the connection broke"
    TIMED_OUT = "no answer in time"
    TRUNCATED = "the answer was cut short"
    TOO_LARGE = "the answer has no end"


_FAILURES_BY_CURL_CODE = {
    pycurl.E_OPERATION_TIMEDOUT: RequestFailure.TIMED_OUT,
    pycurl.E_PARTIAL_FILE: RequestFailure.TRUNCATED,
}


class ConnectionReuse(enum.Enum):
    """
    Whether a request may travel on a connection that is already open.

    libcurl sends a request a second time, unasked, when a reused connection closes
    before the first byte of the answer. A request that must go out at most once, or
    whose refusal must be true, needs a connection of its own. With ``ONCE`` the second
    sending is prevented, and such a request counts as lost.
    """

    ALLOWED = "allowed"
    NO_RESEND = "allowed, but the request is not sent a second time"
    NEVER = "never"


class Request:
    """
    One request that follows no redirect and passes no proxy.

    ``sent`` tells whether a byte of it may have gone out, ``head_ended`` whether the
    headers of the answer came whole: libcurl takes an answer that is cut within its
    headers for a whole one.

    :param timeout_s: for the whole exchange; 0 means no limit.
    :param connect_timeout_s: for a new connection, within the same time.
    :param options: further ones of Tornado's ``HTTPRequest``.
    """

    def __init__(
        self,
        url: str,
        *,
        method: str = "GET",
        body: bytes | None = None,
        content_type: str = "",
        headers: dict[str, str] | None = None,
        reuse: ConnectionReuse = ConnectionReuse.ALLOWED,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        **options: Any,
    ) -> None:
        # An empty value keeps libcurl from adding a content type of its own.
        all_headers = {"Content-Type": content_type, **(headers or {})}
        self._reuse = reuse
        self._sending_forbidden = False
        self.sent = False
        self.headers_complete = False
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
            header_callback=self._receive_header,
            prepare_curl_callback=self.prepare,
            **options,
        )

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set the options of libcurl that Tornado does not know."""
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)
        if self._reuse is ConnectionReuse.NEVER:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def forbid_sending(self) -> None:
        """Forbid sending from now on, also if the client still has it in its queue."""
        self._sending_forbidden = True

    def _receive_header(self, line: str) -> None:
        """Note the end of the headers; each interim answer starts them anew."""
        if line.startswith("HTTP/"):
            self.headers_complete = False
        elif line in ("\r\n", "\n"):
            self.headers_complete = True

    def _before_sending(self, *_addresses: Any) -> int:
        """Note that the first byte is about to go out on an open connection."""
        if self._sending_forbidden or (
            self.sent and self._reuse is not ConnectionReuse.ALLOWED
        ):
            return pycurl.PREREQFUNC_ABORT
        self.sent = True
        return pycurl.PREREQFUNC_OK


async def fetch(
    client: AsyncHTTPClient, request: Request
) -> HTTPResponse | RequestFailure:
    """
    Make one exchange and return the answer as it came, or how it was lost.

    A coroutine that is cancelled while the client has the request in its queue keeps
    it from being sent later.
    """
    try:
        return await client.fetch(request.http, raise_error=False)
    except CurlError as error:
        if not request.sent:
            return RequestFailure.NOT_SENT
        return _FAILURES_BY_CURL_CODE.get(error.errno, RequestFailure.CONNECTION_LOST)
    except (ValueError, KeyError, pycurl.error):
        # Tornado could not set the request up.
        return (
            RequestFailure.CONNECTION_LOST if request.sent else RequestFailure.NOT_SENT
        )
    finally:
        request.forbid_sending()


def is_framed(response: HTTPResponse) -> bool:
    """Return whether the end of the body was marked, so that a cut would show."""
    if response.code in (204, 304) or response.request.method == "HEAD":
        return True
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return True
    length = response.headers.get("Content-Length", "")
    return length.isdigit() and int(length) == len(response.body)


async def fetch_complete(
    client: AsyncHTTPClient, request: Request
) -> HTTPResponse | RequestFailure:
    """Make one exchange and return the whole answer, or how it was lost."""
    match await fetch(client, request):
        case RequestFailure() as failure:
            return failure
        case response if request.headers_complete and is_framed(response):
            return response
    return RequestFailure.TRUNCATED


def make_upstream_error(failure: RequestFailure, detail: str) -> FerryError:
    """Return the error of an exchange with an upstream."""
    text = f"{detail}: {failure.value}"
    match failure:
        case RequestFailure.NOT_SENT:
            return NotRun(ResultCode.UPSTREAM_REFUSED, text)
        case RequestFailure.CONNECTION_LOST:
            return OutcomeUnknown(ResultCode.UPSTREAM_LOST, text)
        case RequestFailure.TIMED_OUT:
            return OutcomeUnknown(ResultCode.UPSTREAM_TIMEOUT, text)
        case RequestFailure.TRUNCATED | RequestFailure.TOO_LARGE:
            return OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, text)


def raise_upstream_error(failure: RequestFailure, detail: str) -> NoReturn:
    """
    Raise the error of an exchange with an upstream.

    :raises NotRun: no connection was made.
    :raises OutcomeUnknown: anything else.
    """
    raise make_upstream_error(failure, detail)
