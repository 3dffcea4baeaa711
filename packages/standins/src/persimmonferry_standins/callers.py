"""Client of an entry's API for callers, used by the demo, tests and benchmarks."""

import json
import time
import uuid
from dataclasses import dataclass, field

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch,
)
from tornado.httpclient import AsyncHTTPClient

__all__ = ["CallReceipt", "Caller", "PromptReceipt", "create_order_key"]

TIMEOUT_S = 60.0
OK = 200


def create_order_key() -> str:
    """Return a new idempotency key that starts with its Unix time of issue."""
    return f"{int(time.time())}-{uuid.uuid4().hex}"


@dataclass
class PromptReceipt:
    """
    Result of a prompt as the caller received it.

    :param status: HTTP status; 0 when the connection was lost.
    :param code: the numbered result code of an error, 0 for a complete answer.
    :param whole: whether the answer was complete: for a stream, the end mark arrived.
    :param first_token_s: time to the first token, for a streamed answer.
    :param gaps_s: times between the events of a streamed answer.
    """

    status: int = 0
    code: int = 0
    text: str = ""
    whole: bool = False
    retry_after_s: float | None = None
    first_token_s: float = 0.0
    elapsed_s: float = 0.0
    cached_tokens: int = 0
    gaps_s: list[float] = field(default_factory=list)


@dataclass(frozen=True)
class CallReceipt:
    """
    Result of a call to a plain service as the caller received it.

    :param status: HTTP status; 0 when the connection was lost.
    :param code: numbered result code; 0 when the connection was lost.
    :param ran: whether this call ran according to the entry: yes, no or unknown.
    :param earlier_known: whether that covers earlier calls of the same key, too.
    """

    status: int
    code: int
    ran: str
    body: bytes
    elapsed_s: float
    earlier_known: bool = True


class Caller:
    """
    A caller that authenticates with the API key of a client account.

    :param url: base URL of an entry.
    """

    def __init__(self, client: AsyncHTTPClient, url: str, key: str) -> None:
        self._client = client
        self._url = url
        self._key = key

    async def complete(
        self,
        service: str,
        prompt: str,
        *,
        tier: str = "",
        max_tokens: int = 16,
        stream: bool = True,
        request_id: str = "",
        is_retry: bool = False,
    ) -> PromptReceipt:
        """
        Send a prompt and read its answer to the end.

        :param request_id: sent as the idempotency key unless empty.
        :param is_retry: whether to mark the request as a retry.
        """
        body = {"model": service, "prompt": prompt, "max_tokens": max_tokens}
        body |= {"stream": stream}
        if tier:
            body["service_tier"] = tier
        headers = {"Authorization": f"Bearer {self._key}"}
        if request_id:
            headers["Idempotency-Key"] = request_id
        if is_retry:
            headers["X-Retry-Count"] = "1"
        reader = _AnswerReader(stream)
        request = Request(
            self._url + "/v1/completions",
            method="POST",
            body=json.dumps(body).encode(),
            content_type="application/json",
            headers=headers,
            reuse=ConnectionReuse.NEVER,
            timeout_s=TIMEOUT_S,
            streaming_callback=reader.feed,
        )
        match await fetch(self._client, request):
            case RequestFailure():
                return reader.finish(0)
            case response:
                return reader.finish(response.code)

    async def call(
        self,
        service: str,
        path: str,
        body: bytes = b"",
        *,
        method: str = "POST",
        key: str = "",
    ) -> CallReceipt:
        """
        Call a plain service.

        :param key: idempotency key; empty for none.
        """
        headers = {"Authorization": f"Bearer {self._key}"}
        if key:
            headers["Idempotency-Key"] = key
        request = Request(
            f"{self._url}/services/{service}{path}",
            method=method,
            body=None if method == "GET" else body,
            content_type="application/json",
            headers=headers,
            reuse=ConnectionReuse.NEVER,
            timeout_s=TIMEOUT_S,
        )
        started = time.monotonic()
        match await fetch(self._client, request):
            case RequestFailure():
                elapsed_s = time.monotonic() - started
                return CallReceipt(0, 0, "unknown", b"", elapsed_s)
            case response:
                elapsed_s = time.monotonic() - started
                return _read_call(response.code, response.body, elapsed_s)


class _AnswerReader:
    """Parses the body of an answer as it arrives."""

    def __init__(self, stream: bool) -> None:
        self._stream = stream
        self._buffer = b""
        self._started = time.monotonic()
        self._last_event = 0.0
        self.receipt = PromptReceipt()

    def feed(self, data: bytes) -> None:
        now = time.monotonic()
        self._buffer += data
        if not self._stream:
            return
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            self._read_event(event.decode(), now)

    def finish(self, status: int) -> PromptReceipt:
        receipt = self.receipt
        receipt.status = status
        receipt.elapsed_s = time.monotonic() - self._started
        if status and self._buffer.strip():
            self._read_body(json.loads(self._buffer))
        return receipt

    def _read_event(self, event: str, now: float) -> None:
        _, _, data = event.partition("data: ")
        if data == "[DONE]":
            self.receipt.whole = True
            return
        fields = json.loads(data)
        if "error" in fields:
            self._read_body(fields)
            return
        self.receipt.text += fields["choices"][0]["text"]
        if self._last_event:
            self.receipt.gaps_s.append(now - self._last_event)
        else:
            self.receipt.first_token_s = now - self._started
        self._last_event = now
        if "usage" in fields:
            details = fields["usage"]["prompt_tokens_details"]
            self.receipt.cached_tokens = details["cached_tokens"]

    def _read_body(self, fields: dict) -> None:
        error = fields.get("error")
        if error is not None:
            self.receipt.code = error["code"]
            self.receipt.retry_after_s = error["retry_after_s"]
            return
        self.receipt.text = fields["choices"][0]["text"]
        details = fields["usage"]["prompt_tokens_details"]
        self.receipt.cached_tokens = details["cached_tokens"]
        self.receipt.whole = True


def _read_call(status: int, body: bytes, elapsed_s: float) -> CallReceipt:
    try:
        error = json.loads(body)["error"]
        known = "earlier" not in error
        return CallReceipt(status, error["code"], error["ran"], body, elapsed_s, known)
    except (ValueError, KeyError, TypeError):
        return CallReceipt(status, 1000, "yes", body, elapsed_s)
