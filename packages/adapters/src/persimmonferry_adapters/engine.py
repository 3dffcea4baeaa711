"""HTTP adapter to a model engine."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import pycurl
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import (
    FerryError,
    OutcomeUnknown,
    StoreError,
)
from persimmonferry_core.runs import (
    CacheEvent,
    CacheEventKind,
    EngineLoad,
    EngineOrder,
    RunEnd,
    RunOrder,
    TokenBatch,
)
from tornado.httpclient import AsyncHTTPClient, HTTPResponse

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch,
    fetch_complete,
    raise_upstream_error,
)
from persimmonferry_adapters.http_formats import (
    BLOCK_NAME_HEADER,
    JSON_TYPE,
    OCTETS_TYPE,
    decode_json,
    decode_refusal,
    encode_engine_order,
    encode_json,
    encode_run_order,
    quote_segment,
)
from persimmonferry_adapters.run_stream import RunStreamReader

__all__ = ["HttpEngine"]

Built = TypeVar("Built")

RUN_IDLE_TIMEOUT_S = 2.0
LOW_SPEED_TIMEOUT_S = 60
ORDER_TIMEOUT_S = 120.0
BLOCK_TIMEOUT_S = 30.0


class _RunTransfer:
    """
    One streamed request for a run, with an idle timeout.

    Tornado's curl client can't abort a request, so libcurl's progress callback does.

    :param idle_timeout_s: longest time between two chunks.
    """

    def __init__(
        self, url: str, order: RunOrder, reader: RunStreamReader, idle_timeout_s: float
    ) -> None:
        self._reader = reader
        self._idle_timeout_s = idle_timeout_s
        self._loop = asyncio.get_running_loop()
        self._last_chunk_s = self._loop.time()
        self._result: asyncio.Future[HTTPResponse | RequestFailure] = (
            self._loop.create_future()
        )
        self._request = self._make_request(url, order)

    async def run(self, client: AsyncHTTPClient) -> HTTPResponse | RequestFailure:
        """Send the order; return when the response ends, fails or times out."""
        fetching = asyncio.ensure_future(fetch(client, self._request))
        fetching.add_done_callback(self._finish_fetch)
        watch = self._loop.call_later(self._idle_timeout_s, self._check_idle_timeout)
        try:
            return await self._result
        finally:
            self._request.forbid_sending()
            self._result.cancel()
            watch.cancel()

    def _make_request(self, url: str, order: RunOrder) -> Request:
        request = Request(
            url,
            method="POST",
            body=encode_run_order(order),
            content_type=JSON_TYPE,
            reuse=ConnectionReuse.NEVER,
            timeout_s=0,
            streaming_callback=self._receive,
        )

        def prepare(curl: pycurl.Curl) -> None:
            request.prepare(curl)
            # With a speed limit, libcurl calls the progress callback each second even
            # while no data arrives.
            curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
            curl.setopt(pycurl.LOW_SPEED_TIME, LOW_SPEED_TIMEOUT_S)
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, self._check_progress)

        request.http.prepare_curl_callback = prepare
        return request

    def _receive(self, chunk: bytes) -> None:
        if self._result.done():
            return
        self._last_chunk_s = self._loop.time()
        self._reader.feed(chunk)
        if self._reader.failure is not None:
            self._set_result(RequestFailure.CONNECTION_LOST)

    def _check_idle_timeout(self) -> None:
        left_s = self._last_chunk_s + self._idle_timeout_s - self._loop.time()
        if left_s <= 0:
            self._set_result(
                RequestFailure.TIMED_OUT
                if self._request.sent
                else RequestFailure.NOT_SENT
            )
        elif not self._result.done():
            self._loop.call_later(left_s, self._check_idle_timeout)

    def _check_progress(self, *_totals: int) -> int:
        """Abort a transfer whose result is no longer awaited."""
        return 1 if self._result.done() else 0

    def _finish_fetch(
        self, fetching: asyncio.Future[HTTPResponse | RequestFailure]
    ) -> None:
        if not fetching.cancelled():
            self._set_result(fetching.result())

    def _set_result(self, result: HTTPResponse | RequestFailure) -> None:
        if not self._result.done():
            self._result.set_result(result)


class HttpEngine:
    """
    A model engine that speaks HTTP.

    Every method raises NotRun when no connection could be made, and OutcomeUnknown
    when the request may have arrived but no complete response came back.

    :param url: base URL without a trailing slash.
    :param idle_timeout_s: longest time between two chunks of a run's response;
        heartbeats count as chunks.
    """

    def __init__(
        self,
        client: AsyncHTTPClient,
        url: str,
        idle_timeout_s: float = RUN_IDLE_TIMEOUT_S,
    ) -> None:
        self._client = client
        self._url = url
        self._idle_timeout_s = idle_timeout_s

    async def run(
        self, order: RunOrder, deliver: Callable[[TokenBatch], None]
    ) -> RunEnd:
        """
        Run a prompt and return the end mark; see ``Engine.run``.

        Cancelling the coroutine closes the connection; ``cancel`` frees the slot.

        :raises NotRun: the engine refused the run or could not be reached.
        :raises OutcomeUnknown: the connection was lost, the idle timeout passed, or the
            response was truncated or that of another run.
        """
        reader = RunStreamReader(order, deliver)
        url = f"{self._url}/v1/runs"
        transfer = _RunTransfer(url, order, reader, self._idle_timeout_s)
        result = await transfer.run(self._client)
        if reader.failure is not None:
            raise reader.failure
        match result:
            case RequestFailure() as failure:
                raise_upstream_error(failure, "engine")
            case response if response.code != 200:
                detail = f"engine: status {response.code}"
                raise OutcomeUnknown(ResultCode.UPSTREAM_LOST, detail)
        if reader.end is None:
            raise OutcomeUnknown(ResultCode.ANSWER_TRUNCATED, "no end mark")
        return reader.end

    async def cancel(self, run_id: str) -> None:
        """Stop a run; an unknown run id is not an error."""
        body = encode_json({"run_id": run_id})
        await self._fetch_json("/v1/cancel", bool, method="POST", body=body)

    async def read_load(self) -> EngineLoad:
        """Return the load that the engine reports."""
        return await self._fetch_json("/v1/load", lambda fields: EngineLoad(**fields))

    async def read_cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events published so far after a sequence number."""
        return await self._fetch_json(
            f"/v1/cache_events?after={after}", _decode_cache_events
        )

    async def export_block(self, name: str) -> bytes:
        """
        Return the bytes of a cached block.

        :raises StoreError: the engine holds no such block.
        """
        request = Request(
            f"{self._url}/v1/blocks/{quote_segment(name)}", timeout_s=BLOCK_TIMEOUT_S
        )
        response = await self._fetch(request)
        if response.code != 200 or response.headers.get(BLOCK_NAME_HEADER) != name:
            raise StoreError(ResultCode.BLOCK_INVALID, "the engine holds no such block")
        return response.body

    async def import_block(self, name: str, data: bytes) -> None:
        """
        Import a block into the engine's cache.

        :raises StoreError: the engine refused the block.
        """
        request = Request(
            f"{self._url}/v1/blocks/{quote_segment(name)}",
            method="PUT",
            body=data,
            content_type=OCTETS_TYPE,
            timeout_s=BLOCK_TIMEOUT_S,
        )
        response = await self._fetch(request)
        if response.code != 200:
            raise StoreError(
                ResultCode.BLOCK_INVALID, f"engine: status {response.code}"
            )

    async def give_order(self, order: EngineOrder) -> None:
        """
        Give an order and wait until the engine has carried it out.

        :raises NotRun: with FENCING_REFUSED when the engine refuses the fencing token.
        :raises OutcomeUnknown: the order may have been carried out.
        """
        request = Request(
            f"{self._url}/v1/orders",
            method="POST",
            body=encode_engine_order(order),
            content_type=JSON_TYPE,
            reuse=ConnectionReuse.NEVER,
            timeout_s=ORDER_TIMEOUT_S,
        )
        response = await self._fetch(request)
        if response.code != 200:
            raise _read_refusal(response)

    async def _fetch_json(
        self,
        path: str,
        build: Callable[[Any], Built],
        *,
        method: str = "GET",
        body: bytes | None = None,
    ) -> Built:
        request = Request(
            self._url + path, method=method, body=body, content_type=JSON_TYPE
        )
        response = await self._fetch(request)
        if response.code != 200:
            raise _read_refusal(response)
        try:
            return decode_json(response.body, build)
        except ValueError as error:
            raise OutcomeUnknown(ResultCode.ANSWER_MISMATCHED, str(error)) from error

    async def _fetch(self, request: Request) -> HTTPResponse:
        match await fetch_complete(self._client, request):
            case RequestFailure() as failure:
                raise_upstream_error(failure, "engine")
            case response:
                return response


def _decode_cache_events(fields: Any) -> tuple[CacheEvent, ...]:
    return tuple(
        CacheEvent(event["sequence"], CacheEventKind(event["kind"]), event["block"])
        for event in fields["events"]
    )


def _read_refusal(response: HTTPResponse) -> FerryError:
    """Return the error for a response with a status other than 200."""
    try:
        return decode_json(response.body, decode_refusal)
    except ValueError:
        return OutcomeUnknown(
            ResultCode.UPSTREAM_LOST, f"engine: status {response.code}"
        )
