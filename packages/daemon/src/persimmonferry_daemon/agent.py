"""The agent: one process beside each upstream, the only one that gives it work."""

import asyncio
import logging
import time

from persimmonferry_adapters import HttpPlatform, HttpVMList
from persimmonferry_core.dissemination import Member
from persimmonferry_core.schema import ServiceKind
from persimmonferry_core.settings import AgentSettings, ProcessSettings
from persimmonferry_wire import PeerClient
from persimmonferry_wire.generated.membership.ttypes import AgentReport
from tornado.httpclient import AsyncHTTPClient

from persimmonferry_daemon.administration import (
    Administration,
    UsageRow,
    administration_routes,
)
from persimmonferry_daemon.configuration import ConfigurationReplicator
from persimmonferry_daemon.drain import CloseReason, DrainGate
from persimmonferry_daemon.model_upstream import ModelUpstream
from persimmonferry_daemon.periodic import PeriodicTask
from persimmonferry_daemon.plain_upstream import PlainUpstream
from persimmonferry_daemon.reports import Reporter
from persimmonferry_daemon.servers import Listener, list_peer_rules
from persimmonferry_daemon.vms import VMListPoller

__all__ = ["Agent"]

LINGER_AFTER_STOP_S = 1.0
LEAVING_INTERVAL_S = 0.5
MS_PER_S = 1000

_log = logging.getLogger(__name__)


class Agent:
    """
    The agent of one upstream; owns the upstream's adapter and all work given to it.

    :param settings: with the role of an agent.
    :param client: HTTP client for all calls of this process.
    """

    def __init__(self, settings: ProcessSettings, client: AsyncHTTPClient) -> None:
        self._settings = settings
        self._role: AgentSettings = settings.role
        self._incarnation = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._gate = DrainGate(settings.name)
        peers = PeerClient(client)
        platform = HttpPlatform(client, settings.platform_url)
        # Created first, since other parts need its address.
        self._listener = Listener(settings.peers, lambda: not self._gate.closed)
        self.address = self._listener.address
        self._vms = VMListPoller(HttpVMList(client, settings.vm_list_url))
        self._configuration = ConfigurationReplicator(
            platform,
            peers,
            Member(settings.name, self.address.url, settings.failure_domain),
            settings.team,
            self._vms.list_vms,
        )
        self._reporter = Reporter(peers, self._vms, self._describe)
        self._gate.on_change.append(self._reporter.schedule_report)
        self._upstream = self._build_upstream(client, platform)
        self._leaving = PeriodicTask(self._check_leaving, lambda: LEAVING_INTERVAL_S)

    async def start(self) -> None:
        """Start serving, and report to the entries."""
        await self._vms.start()
        self._configuration.start()
        await self._upstream.start()
        self._listener.start(self._list_rules())
        self._reporter.start()
        self._leaving.start()
        _log.info("agent started", extra={"address": str(self.address)})

    async def drain(self) -> None:
        """Refuse new work on an operator's request, and report it to the entries."""
        self._gate.close(CloseReason.DRAINED)
        await self._reporter.report_now()

    async def undrain(self) -> None:
        """Accept new work again."""
        self._gate.open(CloseReason.DRAINED)
        await self._reporter.report_now()

    def describe_addresses(self) -> str:
        """Return the line with the addresses on which the process listens."""
        return f"listening peers={self.address}"

    async def stop(self) -> None:
        """
        Stop gracefully, after the runs and calls in progress.

        The process continues for ``LINGER_AFTER_STOP_S`` after the last one, so that
        entries receive the end of every answer and can query attempts.
        """
        _log.info("agent stopping", extra={"under_way": self._gate.count})
        self._gate.close(CloseReason.STOPPING)
        await self._reporter.report_now()
        await self._gate.wait_idle()
        await self._upstream.stop()
        await asyncio.sleep(LINGER_AFTER_STOP_S)
        await self._leaving.stop()
        await self._reporter.stop()
        await self._configuration.stop()
        await self._vms.stop()
        self._listener.stop()
        await self._listener.close()
        _log.info("agent stopped")

    async def _check_leaving(self) -> None:
        """Refuse new work while the VM list says that this VM is leaving."""
        if self._vms.is_leaving(self._settings.name):
            self._gate.close(CloseReason.LEAVING)
        else:
            self._gate.open(CloseReason.LEAVING)

    def _list_rules(self) -> list[tuple]:
        routes = (
            *self._configuration.routes,
            *self._reporter.routes,
            *self._upstream.routes,
        )
        return [
            *list_peer_rules(routes),
            *self._upstream.rules,
            *administration_routes(self._describe_administration()),
        ]

    def _describe_administration(self) -> Administration:
        return Administration(
            configuration=self._configuration,
            role="agent",
            drain=self.drain,
            undrain=self.undrain,
            is_draining=lambda: self._gate.closed,
            list_histograms=lambda: (),
            list_usage=self._list_usage,
            read_clock=time.time,
        )

    async def _list_usage(self) -> tuple[UsageRow, ...]:
        """Return nothing: usage is counted by the entries."""
        return ()

    def _build_upstream(
        self, client: AsyncHTTPClient, platform: HttpPlatform
    ) -> ModelUpstream | PlainUpstream:
        match self._role.kind:
            case ServiceKind.MODEL:
                return ModelUpstream(
                    client,
                    platform,
                    self._settings,
                    self._gate,
                    self._vms,
                    self._configuration,
                )
            case ServiceKind.PLAIN:
                return PlainUpstream(client, self._role, self._gate, self._incarnation)

    def _describe(self, *, whole: bool) -> AgentReport:
        self._sequence += 1
        return AgentReport(
            name=self._settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            host=self.address.host,
            port=self.address.port,
            failure_domain=self._settings.failure_domain.name,
            service_name=self._role.service,
            is_model=self._role.kind is ServiceKind.MODEL,
            model=self._upstream.model,
            version=self._upstream.version,
            leaving=self._gate.closed or not self._upstream.is_ready,
            load=self._upstream.describe_load(),
            configuration_revision=self._configuration.revision,
            cache=self._upstream.describe_cache(whole=whole),
        )
