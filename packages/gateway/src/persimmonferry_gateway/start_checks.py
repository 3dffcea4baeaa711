"""Finds out which process of an upstream took a connection."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from persimmonferry_core.upstream_starts import (
    MAX_ENTRY_DELAY_S,
    StartVerdict,
    UpstreamStart,
    judge_start,
)

from persimmonferry_gateway.shared_calls import SharedCall

__all__ = ["ReportedStart", "StartChecks", "StartSource"]

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReportedStart:
    """What someone else states of the present process of an upstream."""

    incarnation: int


# Returns what the asked one states of an upstream, None if that is unknown.
StartSource = Callable[[str], Awaitable[ReportedStart | None]]


class StartChecks:
    """
    Tells whether the process of an upstream that took a connection is the expected one.

    The registry tells if it was read after the connection had been made. While it does
    not respond, other gateways are asked. They know entries, as this one does, so a
    process needs the time to write its own; the upstream itself states its start.

    :param judge: decides by the present copy of the registry.
    :param catch_up: receives the changes of the registry until a time on the boot
        clock, and returns whether this worked.
    :param ask_upstream: asks an upstream itself, which need not state its start.
    :param ask_gateways: asks gateways that have read the registry.
    :param read_clock: of the boot clock.
    """

    def __init__(
        self,
        judge: Callable[[UpstreamStart], StartVerdict],
        catch_up: Callable[[float], Awaitable[bool]],
        ask_upstream: StartSource,
        ask_gateways: StartSource,
        read_clock: Callable[[], float],
    ) -> None:
        self._judge = judge
        self._catch_up = catch_up
        self._upstream = _SharedQuestions(ask_upstream, read_clock)
        self._gateways = _SharedQuestions(ask_gateways, read_clock)

    def judge(self, start: UpstreamStart) -> StartVerdict:
        """Return what is known now of an upstream's process."""
        return self._judge(start)

    async def confirm(self, start: UpstreamStart) -> bool:
        """Whether the process that took a connection is certainly the expected one."""
        verdict, since_s = self._judge(start), start.registered_by_s
        if verdict is StartVerdict.UNDECIDED and await self._catch_up(since_s):
            verdict = self._judge(start)
        if verdict is StartVerdict.UNDECIDED:
            verdict = await self._gateways.ask(start, since_s)
        if verdict is StartVerdict.UNDECIDED:
            verdict = await self._upstream.ask(start, start.connected_s)
        return _log_verdict(start, verdict)

    async def confirm_running(self, start: UpstreamStart) -> bool:
        """
        Confirm the process at the other end of an open connection.

        It can answer itself, which counts more than an entry that may be on its way.
        """
        # As if the connection had been made later, so that its entry has come for sure.
        later_s = start.connected_s + MAX_ENTRY_DELAY_S
        verdict = self._judge(replace(start, connected_s=later_s))
        if verdict is StartVerdict.UNDECIDED:
            verdict = await self._upstream.ask(start, start.connected_s)
        if verdict is StartVerdict.UNDECIDED:
            return await self.confirm(start)
        return _log_verdict(start, verdict)


class _SharedQuestions:
    """Questions about upstreams; those about the same one share an answer."""

    def __init__(self, ask: StartSource, read_clock: Callable[[], float]) -> None:
        self._ask = ask
        self._read_clock = read_clock
        self._calls: dict[str, SharedCall[ReportedStart | None]] = {}

    async def ask(self, start: UpstreamStart, since_s: float) -> StartVerdict:
        """
        Ask at a time or later which process an upstream is.

        It is the one that was connected, or a later one.
        """
        await asyncio.sleep(since_s - self._read_clock())
        name = start.upstream
        if name not in self._calls:
            self._calls[name] = SharedCall(lambda: self._ask(name), self._read_clock)
        call = self._calls[name]
        try:
            stated = await call.get(since_s)
        finally:
            if not call.is_running:
                self._calls.pop(name, None)
        if stated is None:
            return StartVerdict.UNDECIDED
        return judge_start(start, stated.incarnation, start.registered_by_s)


def _log_verdict(start: UpstreamStart, verdict: StartVerdict) -> bool:
    if verdict is not StartVerdict.SAME:
        fields = {"upstream": start.upstream, "verdict": verdict.value}
        _log.info("start of upstream not confirmed", extra=fields)
    return verdict is StartVerdict.SAME
