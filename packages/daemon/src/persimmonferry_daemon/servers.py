"""HTTP servers of a process and the routes that every process has."""

import json
import logging
import socket
from collections.abc import Callable, Sequence
from typing import Any

from persimmonferry_core.codes import Ran, ResultCode
from persimmonferry_core.exceptions import FerryError
from persimmonferry_core.topology import Address
from persimmonferry_wire import PeerHandler, PeerRoute
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

__all__ = ["ErrorHandler", "Listener", "describe_error", "list_peer_rules"]

_log = logging.getLogger(__name__)

BACKLOG = 1024
MAX_HEADER_BYTES = 64 * 1024
READ_BYTES = 16 * 1024
IDLE_CONNECTION_TIMEOUT_S = 120
MAX_PEER_BODY_BYTES = 64 * 1024 * 1024


def describe_error(error: FerryError, *, earlier_known: bool = True) -> dict[str, Any]:
    """
    Return the JSON body that callers and operators get for an error.

    ``ran`` refers to this call; ``earlier`` is present when the state of earlier calls
    with the same idempotency key is unknown.

    :param earlier_known: False when the error came before the claims were read.
    """
    fields = {
        "code": error.code.number,
        "message": str(error),
        "type": error.code.name.lower(),
        "ran": error.code.ran.value,
        "retry_after_s": error.retry_after_s,
    }
    if error.code.earlier_unknown or not earlier_known:
        fields["earlier"] = Ran.UNKNOWN.value
    return {"error": fields}


class ErrorHandler(RequestHandler):
    """Base of the handlers that send errors as JSON with a result code."""

    def knows_earlier(self) -> bool:
        """Whether the claims of earlier calls were read."""
        return True

    def send_failure(self, error: FerryError) -> None:
        """Respond with the error's code, whether it ran, and when to retry."""
        self.set_status(error.code.http_status)
        if error.retry_after_s is not None:
            # The header takes whole seconds; the body has the exact time.
            self.set_header("Retry-After", str(max(1, round(error.retry_after_s))))
        self.set_header("Content-Type", "application/json")
        body = describe_error(error, earlier_known=self.knows_earlier())
        self.finish(json.dumps(body))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log an exception without the request, whose path may reveal caller data."""
        _log.error("uncaught exception", exc_info=(typ, value, tb))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond to Tornado's own errors with a result code, too."""
        code = {
            400: ResultCode.MALFORMED_REQUEST,
            404: ResultCode.NOT_FOUND,
            405: ResultCode.NOT_FOUND,
            413: ResultCode.BODY_TOO_LARGE,
        }.get(status_code, ResultCode.INTERNAL_FAULT)
        self.send_failure(FerryError(code))


@stream_request_body
class _NotFound(ErrorHandler):
    def prepare(self) -> None:
        self.send_failure(FerryError(ResultCode.NOT_FOUND))

    def data_received(self, chunk: bytes) -> None:
        """Drop a part of the body, which nobody reads."""


class _Health(RequestHandler):
    def initialize(self, check: Callable[[], bool]) -> None:
        self._check = check

    def get(self) -> None:
        healthy = self._check()
        self.set_status(200 if healthy else 503)
        self.finish("ok\n" if healthy else "not ready\n")


def list_peer_rules(routes: Sequence[PeerRoute]) -> list[tuple]:
    """Return Tornado's rules for the routes."""
    return [(route.path, PeerHandler, {"route": route}) for route in routes]


class Listener:
    """
    One HTTP server on one address, which is bound at creation.

    :param is_ready: returns what ``/ready`` reports to the platform's load balancer.
    :param max_body_bytes: largest body of a handler that sets no limit of its own.
    :param receive_buffer_bytes: of a connection in the kernel, None for the kernel's
        choice, which grows to megabytes.
    """

    def __init__(
        self,
        address: Address,
        is_ready: Callable[[], bool],
        max_body_bytes: int = MAX_PEER_BODY_BYTES,
        receive_buffer_bytes: int | None = None,
    ) -> None:
        self._is_ready = is_ready
        self._max_body_bytes = max_body_bytes
        self._sockets = bind_sockets(address.port, address.host, backlog=BACKLOG)
        if receive_buffer_bytes is not None:
            for opened in self._sockets:
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
                )
        self._server: HTTPServer | None = None
        port = self._sockets[0].getsockname()[1]
        self.address = Address(address.host, port)

    def start(self, rules: Sequence[tuple]) -> None:
        """Start serving the routes of Tornado's rules."""
        application = Application(
            [
                ("/health", _Health, {"check": lambda: True}),
                ("/ready", _Health, {"check": self._is_ready}),
                *rules,
            ],
            default_handler_class=_NotFound,
        )
        self._server = HTTPServer(
            application,
            chunk_size=READ_BYTES,
            max_body_size=self._max_body_bytes,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        self._server.add_sockets(self._sockets)

    def stop(self) -> None:
        """Stop accepting connections; open ones continue."""
        self._server.stop()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close_all_connections()
