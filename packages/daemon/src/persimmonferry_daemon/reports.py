"""An agent's reports to the entries that use its upstream."""

import asyncio
import logging
from collections.abc import Callable

from persimmonferry_core.membership import REPORT_INTERVAL_S
from persimmonferry_core.world import Address, Role
from persimmonferry_wire import PeerClient, PeerLost, PeerRoute
from persimmonferry_wire.generated.membership.ttypes import (
    AgentReport,
    Introduction,
    ReportReply,
)

from persimmonferry_daemon.paths import INTRODUCTION_PATH, REPORT_PATH
from persimmonferry_daemon.vms import VMWatch

__all__ = ["Reporter"]

REPORT_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class Reporter:
    """
    Sends the upstream's state to every entry, at intervals and when it changes.

    Entries come from the VM list, and from entries that introduce themselves: the
    list lags, and an entry that has just started must not wait for it.

    :param describe: returns the report to send, with a new sequence number.
    """

    def __init__(
        self, peers: PeerClient, vms: VMWatch, describe: Callable[[], AgentReport]
    ) -> None:
        self._peers = peers
        self._vms = vms
        self._describe = describe
        self._introduced: set[Address] = set()
        self._sending: set[Address] = set()
        self._task: asyncio.Task | None = None
        self.routes = (PeerRoute(INTRODUCTION_PATH, Introduction, self._introduce),)

    def start(self) -> None:
        """Report at intervals."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Report no more."""
        if self._task is not None:
            self._task.cancel()

    async def report_now(self) -> None:
        """Send one report to every entry and wait for the replies."""
        report = self._describe()
        entries = self._list_entries() - self._sending
        await asyncio.gather(*(self._send(entry, report) for entry in entries))

    def _list_entries(self) -> set[Address]:
        listed = {vm.address for vm in self._vms.list_role(Role.ENTRY)}
        self._introduced -= listed
        return listed | self._introduced

    async def _run(self) -> None:
        while True:
            # Not awaited: an entry that does not answer must not delay the others.
            task = asyncio.create_task(self.report_now())
            await asyncio.sleep(REPORT_INTERVAL_S)
            if task.done() and task.exception() is not None:
                _log.error("report failed", exc_info=task.exception())

    async def _send(self, entry: Address, report: AgentReport) -> None:
        self._sending.add(entry)
        try:
            await self._peers.ask(
                entry.url + REPORT_PATH, report, ReportReply, REPORT_TIMEOUT_S
            )
        except PeerLost:
            self._introduced.discard(entry)
        finally:
            self._sending.discard(entry)

    async def _introduce(self, introduction: Introduction) -> AgentReport:
        self._introduced.add(Address(introduction.host, introduction.port))
        return self._describe()
