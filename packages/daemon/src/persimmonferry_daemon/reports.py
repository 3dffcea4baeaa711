"""An agent's reports to the entries that use its upstream."""

import asyncio
import logging
from collections.abc import Callable

from persimmonferry_core.membership import REPORT_INTERVAL_S
from persimmonferry_core.topology import Address, Role
from persimmonferry_wire import PeerClient, PeerRequestFailed, PeerRoute
from persimmonferry_wire.generated.membership.ttypes import (
    AgentReport,
    Introduction,
    ReportReply,
)

from persimmonferry_daemon.paths import INTRODUCTION_PATH, REPORT_PATH
from persimmonferry_daemon.vms import VMListPoller

__all__ = ["Reporter"]

REPORT_TIMEOUT_S = 0.5

_log = logging.getLogger(__name__)


class Reporter:
    """
    Sends the upstream's state to every entry, at intervals and when it changes.

    Entries are found in the VM list and by their introductions: the list lags, and an
    entry that has just started must not wait for it.

    :param describe: returns the report to send, with a new sequence number; with
        ``whole`` it lists all cache blocks instead of the changes.
    """

    def __init__(
        self, peers: PeerClient, vms: VMListPoller, describe: Callable[..., AgentReport]
    ) -> None:
        self._peers = peers
        self._vms = vms
        self._describe = describe
        self._introduced: set[Address] = set()
        self._synchronized: set[Address] = set()
        self._intervals: dict[Address, float] = {}
        self._sending: set[Address] = set()
        self._task: asyncio.Task | None = None
        self.routes = (PeerRoute(INTRODUCTION_PATH, Introduction, self._introduce),)

    def start(self) -> None:
        """Start to report at intervals."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def schedule_report(self) -> None:
        """Send a report without waiting for it."""
        task = asyncio.create_task(self.report_now())
        task.add_done_callback(_log_failure)

    async def report_now(self) -> None:
        """Send one report to every entry and wait for the replies."""
        entries = self._list_entries()
        self._synchronized &= entries
        new_entries = entries - self._synchronized
        changes = self._describe(whole=False)
        whole = self._describe(whole=True) if new_entries else changes
        await asyncio.gather(
            *(
                self._send(entry, whole if entry in new_entries else changes)
                for entry in entries
                # Reports must not pile up at an entry that has not replied yet.
                if entry not in self._sending
            )
        )

    def _list_entries(self) -> set[Address]:
        listed = {vm.address for vm in self._vms.list_role(Role.ENTRY)}
        self._introduced -= listed
        return listed | self._introduced

    def _find_interval(self) -> float:
        asked = (self._intervals.get(entry, 0.0) for entry in self._synchronized)
        return max(REPORT_INTERVAL_S, *asked, 0.0)

    async def _run(self) -> None:
        while True:
            # Not awaited: an entry that does not reply must not delay the others.
            self.schedule_report()
            await asyncio.sleep(self._find_interval())

    async def _send(self, entry: Address, report: AgentReport) -> None:
        self._sending.add(entry)
        try:
            reply = await self._peers.ask(
                entry.url + REPORT_PATH, report, ReportReply, REPORT_TIMEOUT_S
            )
        except PeerRequestFailed:
            # Since it missed changes, it gets a whole report when it replies again.
            self._synchronized.discard(entry)
            self._introduced.discard(entry)
        else:
            self._synchronized.add(entry)
            self._intervals[entry] = reply.interval_s
        finally:
            self._sending.discard(entry)

    async def _introduce(self, introduction: Introduction) -> AgentReport:
        self._introduced.add(Address(introduction.host, introduction.port))
        return self._describe(whole=True)


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("report failed", exc_info=task.exception())
