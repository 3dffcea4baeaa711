"""Commands of callers: a prompt, and a call that runs at most once."""

import json
import sys
import time
import uuid
from collections.abc import Callable

from persimmonferry_cli.client import (
    EXIT_UNKNOWN,
    CommandFailed,
    Request,
    ask as ask_process,
    describe_failure,
)
from persimmonferry_cli.endpoints import find_caller_endpoint

__all__ = ["ask", "order"]

TIMEOUT_S = 3600.0


class _EventStreamParser:
    """Parses server-sent events and records whether the answer is complete."""

    def __init__(self, deliver: Callable[[str], None]) -> None:
        self.is_whole = False
        self.error: dict | None = None
        self.unparsed = b""
        self._deliver = deliver

    def feed(self, chunk: bytes) -> None:
        self.unparsed += chunk
        while b"\n\n" in self.unparsed:
            event, self.unparsed = self.unparsed.split(b"\n\n", 1)
            for line in event.decode().splitlines():
                if line.startswith("data: "):
                    self._handle_data(line.removeprefix("data: "))

    def _handle_data(self, data: str) -> None:
        if data == "[DONE]":
            self.is_whole = True
            return
        message = json.loads(data)
        if "error" in message:
            self.error = message["error"]
            return
        self._deliver(message["choices"][0].get("text", ""))


def ask(
    service: str,
    prompt: str,
    *,
    tier: str = "",
    max_tokens: int = 256,
    entry: str = "",
    key: str = "",
) -> None:
    """
    Send a prompt and print the answer as it arrives.

    :param service: name of the model service.
    :param prompt: the text; - reads it from standard input.
    :param tier: name of the tier; by default the first of the document.
    :param max_tokens: maximum length of the answer.
    :param entry: base URL of an entry, or PERSIMMONFERRY_ENTRY.
    :param key: the client account's key, or PERSIMMONFERRY_ACCOUNT_KEY.
    """
    endpoint = find_caller_endpoint(entry, key)
    text = sys.stdin.read() if prompt == "-" else prompt
    body = {"model": service, "prompt": text, "max_tokens": max_tokens, "stream": True}
    if tier:
        body["service_tier"] = tier
    events = _EventStreamParser(lambda part: print(part, end="", flush=True))
    request = Request(
        f"{endpoint.url}/v1/completions",
        endpoint.key,
        method="POST",
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
        timeout_s=TIMEOUT_S,
    )
    try:
        ask_process(request, events.feed)
    except CommandFailed:
        # The body of a refusal has gone to the event parser, not to the response.
        if events.unparsed.startswith(b"{"):
            raise describe_failure(json.loads(events.unparsed)["error"]) from None
        raise
    print()
    if events.error is not None:
        raise describe_failure(events.error)
    if not events.is_whole:
        raise CommandFailed(EXIT_UNKNOWN, ("error: the answer was cut short",))


def order(
    service: str,
    path: str,
    body: str,
    *,
    idempotency_key: str = "",
    entry: str = "",
    key: str = "",
) -> None:
    """
    Make a call that runs at most once, and print its answer.

    :param service: name of the plain service.
    :param path: path of the call at the service, such as /orders.
    :param body: body of the call.
    :param idempotency_key: key of an earlier attempt at this order; default: a new one.
    :param entry: base URL of an entry, or PERSIMMONFERRY_ENTRY.
    :param key: the client account's key, or PERSIMMONFERRY_ACCOUNT_KEY.
    """
    endpoint = find_caller_endpoint(entry, key)
    once = idempotency_key or f"{int(time.time())}-{uuid.uuid4().hex}"
    # Printed before the call, so that the order can be retried after any failure.
    print(f"idempotency key {once}", file=sys.stderr)
    request = Request(
        f"{endpoint.url}/services/{service}{path}",
        endpoint.key,
        method="POST",
        body=body.encode(),
        headers={"Idempotency-Key": once},
    )
    print(ask_process(request).body.decode(errors="replace"))
