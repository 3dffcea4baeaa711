"""The entry's upstreams: applies reports to the table and to the dispatcher."""

import asyncio
import logging
from collections.abc import Callable

from persimmonferry_core.membership import Observation, ReportedUpstream, UpstreamTable
from persimmonferry_core.routing import UpstreamReport
from persimmonferry_core.topology import VM, Address, Role
from persimmonferry_wire import PeerClient, PeerRequestFailed, PeerRoute
from persimmonferry_wire.generated.membership.ttypes import (
    AgentReport,
    Introduction,
    ReportReply,
)

from persimmonferry_daemon.paths import INTRODUCTION_PATH, REPORT_PATH
from persimmonferry_daemon.periodic import PeriodicTask
from persimmonferry_daemon.scheduling import Scheduler
from persimmonferry_daemon.vms import VMListPoller

__all__ = ["UpstreamDirectory"]

EXPIRY_INTERVAL_S = 0.1
INTRODUCTION_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class UpstreamDirectory:
    """
    Keeps the table of upstreams up to date.

    :param read_revision: returns the revision of the configuration in force here.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        peers: PeerClient,
        vms: VMListPoller,
        read_clock: Callable[[], float],
        read_revision: Callable[[], int],
    ) -> None:
        self._scheduler = scheduler
        self._peers = peers
        self._vms = vms
        self._read_clock = read_clock
        self._read_revision = read_revision
        self._table = UpstreamTable()
        self._expiry = PeriodicTask(self._expire, lambda: EXPIRY_INTERVAL_S)
        self.routes = (PeerRoute(REPORT_PATH, AgentReport, self._answer_report),)

    async def start(self, address: Address) -> None:
        """
        Request reports from the agents of all listed upstreams.

        An entry starts without state, and reconstructs it from the agents.

        :param address: of this entry, to which the agents send later reports.
        """
        introduction = Introduction(address.host, address.port)
        vms = self._vms.list_role(Role.UPSTREAM)
        await asyncio.gather(*(self._introduce(vm, introduction) for vm in vms))
        self._expiry.start()

    async def stop(self) -> None:
        """Stop checking for overdue reports."""
        await self._expiry.stop()

    def find(self, name: str) -> ReportedUpstream | None:
        """Return an upstream as last reported, or None."""
        return self._table.find(name)

    def list_service(self, service: str) -> tuple[ReportedUpstream, ...]:
        """Return all upstreams of a service, leaving ones included."""
        return tuple(
            item for item in self._table.list_all() if item.report.service == service
        )

    def list_all(self) -> tuple[ReportedUpstream, ...]:
        """Return all upstreams."""
        return self._table.list_all()

    def report_all(self) -> None:
        """Report all upstreams to the dispatcher, after a change of the services."""
        for upstream in self._table.list_all():
            self._scheduler.dispatcher.report(upstream.report, self._read_clock())
        self._scheduler.schedule_dispatch()

    def suspect(self, name: str, incarnation: int) -> None:
        """Exclude an upstream until its next report."""
        if self._table.suspect(name, incarnation):
            self._drop(name, "suspected")

    async def _introduce(self, vm: VM, introduction: Introduction) -> None:
        try:
            report = await self._peers.ask(
                vm.address.url + INTRODUCTION_PATH,
                introduction,
                AgentReport,
                INTRODUCTION_TIMEOUT_S,
            )
        except PeerRequestFailed:
            return
        self._observe(report)

    async def _answer_report(self, message: AgentReport) -> ReportReply:
        self._observe(message)
        return ReportReply(self._read_revision(), self._table.compute_report_interval())

    def _observe(self, message: AgentReport) -> None:
        report = _read_report(message)
        address = Address(message.host, message.port)
        now = self._read_clock()
        observation = self._table.observe(report, address, now)
        if observation is Observation.STALE:
            return
        if observation is Observation.NEW:
            _log.info(
                "upstream appeared",
                extra={"upstream": report.name, "incarnation": report.incarnation},
            )
        dispatcher = self._scheduler.dispatcher
        dispatcher.report(report, now)
        dispatcher.record_removed(report.name, tuple(message.cache.removed))
        dispatcher.record_held(report.name, tuple(message.cache.stored))
        self._scheduler.schedule_dispatch()

    async def _expire(self) -> None:
        for name in self._table.expire(self._read_clock()):
            self._drop(name, "silent")

    def _drop(self, name: str, reason: str) -> None:
        _log.warning("upstream excluded", extra={"upstream": name, "reason": reason})
        self._scheduler.dispatcher.remove(name)
        self._scheduler.schedule_dispatch()


def _read_report(message: AgentReport) -> UpstreamReport:
    load = message.load
    return UpstreamReport(
        name=message.name,
        incarnation=message.incarnation,
        sequence=message.sequence,
        failure_domain=message.failure_domain,
        service=message.service_name,
        model=message.model,
        version=message.version,
        running=load.running,
        waiting=load.waiting,
        waiting_prefill_tokens=load.waiting_prefill_tokens,
        slots=load.slots,
        prefill_tokens_per_s=load.prefill_tokens_per_s,
        decode_tokens_per_s=load.decode_tokens_per_s,
        leaving=message.leaving,
    )
