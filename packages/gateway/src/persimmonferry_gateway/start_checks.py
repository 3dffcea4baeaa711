"""Finds out which process of an upstream took a connection."""

import logging
from collections.abc import Awaitable, Callable

from persimmonferry_core.upstream_starts import StartVerdict, UpstreamStart

from persimmonferry_gateway.interfaces import EngineReport
from persimmonferry_gateway.shared_calls import SharedCall

__all__ = ["StartChecks"]

_log = logging.getLogger(__name__)


class StartChecks:
    """
    Tells whether the process of an upstream that took a connection is the expected one.

    The registry tells if it was read after the connection had been made. Without it,
    the upstream is asked, which need not state its start.

    :param judge: decides by the present copy of the registry.
    :param catch_up: receives the changes of the registry until a time on the boot
        clock, and returns whether this worked.
    :param ask_report: asks an upstream for its report.
    :param read_clock: of the boot clock.
    """

    def __init__(
        self,
        judge: Callable[[UpstreamStart], StartVerdict],
        catch_up: Callable[[float], Awaitable[bool]],
        ask_report: Callable[[str], Awaitable[EngineReport | None]],
        read_clock: Callable[[], float],
    ) -> None:
        self._judge = judge
        self._catch_up = catch_up
        self._ask_report = ask_report
        self._read_clock = read_clock
        self._reports: dict[str, SharedCall[EngineReport | None]] = {}

    def judge(self, start: UpstreamStart) -> StartVerdict:
        """Return what is known now of an upstream's process."""
        return self._judge(start)

    async def confirm(self, start: UpstreamStart) -> bool:
        """Whether the process that took a connection is certainly the expected one."""
        verdict = self._judge(start)
        if verdict is StartVerdict.UNDECIDED and await self._catch_up(start.stated_s):
            verdict = self._judge(start)
        if verdict is StartVerdict.UNDECIDED:
            verdict = await self._ask(start)
        if verdict is not StartVerdict.SAME:
            fields = {"upstream": start.upstream, "verdict": verdict.value}
            _log.info("start of upstream not confirmed", extra=fields)
        return verdict is StartVerdict.SAME

    async def _ask(self, start: UpstreamStart) -> StartVerdict:
        """
        Ask the upstream which process it is.

        A process that answers now is the one that was connected, or a later one.
        """
        name = start.upstream
        if name not in self._reports:
            self._reports[name] = SharedCall(
                lambda: self._ask_report(name), self._read_clock
            )
        call = self._reports[name]
        report = await call.get(start.connected_s)
        if not call.is_running:
            self._reports.pop(name, None)
        match report and report.incarnation:
            case None:
                return StartVerdict.UNDECIDED
            case start.incarnation:
                return StartVerdict.SAME
            case _:
                return StartVerdict.OTHER
