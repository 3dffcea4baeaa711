"""Finds out which process of an upstream took a connection."""

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from persimmonferry_core.upstream_starts import (
    StartVerdict,
    UpstreamStart,
    judge_start,
)

from persimmonferry_gateway.shared_calls import SharedCall

__all__ = ["StartChecks", "StatedStart", "Witness"]

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class StatedStart:
    """
    What someone else states of the present process of an upstream.

    :param incarnation: None if it has no entry in the registry.
    """

    incarnation: int | None


# Returns what the asked one states of an upstream, None if that is unknown.
Witness = Callable[[str], Awaitable[StatedStart | None]]


class StartChecks:
    """
    Tells whether the process of an upstream that took a connection is the expected one.

    The registry tells if it was read after the connection had been made. While it does
    not respond, others are asked.

    :param judge: decides by the present copy of the registry.
    :param catch_up: receives the changes of the registry until a time on the boot
        clock, and returns whether this worked.
    :param witnesses: asked one after the other until one knows.
    :param read_clock: of the boot clock.
    """

    def __init__(
        self,
        judge: Callable[[UpstreamStart], StartVerdict],
        catch_up: Callable[[float], Awaitable[bool]],
        witnesses: Sequence[Witness],
        read_clock: Callable[[], float],
    ) -> None:
        self._judge = judge
        self._catch_up = catch_up
        self._witnesses = witnesses
        self._read_clock = read_clock
        # What several streams ask for at the same time, by upstream.
        self._statements: dict[str, SharedCall[StatedStart | None]] = {}

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
        Ask which process the upstream is now.

        It is the one that was connected, or a later one.
        """
        name = start.upstream
        if name not in self._statements:
            self._statements[name] = SharedCall(
                lambda: self._ask_witnesses(name), self._read_clock
            )
        call = self._statements[name]
        stated = await call.get(start.stated_s)
        if not call.is_running:
            self._statements.pop(name, None)
        if stated is None:
            return StartVerdict.UNDECIDED
        return judge_start(start, stated.incarnation, start.stated_s)

    async def _ask_witnesses(self, upstream: str) -> StatedStart | None:
        for ask in self._witnesses:
            stated = await ask(upstream)
            if stated is not None:
                return stated
        return None
