"""The agent's part for a plain service: calls and load."""

import time
from collections.abc import Sequence

from persimmonferry_adapters import HttpPlainService
from persimmonferry_core.attempts import AttemptTable
from persimmonferry_core.runs import PlainLoad
from persimmonferry_core.settings import AgentSettings
from persimmonferry_wire import PeerRoute
from persimmonferry_wire.generated.membership.ttypes import CacheReport, LoadReport
from persimmonferry_wire.generated.runs.ttypes import (
    AttemptQuery,
    CallReply,
    CallRequest,
)
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_daemon.attempt_executor import AttemptExecutor
from persimmonferry_daemon.drain import DrainGate
from persimmonferry_daemon.load_poller import LoadPoller
from persimmonferry_daemon.paths import ATTEMPT_PATH, CALL_PATH

__all__ = ["PlainUpstream"]


class PlainUpstream:
    """Manages the calls of one plain service, and its load."""

    model = ""
    version = ""
    rules: Sequence[tuple] = ()

    def __init__(
        self,
        client: AsyncHTTPClient,
        role: AgentSettings,
        gate: DrainGate,
        incarnation: int,
    ) -> None:
        service = HttpPlainService(client, role.upstream_url)
        self._load: LoadPoller[PlainLoad] = LoadPoller(service.read_load)
        table = AttemptTable(incarnation)
        calls = AttemptExecutor(table, service, gate.find_refusal, time.time)
        self.routes = (
            PeerRoute(CALL_PATH, CallRequest, self._answer_call),
            PeerRoute(ATTEMPT_PATH, AttemptQuery, calls.query),
        )
        self._calls = calls
        self._gate = gate

    @property
    def is_ready(self) -> bool:
        """Whether the service responds."""
        return self._load.latest is not None

    async def start(self) -> None:
        """Start to poll the load."""
        await self._load.start()

    async def stop(self) -> None:
        """Stop polling the load."""
        await self._load.stop()

    async def _answer_call(self, request: CallRequest) -> CallReply:
        with self._gate.track_work():
            return await self._calls.call(request)

    def describe_load(self) -> LoadReport:
        """Return the newest load in the form reported to entries."""
        load = self._load.latest
        if load is None:
            return LoadReport(0, 0, 0, 0, 0.0, 0.0)
        return LoadReport(load.running, load.waiting, 0, load.slots, 0.0, 0.0)

    def describe_cache(self, *, whole: bool) -> CacheReport:
        """Return an empty report: a plain service holds no cache blocks."""
        return CacheReport([], [], False)
