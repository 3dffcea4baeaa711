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
    "Loss",
    "Reuse",
    "classify",
    "exchange",
    "is_framed",
    "make_request",
    "make_upstream_error",
    "raise_upstream_loss",
]

CONNECT_TIMEOUT_S = 0.5
DEFAULT_TIMEOUT_S = 5.0


class Loss(enum.Enum):
    """How far a request got that brought no whole answer."""

    NOT_SENT = "no connection was made"
    LOST = "the connection broke"
    TIMED_OUT = "no answer in time"
    TRUNCATED = "the answer was cut short"


class Reuse(enum.Enum):
    """
    Whether a request may travel on a connection that is already open.

    libcurl sends a request a second time, unasked, when a reused connection closes
    before the first byte of the answer. A request that must go out at most once, or
    whose refusal must be true, needs a connection of its own.
    """

    ALLOWED = "allowed"
    NEVER = "never"


def make_request(
    url: str,
    *,
    method: str = "GET",
    body: bytes | None = None,
    content_type: str = "",
    headers: dict[str, str] | None = None,
    reuse: Reuse = Reuse.ALLOWED,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    **options: Any,
) -> HTTPRequest:
    """
    Return a request that follows no redirect and passes no proxy.

    :param timeout_s: for the whole exchange; 0 means no limit.
    """
    all_headers = dict(headers or {})
    if content_type:
        all_headers["Content-Type"] = content_type

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.NOPROXY, "*")
        if reuse is Reuse.NEVER:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    return HTTPRequest(
        url,
        method=method,
        body=body,
        headers=all_headers,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=prepare,
        **options,
    )


def classify(response: HTTPResponse) -> Loss | None:
    """Return how a request was lost, or None for a whole answer."""
    error = response.error
    if response.code != 599 or error is None:
        return None
    if not isinstance(error, CurlError):
        # The request could not even be set up.
        return Loss.NOT_SENT
    if response.time_info.get("pretransfer", 0.0) == 0.0:
        return Loss.NOT_SENT
    match error.errno:
        case pycurl.E_COULDNT_CONNECT:
            return Loss.NOT_SENT
        case pycurl.E_OPERATION_TIMEDOUT:
            return Loss.TIMED_OUT
        case pycurl.E_PARTIAL_FILE:
            return Loss.TRUNCATED
    return Loss.LOST


def is_framed(response: HTTPResponse) -> bool:
    """Return whether the end of the body was marked, so that a cut would show."""
    if response.code in (204, 304):
        return True
    if response.headers.get("Transfer-Encoding", "").lower() == "chunked":
        return True
    length = response.headers.get("Content-Length", "")
    return length.isdigit() and int(length) == len(response.body)


async def exchange(
    client: AsyncHTTPClient, request: HTTPRequest
) -> HTTPResponse | Loss:
    """Make one exchange and return the whole answer, or how it was lost."""
    response = await client.fetch(request, raise_error=False)
    loss = classify(response)
    if loss is not None:
        return loss
    if not is_framed(response):
        return Loss.TRUNCATED
    return response


def make_upstream_error(loss: Loss, detail: str) -> FerryError:
    """Return the error of an exchange with an upstream."""
    text = f"{detail}: {loss.value}"
    match loss:
        case Loss.NOT_SENT:
            return NotRun(ResultCode.UPSTREAM_REFUSED, text)
        case Loss.LOST:
            return OutcomeUnknown(ResultCode.UPSTREAM_LOST, text)
        case Loss.TIMED_OUT:
            return OutcomeUnknown(ResultCode.UPSTREAM_TIMEOUT, text)
        case Loss.TRUNCATED:
            return OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, text)


def raise_upstream_loss(loss: Loss, detail: str) -> NoReturn:
    """
    Raise the error of an exchange with an upstream.

    :raises NotRun: no connection was made.
    :raises OutcomeUnknown: anything else.
    """
    raise make_upstream_error(loss, detail)
