"""Base HTTP server of the stand-ins: fault injection, counters, control interface."""

import asyncio
import json
from collections import Counter
from dataclasses import replace
from typing import Any, TypeVar

from persimmonferry_adapters.http_formats import JSON_TYPE, encode_json
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, Finish, RequestHandler

from persimmonferry_standins.faults import (
    CutAnswer,
    DelayAnswer,
    Fault,
    Hang,
    LoseAnswer,
    Refuse,
    SlowDown,
    decode_fault,
)

__all__ = ["BACKLOG", "LOOPBACK", "Handler", "Route", "StandIn"]

LOOPBACK = "127.0.0.1"
BACKLOG = 1024
CLOSE_TIMEOUT_S = 1.0
DRAIN_POLL_S = 0.02
MAX_BODY_BYTES = 64 * 1024 * 1024

AnyFault = TypeVar("AnyFault", bound=Fault)
Route = tuple[str, type[RequestHandler], dict[str, Any]]


class StandIn:
    """
    Base class of the servers that simulate an outside system.

    It listens from ``start`` to ``stop`` and can be started again on the same port.

    :param port: 0 for a free port.
    """

    def __init__(self, port: int = 0, host: str = LOOPBACK) -> None:
        self.host = host
        self.port = port
        self.counters: Counter[str] = Counter()
        self.active = 0
        self._faults: list[Fault] = []
        self._cleared = asyncio.Event()
        self._server: HTTPServer | None = None

    @property
    def url(self) -> str:
        """The base URL, once started."""
        return f"http://{self.host}:{self.port}"

    def make_routes(self) -> list[Route]:
        """Return the routes of the outside system."""
        raise NotImplementedError

    def make_state(self) -> dict[str, Any]:
        """Return the state that the control interface reports beside the counters."""
        return {}

    def change_state(self, values: dict[str, Any]) -> None:
        """Apply a state change from the control interface."""

    async def start(self) -> None:
        """Start to listen, and set ``port`` to the port in use."""
        options = {"standin": self}
        routes = [
            (r"/control/faults", _FaultsHandler, options),
            (r"/control/state", _StateHandler, options),
            *self.make_routes(),
        ]
        sockets = bind_sockets(self.port, self.host, backlog=BACKLOG)
        self.port = sockets[0].getsockname()[1]
        application = Application(routes, log_function=_log_nothing)
        self._server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
        self._server.add_sockets(sockets)

    async def stop(self, grace_s: float = 0.0) -> None:
        """
        Stop listening and close all connections.

        :param grace_s: longest wait for active requests to end.
        """
        if self._server is None:
            return
        server, self._server = self._server, None
        server.stop()
        for _ in range(int(grace_s / DRAIN_POLL_S)):
            if not self.active:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        closing = asyncio.ensure_future(server.close_all_connections())
        await asyncio.wait({closing}, timeout=CLOSE_TIMEOUT_S)
        closing.cancel()

    def set_fault(self, fault: Fault) -> None:
        """Inject a fault."""
        self._faults.append(fault)

    def clear_faults(self) -> None:
        """Remove all faults and resume the requests that hang."""
        self._faults.clear()
        self._cleared.set()
        self._cleared = asyncio.Event()

    def find_fault(
        self, kind: type[AnyFault], path: str = "", method: str = ""
    ) -> AnyFault | None:
        """Return the first matching fault without counting the request against it."""
        for fault in self._faults:
            if (
                isinstance(fault, kind)
                and path.startswith(fault.path)
                and fault.method in ("", method)
            ):
                return fault
        return None

    def take_fault(
        self, kind: type[AnyFault], path: str = "", method: str = ""
    ) -> AnyFault | None:
        """Return the first matching fault and count the request against ``times``."""
        fault = self.find_fault(kind, path, method)
        if fault is None or fault.times == 0:
            return fault
        index = self._faults.index(fault)
        if fault.times == 1:
            del self._faults[index]
        else:
            self._faults[index] = replace(fault, times=fault.times - 1)
        return fault

    @property
    def slow_factor(self) -> float:
        """The factor by which all work is slowed down."""
        fault = self.find_fault(SlowDown)
        return fault.factor if fault else 1.0

    async def wait_until_cleared(self) -> None:
        """Return when the faults are cleared."""
        await self._cleared.wait()


class Handler(RequestHandler):
    """Base class of the request handlers, which applies the injected faults."""

    def initialize(self, standin: StandIn) -> None:
        """Set the stand-in that the handler belongs to."""
        self.standin = standin
        self._counted = False

    async def prepare(self) -> None:
        """Hang or refuse the request if such a fault is set."""
        self._counted = True
        self.standin.active += 1
        if self._take_fault(Hang):
            await self.standin.wait_until_cleared()
        if self._take_fault(Refuse):
            self.refuse()
            raise Finish

    def refuse(self) -> None:
        """Send the explicit refusal of this outside system."""
        self.set_status(503)
        self.finish()

    def on_finish(self) -> None:
        """Count the request as ended."""
        self._count_ended()

    def on_connection_close(self) -> None:
        """Count the request as ended, as its client closed the connection."""
        self._count_ended()

    async def answer(self, body: bytes = b"", status: int = 200) -> None:
        """Send a response; a fault may delay, lose or truncate it."""
        delay = self._take_fault(DelayAnswer)
        if delay:
            await asyncio.sleep(delay.delay_s)
        if self._take_fault(LoseAnswer):
            self.close_connection()
            return
        self.set_status(status)
        cut = self._take_fault(CutAnswer)
        if cut and len(body) > cut.after_bytes:
            self.set_header("Content-Length", str(len(body)))
            self.write(body[: cut.after_bytes])
            await self.flush()
            self.close_connection()
            return
        self.finish(body or None)

    async def answer_json(self, value: Any, status: int = 200) -> None:
        """Send a JSON response; see ``answer``."""
        self.set_header("Content-Type", JSON_TYPE)
        await self.answer(encode_json(value), status)

    def close_connection(self) -> None:
        """Close the connection without completing the response."""
        self._auto_finish = False
        self._count_ended()
        self.request.connection.stream.close()

    def _take_fault(self, kind: type[AnyFault]) -> AnyFault | None:
        return self.standin.take_fault(kind, self.request.path, self.request.method)

    def _count_ended(self) -> None:
        if self._counted:
            self._counted = False
            self.standin.active -= 1


class _FaultsHandler(RequestHandler):
    """Sets and clears faults."""

    def initialize(self, standin: StandIn) -> None:
        self._standin = standin

    def post(self) -> None:
        self._standin.set_fault(decode_fault(json.loads(self.request.body)))

    def delete(self) -> None:
        self._standin.clear_faults()


class _StateHandler(RequestHandler):
    """Reports the counters and the state, and changes the state."""

    def initialize(self, standin: StandIn) -> None:
        self._standin = standin

    def get(self) -> None:
        counters = dict(self._standin.counters)
        self.write({"counters": counters, "state": self._standin.make_state()})

    def post(self) -> None:
        self._standin.change_state(json.loads(self.request.body))


def _log_nothing(_handler: RequestHandler) -> None:
    """Replace tornado's access log."""
