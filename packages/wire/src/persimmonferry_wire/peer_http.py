"""Sends Thrift structs between processes: an HTTP POST and its response."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from persimmonferry_adapters.http_client import (
    ConnectionReuse,
    Request,
    RequestFailure,
    fetch_complete,
)
from tornado.httpclient import AsyncHTTPClient
from tornado.web import RequestHandler

from persimmonferry_wire.codec import decode, encode

__all__ = [
    "CONTENT_TYPE",
    "PeerClient",
    "PeerHandler",
    "PeerRequestFailed",
    "PeerRoute",
]

Reply = TypeVar("Reply")

CONTENT_TYPE = "application/x-thrift"
USER_AGENT = "pf"
HTTP_OK = 200

_log = logging.getLogger(__name__)


class PeerRequestFailed(Exception):
    """
    A request to a peer that got no complete reply.

    :param sent: False when the peer provably did not receive the request.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        self.sent = sent
        super().__init__(detail)


class PeerClient:
    """Sends requests to peers; one for each process."""

    def __init__(self, client: AsyncHTTPClient) -> None:
        self._client = client

    async def ask(
        self,
        url: str,
        message: Any,
        kind: type[Reply],
        timeout_s: float,
        *,
        new_connection: bool = False,
    ) -> Reply:
        """
        Send a struct and return the peer's reply.

        :param url: base URL of the peer and the route's path.
        :param new_connection: don't reuse a connection. On a reused one libcurl may
            send a request twice, and then ``PeerRequestFailed.sent`` proves nothing.
        :raises PeerRequestFailed: no complete reply within ``timeout_s``.
        """
        request = Request(
            url,
            method="POST",
            body=encode(message),
            content_type=CONTENT_TYPE,
            reuse=ConnectionReuse.NEVER if new_connection else ConnectionReuse.ALLOWED,
            timeout_s=timeout_s,
            user_agent=USER_AGENT,
        )
        match await fetch_complete(self._client, request):
            case RequestFailure() as failure:
                raise PeerRequestFailed(failure.value, sent=request.sent)
            case response if response.code != HTTP_OK:
                raise PeerRequestFailed(f"peer: status {response.code}", sent=True)
            case response:
                return _read_reply(kind, response.body)


def _read_reply(kind: type[Reply], body: bytes) -> Reply:
    try:
        return decode(kind, body)
    except ValueError as error:
        raise PeerRequestFailed(str(error), sent=True) from error


@dataclass(frozen=True)
class PeerRoute:
    """
    The request that a process accepts at one path.

    :param kind: struct type of the request.
    :param handler: coroutine that returns the reply struct.
    """

    path: str
    kind: type
    handler: Callable[[Any], Awaitable[Any]]


class PeerHandler(RequestHandler):
    """Handles the requests of one route."""

    def initialize(self, route: PeerRoute) -> None:
        """Set the route that the URL stands for."""
        self._route = route

    def set_default_headers(self) -> None:
        """Omit headers that no peer reads, to keep control traffic small."""
        self.clear_header("Server")
        self.clear_header("Date")

    async def post(self) -> None:
        """Decode the struct, call the route's handler and send the reply."""
        try:
            message = decode(self._route.kind, self.request.body)
        except ValueError:
            _log.warning(
                "malformed message from a peer", extra={"path": self._route.path}
            )
            self.set_status(400)
            return
        reply = await self._route.handler(message)
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(encode(reply))
