"""HTTP adapter to a plain service."""

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import NotRun, OutcomeUnknown
from persimmonferry_core.runs import CallAnswer, CallOrder, PlainLoad
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch_complete,
    raise_upstream_error,
)
from persimmonferry_adapters.http_formats import (
    NOT_RUN_HEADER,
    RUN_ID_HEADER,
    decode_json,
)

__all__ = ["HttpPlainService"]

CALL_TIMEOUT_S = 30.0
_BODILESS_METHODS = ("GET", "HEAD")


class HttpPlainService:
    """
    A plain service that speaks HTTP and returns the run id in a header.

    Any status, including 503, is an answer: only the header ``X-Not-Run`` with the run
    id counts as a refusal.

    :param url: base URL without a trailing slash.
    :param call_timeout_s: timeout of one call.
    """

    def __init__(
        self,
        client: AsyncHTTPClient,
        url: str,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._url = url
        self._call_timeout_s = call_timeout_s

    async def call(self, order: CallOrder) -> CallAnswer:
        """
        Make one call; the request is sent at most once.

        :raises NotRun: no byte of the call was sent, or the service refused it.
        :raises OutcomeUnknown: bytes were sent and no complete response came back.
        """
        _check_order(order)
        request = Request(
            self._url + order.path,
            method=order.method,
            body=None if order.method in _BODILESS_METHODS else order.body,
            content_type=order.content_type,
            headers={RUN_ID_HEADER: order.run_id},
            reuse=ConnectionReuse.NEVER,
            timeout_s=self._call_timeout_s,
        )
        match await fetch_complete(self._client, request):
            case RequestFailure() as failure:
                raise_upstream_error(failure, "plain service")
            case response:
                headers = response.headers
        if headers.get(RUN_ID_HEADER) != order.run_id:
            raise OutcomeUnknown(
                ResultCode.ANSWER_MISMATCHED, "run id does not match the call"
            )
        if headers.get(NOT_RUN_HEADER) == order.run_id:
            raise NotRun(ResultCode.UPSTREAM_REFUSED, "refused by the plain service")
        content_type = headers.get("Content-Type", "")
        return CallAnswer(order.run_id, response.code, content_type, response.body)

    async def read_load(self) -> PlainLoad:
        """
        Return the load that the service reports.

        :raises NotRun: no connection was made.
        :raises OutcomeUnknown: no complete and valid response came back.
        """
        match await fetch_complete(self._client, Request(f"{self._url}/v1/load")):
            case RequestFailure() as failure:
                raise_upstream_error(failure, "plain service")
            case response if response.code == 200:
                return _decode_load(response.body)
            case response:
                detail = f"plain service: status {response.code}"
                raise OutcomeUnknown(ResultCode.UPSTREAM_LOST, detail)


def _decode_load(body: bytes) -> PlainLoad:
    try:
        return decode_json(body, lambda fields: PlainLoad(**fields))
    except ValueError as error:
        raise OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, str(error)) from error


def _check_order(order: CallOrder) -> None:
    """
    Reject calls that libcurl would send as something else.

    :raises NotRun: when the path would become part of the host, or the body would turn
        HEAD into another method.
    """
    if not order.path.startswith("/"):
        raise NotRun(ResultCode.MALFORMED_REQUEST, "path has no leading slash")
    if order.body and order.method in _BODILESS_METHODS:
        raise NotRun(ResultCode.MALFORMED_REQUEST, f"{order.method} call has a body")
