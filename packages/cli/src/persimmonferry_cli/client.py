"""HTTP client of the command line."""

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from persimmonferry_core.codes import Ran, ResultCode
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

__all__ = [
    "EXIT_REFUSED",
    "EXIT_UNKNOWN",
    "EXIT_USAGE",
    "CommandFailed",
    "Request",
    "Response",
    "ask",
    "describe_failure",
]

CONNECT_TIMEOUT_S = 2.0
TIMEOUT_S = 30.0
FIRST_ERROR_STATUS = 400
NO_RESPONSE_STATUS = 599

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


class CommandFailed(Exception):
    """
    A command did not succeed.

    :param exit_status: 1 when nothing was done, 2 for wrong usage, 3 when the outcome
        is unknown.
    :param lines: error message for the user.
    """

    def __init__(self, exit_status: int, lines: tuple[str, ...]) -> None:
        self.exit_status = exit_status
        self.lines = lines
        super().__init__("\n".join(lines))


@dataclass(frozen=True)
class Request:
    """
    One request to a process.

    :param url: URL of the process with the path.
    :param key: key of an operator or a client account.
    """

    url: str
    key: str
    method: str = "GET"
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)
    timeout_s: float = TIMEOUT_S


@dataclass(frozen=True)
class Response:
    """The response to a request that succeeded."""

    body: bytes

    def read(self) -> Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def ask(request: Request, deliver: Callable[[bytes], None] | None = None) -> Response:
    """
    Send a request and return its response.

    :param deliver: called with each chunk of the body, which the response then lacks.
    :raises CommandFailed: with the numbered error of the process.
    """
    return asyncio.run(_fetch(request, deliver))


async def _fetch(request: Request, deliver: Callable[[bytes], None] | None) -> Response:
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(_build(request, deliver), raise_error=False)
    finally:
        client.close()
    if response.code < FIRST_ERROR_STATUS:
        return Response(response.body or b"")
    raise _read_failure(response)


def _build(request: Request, deliver: Callable[[bytes], None] | None) -> HTTPRequest:
    return HTTPRequest(
        request.url,
        method=request.method,
        body=request.body,
        headers={"Authorization": f"Bearer {request.key}", **request.headers},
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=request.timeout_s,
        streaming_callback=deliver,
        allow_nonstandard_methods=True,
    )


def _read_failure(response: HTTPResponse) -> CommandFailed:
    body = response.body or b""
    try:
        return describe_failure(json.loads(body)["error"])
    except (ValueError, KeyError, TypeError):
        if response.code == NO_RESPONSE_STATUS:
            return _describe_transport_error(response.error)
    text = body.decode(errors="replace")
    return CommandFailed(EXIT_REFUSED, (f"error: status {response.code}", text))


def describe_failure(error: Mapping[str, Any]) -> CommandFailed:
    """Return the exception for the JSON of a numbered error."""
    lines = [f"error {error['message']}"]
    lines += [f"  {fault}" for fault in error.get("faults", ())]
    lines += error.get("difference", "").splitlines()
    is_unknown = error.get("ran") == Ran.UNKNOWN.value
    return CommandFailed(EXIT_UNKNOWN if is_unknown else EXIT_REFUSED, tuple(lines))


def _describe_transport_error(error: Exception | None) -> CommandFailed:
    if "failed to connect" in str(error).lower():
        return CommandFailed(EXIT_REFUSED, (f"error: could not connect: {error}",))
    code = ResultCode.WRITE_UNKNOWN
    line = f"error {code.number} {code.text}: {error}"
    return CommandFailed(EXIT_UNKNOWN, (line,))
