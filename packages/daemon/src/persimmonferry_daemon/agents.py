"""The agents of plain services, as used by the dispatcher of calls."""

import time
from collections.abc import Callable

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.exceptions import NotRun
from persimmonferry_core.schema import Service
from persimmonferry_wire.generated.runs.ttypes import (
    AttemptQuery,
    AttemptReply,
    CallReply,
    CallRequest,
)

from persimmonferry_daemon.agent_client import AgentClient
from persimmonferry_daemon.agent_links import AgentHandle
from persimmonferry_daemon.upstream_directory import UpstreamDirectory

__all__ = ["PlainAgents"]

NO_UPSTREAM_RETRY_S = 0.5


class PlainAgents:
    """
    Chooses agents of plain services, and sends them attempts and queries.

    :param read_clock: the clock of the dispatcher, monotonic seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        upstreams: UpstreamDirectory,
        client: AgentClient,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        self._upstreams = upstreams
        self._client = client
        self._read_clock = read_clock

    def choose(
        self, service: Service, excluded: frozenset[str], now: float
    ) -> AgentHandle:
        """
        Return the agent whose service is expected to answer first.

        :raises NotRun: no agent accepts new work.
        """
        name = self._dispatcher.choose_plain(service.name, self._read_clock(), excluded)
        upstream = self._upstreams.find(name) if name else None
        if upstream is None:
            detail = f"service {service.name}"
            raise NotRun(ResultCode.NO_UPSTREAM, detail, NO_UPSTREAM_RETRY_S)
        report = upstream.report
        return AgentHandle(report.name, report.incarnation, upstream.address)

    async def call(self, handle: AgentHandle, request: CallRequest) -> CallReply:
        """
        Send one attempt.

        :raises NotRun: no byte of it left this process.
        :raises OutcomeUnknown: no complete reply was received.
        """
        self._dispatcher.plain_started(request.run_id, handle.name, self._read_clock())
        whole = False
        try:
            reply = await self._client.call(handle.address, request)
            whole = True
            return reply
        finally:
            self._dispatcher.plain_finished(request.run_id, self._read_clock(), whole)
            if not whole:
                self._upstreams.suspect(handle.name, handle.incarnation)

    async def query(
        self, handle: AgentHandle, request: CallRequest, fence: bool
    ) -> AttemptReply:
        """
        Query the state of an attempt.

        :raises OutcomeUnknown: no complete reply was received.
        """
        query = AttemptQuery(
            run_id=request.run_id,
            incarnation=request.incarnation,
            start_deadline_s=request.start_deadline_s,
            fence=fence,
        )
        return await self._client.query_attempt(handle.address, query)
