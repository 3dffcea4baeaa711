"""Carries Thrift structs between processes: one HTTP POST asks, its body answers."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.web import RequestHandler

from persimmonferry_wire.codec import decode, encode

__all__ = [
    "CONTENT_TYPE",
    "PeerClient",
    "PeerHandler",
    "PeerLost",
    "PeerRoute",
    "was_sent",
]

Reply = TypeVar("Reply")

CONTENT_TYPE = "application/x-thrift"
CONNECT_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class PeerLost(Exception):
    """
    No whole reply came from a peer.

    :param sent: False when the peer provably did not get the request.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        self.sent = sent
        super().__init__(detail)


class PeerClient:
    """Asks peers; one for each process."""

    def __init__(self, client: AsyncHTTPClient) -> None:
        self._client = client

    async def ask(
        self, url: str, message: Any, kind: type[Reply], timeout_s: float
    ) -> Reply:
        """
        Send a struct and return the peer's reply.

        :param url: base URL of the peer and the route's path.
        :raises PeerLost: no whole reply in time.
        """
        request = HTTPRequest(
            url,
            method="POST",
            body=encode(message),
            headers={"Content-Type": CONTENT_TYPE},
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request)
            return decode(kind, response.body)
        except (HTTPClientError, OSError, ValueError) as error:
            raise PeerLost(str(error), sent=was_sent(error)) from error


def was_sent(error: Exception) -> bool:
    """
    Tell whether bytes of a failed request may have reached the other side.

    Only a refused connection proves that none did.
    """
    return getattr(error, "errno", None) != pycurl.E_COULDNT_CONNECT


@dataclass(frozen=True)
class PeerRoute:
    """
    One message that a process understands.

    :param kind: struct type of the request.
    :param answer: coroutine that returns the reply struct.
    """

    path: str
    kind: type
    answer: Callable[[Any], Awaitable[Any]]


class PeerHandler(RequestHandler):
    """Answers one route."""

    def initialize(self, route: PeerRoute) -> None:
        """Take the route that the URL stands for."""
        self._route = route

    async def post(self) -> None:
        """Decode the struct, have it answered, and send the reply."""
        try:
            message = decode(self._route.kind, self.request.body)
        except ValueError:
            _log.warning("malformed peer message", extra={"path": self._route.path})
            self.set_status(400)
            return
        reply = await self._route.answer(message)
        self.set_header("Content-Type", CONTENT_TYPE)
        self.finish(encode(reply))
